//! The client of the control instances' HTTP API.
//!
//! A request is sent to one control instance after another until one serves it. Every attempt to submit a change
//! carries the same change id, so the change is applied at most once even if responses are lost.

use {
    crate::error::{Attempt, CliError},
    cumincart_protocol::{
        change::{Change, Outcome},
        operator_api::{ListsBody, OperatorRefusal, OperatorRefusalCode, StatusBody},
    },
    reqwest::{Client, Response, StatusCode, Url},
    serde::de::DeserializeOwned,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// The delay before all control instances are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The time-out of a request to one control instance.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);

/// The base URL of an instance, as `http://ip:port`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceUrl(Url);

impl InstanceUrl {
    /// Parses a URL. The scheme `http://` may be omitted.
    pub fn parse(text: &str) -> Result<Self, String> {
        let full = if text.contains("://") { text.to_owned() } else { format!("http://{text}") };
        let url = Url::parse(&full).map_err(|error| error.to_string())?;
        if url.scheme() != "http" {
            return Err("the address must begin with `http://`".to_owned());
        }
        if url.path() != "/" || url.query().is_some() {
            return Err("the address must have no path".to_owned());
        }
        Ok(Self(url))
    }

    /// Returns the URL of a path on this instance.
    fn join(&self, path: &str) -> Url {
        let mut url = self.0.clone();
        url.set_path(path);
        url
    }
}

impl std::fmt::Display for InstanceUrl {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0.as_str().trim_end_matches('/'))
    }
}

/// A client for a set of control instances.
#[derive(Debug, Clone)]
pub struct ControlClient {
    http: Client,
    urls: Vec<InstanceUrl>,
    token: String,
    timeout: Duration,
}

/// Why a request to one control instance failed.
enum AttemptError {
    /// The request was not executed. Another control instance may execute it.
    NotServed(String),
    /// The request was sent, but may or may not have been executed.
    OutcomeUnknown(String),
    /// The request fails on every control instance.
    Final(CliError),
}

/// A request to the control instances.
enum ApiRequest<'a> {
    Get(&'static str),
    Change(&'a Change),
}

impl ControlClient {
    /// Creates a client that retries each request for at most `timeout`.
    pub fn new(urls: Vec<InstanceUrl>, token: String, timeout: Duration) -> Result<Self, CliError> {
        Ok(Self { http: http_client()?, urls, token, timeout })
    }

    /// Returns the state of the system, as confirmed by a quorum.
    pub async fn status(&self) -> Result<StatusBody, CliError> {
        self.send_request(&ApiRequest::Get("/v1/status")).await
    }

    /// Returns the lists in force and their revision.
    pub async fn lists(&self) -> Result<ListsBody, CliError> {
        self.send_request(&ApiRequest::Get("/v1/lists")).await
    }

    /// Submits a change. Every attempt carries the same change id.
    pub async fn submit_change(&self, change: &Change) -> Result<Outcome, CliError> {
        self.send_request(&ApiRequest::Change(change)).await
    }

    /// Tries one control instance after another until one responds or the time-out expires.
    async fn send_request<T: DeserializeOwned>(&self, request: &ApiRequest<'_>) -> Result<T, CliError> {
        let deadline = Instant::now() + self.timeout;
        // Once a change may have been committed, a refusal of a later attempt does not prove that it was not.
        let mut may_be_committed = false;
        loop {
            let mut attempts = Vec::with_capacity(self.urls.len());
            for url in &self.urls {
                let reason = match self.attempt(url, request, deadline).await {
                    Ok(body) => return Ok(body),
                    Err(AttemptError::Final(error)) if may_be_committed => error.to_string(),
                    Err(AttemptError::Final(error)) => return Err(error),
                    Err(AttemptError::NotServed(reason)) => reason,
                    Err(AttemptError::OutcomeUnknown(reason)) => {
                        may_be_committed = matches!(request, ApiRequest::Change(_));
                        reason
                    }
                };
                attempts.push(Attempt { url: url.to_string(), reason });
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return Err(exhausted_error(request, may_be_committed, attempts));
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        url: &InstanceUrl,
        request: &ApiRequest<'_>,
        deadline: Instant,
    ) -> Result<T, AttemptError> {
        let builder = match request {
            ApiRequest::Get(path) => self.http.get(url.join(path)),
            ApiRequest::Change(change) => self.http.post(url.join("/v1/changes")).json(change),
        };
        let remaining = deadline.saturating_duration_since(Instant::now()).max(RETRY_DELAY);
        let response = builder.bearer_auth(&self.token).timeout(remaining.min(ATTEMPT_TIMEOUT)).send().await;
        match response {
            Ok(response) => read_response(url, request, response).await,
            Err(error) if error.is_connect() => Err(AttemptError::NotServed("connection failed".to_owned())),
            Err(_) => Err(AttemptError::OutcomeUnknown("no response received".to_owned())),
        }
    }
}

/// Creates an HTTP client that connects to the instances directly and ignores proxies set in the environment.
fn http_client() -> Result<Client, CliError> {
    let built = Client::builder().no_proxy().build();
    built.map_err(|error| CliError::UnexpectedResponse {
        url: "the HTTP client".to_owned(),
        reason: error.to_string(),
    })
}

async fn read_response<T: DeserializeOwned>(
    url: &InstanceUrl,
    request: &ApiRequest<'_>,
    response: Response,
) -> Result<T, AttemptError> {
    let status = response.status();
    let Ok(body) = response.bytes().await else {
        return Err(AttemptError::OutcomeUnknown("the response body could not be read".to_owned()));
    };
    let unexpected_response =
        |reason: String| AttemptError::Final(CliError::UnexpectedResponse { url: url.to_string(), reason });
    match status {
        // Both carry an outcome in the body: 200 if the change was accepted, 409 on a conflict.
        StatusCode::OK | StatusCode::CONFLICT => {
            serde_json::from_slice(&body).map_err(|error| match request {
                ApiRequest::Get(_) => unexpected_response(error.to_string()),
                ApiRequest::Change(_) => AttemptError::OutcomeUnknown(format!("malformed response: {error}")),
            })
        }
        StatusCode::UNAUTHORIZED => Err(AttemptError::Final(CliError::TokenRefused { url: url.to_string() })),
        status => match serde_json::from_slice::<OperatorRefusal>(&body) {
            Ok(refusal) => Err(refusal_error(url, &refusal)),
            Err(_) if status.is_server_error() => {
                Err(AttemptError::OutcomeUnknown(format!("HTTP status {status}")))
            }
            Err(_) => Err(unexpected_response(format!("HTTP status {status}"))),
        },
    }
}

fn refusal_error(url: &InstanceUrl, refusal: &OperatorRefusal) -> AttemptError {
    let message = refusal.message.as_deref();
    match refusal.code {
        OperatorRefusalCode::NotLeader => {
            let leader = refusal.leader.as_ref().map(|leader| format!("; the leader is {}", leader.instance));
            AttemptError::NotServed(format!("not the leader{}", leader.unwrap_or_default()))
        }
        OperatorRefusalCode::NoQuorum => AttemptError::NotServed("no quorum".to_owned()),
        OperatorRefusalCode::Unknown => {
            AttemptError::OutcomeUnknown("lost leadership while processing the request".to_owned())
        }
        OperatorRefusalCode::TokenRefused => {
            AttemptError::Final(CliError::TokenRefused { url: url.to_string() })
        }
        OperatorRefusalCode::BadRequest => AttemptError::Final(CliError::UnexpectedResponse {
            url: url.to_string(),
            reason: message.unwrap_or("the request was refused as malformed").to_owned(),
        }),
    }
}

fn exhausted_error(request: &ApiRequest<'_>, may_be_committed: bool, attempts: Vec<Attempt>) -> CliError {
    match request {
        ApiRequest::Change(change) if may_be_committed => {
            CliError::OutcomeUnknown { change_id: change.id.0.to_string(), attempts }
        }
        _ => CliError::Unreachable { attempts },
    }
}

/// Fetches the dump of one process.
pub async fn dump(
    url: &InstanceUrl,
    path: &str,
    token: &str,
    timeout: Duration,
) -> Result<serde_json::Value, CliError> {
    let request = http_client()?.get(url.join(path)).bearer_auth(token).timeout(timeout);
    let attempt = |reason: &str| CliError::Unreachable {
        attempts: vec![Attempt { url: url.to_string(), reason: reason.to_owned() }],
    };
    let response = request.send().await.map_err(|_| attempt("no response"))?;
    match response.status() {
        StatusCode::OK => response.json().await.map_err(|error| CliError::UnexpectedResponse {
            url: url.to_string(),
            reason: error.to_string(),
        }),
        StatusCode::UNAUTHORIZED => Err(CliError::TokenRefused { url: url.to_string() }),
        status => Err(attempt(&format!("HTTP status {status}"))),
    }
}
