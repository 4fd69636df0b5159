//! The fleet that the checks run on, and the calls that they share.

use {
    super::InjectedFault,
    cumincart_fleet::{Fleet, HttpClient, Response, client::CallOptions},
    cumincart_protocol::{refusal::RefusalCode, request::Value},
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// The service that most checks use.
pub(super) const SERVICE: &str = "pbx-organisations-1";

/// A key of an organisation on a large plan. Its digest is in the example list.
pub(super) const KEY: &str = "example-only-trakia-taxi-2026";

/// How long a refused call is retried.
const RETRY_TIMEOUT: Duration = Duration::from_secs(15);

const RETRY_DELAY: Duration = Duration::from_millis(5);

/// The fleet, and the fault that is injected into it.
#[derive(Debug)]
pub(super) struct CheckContext {
    pub(super) fleet: Fleet,
    pub(super) injected_fault: Option<InjectedFault>,
}

impl CheckContext {
    /// Returns the base URL of an entry instance. The number is taken modulo the number of entry instances.
    pub(super) fn url(&self, number: usize) -> String {
        self.fleet.entries[number % self.fleet.entries.len()].url()
    }

    /// Returns whether this fault is to be injected.
    pub(super) fn injects(&self, fault: InjectedFault) -> bool {
        self.injected_fault == Some(fault)
    }
}

/// Saves the desk phone of an extension. The route is repeatable.
pub(super) async fn save_extension(client: &mut HttpClient, url: &str, desk_phone: &str) -> Response {
    let arguments = [("extension", text("12")), ("desk_phone", text(desk_phone))];
    call_with_retry(client, url, SERVICE, "save-extension", &arguments).await
}

/// Reads the desk phone of an extension. The route accepts data that is a few seconds old, so replicas can serve it.
pub(super) async fn read_extension(client: &mut HttpClient, url: &str) -> Response {
    call_with_retry(client, url, SERVICE, "extension", &[("extension", text("12"))]).await
}

/// Saves a routing rule. The route is repeatable.
pub(super) async fn save_rule(client: &mut HttpClient, url: &str, service: &str, target: &str) -> Response {
    let arguments = [("number", text("100")), ("target", text(target))];
    call_with_retry(client, url, service, "save-rule", &arguments).await
}

/// Reads a routing rule.
pub(super) async fn read_rule(client: &mut HttpClient, url: &str, service: &str) -> Response {
    call_with_retry(client, url, service, "call-setup", &[("number", text("100"))]).await
}

/// Writes a call record under a request id. The route is not repeatable, so a retry must carry the same request id.
pub(super) async fn write_record(client: &mut HttpClient, url: &str, service: &str, id: &str) -> Response {
    let arguments = [("call_id", text(id)), ("duration_s", Value::Int(60))];
    let options = CallOptions { request_id: Some(id), ..CallOptions::default() };
    client.call_with(url, service, "call-record", &arguments, options).await
}

/// Retries a call that failed temporarily, for example because no rate token or endpoint was available, as a client
/// would.
async fn call_with_retry(
    client: &mut HttpClient,
    url: &str,
    service: &str,
    route: &str,
    arguments: &[(&str, Value)],
) -> Response {
    let started_at = Instant::now();
    loop {
        let response = client.call(url, service, route, arguments).await;
        if !is_retryable(&response) || started_at.elapsed() > RETRY_TIMEOUT {
            return response;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Returns whether the same call may succeed later. Only reads and writes on repeatable routes are retried, so the
/// verdict does not matter.
fn is_retryable(response: &Response) -> bool {
    let Some(refusal) = response.refusal() else { return response.rows().is_none() };
    !matches!(
        refusal.code,
        RefusalCode::BadRequest
            | RefusalCode::BadSession
            | RefusalCode::KeyRefused
            | RefusalCode::RouteForbidden
            | RefusalCode::RouteUnknown
            | RefusalCode::StatementFailed
            | RefusalCode::WriteLost
    )
}

/// Returns a text value.
pub(super) fn text(value: &str) -> Value {
    Value::Text(value.into())
}
