//! A client of the HTTP interface that keeps its session token.

use {
    cumincart_protocol::{
        refusal::Refusal,
        request::{Rows, Value},
    },
    serde_json::{Map, json},
    std::sync::Arc,
};

/// An HTTP client with an optional key and a session token.
#[derive(Debug, Clone)]
pub struct HttpClient {
    http: reqwest::Client,
    key: Option<Arc<str>>,
    session: Option<String>,
}

/// The response to a request. The client has stored its session token.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// The HTTP status, or 0 if no response arrived.
    pub status: u16,
    /// The answer, the refusal or the failure.
    pub reply: Reply,
    /// Whether a replica served the request.
    pub from_replica: bool,
    /// The token of the transaction, if the request began one.
    pub transaction: Option<String>,
}

/// The content of a response.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The rows of an answer.
    Rows(Rows),
    /// A refusal.
    Refused(Refusal),
    /// The connection failed, or the body could not be decoded.
    Failed(String),
}

/// The options of a call.
#[derive(Debug, Clone, Default)]
pub struct CallOptions<'a> {
    /// The request id of a request that is not repeatable.
    pub request_id: Option<&'a str>,
    /// The token of the transaction that the call belongs to.
    pub transaction: Option<&'a str>,
    /// The time that the client waits for a response, in milliseconds.
    pub deadline_ms: Option<u64>,
}

impl HttpClient {
    /// Creates a client with or without a key.
    pub fn new(key: Option<&str>) -> Self {
        Self { http: reqwest::Client::new(), key: key.map(Arc::from), session: None }
    }

    /// Returns the session token that the next request carries.
    pub fn session(&self) -> Option<&str> {
        self.session.as_deref()
    }

    /// Discards the session token.
    pub fn clear_session(&mut self) {
        self.session = None;
    }

    /// Calls a route with named arguments.
    pub async fn call(
        &mut self,
        url: &str,
        service: &str,
        route: &str,
        arguments: &[(&str, Value)],
    ) -> Response {
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
    ) -> Response {
        let arguments: Map<_, _> =
            arguments.iter().map(|(name, value)| ((*name).to_owned(), json!(value))).collect();
        let path = format!("{url}/v1/{service}/{route}");
        self.post(&path, json!({ "arguments": arguments }), &options).await
    }

    /// Begins a transaction.
    pub async fn begin(&mut self, url: &str, service: &str, route: &str) -> Response {
        let path = format!("{url}/v1/{service}/{route}/begin");
        self.post(&path, json!({}), &CallOptions::default()).await
    }

    /// Commits or rolls back a transaction. `action` is `commit` or `rollback`.
    pub async fn end(&mut self, url: &str, transaction: &str, action: &str) -> Response {
        let options = CallOptions { transaction: Some(transaction), ..CallOptions::default() };
        self.post(&format!("{url}/v1/transactions/{action}"), json!({}), &options).await
    }

    async fn post(&mut self, path: &str, body: serde_json::Value, options: &CallOptions<'_>) -> Response {
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
            Ok(response) => self.read_response(response).await,
            Err(error) => Response {
                status: 0,
                reply: Reply::Failed(format_error(error)),
                from_replica: false,
                transaction: None,
            },
        }
    }

    async fn read_response(&mut self, response: reqwest::Response) -> Response {
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
            Err(error) => Reply::Failed(format_error(error)),
            Ok(body) if status.is_success() => decode_body(&body, Reply::Rows),
            Ok(body) => decode_body(&body, Reply::Refused),
        };
        Response { status: status.as_u16(), reply, from_replica, transaction }
    }
}

/// Formats an error and its causes without the URL, so that equal failures have equal texts.
fn format_error(error: reqwest::Error) -> String {
    let error = error.without_url();
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(&error);
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}

fn decode_body<T: serde::de::DeserializeOwned>(body: &[u8], to_reply: impl FnOnce(T) -> Reply) -> Reply {
    match serde_json::from_slice(body) {
        Ok(value) => to_reply(value),
        Err(error) => Reply::Failed(error.to_string()),
    }
}

impl Response {
    /// Returns the rows, if the request was answered.
    pub fn rows(&self) -> Option<&Rows> {
        match &self.reply {
            Reply::Rows(rows) => Some(rows),
            Reply::Refused(_) | Reply::Failed(_) => None,
        }
    }

    /// Returns the refusal, if the request was refused.
    pub fn refusal(&self) -> Option<&Refusal> {
        match &self.reply {
            Reply::Refused(refusal) => Some(refusal),
            Reply::Rows(_) | Reply::Failed(_) => None,
        }
    }
}
