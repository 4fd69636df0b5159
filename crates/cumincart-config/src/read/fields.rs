//! Access to the fields of an object.

use {
    super::{
        document::Diagnostics,
        value::{suggest_name, type_mismatch},
    },
    crate::problem::ProblemKind,
    jsonc_parser::{
        ast::{Object, ObjectPropName, Value},
        common::{Range, Ranged},
    },
};

/// The field in which a file refers to its schema for editors. Allowed in the outermost object.
pub const SCHEMA_FIELD: &str = "$schema";

/// An object that has been checked for unknown and duplicate fields.
#[derive(Debug, Clone, Copy)]
pub struct Fields<'a> {
    description: &'static str,
    object: &'a Object<'a>,
}

impl<'a> Fields<'a> {
    /// Reads a value as an object. Reports unknown and duplicate fields.
    pub fn read(
        value: &'a Value<'a>,
        description: &'static str,
        known: &[&'static str],
        diagnostics: &mut Diagnostics<'_>,
    ) -> Option<Self> {
        let Some(object) = value.as_object() else {
            diagnostics.add(value.range(), type_mismatch(description, "an object", value));
            return None;
        };
        for (index, property) in object.properties.iter().enumerate() {
            let field = property.name.as_str();
            let range = name_range(&property.name);
            if !known.contains(&field) {
                let help = suggest_name(field, known.iter().copied(), "the fields are");
                diagnostics.add(
                    range,
                    ProblemKind::UnknownField { object: description, field: field.to_owned(), help },
                );
            } else if object.properties[..index].iter().any(|earlier| earlier.name.as_str() == field) {
                diagnostics
                    .add(range, ProblemKind::RepeatedField { object: description, field: field.to_owned() });
            }
        }
        Some(Self { description, object })
    }

    /// Returns the position of the whole object.
    pub fn range(&self) -> Range {
        self.object.range
    }

    /// Returns a field that may be absent.
    pub fn optional(&self, field: &str) -> Option<&'a Value<'a>> {
        let property = self.object.properties.iter().find(|property| property.name.as_str() == field)?;
        Some(&property.value)
    }

    /// Returns a required field. Reports it if it is missing.
    pub fn required(&self, field: &'static str, diagnostics: &mut Diagnostics<'_>) -> Option<&'a Value<'a>> {
        let value = self.optional(field);
        if value.is_none() {
            let start = self.object.range.start;
            let brace = Range { start, end: start + 1 };
            diagnostics.add(brace, ProblemKind::MissingField { object: self.description, field });
        }
        value
    }
}

fn name_range(name: &ObjectPropName<'_>) -> Range {
    match name {
        ObjectPropName::String(literal) => literal.range,
        ObjectPropName::Word(literal) => literal.range,
    }
}
