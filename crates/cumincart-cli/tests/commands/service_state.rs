//! Tests of `domain` and `instance`: the submitted change, and unknown names.

use {
    super::fake_control::{FakeControl, Files},
    cumincart_cli::exit,
    serde_json::{Value, json},
    test_case::test_case,
};

#[test_case("domain out varna-a", json!({"set_domain": {"domain": "varna-a", "out": true}}); "domain out")]
#[test_case("domain in plovdiv-a", json!({"set_domain": {"domain": "plovdiv-a", "out": false}}); "domain in")]
#[test_case("instance out sofia-a-entry-1", json!({"set_instance": {"instance": "sofia-a-entry-1", "out": true}}); "instance out")]
#[test_case("instance in varna-a-control-1", json!({"set_instance": {"instance": "varna-a-control-1", "out": false}}); "control instance in")]
#[test_case("domain out mars --force", json!({"set_domain": {"domain": "mars", "out": true}}); "unknown name by force")]
#[tokio::test]
async fn the_change_is_submitted(arguments: &str, expected: Value) {
    let control = FakeControl::bind(|_| None).await;
    let arguments = format!("{arguments} --control {} --token-file FILES/token --change-id c1", control.url);
    let output = Files::write().run(&arguments).await;
    assert_eq!(output.code, exit::SUCCESS, "{}", output.stderr);
    assert_eq!(output.stdout, "accepted: change c1, revision 41, lists revision 7\n");
    let sent = control.requests("POST /v1/changes");
    assert_eq!((sent.len(), &sent[0].body["action"]), (1, &expected));
}

#[test_case("domain out varna-b", "there is no failure domain `varna-b`", "did you mean `varna-a`, or add `--force` if it does not exist yet"; "domain near a known one")]
#[test_case("domain out mars", "there is no failure domain `mars`", "the known names are plovdiv-a, sofia-a, varna-a, or add `--force` if it does not exist yet"; "unknown domain")]
#[test_case("instance out sofia-entry-1", "there is no instance `sofia-entry-1`", "did you mean `sofia-a-entry-1`, or add `--force` if it does not exist yet"; "instance near a known one")]
#[tokio::test]
async fn an_unknown_name_is_refused(arguments: &str, message: &str, help: &str) {
    let control = FakeControl::bind(|_| None).await;
    let arguments = format!("{arguments} --json --control {} --token-file FILES/token", control.url);
    let output = Files::write().run(&arguments).await;
    assert_eq!(output.code, exit::FAILED);
    let error: Value = serde_json::from_str(&output.stderr).expect("the error is JSON");
    assert_eq!((&error["message"], &error["help"]), (&json!(message), &json!(help)));
    assert!(control.requests("POST /v1/changes").is_empty());
}
