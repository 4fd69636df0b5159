//! Tests of error messages and exit codes.

use {
    super::fake_control::{FakeControl, Files, run},
    cumincart_cli::exit,
    serde_json::Value,
    test_case::test_case,
};

#[test_case("frobnicate", "error: unrecognized subcommand 'frobnicate'"; "unknown command")]
#[test_case("stauts", "error: unrecognized subcommand 'stauts'"; "command near a known one")]
#[test_case("status --token-file t", "error: the following required arguments were not provided:"; "no control address")]
#[test_case("status --control ftp://10.0.0.1 --token-file t", "error: invalid value 'ftp://10.0.0.1' for '--control <URL>': the address must begin with `http://`"; "not http")]
#[test_case("status --control 10.0.0.1:1/v1 --token-file t", "error: invalid value '10.0.0.1:1/v1' for '--control <URL>': the address must have no path"; "address with a path")]
#[test_case("status --control http:// --token-file t", "error: invalid value 'http://' for '--control <URL>': empty host"; "address without a host")]
#[test_case("status --control 10.0.0.1:1 --token-file t --timeout-ms 0", "error: invalid value '0' for '--timeout-ms <MS>': 0 is not in 1..18446744073709551615"; "timeout zero")]
#[test_case("apply --organisations o --plans p --control 10.0.0.1:1 --token-file t --base x", "error: invalid value 'x' for '--base <REVISION>': invalid digit found in string"; "base not a number")]
#[test_case("apply --organisations o --plans p --control 10.0.0.1:1 --token-file t --change-id a/b", "error: invalid value 'a/b' for '--change-id <ID>': a change id has 1 to 64 ASCII letters, digits, `-`, `_` and `.`"; "bad change id")]
#[test_case("key new --id a/b", "error: invalid value 'a/b' for '--id <ID>': an id has 1 to 64 ASCII letters, digits, `-`, `_` and `.`"; "bad key id")]
#[test_case("check", "error: the following required arguments were not provided:"; "nothing to check")]
#[test_case("check --plans p", "error: the following required arguments were not provided:"; "one list without the other")]
#[test_case("completions tcsh", "error: invalid value 'tcsh' for '<SHELL>'"; "unknown shell")]
#[tokio::test]
async fn invalid_arguments_are_reported(arguments: &str, expected: &str) {
    let output = run(arguments).await;
    assert_eq!(output.code, exit::USAGE);
    assert_eq!(output.stderr.lines().next(), Some(expected));
    assert!(output.stdout.is_empty());
}

#[test_case("--help"; "help")]
#[test_case("--version"; "version")]
#[test_case("apply --help"; "help of a command")]
#[tokio::test]
async fn help_and_version_go_to_standard_output(arguments: &str) {
    let output = run(arguments).await;
    assert_eq!(output.code, exit::SUCCESS);
    assert!(!output.stdout.is_empty() && output.stderr.is_empty());
}

#[test_case("", "the file is empty"; "empty")]
#[test_case("two words", "the token contains characters other than printable ASCII without spaces"; "a space inside")]
#[tokio::test]
async fn an_invalid_token_file_is_reported(token: &str, reason: &str) {
    let files = Files::write();
    files.put("token", token);
    let output = files.run("status --control 127.0.0.1:1 --token-file FILES/token --json").await;
    assert_eq!(output.code, exit::FAILED);
    let error: Value = serde_json::from_str(&output.stderr).expect("the error is JSON");
    let path = files.path("token").display().to_string();
    assert_eq!(error["message"], format!("the operator token file {path} cannot be used: {reason}"));
    assert_eq!(error["code"], "cumincart::cli::token_file");
}

#[tokio::test]
async fn a_missing_token_file_is_reported() {
    let output = run("status --control 127.0.0.1:1 --token-file /nowhere/token").await;
    assert_eq!(output.code, exit::FAILED);
    let expected =
        "the operator token file /nowhere/token cannot be used: No such file or directory (os error 2)";
    assert!(output.stderr.contains(expected), "{}", output.stderr);
}

#[tokio::test]
async fn a_wrong_token_is_reported() {
    let control = FakeControl::bind(|_| None).await;
    let files = Files::write();
    files.put("token", "another");
    let output =
        files.run(&format!("status --control {} --token-file FILES/token --json", control.url)).await;
    assert_eq!(output.code, exit::TOKEN_REFUSED);
    let error: Value = serde_json::from_str(&output.stderr).expect("the error is JSON");
    assert_eq!(error["message"], format!("{} refused the operator token", control.url));
}

#[tokio::test]
async fn unreachable_control_instances_are_listed() {
    let files = Files::write();
    // Nothing listens on port 1 of the loopback interface.
    let output = files
        .run("status --control 127.0.0.1:1 --control 127.0.0.2:1 --token-file FILES/token --timeout-ms 100 --json")
        .await;
    assert_eq!(output.code, exit::UNREACHABLE);
    let error: Value = serde_json::from_str(&output.stderr).expect("the error is JSON");
    let expected = "no control instance could serve the request\n\
        http://127.0.0.1:1: connection failed\nhttp://127.0.0.2:1: connection failed";
    assert_eq!(error["message"], expected);
}

#[tokio::test]
async fn an_unexpected_response_from_another_server_is_reported() {
    let control = FakeControl::bind(|_| {
        Some(super::fake_control::FakeResponse::Json(200, serde_json::json!({"hello": 1})))
    })
    .await;
    let files = Files::write();
    let output = files.run(&format!("status --control {} --token-file FILES/token", control.url)).await;
    assert_eq!(output.code, exit::FAILED);
    assert!(output.stderr.contains("sent an unexpected response"), "{}", output.stderr);
}
