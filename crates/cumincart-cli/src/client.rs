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
const ROUND_PAUSE: Duration = Duration::from_millis(200);

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
    fn at(&self, path: &str) -> Url {
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
enum Failure {
    /// It was not served; another control instance may serve it.
    NotServed(String),
    /// It was sent, and what became of it is not known.
    Lost(String),
    /// It can't be served anywhere.
    Final(CliError),
}

/// What is asked.
enum Ask<'a> {
    Get(&'static str),
    Change(&'a Change),
}

impl ControlClient {
    /// A client; each request is tried for at most `timeout`.
    pub fn open(urls: Vec<ControlUrl>, token: String, timeout: Duration) -> Result<Self, CliError> {
        Ok(Self { http: http_client()?, urls, token, timeout })
    }

    /// The state of the system as a quorum confirmed it.
    pub async fn status(&self) -> Result<StatusBody, CliError> {
        self.ask(&Ask::Get("/v1/status")).await
    }

    /// The lists in force, with their revision.
    pub async fn lists(&self) -> Result<ListsBody, CliError> {
        self.ask(&Ask::Get("/v1/lists")).await
    }

    /// Asks for a change. Every attempt carries the change's id.
    pub async fn change(&self, change: &Change) -> Result<Outcome, CliError> {
        self.ask(&Ask::Change(change)).await
    }

    /// Asks one control instance after another until one answers or the time is over.
    async fn ask<T: DeserializeOwned>(&self, ask: &Ask<'_>) -> Result<T, CliError> {
        let until = Instant::now() + self.timeout;
        // Once a change may have run, no later refusal can say that it did not.
        let mut may_have_run = false;
        loop {
            let mut attempts = Vec::with_capacity(self.urls.len());
            for url in &self.urls {
                let reason = match self.attempt(url, ask, until).await {
                    Ok(answer) => return Ok(answer),
                    Err(Failure::Final(error)) if may_have_run => error.to_string(),
                    Err(Failure::Final(error)) => return Err(error),
                    Err(Failure::NotServed(reason)) => reason,
                    Err(Failure::Lost(reason)) => {
                        may_have_run = matches!(ask, Ask::Change(_));
                        reason
                    }
                };
                attempts.push(Attempt { url: url.to_string(), reason });
            }
            if Instant::now() + ROUND_PAUSE >= until {
                return Err(no_answer(ask, may_have_run, attempts));
            }
            sleep(ROUND_PAUSE).await;
        }
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        url: &ControlUrl,
        ask: &Ask<'_>,
        until: Instant,
    ) -> Result<T, Failure> {
        let request = match ask {
            Ask::Get(path) => self.http.get(url.at(path)),
            Ask::Change(change) => self.http.post(url.at("/v1/changes")).json(change),
        };
        let left = until.saturating_duration_since(Instant::now()).max(ROUND_PAUSE);
        let answer = request.bearer_auth(&self.token).timeout(left.min(ATTEMPT_TIMEOUT)).send().await;
        match answer {
            Ok(response) => read_answer(url, ask, response).await,
            Err(error) if error.is_connect() => Err(Failure::NotServed("no connection".to_owned())),
            Err(_) => Err(Failure::Lost("the answer was lost".to_owned())),
        }
    }
}

/// An HTTP client that goes straight to the instances, whatever proxy the environment names.
fn http_client() -> Result<Client, CliError> {
    let built = Client::builder().no_proxy().build();
    built
        .map_err(|error| CliError::BadAnswer { url: "the HTTP client".to_owned(), reason: error.to_string() })
}

async fn read_answer<T: DeserializeOwned>(
    url: &ControlUrl,
    ask: &Ask<'_>,
    response: Response,
) -> Result<T, Failure> {
    let status = response.status();
    let Ok(body) = response.bytes().await else {
        return Err(Failure::Lost("the answer was cut off".to_owned()));
    };
    let bad = |reason: String| Failure::Final(CliError::BadAnswer { url: url.to_string(), reason });
    match status {
        // A conflict answers 409 with an outcome, like an accepted change.
        StatusCode::OK | StatusCode::CONFLICT => serde_json::from_slice(&body).map_err(|error| match ask {
            Ask::Get(_) => bad(error.to_string()),
            Ask::Change(_) => Failure::Lost(format!("the answer can't be read: {error}")),
        }),
        StatusCode::UNAUTHORIZED => Err(Failure::Final(CliError::TokenRefused { url: url.to_string() })),
        status => match serde_json::from_slice::<OperatorRefusal>(&body) {
            Ok(refusal) => Err(refused(url, &refusal)),
            Err(_) if status.is_server_error() => Err(Failure::Lost(format!("status {status}"))),
            Err(_) => Err(bad(format!("status {status}"))),
        },
    }
}

fn refused(url: &ControlUrl, refusal: &OperatorRefusal) -> Failure {
    let said = refusal.message.as_deref();
    match refusal.code {
        OperatorRefusalCode::NotLeader => {
            let leader = refusal.leader.as_ref().map(|leader| format!("; the leader is {}", leader.instance));
            Failure::NotServed(format!("it does not lead{}", leader.unwrap_or_default()))
        }
        OperatorRefusalCode::NoQuorum => Failure::NotServed("no quorum answers it".to_owned()),
        OperatorRefusalCode::Unknown => Failure::Lost("it lost its leadership meanwhile".to_owned()),
        OperatorRefusalCode::TokenRefused => Failure::Final(CliError::TokenRefused { url: url.to_string() }),
        OperatorRefusalCode::BadRequest => Failure::Final(CliError::BadAnswer {
            url: url.to_string(),
            reason: said.unwrap_or("the request was refused as malformed").to_owned(),
        }),
    }
}

fn no_answer(ask: &Ask<'_>, may_have_run: bool, attempts: Vec<Attempt>) -> CliError {
    match ask {
        Ask::Change(change) if may_have_run => {
            CliError::Unknown { change_id: change.id.0.to_string(), attempts }
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
    let request = http_client()?.get(url.at(path)).bearer_auth(token).timeout(timeout);
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
