//! The client of the control instances' HTTP interface.
//!
//! A request goes to one control instance after another until one serves it. A change keeps its id on every attempt,
//! so that it takes effect once at most, however many answers are lost.

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

/// Time between two rounds over the control instances.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The longest wait for one control instance's answer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);

/// The HTTP address of an instance, as `http://ip:port`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlUrl(Url);

impl ControlUrl {
    /// Checks an address; `http://` may be left out.
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

    /// The address of a path at this instance.
    fn join(&self, path: &str) -> Url {
        let mut url = self.0.clone();
        url.set_path(path);
        url
    }
}

impl std::fmt::Display for ControlUrl {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0.as_str().trim_end_matches('/'))
    }
}

/// A client that knows some control instances.
#[derive(Debug, Clone)]
pub struct ControlClient {
    http: Client,
    urls: Vec<ControlUrl>,
    token: String,
    timeout: Duration,
}

/// How one attempt ended without an answer to the request.
enum AttemptError {
    /// It was not served; another control instance may serve it.
    NotServed(String),
    /// It was sent, and what became of it is not known.
    OutcomeUnknown(String),
    /// It can't be served anywhere.
    Final(CliError),
}

/// What is asked.
enum ApiRequest<'a> {
    Get(&'static str),
    Change(&'a Change),
}

impl ControlClient {
    /// A client; each request is tried for at most `timeout`.
    pub fn new(urls: Vec<ControlUrl>, token: String, timeout: Duration) -> Result<Self, CliError> {
        Ok(Self { http: http_client()?, urls, token, timeout })
    }

    /// The state of the system as a quorum confirmed it.
    pub async fn status(&self) -> Result<StatusBody, CliError> {
        self.send_request(&ApiRequest::Get("/v1/status")).await
    }

    /// The lists in force, with their revision.
    pub async fn lists(&self) -> Result<ListsBody, CliError> {
        self.send_request(&ApiRequest::Get("/v1/lists")).await
    }

    /// Asks for a change. Every attempt carries the change's id.
    pub async fn submit_change(&self, change: &Change) -> Result<Outcome, CliError> {
        self.send_request(&ApiRequest::Change(change)).await
    }

    /// Asks one control instance after another until one answers or the time is over.
    async fn send_request<T: DeserializeOwned>(&self, request: &ApiRequest<'_>) -> Result<T, CliError> {
        let deadline = Instant::now() + self.timeout;
        // Once a change may have run, no later refusal can say that it did not.
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
        url: &ControlUrl,
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
            Err(error) if error.is_connect() => Err(AttemptError::NotServed("no connection".to_owned())),
            Err(_) => Err(AttemptError::OutcomeUnknown("the answer was lost".to_owned())),
        }
    }
}

/// An HTTP client that goes straight to the instances, whatever proxy the environment names.
fn http_client() -> Result<Client, CliError> {
    let built = Client::builder().no_proxy().build();
    built
        .map_err(|error| CliError::BadAnswer { url: "the HTTP client".to_owned(), reason: error.to_string() })
}

async fn read_response<T: DeserializeOwned>(
    url: &ControlUrl,
    request: &ApiRequest<'_>,
    response: Response,
) -> Result<T, AttemptError> {
    let status = response.status();
    let Ok(body) = response.bytes().await else {
        return Err(AttemptError::OutcomeUnknown("the answer was cut off".to_owned()));
    };
    let bad_response =
        |reason: String| AttemptError::Final(CliError::BadAnswer { url: url.to_string(), reason });
    match status {
        // A conflict answers 409 with an outcome, like an accepted change.
        StatusCode::OK | StatusCode::CONFLICT => {
            serde_json::from_slice(&body).map_err(|error| match request {
                ApiRequest::Get(_) => bad_response(error.to_string()),
                ApiRequest::Change(_) => {
                    AttemptError::OutcomeUnknown(format!("the answer can't be read: {error}"))
                }
            })
        }
        StatusCode::UNAUTHORIZED => Err(AttemptError::Final(CliError::TokenRefused { url: url.to_string() })),
        status => match serde_json::from_slice::<OperatorRefusal>(&body) {
            Ok(refusal) => Err(refused(url, &refusal)),
            Err(_) if status.is_server_error() => {
                Err(AttemptError::OutcomeUnknown(format!("status {status}")))
            }
            Err(_) => Err(bad_response(format!("status {status}"))),
        },
    }
}

fn refused(url: &ControlUrl, refusal: &OperatorRefusal) -> AttemptError {
    let message = refusal.message.as_deref();
    match refusal.code {
        OperatorRefusalCode::NotLeader => {
            let leader = refusal.leader.as_ref().map(|leader| format!("; the leader is {}", leader.instance));
            AttemptError::NotServed(format!("it does not lead{}", leader.unwrap_or_default()))
        }
        OperatorRefusalCode::NoQuorum => AttemptError::NotServed("no quorum answers it".to_owned()),
        OperatorRefusalCode::Unknown => {
            AttemptError::OutcomeUnknown("it lost its leadership meanwhile".to_owned())
        }
        OperatorRefusalCode::TokenRefused => {
            AttemptError::Final(CliError::TokenRefused { url: url.to_string() })
        }
        OperatorRefusalCode::BadRequest => AttemptError::Final(CliError::BadAnswer {
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

/// One process's dump, or why there is none.
pub async fn dump(
    url: &ControlUrl,
    path: &str,
    token: &str,
    timeout: Duration,
) -> Result<serde_json::Value, CliError> {
    let request = http_client()?.get(url.join(path)).bearer_auth(token).timeout(timeout);
    let attempt = |reason: &str| CliError::Unreachable {
        attempts: vec![Attempt { url: url.to_string(), reason: reason.to_owned() }],
    };
    let response = request.send().await.map_err(|_| attempt("no answer"))?;
    match response.status() {
        StatusCode::OK => response
            .json()
            .await
            .map_err(|error| CliError::BadAnswer { url: url.to_string(), reason: error.to_string() }),
        StatusCode::UNAUTHORIZED => Err(CliError::TokenRefused { url: url.to_string() }),
        status => Err(attempt(&format!("status {status}"))),
    }
}
