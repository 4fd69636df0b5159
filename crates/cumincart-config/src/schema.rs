//! JSON Schemas of the two lists and the settings, for editors.

use {
    crate::{
        read::SCHEMA_FIELD,
        settings::{ControlSettings, EntrySettings},
    },
    cumincart_protocol::lists::{OrganisationList, PlanList},
    schemars::{Schema, schema_for},
    serde_json::json,
};

/// A JSON Schema and the name of its file in the folder `schemas`.
#[derive(Debug)]
pub struct SchemaFile {
    /// The file's name.
    pub name: &'static str,
    /// Its content.
    pub text: String,
}

/// Returns all schemas.
pub fn schema_files() -> Vec<SchemaFile> {
    vec![
        schema_file("organisations.schema.json", schema_for!(OrganisationList)),
        schema_file("plans.schema.json", schema_for!(PlanList)),
        schema_file("entry-settings.schema.json", schema_for!(EntrySettings)),
        schema_file("control-settings.schema.json", schema_for!(ControlSettings)),
    ]
}

fn schema_file(name: &'static str, mut schema: Schema) -> SchemaFile {
    // Allows a file to refer to its schema, so that editors find it.
    if let Some(properties) = schema.get_mut("properties").and_then(|properties| properties.as_object_mut()) {
        properties.insert(SCHEMA_FIELD.to_owned(), json!({ "type": "string" }));
    }
    let mut text = serde_json::to_string_pretty(&schema).expect("a schema is plain JSON");
    text.push('\n');
    SchemaFile { name, text }
}
