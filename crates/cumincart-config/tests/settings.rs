//! Validation of the settings of entry and control instances: accepted input, and the message of every kind of problem.

use {
    cumincart_config::{
        ConfigError, LogFormat, LogLevel, Source, read_control_settings, read_entry_settings,
        settings::{parse_control_settings, parse_entry_settings},
    },
    miette::Diagnostic,
    std::{fs, path::Path},
    test_case::test_case,
};

const ENTRY: &str = r#"{
  "instance": "sofia-a-entry-1",
  "domain": "sofia-a",
  "http_address": "0.0.0.0:8080",
  "peer_address": "10.1.0.1:7400",
  "control_addresses": ["10.1.0.9:7500", "10.2.0.9:7500"],
  "fleet_secret_file": "fleet-secret",
  "endpoint_login": {"user": "cumincart", "database": "pbx"}
}"#;

const CONTROL: &str = r#"{
  "instance": "c1",
  "domain": "sofia-a",
  "http_address": "10.1.0.9:8090",
  "peer_address": "10.1.0.9:7500",
  "data_folder": "data",
  "fleet_secret_file": "/etc/cumincart/fleet-secret",
  "operator_token_file": "operator-token",
  "members": [{"instance": "c1", "peer_address": "10.1.0.9:7500"}],
  "endpoint_login": {"user": "cumincart", "database": "pbx", "password_file": "pw", "connect_timeout_ms": 250},
  "log": {"format": "json", "level": "debug"}
}"#;

fn format_problems(error: &ConfigError) -> Vec<String> {
    let format_problem = |problem: &cumincart_config::Problem| {
        let text = problem.source.inner();
        let range = problem.span.offset()..problem.span.offset() + problem.span.len();
        let code = problem.code().expect("each problem has a code").to_string();
        let help = problem.help().expect("each problem has a help line").to_string();
        format!("{}|{problem}|{help}|{}", code.replace("cumincart::config::", ""), &text[range])
    };
    error.problems().iter().map(format_problem).collect()
}

fn entry_problems(text: &str) -> Vec<String> {
    let source = Source::new("entry.jsonc", text);
    format_problems(&parse_entry_settings(&source, Path::new("")).expect_err("the settings are invalid"))
}

fn control_problems(text: &str) -> Vec<String> {
    let source = Source::new("control.jsonc", text);
    format_problems(&parse_control_settings(&source, Path::new("")).expect_err("the settings are invalid"))
}

#[test]
fn entry_settings_are_read_with_paths_relative_to_the_file() {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let path = folder.path().join("entry.jsonc");
    fs::write(&path, ENTRY).expect("the file can be written");
    let settings = read_entry_settings(&path).expect("the settings are valid");
    assert_eq!(settings.instance.as_str(), "sofia-a-entry-1");
    assert_eq!(settings.control_addresses.len(), 2);
    assert_eq!(settings.fleet_secret_file, folder.path().join("fleet-secret"));
    assert_eq!(settings.endpoint_login.connect_timeout_ms, 1_000);
    assert_eq!((settings.log.format, settings.log.level), (LogFormat::Terminal, LogLevel::Info));
    assert_eq!(settings.operator_token_file, None);
}

#[test]
fn an_optional_path_may_be_null() {
    let text = ENTRY.replace("\"fleet-secret\"", "\"fleet-secret\", \"operator_token_file\": null");
    let settings = parse_entry_settings(&Source::new("entry.jsonc", text), Path::new("/etc"));
    assert_eq!(settings.expect("the settings are valid").operator_token_file, None);
}

#[test]
fn control_settings_are_read() {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let path = folder.path().join("control.jsonc");
    fs::write(&path, CONTROL).expect("the file can be written");
    let settings = read_control_settings(&path).expect("the settings are valid");
    assert_eq!(settings.data_folder, folder.path().join("data"));
    assert_eq!(settings.fleet_secret_file, Path::new("/etc/cumincart/fleet-secret"));
    assert_eq!(settings.endpoint_login.connect_timeout_ms, 250);
    assert_eq!((settings.log.format, settings.log.level), (LogFormat::Json, LogLevel::Debug));
    assert_eq!(settings.members[0].peer_address.as_ref(), "10.1.0.9:7500");
}

#[test]
fn written_settings_are_read_back() {
    let source = Source::new("control.jsonc", CONTROL);
    let settings = parse_control_settings(&source, Path::new("/etc")).expect("the settings are valid");
    let text = serde_json::to_string(&settings).expect("settings are plain JSON");
    let again = parse_control_settings(&Source::new("again", text), Path::new("/elsewhere"));
    assert_eq!(again.expect("the settings are valid"), settings);
}

#[test]
fn a_missing_file_is_reported() {
    let error = read_entry_settings(Path::new("/nowhere/entry.jsonc")).expect_err("there is no such file");
    let expected = "/nowhere/entry.jsonc can't be read: No such file or directory (os error 2)";
    assert_eq!(error.to_string(), expected);
    assert_eq!(error.code().expect("it has a code").to_string(), "cumincart::config::unreadable");
}

#[test]
fn a_file_that_is_not_utf8_is_reported() {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let path = folder.path().join("entry.jsonc");
    fs::write(&path, [0xff, 0xfe]).expect("the file can be written");
    let error = read_entry_settings(&path).expect_err("the file is not text");
    assert_eq!(error.to_string(), format!("{} can't be read: the file is not UTF-8 text", path.display()));
}

const ADDRESS_HELP: &str = "use an IP address and a port, such as `127.0.0.1:7400` or `[::1]:7400`";
const ADVERTISE_HELP: &str =
    "other instances connect to this address: use a specific IP address and a port above 0";

#[test_case("10.1.0.1:7400", "localhost:7400", &format!("bad_address|`localhost:7400` is not a valid address for `peer_address`|{ADDRESS_HELP}|\"localhost:7400\""); "host name")]
#[test_case("10.1.0.1:7400", "10.1.0.1", &format!("bad_address|`10.1.0.1` is not a valid address for `peer_address`|{ADDRESS_HELP}|\"10.1.0.1\""); "no port")]
#[test_case("10.1.0.1:7400", "0.0.0.0:7400", &format!("bad_address|`0.0.0.0:7400` is not a valid address for `peer_address`|{ADVERTISE_HELP}|\"0.0.0.0:7400\""); "peer address on any interface")]
#[test_case("10.1.0.1:7400", "10.1.0.1:0", &format!("bad_address|`10.1.0.1:0` is not a valid address for `peer_address`|{ADVERTISE_HELP}|\"10.1.0.1:0\""); "peer address on any port")]
#[test_case("10.2.0.9:7500", "10.1.0.9:7500", "duplicate_address|the address `10.1.0.9:7500` is used twice|it was first used on line 6: use a different address for each|\"10.1.0.9:7500\""; "control address twice")]
#[test_case("10.1.0.1:7400", "10.1.0.9:7500", "duplicate_address|the address `10.1.0.9:7500` is used twice|it was first used on line 5: use a different address for each|\"10.1.0.9:7500\""; "peer address among the control addresses")]
#[test_case("sofia-a-entry-1", "sofia a", "bad_name|`sofia a` is not a valid name for an instance|use 1 to 64 ASCII letters, digits, `-`, `_` and `.`|\"sofia a\""; "bad name")]
#[test_case("\"fleet-secret\"", "\"\"", "out_of_range|`fleet_secret_file` must be a non-empty string, but is empty|set a value|\"\""; "empty path")]
#[test_case("\"domain\"", "\"domian\": 1, \"domain\"", "unknown_field|unknown field `domian` in the settings of an entry instance|did you mean `domain`?|\"domian\""; "unknown field")]
#[test_case("\"http_address\": \"0.0.0.0:8080\",", "", "missing_field|missing field `http_address` in the settings of an entry instance|add `\"http_address\": …` to this object|{"; "missing field")]
#[test_case("[\"10.1.0.9:7500\", \"10.2.0.9:7500\"]", "[]", "out_of_range|`control_addresses` must be a list of at least one address, but is empty|list the `peer_address` of every control instance|[]"; "no control addresses")]
#[test_case("\"database\": \"pbx\"", "\"database\": \"pbx\", \"connect_timeout_ms\": 0", "out_of_range|`connect_timeout_ms` must be a whole number from 1 to 60000, but is 0|leave the field out for the default of 1000 ms|0"; "connect timeout zero")]
#[test_case("\"endpoint_login\"", "\"log\": {\"format\": \"xml\"}, \"endpoint_login\"", "unknown_value|`xml` is not a valid value of `format`|the values are `terminal`, `json`|\"xml\""; "unknown format")]
#[test_case("\"endpoint_login\"", "\"log\": {\"level\": \"warn\"}, \"endpoint_login\"", "unknown_value|`warn` is not a valid value of `level`|the values are `error`, `warning`, `info`, `debug`|\"warn\""; "unknown level")]
fn a_problem_in_entry_settings_is_reported(valid: &str, invalid: &str, expected: &str) {
    let text = ENTRY.replace(valid, invalid);
    assert_ne!(text, ENTRY, "the text to replace is in the settings");
    assert_eq!(entry_problems(&text), [expected]);
}

#[test_case("[{\"instance\": \"c1\", \"peer_address\": \"10.1.0.9:7500\"}]", "[{\"instance\": \"c2\", \"peer_address\": \"10.1.0.9:7500\"}]", "not_a_member|`members` does not list instance `c1` with its peer address `10.1.0.9:7500`|list every control instance in `members`, including this one, with the same addresses on all of them|[{\"instance\": \"c2\", \"peer_address\": \"10.1.0.9:7500\"}]"; "not a member")]
#[test_case("[{\"instance\": \"c1\"", "[{\"instance\": \"c1\", \"peer_address\": \"10.1.0.8:7500\"}, {\"instance\": \"c1\"", "duplicate_name|the control instance `c1` is declared twice|it was first declared on line 9: rename or remove one of the two|\"c1\""; "member twice")]
#[test_case("[{\"instance\": \"c1\"", "[{\"instance\": \"c2\", \"peer_address\": \"10.1.0.9:7500\"}, {\"instance\": \"c1\"", "duplicate_address|the address `10.1.0.9:7500` is used twice|it was first used on line 9: use a different address for each|\"10.1.0.9:7500\""; "member address twice")]
fn a_problem_in_control_settings_is_reported(valid: &str, invalid: &str, expected: &str) {
    let text = CONTROL.replace(valid, invalid);
    assert_ne!(text, CONTROL, "the text to replace is in the settings");
    assert_eq!(control_problems(&text), [expected]);
}

#[test]
fn more_control_instances_than_allowed_are_reported() {
    let member = |number: usize| {
        format!(r#"{{"instance": "c{number}", "peer_address": "10.1.0.9:{}"}}"#, 7499 + number)
    };
    let members: Vec<String> = (1..=9).map(member).collect();
    let text = CONTROL.replace(
        r#"[{"instance": "c1", "peer_address": "10.1.0.9:7500"}]"#,
        &format!("[{}]", members.join(",")),
    );
    let found = control_problems(&text);
    assert_eq!(found.len(), 1);
    let expected = "out_of_range|`members` must be a list of 1 to 8 control instances, but is a list of 9|";
    assert!(found[0].starts_with(expected), "{found:?}");
}

#[test]
fn every_problem_of_a_file_is_reported_at_once() {
    let text =
        ENTRY.replace("10.1.0.1:7400", "x").replace("sofia-a-entry-1", "").replace("\"user\"", "\"usr\"");
    let codes: Vec<String> = entry_problems(&text)
        .iter()
        .map(|line| line.split('|').next().unwrap_or_default().to_owned())
        .collect();
    assert_eq!(codes, ["bad_name", "bad_address", "missing_field", "unknown_field"]);
}
