//! The committed JSON Schemas are those that the types give.

use {
    cumincart_config::schema::schema_files,
    std::{fs, path::PathBuf},
};

/// Set to `1`, the test writes the files instead of comparing them.
const UPDATE_VARIABLE: &str = "CUMINCART_UPDATE_SCHEMAS";

#[test]
fn committed_schemas_are_current() {
    let folder: PathBuf = [env!("CARGO_MANIFEST_DIR"), "..", "..", "schemas"].iter().collect();
    for file in schema_files() {
        let path = folder.join(file.name);
        if std::env::var(UPDATE_VARIABLE).as_deref() == Ok("1") {
            fs::write(&path, &file.text).expect("the schema can be written");
        }
        let committed = fs::read_to_string(&path).expect("the schema is there");
        assert_eq!(committed, file.text, "{} is old: run this test with {UPDATE_VARIABLE}=1", file.name);
    }
}
