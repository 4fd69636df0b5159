//! End-to-end tests over real sockets: lists are applied, endpoints announce themselves, and what is written through
//! one entry instance is read through another.

use {
    cumincart_fleet::{Deployment, Fleet, FleetOptions, HttpClient, Reply, Response},
    cumincart_protocol::{refusal::RefusalCode, request::Value, verdict::Verdict},
    cumincart_runtime::logging,
    std::time::Duration,
    tokio::time::sleep,
};

const SERVICE: &str = "pbx-organisations-1";
const KEY: &str = "example-only-trakia-taxi-2026";

async fn fleet(controls: usize) -> Fleet {
    let options = FleetOptions { controls, entries_per_domain: 1, ..FleetOptions::new(logging::discard()) };
    Fleet::spawn(Deployment::telvara(), options).await.expect("the fleet starts")
}

/// Calls a route. Repeats the call while the instance has no token of the organisation's quota.
async fn call(caller: &mut HttpClient, url: &str, route: &str, arguments: &[(&str, Value)]) -> Response {
    for _ in 0..1_000 {
        let answered = caller.call(url, SERVICE, route, arguments).await;
        match answered.refusal() {
            Some(refusal) if refusal.code == RefusalCode::OverRate => {
                assert_eq!(refusal.verdict, Verdict::NotRun);
                sleep(Duration::from_millis(refusal.retry_after_ms.unwrap_or(1))).await;
            }
            _ => return answered,
        }
    }
    panic!("the call was over its rate 1000 times");
}

fn text(value: &str) -> Value {
    Value::Text(value.into())
}

fn first_cell(answered: &Response) -> Option<&Value> {
    answered.rows()?.rows.first()?.first()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_session_reads_its_write_through_another_instance() {
    let fleet = fleet(1).await;
    let mut caller = HttpClient::new(Some(KEY));
    for round in 0..20 {
        let target = format!("desk-{round}");
        let write = fleet.entries[round % 3].url();
        let read = fleet.entries[(round + 1) % 3].url();
        let arguments = [("number", text("+359-1")), ("target", text(&target))];
        let written = call(&mut caller, &write, "save-rule", &arguments).await;
        assert_eq!(written.rows().map(|rows| rows.affected), Some(1), "{written:?}");
        let answered = call(&mut caller, &read, "call-setup", &[("number", text("+359-1"))]).await;
        assert_eq!(first_cell(&answered), Some(&text(&target)), "{answered:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keys_never_reach_an_endpoint_and_a_wrong_key_is_refused() {
    let fleet = fleet(1).await;
    let url = fleet.entries[0].url();
    let arguments = [("number", text("+359-1")), ("target", text("desk"))];
    let mut caller = HttpClient::new(Some(KEY));
    let written = call(&mut caller, &url, "save-rule", &arguments).await;
    assert!(written.rows().is_some(), "{written:?}");
    let mut unknown_caller = HttpClient::new(Some("not-a-key"));
    let refused = unknown_caller.call(&url, SERVICE, "save-rule", &arguments).await;
    let refusal = refused.refusal().expect("a wrong key is refused");
    assert_eq!((refusal.code, refusal.verdict), (RefusalCode::KeyRefused, Verdict::NotRun));
    for database in fleet.group(SERVICE).databases() {
        let received = database.received();
        assert!(received.is_complete(), "the recording of received bytes is complete");
        assert!(!received.contains(KEY.as_bytes()), "{} received the key", database.endpoint());
        assert!(!received.contains(b"not-a-key"), "{} received a wrong key", database.endpoint());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn only_open_routes_accept_requests_without_a_key() {
    let fleet = fleet(1).await;
    let url = fleet.entries[1].url();
    let mut caller = HttpClient::new(None);
    let open = caller.call(&url, SERVICE, "emergency-number", &[("region", text("plovdiv"))]).await;
    assert!(matches!(open.reply, Reply::Rows(_)), "{open:?}");
    let keyed = caller.call(&url, SERVICE, "extension", &[("extension", text("12"))]).await;
    assert_eq!(keyed.refusal().map(|refusal| refusal.code), Some(RefusalCode::KeyRefused), "{keyed:?}");
}
