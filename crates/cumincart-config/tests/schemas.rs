//! The committed JSON Schemas must match the types.

use {
    cumincart_config::schema::schema_files,
    std::{fs, path::PathBuf},
};

/// If set to `1`, the test updates the files before it compares them.
const UPDATE_VARIABLE: &str = "CUMINCART_UPDATE_SCHEMAS";

#[test]
fn committed_schemas_are_current() {
    let folder: PathBuf = [env!("CARGO_MANIFEST_DIR"), "..", "..", "schemas"].iter().collect();
    for file in schema_files() {
        let path = folder.join(file.name);
        if std::env::var(UPDATE_VARIABLE).as_deref() == Ok("1") {
            fs::write(&path, &file.text).expect("the schema can be written");
        }
        let committed = fs::read_to_string(&path).expect("the schema can be read");
        assert_eq!(committed, file.text, "{} is outdated: run this test with {UPDATE_VARIABLE}=1", file.name);
    }
}
