//! A caller of the HTTP interface that keeps its session.

use {
    cumincart_protocol::{
        refusal::Refusal,
        request::{Rows, Value},
    },
    serde_json::{Map, json},
    std::sync::Arc,
};

/// A caller with a key and a session.
#[derive(Debug, Clone)]
pub struct Caller {
    http: reqwest::Client,
    key: Option<Arc<str>>,
    session: Option<String>,
}

/// What came back, with the session's headers taken in.
#[derive(Debug, Clone, PartialEq)]
pub struct Answered {
    /// The HTTP status.
    pub status: u16,
    /// The answer or the refusal.
    pub reply: Reply,
    /// Whether a replica served it.
    pub from_replica: bool,
    /// The transaction's token, where one began.
    pub transaction: Option<String>,
}

/// An answer, a refusal or neither.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The rows.
    Rows(Rows),
    /// The refusal.
    Refused(Refusal),
    /// The connection failed, or the body is neither.
    Broken(String),
}

/// One call.
#[derive(Debug, Clone, Default)]
pub struct CallOptions<'a> {
    /// The id of a request that may not be repeated.
    pub request_id: Option<&'a str>,
    /// The transaction that it belongs to.
    pub transaction: Option<&'a str>,
    /// The caller's deadline.
    pub deadline_ms: Option<u64>,
}

impl Caller {
    /// A caller with this key, or without one.
    pub fn new(key: Option<&str>) -> Self {
        Self { http: reqwest::Client::new(), key: key.map(Arc::from), session: None }
    }

    /// The session token that the caller would send next.
    pub fn session(&self) -> Option<&str> {
        self.session.as_deref()
    }

    /// Forgets the session.
    pub fn forget_session(&mut self) {
        self.session = None;
    }

    /// Calls a route with named arguments.
    pub async fn call(
        &mut self,
        url: &str,
        service: &str,
        route: &str,
        arguments: &[(&str, Value)],
    ) -> Answered {
        self.call_with(url, service, route, arguments, CallOptions::default()).await
    }

    /// Calls a route with named arguments and options.
    pub async fn call_with(
        &mut self,
        url: &str,
        service: &str,
        route: &str,
        arguments: &[(&str, Value)],
        options: CallOptions<'_>,
    ) -> Answered {
        let arguments: Map<_, _> =
            arguments.iter().map(|(name, value)| ((*name).to_owned(), json!(value))).collect();
        let path = format!("{url}/v1/{service}/{route}");
        self.post(&path, json!({ "arguments": arguments }), &options).await
    }

    /// Begins a transaction.
    pub async fn begin(&mut self, url: &str, service: &str, route: &str) -> Answered {
        let path = format!("{url}/v1/{service}/{route}/begin");
        self.post(&path, json!({}), &CallOptions::default()).await
    }

    /// Commits or rolls back; `end` is the last part of the path.
    pub async fn end(&mut self, url: &str, transaction: &str, end: &str) -> Answered {
        let options = CallOptions { transaction: Some(transaction), ..CallOptions::default() };
        self.post(&format!("{url}/v1/transactions/{end}"), json!({}), &options).await
    }

    async fn post(&mut self, path: &str, body: serde_json::Value, options: &CallOptions<'_>) -> Answered {
        let mut request = self.http.post(path).json(&body);
        if let Some(key) = &self.key {
            request = request.bearer_auth(key);
        }
        if let Some(session) = &self.session {
            request = request.header("Cumincart-Session", session);
        }
        if let Some(id) = options.request_id {
            request = request.header("Cumincart-Request-Id", id);
        }
        if let Some(transaction) = options.transaction {
            request = request.header("Cumincart-Transaction", transaction);
        }
        if let Some(deadline_ms) = options.deadline_ms {
            request = request.header("Cumincart-Deadline-Ms", deadline_ms.to_string());
        }
        match request.send().await {
            Ok(response) => self.read(response).await,
            Err(error) => Answered {
                status: 0,
                reply: Reply::Broken(describe(error)),
                from_replica: false,
                transaction: None,
            },
        }
    }

    async fn read(&mut self, response: reqwest::Response) -> Answered {
        let status = response.status();
        let header = |name: &str| {
            response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        if let Some(session) = header("Cumincart-Session") {
            self.session = Some(session);
        }
        let from_replica = header("Cumincart-Served-By").as_deref() == Some("replica");
        let transaction = header("Cumincart-Transaction");
        let reply = match response.bytes().await {
            Err(error) => Reply::Broken(describe(error)),
            Ok(body) if status.is_success() => read_body(&body, Reply::Rows),
            Ok(body) => read_body(&body, Reply::Refused),
        };
        Answered { status: status.as_u16(), reply, from_replica, transaction }
    }
}

/// The error and its causes, without the address, so that equal failures read alike.
fn describe(error: reqwest::Error) -> String {
    let error = error.without_url();
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(&error);
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}

fn read_body<T: serde::de::DeserializeOwned>(body: &[u8], make: impl FnOnce(T) -> Reply) -> Reply {
    match serde_json::from_slice(body) {
        Ok(value) => make(value),
        Err(error) => Reply::Broken(error.to_string()),
    }
}

impl Answered {
    /// The rows, where it was answered.
    pub fn rows(&self) -> Option<&Rows> {
        match &self.reply {
            Reply::Rows(rows) => Some(rows),
            Reply::Refused(_) | Reply::Broken(_) => None,
        }
    }

    /// The refusal, where it was refused.
    pub fn refusal(&self) -> Option<&Refusal> {
        match &self.reply {
            Reply::Refused(refusal) => Some(refusal),
            Reply::Rows(_) | Reply::Broken(_) => None,
        }
    }
}
