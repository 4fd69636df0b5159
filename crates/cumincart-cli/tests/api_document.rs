//! Tests that the OpenAPI document matches the daemons, the types and the documentation page `callers.md`.

use {
    cumincart_fleet::{Deployment, Fleet, FleetOptions},
    cumincart_protocol::{
        number::{LogPosition, Term},
        refusal::{Refusal, RefusalCode},
        session::{SeenPoints, Session, TermPoint},
        verdict::Verdict,
    },
    cumincart_runtime::logging,
    reqwest::Method,
    schemars::schema_for,
    serde_json::{Value, json},
    std::{fs, path::PathBuf},
};

fn read(name: &str) -> String {
    let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "..", "..", "docs", name].iter().collect();
    fs::read_to_string(path).expect("the page exists")
}

fn document() -> Value {
    serde_json::from_str(&read("openapi.json")).expect("the document is JSON")
}

/// An operation of the OpenAPI document.
struct Operation {
    method: String,
    path: String,
    tag: String,
    statuses: Vec<u16>,
}

fn operations() -> Vec<Operation> {
    let document = document();
    let paths = document["paths"].as_object().expect("the paths are an object");
    let mut operations = Vec::new();
    for (path, methods) in paths {
        for (method, operation) in methods.as_object().expect("a path is an object") {
            let Some(responses) = operation["responses"].as_object() else { continue };
            operations.push(Operation {
                method: method.to_uppercase(),
                path: path.clone(),
                tag: operation["tags"][0].as_str().expect("each operation has a tag").to_owned(),
                statuses: responses.keys().map(|status| status.parse().expect("a status")).collect(),
            });
        }
    }
    operations
}

#[test]
fn the_document_and_the_callers_page_list_the_same_requests() {
    let page = read("callers.md");
    let row = |line: &str| Some(line.strip_prefix("| `")?.split_once('`')?.0.to_owned());
    let mut documented: Vec<String> =
        page.lines().filter_map(row).filter(|cell| cell.starts_with("POST ")).collect();
    let mut described: Vec<String> = operations()
        .iter()
        .filter(|operation| operation.tag == "callers")
        .map(|operation| format!("{} {}", operation.method, operation.path))
        .collect();
    documented.sort();
    described.sort();
    assert_eq!(documented, described);
}

#[test]
fn every_refusal_code_is_in_the_document_and_on_the_callers_page() {
    let schema = serde_json::to_value(schema_for!(RefusalCode)).expect("a schema is JSON");
    let variants = schema["oneOf"].as_array().expect("the codes are alternatives");
    let codes: Vec<&str> = variants.iter().filter_map(|variant| variant["const"].as_str()).collect();
    assert_eq!(document()["components"]["schemas"]["RefusalCode"]["enum"], serde_json::json!(codes));
    let page = read("callers.md");
    for code in codes {
        assert!(page.contains(&format!("\n| `{code}` | ")), "{code} is missing from the callers' page");
    }
}

#[test]
fn the_fields_of_a_refusal_in_the_document_match_the_type() {
    let schema = serde_json::to_value(schema_for!(Refusal)).expect("a schema is JSON");
    let fields = |schema: &Value| {
        let properties = schema["properties"].as_object().expect("a refusal has fields");
        let mut names: Vec<String> = properties.keys().cloned().collect();
        names.sort();
        names
    };
    assert_eq!(fields(&document()["components"]["schemas"]["Refusal"]), fields(&schema));
}

/// Sends each request of the document, without key, token and body, to a running daemon. The daemon must serve the path
/// and respond with a status that the document lists.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemons_serve_every_documented_path_with_a_documented_status() {
    let options =
        FleetOptions { controls: 1, entries_per_domain: 1, ..FleetOptions::new(logging::discard()) };
    let fleet = Fleet::spawn(Deployment::telvara(), options).await.expect("the fleet starts");
    let (entry, control) = (fleet.entries[0].url(), fleet.control_urls()[0].to_string());
    for operation in operations() {
        let bases = match operation.tag.as_str() {
            "callers" | "entry operators" => vec![&entry],
            "platform" => vec![&entry, &control],
            _ => vec![&control],
        };
        let path =
            operation.path.replace("{service}", "pbx-organisations-1").replace("{route}", "call-setup");
        for base in bases {
            let method: Method = operation.method.parse().expect("a method");
            let request = reqwest::Client::new().request(method, format!("{base}{path}"));
            let response = request.send().await.expect("the daemon responds");
            let (status, name) = (response.status().as_u16(), format!("{} {path}", operation.method));
            let body = response.text().await.expect("the response is text");
            assert!(operation.statuses.contains(&status), "{name} responded with {status}: {body}");
            assert!(!body.contains("there is nothing at this path"), "{name} is not served: {body}");
        }
    }
}

/// Each body that `callers.md` describes as malformed is refused with status 400, code `bad_request` and verdict
/// `not_run`.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn malformed_bodies_are_refused_as_documented() {
    const PAGE_BODY_LIMIT_BYTES: usize = 256 * 1024;
    let options =
        FleetOptions { controls: 1, entries_per_domain: 1, ..FleetOptions::new(logging::discard()) };
    let fleet = Fleet::spawn(Deployment::telvara(), options).await.expect("the fleet starts");
    let url = format!("{}/v1/pbx-organisations-1/call-setup", fleet.entries[0].url());
    let too_large = format!(r#"{{"arguments": {{"number": "{}"}}}}"#, "1".repeat(PAGE_BODY_LIMIT_BYTES));
    let bodies = [
        "",
        "[]",
        "{",
        r#"{"argument": {}}"#,
        r#"{"arguments": {"number": {"nested": 1}}}"#,
        too_large.as_str(),
    ];
    for body in bodies {
        let request = reqwest::Client::new().post(&url).body(body.to_owned());
        let request = request.bearer_auth("example-only-trakia-taxi-2026");
        let response = request.send().await.expect("the daemon responds");
        let status = response.status().as_u16();
        let refusal: Refusal = response.json().await.expect("the response is a refusal");
        let shown: String = body.chars().take(60).collect();
        assert_eq!(
            (status, refusal.code, refusal.verdict),
            (400, RefusalCode::BadRequest, Verdict::NotRun),
            "{shown}"
        );
    }
}

/// Guards against announcements that make the replicated state too long for the links between instances, and against
/// refusals that repeat a text of any length.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn texts_of_any_length_are_refused_with_a_short_answer() {
    let options =
        FleetOptions { controls: 1, entries_per_domain: 1, ..FleetOptions::new(logging::discard()) };
    let fleet = Fleet::spawn(Deployment::telvara(), options).await.expect("the fleet starts");
    let long = "x".repeat(100_000);
    let announcement = json!({
        "endpoint": long, "service": "pbx-organisations-1", "address": "127.0.0.1:5432", "domain": "sofia-a",
        "role": "replica", "timeline": 1, "position": 1, "slots": 5, "connection_limit": 30
    });
    let call = format!("{}/v1/pbx-organisations-1/call-setup", fleet.entries[0].url());
    let bodies = [
        (format!("{}/announce", fleet.control_urls()[0]), announcement),
        (format!("{}/announce", fleet.control_urls()[0]), json!({ long.as_str(): 1 })),
        (call.clone(), json!({ long.as_str(): 1 })),
        (call, json!({ "arguments": { long.as_str(): [] } })),
        (format!("{}/v1/pbx-organisations-1/{}", fleet.entries[0].url(), &long[..20_000]), json!({})),
    ];
    for (url, body) in bodies {
        let response =
            reqwest::Client::new().post(&url).json(&body).send().await.expect("the daemon responds");
        let status = response.status().as_u16();
        let text = response.text().await.expect("the response is text");
        assert!(matches!(status, 400 | 404), "{status}");
        assert!(text.len() < 1_000, "{status}: {} bytes", text.len());
    }
}

/// Guards against a token that the system issues and then refuses, or that no server takes as a header.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_token_of_a_session_that_has_used_many_services_is_accepted() {
    let options =
        FleetOptions { controls: 1, entries_per_domain: 1, ..FleetOptions::new(logging::discard()) };
    let fleet = Fleet::spawn(Deployment::telvara(), options).await.expect("the fleet starts");
    let point = TermPoint { term: Term(1), position: LogPosition(u64::MAX) };
    let seen =
        |number: usize| SeenPoints { service: format!("{number:0>64}").into(), write: point, read: point };
    let session = Session { seen: (0..250).map(seen).collect() };
    let url = format!("{}/v1/pbx-organisations-1/call-setup", fleet.entries[0].url());
    let request = reqwest::Client::new().post(url).body(r#"{"arguments": {"number": "1"}}"#);
    let request = request.header("Cumincart-Session", session.encode());
    let response = request.send().await.expect("the daemon responds");
    let refusal: Refusal = response.json().await.expect("the response is a refusal");
    assert_eq!(refusal.code, RefusalCode::KeyRefused, "{}", refusal.message);
}
