//! Tests of the commands that need no control instance: `check`, `key new`, `completions`.

use {
    super::fake_control::{Files, run},
    cumincart_cli::{commands::key::KEY_PREFIX, exit},
    serde_json::{Value, json},
    sha2::{Digest, Sha256},
    test_case::test_case,
};

#[tokio::test]
async fn check_reports_valid_lists() {
    let files = Files::write();
    let output = files.run("check --organisations FILES/organisations.jsonc --plans FILES/plans.jsonc").await;
    assert_eq!(output.stdout, "the lists are valid: 1 organisations, 0 services, 1 plans\n");
    let output =
        files.run("check --json --organisations FILES/organisations.jsonc --plans FILES/plans.jsonc").await;
    let report: Value = serde_json::from_str(&output.stdout).expect("the report is JSON");
    assert_eq!(report, json!({"organisations": 1, "services": 0, "plans": 1, "settings_files": 0}));
}

#[tokio::test]
async fn check_reports_every_problem_with_its_location_and_help() {
    let files = Files::write();
    files.put(
        "organisations.jsonc",
        "{\"organisations\": [\n  {\"name\": \"clinic\", \"plan\": \"smal\", \"x\": 1}]}",
    );
    let output = files.run("check --organisations FILES/organisations.jsonc --plans FILES/plans.jsonc").await;
    assert_eq!(output.code, exit::INVALID);
    for part in [
        "2 problems were found",
        "cumincart::config::unknown_plan",
        "organisation `clinic` is on plan `smal`, which does not exist",
        "did you mean `small`?",
        "cumincart::config::unknown_field",
        "organisations.jsonc:2:30",
        "2 │   {\"name\": \"clinic\", \"plan\": \"smal\", \"x\": 1}]}",
    ] {
        assert!(output.stderr.contains(part), "`{part}` is missing from\n{}", output.stderr);
    }
    assert!(output.stdout.is_empty());
}

#[tokio::test]
async fn check_reports_problems_as_json() {
    let files = Files::write();
    files.put("entry.jsonc", "{}");
    let output = files.run("check --json --entry FILES/entry.jsonc").await;
    assert_eq!(output.code, exit::INVALID);
    let error: Value = serde_json::from_str(&output.stderr).expect("the error is JSON");
    let problems = error["related"].as_array().expect("the problems are an array");
    assert!(problems.iter().all(|problem| problem["code"] == "cumincart::config::missing_field"));
    assert_eq!(problems.len(), 7);
}

#[tokio::test]
async fn check_of_a_missing_file_fails() {
    let output = run("check --entry /nowhere/entry.jsonc").await;
    assert_eq!(output.code, exit::FAILED);
    assert!(output.stderr.contains("/nowhere/entry.jsonc can't be read"), "{}", output.stderr);
}

#[tokio::test]
async fn each_new_key_is_unique_and_matches_the_digest_in_its_entry() {
    let mut keys = Vec::new();
    for _ in 0..2 {
        let output = run("key new --json --id k1").await;
        let report: Value = serde_json::from_str(&output.stdout).expect("the report is JSON");
        let key = report["key"].as_str().expect("the key is a string").to_owned();
        assert!(key.starts_with(KEY_PREFIX) && key.len() == KEY_PREFIX.len() + 64);
        assert_eq!(report["entry"], json!({"id": "k1", "sha256": hex::encode(Sha256::digest(&key))}));
        keys.push(key);
    }
    assert_ne!(keys[0], keys[1]);
}

#[tokio::test]
async fn the_entry_of_a_new_key_is_valid_in_the_list() {
    let files = Files::write();
    let output = run("key new").await;
    let entry = output.stdout.lines().last().expect("the last line is the entry").trim();
    files.put(
        "organisations.jsonc",
        &format!(r#"{{"organisations": [{{"name": "clinic", "plan": "small", "keys": [{entry}]}}]}}"#),
    );
    let output = files.run("check --organisations FILES/organisations.jsonc --plans FILES/plans.jsonc").await;
    assert_eq!(output.code, exit::SUCCESS, "{}", output.stderr);
}

#[test_case("bash", "complete -F"; "bash")]
#[test_case("fish", "complete -c cumincart"; "fish")]
#[test_case("zsh", "#compdef cumincart"; "zsh")]
#[tokio::test]
async fn completions_are_printed(shell: &str, expected: &str) {
    let output = run(&format!("completions {shell}")).await;
    assert!(output.stdout.contains(expected));
}
