//! A caller of the system's HTTP interface.

use {
    crate::summary::Outcome,
    cumincart_protocol::{refusal::Refusal, request::Rows},
    serde::Serialize,
    serde_json::{Map, Value},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

const SESSION_HEADER: &str = "Cumincart-Session";
const REQUEST_ID_HEADER: &str = "Cumincart-Request-Id";
const SERVED_BY_HEADER: &str = "Cumincart-Served-By";

/// How long a caller waits at most; longer than any route's deadline.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// A call of one route.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Call {
    /// The service.
    pub service: Arc<str>,
    /// The route.
    pub route: Arc<str>,
    /// The named arguments.
    pub arguments: Map<String, Value>,
    /// The id of a request that may not be repeated.
    pub request_id: Option<String>,
}

#[derive(Serialize)]
struct Body<'a> {
    arguments: &'a Map<String, Value>,
}

/// One organisation's session: its key and the newest session token. Clones share the token.
#[derive(Debug, Clone)]
pub struct Caller {
    client: reqwest::Client,
    key: Option<Arc<str>>,
    token: Arc<Mutex<Option<String>>>,
}

impl Caller {
    /// A session that has seen nothing yet.
    pub fn new(client: reqwest::Client, key: Option<Arc<str>>) -> Self {
        Self { client, key, token: Arc::default() }
    }

    /// Calls a route through the entry instance at this base URL.
    pub async fn call(&self, entry: &str, call: &Call) -> Outcome {
        self.call_for_rows(entry, call).await.0
    }

    /// Calls a route and gives the rows of an answer too.
    pub async fn call_for_rows(&self, entry: &str, call: &Call) -> (Outcome, Option<Rows>) {
        match self.send(entry, call).await {
            Ok(Reply::Answer { rows, from_replica }) => (Outcome::Answered { from_replica }, Some(rows)),
            Ok(Reply::Refusal(refusal)) => (Outcome::Refused(refusal), None),
            Err(_) => (Outcome::Failed, None),
        }
    }

    async fn send(&self, entry: &str, call: &Call) -> Result<Reply, reqwest::Error> {
        let url = format!("{entry}/v1/{}/{}", call.service, call.route);
        let mut request =
            self.client.post(url).timeout(ANSWER_TIMEOUT).json(&Body { arguments: &call.arguments });
        if let Some(key) = &self.key {
            request = request.bearer_auth(key);
        }
        if let Some(id) = &call.request_id {
            request = request.header(REQUEST_ID_HEADER, id);
        }
        if let Some(token) = self.token() {
            request = request.header(SESSION_HEADER, token);
        }
        let response = request.send().await?;
        if !response.status().is_success() {
            return Ok(Reply::Refusal(response.json().await?));
        }
        let header = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
        let from_replica = header(SERVED_BY_HEADER) == Some("replica");
        let token = header(SESSION_HEADER).map(str::to_owned);
        let rows = response.json().await?;
        if token.is_some() {
            *self.token.lock().expect("nothing panics under this lock") = token;
        }
        Ok(Reply::Answer { rows, from_replica })
    }

    fn token(&self) -> Option<String> {
        self.token.lock().expect("nothing panics under this lock").clone()
    }
}

enum Reply {
    Answer { rows: Rows, from_replica: bool },
    Refusal(Refusal),
}
