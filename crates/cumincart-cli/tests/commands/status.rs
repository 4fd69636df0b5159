//! Tests of `status`, `diff` and `dump`.

use {
    super::fake_control::{FakeControl, FakeResponse, Files, lists, status},
    cumincart_cli::exit,
    serde_json::{Value, json},
};

#[tokio::test]
async fn status_is_printed_as_text_and_json() {
    let control = FakeControl::bind(|_| None).await;
    let files = Files::write();
    let arguments = format!("status --control {} --token-file FILES/token", control.url);
    let output = files.run(&arguments).await;
    let expected = "\
leader     sofia-a-control-1 in term 3
revision   41, lists revision 7
out        failure domains: plovdiv-a; instances: none
control    sofia-a-control-1, varna-a-control-1 (learner)
instances
  sofia-a-entry-1          revision 41, lease expires in 3200 ms
  varna-a-entry-1          revision 40, lease expired
service pbx: term 2, primary pbx-1
  pbx-1                    sofia-a, 10.10.1.30:5432: primary at position 900, lag 0 ms, announced 120 ms ago
  pbx-2                    varna-a, 10.10.3.30:5432: not announced, leaving
";
    assert_eq!(output.stdout, expected);
    let output = files.run(&format!("{arguments} --json")).await;
    let shown: Value = serde_json::from_str(&output.stdout).expect("the status is JSON");
    assert_eq!(shown, status(41));
}

// Guards against names of endpoints that control the operator's terminal or that look like further lines.
#[tokio::test]
async fn control_characters_in_names_are_escaped_in_the_status() {
    let control = FakeControl::bind(|request| {
        let mut body = status(41);
        body["groups"][0]["endpoints"][0]["endpoint"] =
            json!("pbx\u{1b}[2J\u{9b}1m\r\nservice forged: term 9");
        (request.line == "GET /v1/status").then_some(FakeResponse::Json(200, body))
    })
    .await;
    let files = Files::write();
    let output = files.run(&format!("status --control {} --token-file FILES/token", control.url)).await;
    assert_eq!(output.code, exit::SUCCESS, "{}", output.stderr);
    let name = r"pbx\u001b[2J\u009b1m\u000d\u000aservice forged: term 9";
    assert!(output.stdout.contains(name), "{:?}", output.stdout);
    assert!(!output.stdout.contains(|character: char| character.is_control() && character != '\n'));
}

#[tokio::test]
async fn usage_shows_windows_their_state_and_one_organisations_requests() {
    let control = FakeControl::bind(|request| {
        let mut body = status(41);
        let counts =
            json!([{"organisation": "bakery", "requests": 40}, {"organisation": "clinic", "requests": 2}]);
        body["usage"] = json!([
            {"window": 7, "fence": 3, "counts": counts, "outcome": "Reported"},
            {"window": 8, "fence": 3, "counts": counts, "outcome": "Missed"},
            {"window": 9, "fence": 3, "counts": [], "outcome": null}]);
        (request.line == "GET /v1/status").then_some(FakeResponse::Json(200, body))
    })
    .await;
    let files = Files::write();
    let arguments = format!("usage --control {} --token-file FILES/token", control.url);
    let expected = "\
window 7  reported        42 requests of 2 organisations
window 8  missed          42 requests of 2 organisations
window 9  to be reported  0 requests of 0 organisations
";
    assert_eq!(files.run(&arguments).await.stdout, expected);
    let output = files.run(&format!("{arguments} --organisation clinic")).await;
    assert!(
        output.stdout.starts_with("window 7  reported        2 requests of 1 organisations"),
        "{}",
        output.stdout
    );
}

// A control instance of an earlier build sends no windows.
#[tokio::test]
async fn usage_says_that_there_are_no_windows() {
    let control = FakeControl::bind(|_| None).await;
    let files = Files::write();
    let output = files.run(&format!("usage --control {} --token-file FILES/token", control.url)).await;
    assert_eq!(output.code, exit::SUCCESS, "{}", output.stderr);
    assert_eq!(output.stdout, "no accounting window is closed, or usage is not reported\n");
}

#[tokio::test]
async fn diff_prints_every_difference() {
    let control = FakeControl::bind(|request| {
        let mut body = lists(6);
        body["lists"] = json!({
            "organisations": {"organisations": [
                {"name": "bakery", "plan": "small", "keys": [{"id": "b1", "sha256": "00"}]},
                {"name": "clinic", "plan": "large", "keys": [{"id": "c1", "sha256": "11"}]}]},
            "plans": {"services": [{"name": "pbx", "routes": [{"name": "rules", "access": "read"}]}],
                "plans": [{"name": "small", "rate_per_s": 4.0, "burst": 9, "routes": []}]}});
        (request.line == "GET /v1/lists").then_some(FakeResponse::Json(200, body))
    })
    .await;
    let files = Files::write();
    files.put(
        "plans.jsonc",
        r#"{"services": [{"name": "pbx", "routes": [{"name": "rules", "access": "read", "deadline_ms": 300}, {"name": "calls", "access": "write"}]}],
            "plans": [{"name": "small", "rate_per_s": 5, "burst": 9, "routes": []}]}"#,
    );
    let arguments = format!(
        "diff --organisations FILES/organisations.jsonc --plans FILES/plans.jsonc --control {} --token-file FILES/token",
        control.url
    );
    let output = files.run(&arguments).await;
    let expected = "\
differences to lists revision 6:
- organisation bakery
~ organisation clinic: plan \"large\" -> \"small\"
- key bakery/b1
- key clinic/c1
~ route pbx/rules: deadline_ms 2000 -> 300
~ plan small: rate_per_s 4.0 -> 5.0
+ route pbx/calls
";
    assert_eq!((output.stdout.as_str(), output.code), (expected, exit::SUCCESS));
    assert_eq!(files.run(&format!("{arguments} --exit-code")).await.code, exit::DIFFERENCES_FOUND);
}

#[tokio::test]
async fn dump_includes_every_process_and_reports_unreachable_ones() {
    let control = FakeControl::bind(|_| None).await;
    let arguments = format!(
        "dump --control {} --entry {} --entry http://127.0.0.1:1 --token-file FILES/token",
        control.url, control.url
    );
    let output = Files::write().run(&arguments).await;
    assert_eq!(output.code, exit::UNREACHABLE);
    let dumps: Value = serde_json::from_str(&output.stdout).expect("the dump is JSON");
    assert_eq!(dumps[0], json!({"url": control.url, "dump": {"revision": 41}}));
    assert_eq!(dumps[1], json!({"url": control.url, "dump": {"revision": 41}}));
    assert_eq!(dumps[2]["url"], "http://127.0.0.1:1");
    assert!(dumps[2]["error"].is_string());
    assert_eq!((control.requests("GET /v1/dump").len(), control.requests("GET /dump").len()), (1, 1));
}
