//! The fleet that the checks run in, and the calls that they share.

use {
    super::InjectedFault,
    cumincart_fleet::{Answered, Caller, Fleet, caller::CallOptions},
    cumincart_protocol::{refusal::RefusalCode, request::Value},
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// The service that the checks use where nothing else is said.
pub(super) const SERVICE: &str = "pbx-organisations-1";

/// A key of a large organisation; its digest is in the example list.
pub(super) const KEY: &str = "example-only-trakia-taxi-2026";

/// The longest that a call is repeated for while it is refused as not run.
const RETRY_TIMEOUT: Duration = Duration::from_secs(15);

const RETRY_DELAY: Duration = Duration::from_millis(5);

/// The fleet and what is broken in it on purpose.
#[derive(Debug)]
pub(super) struct CheckContext {
    pub(super) fleet: Fleet,
    pub(super) injected_fault: Option<InjectedFault>,
}

impl CheckContext {
    /// The base URL of an entry instance; numbers beyond the last begin again.
    pub(super) fn url(&self, number: usize) -> String {
        self.fleet.entries[number % self.fleet.entries.len()].url()
    }

    /// Whether this promise is broken on purpose.
    pub(super) fn injects(&self, fault: InjectedFault) -> bool {
        self.injected_fault == Some(fault)
    }
}

/// Saves where an extension rings; the route is repeatable.
pub(super) async fn save_extension(client: &mut Caller, url: &str, desk_phone: &str) -> Answered {
    let arguments = [("extension", text("12")), ("desk_phone", text(desk_phone))];
    call_with_retry(client, url, SERVICE, "save-extension", &arguments).await
}

/// Reads where an extension rings; the route accepts data of a few seconds ago, so replicas serve it.
pub(super) async fn read_extension(client: &mut Caller, url: &str) -> Answered {
    call_with_retry(client, url, SERVICE, "extension", &[("extension", text("12"))]).await
}

/// Saves a routing rule; the route is repeatable.
pub(super) async fn save_rule(client: &mut Caller, url: &str, service: &str, target: &str) -> Answered {
    let arguments = [("number", text("100")), ("target", text(target))];
    call_with_retry(client, url, service, "save-rule", &arguments).await
}

/// Reads a routing rule.
pub(super) async fn read_rule(client: &mut Caller, url: &str, service: &str) -> Answered {
    call_with_retry(client, url, service, "call-setup", &[("number", text("100"))]).await
}

/// Writes a call record under a request id; the route is not repeatable, and a resend carries the same id.
pub(super) async fn write_record(client: &mut Caller, url: &str, service: &str, id: &str) -> Answered {
    let arguments = [("call_id", text(id)), ("duration_s", Value::Int(60))];
    let options = CallOptions { request_id: Some(id), ..CallOptions::default() };
    client.call_with(url, service, "call-record", &arguments, options).await
}

/// Calls again while the call is refused for want of a token or an endpoint, as a client would.
async fn call_with_retry(
    client: &mut Caller,
    url: &str,
    service: &str,
    route: &str,
    arguments: &[(&str, Value)],
) -> Answered {
    let started_at = Instant::now();
    loop {
        let response = client.call(url, service, route, arguments).await;
        if !is_retryable(&response) || started_at.elapsed() > RETRY_TIMEOUT {
            return response;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Whether the same call may succeed a little later. Only repeatable routes and reads are repeated here, so the
/// verdict does not matter.
fn is_retryable(response: &Answered) -> bool {
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

/// A text value.
pub(super) fn text(value: &str) -> Value {
    Value::Text(value.into())
}
