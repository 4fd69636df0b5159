//! Tests that the operators' documentation matches the command line, the configuration checks and the schemas.

use {
    cumincart_cli::commands::root,
    cumincart_config::schema::schema_files,
    serde_json::Value,
    std::{fs, path::PathBuf},
    test_case::test_case,
};

fn read(path: &[&str]) -> String {
    let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "..", ".."].iter().chain(path).collect();
    fs::read_to_string(path).expect("the file exists")
}

/// Returns the first cell of every table row of a page in which that cell is code.
fn code_cells(page: &str) -> Vec<String> {
    let cell = |line: &str| Some(line.strip_prefix("| `")?.split_once("` |")?.0.to_owned());
    page.lines().filter_map(cell).collect()
}

#[test]
fn every_command_is_documented() {
    let page = read(&["docs", "operators", "command-line.md"]);
    let commands: Vec<String> =
        root().get_subcommands().map(|command| command.get_name().to_owned()).collect();
    assert_eq!(code_cells(&page), commands);
}

#[test]
fn the_documented_exit_codes_match_the_help() {
    let page = read(&["docs", "operators", "command-line.md"]);
    let help = root().render_help().to_string();
    let row = |line: &str| {
        let (code, meaning) = line.strip_prefix("| ")?.strip_suffix(" |")?.split_once(" | ")?;
        code.parse::<u8>().ok().map(|code| format!("  {code}  {meaning}"))
    };
    let rows: Vec<String> = page.lines().filter_map(row).collect();
    assert_eq!(rows.len(), 10);
    for row in rows {
        assert!(help.lines().any(|line| line == row), "the help lacks `{row}`");
    }
}

#[test]
fn every_problem_code_is_documented() {
    let source = read(&["crates", "cumincart-config", "src", "problem.rs"]);
    let code = |part: &str| Some(part.split_once(')')?.0.to_owned());
    let mut codes: Vec<String> = source.split("code(").skip(1).filter_map(code).collect();
    // These two codes describe whole files, not problems at a location in a file.
    codes.retain(|code| !code.ends_with("::unreadable") && !code.ends_with("::invalid"));
    codes.retain(|code| code.starts_with("cumincart::"));
    let page = read(&["docs", "operators", "lists.md"]);
    let mut documented = code_cells(&page);
    documented.retain(|cell| cell.starts_with("cumincart::"));
    codes.sort();
    documented.sort();
    assert_eq!(documented, codes);
}

#[test_case("settings.md", "entry-settings.schema.json"; "entry settings")]
#[test_case("settings.md", "control-settings.schema.json"; "control settings")]
#[test_case("lists.md", "organisations.schema.json"; "organisations")]
#[test_case("lists.md", "plans.schema.json"; "plans")]
fn every_field_is_documented(page: &str, schema: &str) {
    let page = read(&["docs", "operators", page]);
    let file = schema_files().into_iter().find(|file| file.name == schema).expect("the schema exists");
    let schema: Value = serde_json::from_str(&file.text).expect("a schema is JSON");
    let definitions = schema["$defs"].as_object().expect("the schema has definitions");
    for object in std::iter::once(&schema).chain(definitions.values()) {
        let Some(properties) = object["properties"].as_object() else { continue };
        for field in properties.keys().filter(|field| field.as_str() != "$schema") {
            assert!(page.contains(&format!("`{field}`")), "`{field}` is not documented");
        }
    }
}
