//! Fixed statements and the sources of their parameters.

use {
    super::sql::used_parameters,
    crate::{
        problem::ProblemKind,
        read::{Diagnostics, Fields, Spanned, check_name, read_array, read_text},
    },
    cumincart_protocol::lists::{FixedStatement, ParameterSource},
    jsonc_parser::{
        ast::Value,
        common::{Range, Ranged},
    },
    std::sync::Arc,
};

/// Reads a route's statement.
pub fn read_statement(
    value: &Value<'_>,
    route: &str,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<FixedStatement> {
    let fields = Fields::read(value, "a statement", &["sql", "parameters"], diagnostics)?;
    let sql = fields.required("sql", diagnostics).and_then(|value| read_text(value, "sql", diagnostics));
    let parameters = match fields.optional("parameters") {
        Some(value) => read_parameters(value, diagnostics),
        None => Some((Vec::new(), fields.range())),
    };
    let (sql, (parameters, parameters_range)) = (sql?, parameters?);
    check_parameters(route, &sql, parameters.len(), parameters_range, diagnostics);
    Some(FixedStatement { sql: sql.value, parameters })
}

fn read_parameters(
    value: &Value<'_>,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<(Vec<ParameterSource>, Range)> {
    let elements = read_array(value, "parameters", diagnostics)?;
    let sources: Vec<_> =
        elements.iter().filter_map(|element| read_parameter(element, diagnostics)).collect();
    (sources.len() == elements.len()).then(|| (sources, value.range()))
}

fn read_parameter(value: &Value<'_>, diagnostics: &mut Diagnostics<'_>) -> Option<ParameterSource> {
    if let Some(literal) = value.as_string_lit() {
        if literal.value == "organisation" {
            return Some(ParameterSource::Organisation);
        }
        let kind = ProblemKind::UnknownValue {
            subject: "a parameter".to_owned(),
            found: literal.value.to_string(),
            help: format!(
                "write \"organisation\", or {{\"caller\": \"{}\"}} for a value from the caller",
                literal.value
            ),
        };
        diagnostics.add(literal.range, kind);
        return None;
    }
    let fields = Fields::read(value, "a parameter", &["caller"], diagnostics)?;
    let name = read_text(fields.required("caller", diagnostics)?, "caller", diagnostics)?;
    check_name(&name, "a parameter", diagnostics).then_some(ParameterSource::Caller(name.value))
}

/// Reports parameters that the SQL uses but the statement does not declare, and the reverse.
fn check_parameters(
    route: &str,
    sql: &Spanned<Arc<str>>,
    count: usize,
    parameters_range: Range,
    diagnostics: &mut Diagnostics<'_>,
) {
    let used = used_parameters(&sql.value);
    let is_declared = |number: u32| (1..=count).contains(&usize::try_from(number).unwrap_or(usize::MAX));
    for &number in used.iter().filter(|&&number| !is_declared(number)) {
        diagnostics
            .add(sql.range, ProblemKind::UndeclaredParameter { route: route.to_owned(), number, count });
    }
    for number in 1..=count {
        let is_used = used.iter().any(|&used| usize::try_from(used) == Ok(number));
        if !is_used {
            diagnostics
                .add(parameters_range, ProblemKind::UnusedParameter { route: route.to_owned(), number });
        }
    }
}
