//! Reading of JSON with comments into typed values. Problems are collected on the way.

pub mod document;
pub mod fields;
pub mod value;

pub use {
    document::{Notes, Spanned, read_document, refuse_if_any},
    fields::{Fields, SCHEMA_FIELD},
    value::{
        AddressUse, Declared, check_name, near_name, read_address, read_array, read_bool, read_number,
        read_text, read_unsigned,
    },
};
