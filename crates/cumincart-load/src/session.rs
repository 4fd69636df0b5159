//! Sessions that concurrent requests share.

use {
    crate::summary::Outcome,
    cumincart_fleet::{HttpClient, Reply, Response, client::CallOptions},
    cumincart_protocol::request::Value,
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
};

/// Timeout of a call; longer than the deadline of any route.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// A call of one route.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The name of the service.
    pub service: Arc<str>,
    /// The name of the route.
    pub route: Arc<str>,
    /// The named arguments.
    pub arguments: Vec<(String, Value)>,
    /// The request id, for a request that must not be executed twice.
    pub request_id: Option<String>,
}

/// A client session, shared by its clones. A request carries the newest session token known when it is sent.
#[derive(Debug, Clone)]
pub struct Session {
    caller: Arc<Mutex<HttpClient>>,
}

impl Session {
    /// Creates a session without a session token.
    pub fn new(key: Option<&str>) -> Self {
        Self { caller: Arc::new(Mutex::new(HttpClient::new(key))) }
    }

    /// Calls a route through the entry instance at this base URL.
    pub async fn call(&self, entry: &str, call: &Call) -> Outcome {
        let mut caller = self.lock().clone();
        let options = CallOptions { request_id: call.request_id.as_deref(), ..CallOptions::default() };
        let arguments: Vec<_> =
            call.arguments.iter().map(|(name, value)| (name.as_str(), value.clone())).collect();
        let response = caller.call_with(entry, &call.service, &call.route, &arguments, options);
        let Ok(answered) = tokio::time::timeout(ANSWER_TIMEOUT, response).await else {
            return Outcome::Failed("no response within the client's timeout".into());
        };
        let renewed = answered.refusal().is_some_and(|refusal| refusal.session.is_some());
        if answered.rows().is_some() || renewed {
            *self.lock() = caller;
        }
        outcome(answered)
    }

    fn lock(&self) -> MutexGuard<'_, HttpClient> {
        self.caller.lock().expect("nothing panics under this lock")
    }
}

fn outcome(answered: Response) -> Outcome {
    match answered.reply {
        Reply::Rows(_) => Outcome::Answered { from_replica: answered.from_replica },
        Reply::Refused(refusal) => Outcome::Refused(refusal),
        Reply::Failed(reason) => Outcome::Failed(reason.into()),
    }
}
