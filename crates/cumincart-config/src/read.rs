//! Reading of JSON with comments into typed values. Problems are collected on the way.

pub mod document;
pub mod fields;
pub mod value;

pub use {
    document::{Diagnostics, Spanned, error_if_any, read_document},
    fields::{Fields, SCHEMA_FIELD},
    value::{
        AddressUse, DeclaredNames, check_name, read_address, read_array, read_bool, read_number, read_text,
        read_unsigned, suggest_name,
    },
};
