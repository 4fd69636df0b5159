//! Tests of `explain`, which merges the log lines of one request by time.

use {
    super::fake_control::Files,
    cumincart_cli::{execute, exit},
    std::ffi::OsString,
};

const ENTRY: &str = r#"{"msg":"statement failed","level":"WARN","ts":"2026-06-01T13:30:53.5Z","request":"aa","why":"no place came in time"}
{"msg":"statement failed","level":"WARN","ts":"2026-06-01T13:30:53.6Z","request":"bb","why":"another request"}
{"msg":"lists in force","level":"INFO","ts":"2026-06-01T13:30:53.50031Z","revision":27}
{"msg":"lists in force","level":"INFO","ts":"2026-06-01T13:31:59Z","revision":28}
{"msg":"cut by a ki"#;

const CONTROL: &str = r#"{"msg":"the primary is dead","level":"INFO","ts":"2026-06-01T13:30:53.4999999Z"}
"#;

fn files() -> Files {
    let files = Files::write();
    files.put("entry-1.log", ENTRY);
    files.put("control-1.log", CONTROL);
    files
}

#[tokio::test]
async fn the_lines_of_the_request_and_state_changes_are_sorted_by_time() {
    let output = files().run("explain aa FILES/entry-1.log FILES/control-1.log").await;
    assert_eq!(output.code, exit::SUCCESS);
    let lines: Vec<&str> = output.stdout.lines().collect();
    assert_eq!(
        lines,
        [
            "  2026-06-01T13:30:53.4999999Z control-1: the primary is dead",
            "> 2026-06-01T13:30:53.5Z entry-1: statement failed why=\"no place came in time\"",
            "  2026-06-01T13:30:53.50031Z entry-1: lists in force revision=27",
            "1 unreadable lines were skipped",
        ]
    );
}

#[tokio::test]
async fn a_larger_time_window_shows_more_lines() {
    let output = files().run("explain --around-ms 70000 aa FILES/entry-1.log").await;
    assert!(output.stdout.contains("revision=28"), "{}", output.stdout);
}

#[tokio::test]
async fn an_unknown_request_fails_with_a_hint_about_omitted_log_lines() {
    let output = files().run("explain cc FILES/entry-1.log").await;
    assert_eq!(output.code, exit::FAILED);
    assert!(output.stdout.contains("lines_left_out"), "{}", output.stdout);
}

// Guards against names in log messages that control the operator's terminal or that look like further lines.
#[tokio::test]
async fn control_characters_in_log_lines_are_escaped() {
    let files = files();
    let line = r#"{"msg":"endpoint a\u001b[2J\u009b\n> 2026 forged","ts":"2026-06-01T13:30:53.5Z","request":"a b\n\"c"}"#;
    files.put("entry-2.log", line);
    let path = files.path("entry-2.log").into_os_string();
    let arguments = ["cumincart", "explain", "a b\n\"c"].map(OsString::from);
    let output = execute(arguments.into_iter().chain([path])).await;
    assert_eq!(output.code, exit::SUCCESS, "{}{}", output.stdout, output.stderr);
    let expected = r"> 2026-06-01T13:30:53.5Z entry-2: endpoint a\u001b[2J\u009b\u000a> 2026 forged";
    assert_eq!(output.stdout.trim_end(), expected);
}

#[tokio::test]
async fn a_missing_log_file_is_reported() {
    let output = files().run("explain aa FILES/none.log").await;
    assert_eq!(output.code, exit::FAILED);
    assert!(output.stderr.contains("none.log"), "{}", output.stderr);
}
