//! Reading of values of single types.

use {
    super::document::{Diagnostics, Spanned},
    crate::{problem::ProblemKind, suggestion::nearest},
    cumincart_protocol::name::is_name,
    jsonc_parser::{
        ast::Value,
        common::{Range, Ranged},
    },
    std::{net::SocketAddr, ops::RangeInclusive, sync::Arc},
};

/// Returns the problem for a value of the wrong type.
pub fn type_mismatch(subject: impl Into<String>, expected: &'static str, value: &Value<'_>) -> ProblemKind {
    ProblemKind::TypeMismatch { subject: subject.into(), expected, found: type_name(value) }
}

fn type_name(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a string",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "a boolean",
        Value::Object(_) => "an object",
        Value::Array(_) => "an array",
        Value::NullKeyword(_) => "null",
    }
}

/// Reads a string.
pub fn read_text(
    value: &Value<'_>,
    subject: &str,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<Spanned<Arc<str>>> {
    let Some(literal) = value.as_string_lit() else {
        diagnostics.add(value.range(), type_mismatch(format!("`{subject}`"), "a string", value));
        return None;
    };
    Some(Spanned { value: Arc::from(literal.value.as_ref()), range: literal.range })
}

/// Reads a boolean.
pub fn read_bool(value: &Value<'_>, subject: &str, diagnostics: &mut Diagnostics<'_>) -> Option<bool> {
    let Some(literal) = value.as_boolean_lit() else {
        diagnostics.add(value.range(), type_mismatch(format!("`{subject}`"), "true or false", value));
        return None;
    };
    Some(literal.value)
}

/// Reads an array and returns its elements.
pub fn read_array<'a>(
    value: &'a Value<'a>,
    subject: &str,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<&'a [Value<'a>]> {
    let Some(array) = value.as_array() else {
        diagnostics.add(value.range(), type_mismatch(format!("`{subject}`"), "an array", value));
        return None;
    };
    Some(&array.elements)
}

/// Reads a whole number within bounds.
pub fn read_unsigned(
    value: &Value<'_>,
    subject: &str,
    bounds: RangeInclusive<u64>,
    help: &'static str,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<u64> {
    let Some(literal) = value.as_number_lit() else {
        diagnostics.add(value.range(), type_mismatch(format!("`{subject}`"), "a whole number", value));
        return None;
    };
    let number = literal.value.parse().ok().filter(|number| bounds.contains(number));
    if number.is_none() {
        let expected = format!("a whole number from {} to {}", bounds.start(), bounds.end());
        diagnostics.add(literal.range, out_of_range(subject, expected, literal.value, help));
    }
    number
}

/// Reads a number within bounds.
pub fn read_number(
    value: &Value<'_>,
    subject: &str,
    bounds: RangeInclusive<f64>,
    help: &'static str,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<f64> {
    let Some(literal) = value.as_number_lit() else {
        diagnostics.add(value.range(), type_mismatch(format!("`{subject}`"), "a number", value));
        return None;
    };
    let number =
        literal.value.parse().ok().filter(|number: &f64| number.is_finite() && bounds.contains(number));
    if number.is_none() {
        let expected = format!("a number from {} to {}", bounds.start(), bounds.end());
        diagnostics.add(literal.range, out_of_range(subject, expected, literal.value, help));
    }
    number
}

fn out_of_range(subject: &str, expected: String, found: &str, help: &'static str) -> ProblemKind {
    ProblemKind::OutOfRange { subject: format!("`{subject}`"), expected, found: found.to_owned(), help }
}

/// Checks the length and the characters of a name.
pub fn check_name(
    name: &Spanned<Arc<str>>,
    subject: &'static str,
    diagnostics: &mut Diagnostics<'_>,
) -> bool {
    let is_valid = is_name(&name.value);
    if !is_valid {
        diagnostics.add(name.range, ProblemKind::BadName { subject, found: name.value.to_string() });
    }
    is_valid
}

/// The use of an address, which decides which addresses are valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AddressUse {
    /// Only listened on: may be an unspecified IP address or port 0.
    Listen,
    /// Advertised to other instances: must be a specific IP address and port.
    Advertise,
}

/// Reads an IP address with a port, and returns it in canonical form.
pub fn read_address(
    value: &Value<'_>,
    subject: &str,
    usage: AddressUse,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<Spanned<Arc<str>>> {
    let text = read_text(value, subject, diagnostics)?;
    let bad = |help: &'static str| ProblemKind::BadAddress {
        subject: format!("`{subject}`"),
        found: text.value.to_string(),
        help,
    };
    let Ok(address) = text.value.parse::<SocketAddr>() else {
        diagnostics
            .add(text.range, bad("use an IP address and a port, such as `127.0.0.1:7400` or `[::1]:7400`"));
        return None;
    };
    if usage == AddressUse::Advertise && (address.port() == 0 || address.ip().is_unspecified()) {
        diagnostics.add(
            text.range,
            bad("other instances connect to this address: use a specific IP address and a port above 0"),
        );
        return None;
    }
    Some(Spanned { value: Arc::from(address.to_string()), range: text.range })
}

/// Returns a help text that suggests the nearest known name, or lists all known names.
pub fn suggest_name<'n>(wrong: &str, known: impl Iterator<Item = &'n str> + Clone, intro: &str) -> String {
    if let Some(nearest) = nearest(wrong, known.clone()) {
        return format!("did you mean `{nearest}`?");
    }
    let names: Vec<String> = known.map(|name| format!("`{name}`")).collect();
    if names.is_empty() { "none are defined".to_owned() } else { format!("{intro} {}", names.join(", ")) }
}

/// The names declared so far with their positions. Used to find duplicates.
#[derive(Debug, Default)]
pub struct DeclaredNames {
    names: Vec<(Arc<str>, Range)>,
}

impl DeclaredNames {
    /// Inserts a name. If it is already declared, returns the position of its first declaration.
    pub fn insert(&mut self, name: &Spanned<Arc<str>>) -> Option<Range> {
        match self.names.binary_search_by(|(known, _)| known.cmp(&name.value)) {
            Ok(index) => Some(self.names[index].1),
            Err(index) => {
                self.names.insert(index, (Arc::clone(&name.value), name.range));
                None
            }
        }
    }

    /// Inserts a name and reports a duplicate.
    pub fn insert_unique(
        &mut self,
        name: &Spanned<Arc<str>>,
        subject: &'static str,
        diagnostics: &mut Diagnostics<'_>,
    ) {
        if let Some(first) = self.insert(name) {
            let first_line = diagnostics.line(first);
            let kind = ProblemKind::DuplicateName { subject, name: name.value.to_string(), first_line };
            diagnostics.add(name.range, kind);
        }
    }
}
