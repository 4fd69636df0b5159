//! Binds a call's arguments to its route's statement.

use cumincart_protocol::{
    excerpt::Excerpt,
    lists::{FixedStatement, ParameterSource, Route},
    name::OrganisationName,
    refusal::{Refusal, RefusalCode},
    request::{Call, Statement, Value},
};

/// Returns the statement of a call, with every parameter bound.
pub fn bind(
    route: &Route,
    organisation: Option<&OrganisationName>,
    call: &Call,
) -> Result<Statement, Refusal> {
    match &route.statement {
        Some(fixed) => bind_fixed(fixed, organisation, call),
        None => bind_caller_statement(call),
    }
}

fn bind_caller_statement(call: &Call) -> Result<Statement, Refusal> {
    let Some(sql) = &call.sql else {
        return Err(bad_request("this route has no fixed statement: send the SQL"));
    };
    if !call.arguments.is_empty() {
        return Err(bad_request("named arguments need a fixed statement: send positional parameters"));
    }
    Ok(Statement { sql: sql.clone(), parameters: call.parameters.clone() })
}

fn bind_fixed(
    fixed: &FixedStatement,
    organisation: Option<&OrganisationName>,
    call: &Call,
) -> Result<Statement, Refusal> {
    if call.sql.is_some() {
        return Err(bad_request("this route has a fixed statement: send no SQL"));
    }
    if !call.parameters.is_empty() {
        return Err(bad_request("this route has a fixed statement: send named arguments"));
    }
    check_arguments(fixed, call)?;
    let parameters = fixed
        .parameters
        .iter()
        .map(|source| value_of(source, organisation, call))
        .collect::<Result<Vec<Value>, Refusal>>()?;
    Ok(Statement { sql: fixed.sql.clone(), parameters })
}

fn check_arguments(fixed: &FixedStatement, call: &Call) -> Result<(), Refusal> {
    for (position, argument) in call.arguments.iter().enumerate() {
        let named = |source: &ParameterSource| matches!(source, ParameterSource::Caller(name) if *name == argument.name);
        if !fixed.parameters.iter().any(named) {
            return Err(bad_request(&format!("the statement has no parameter {}", Excerpt(&argument.name))));
        }
        if call.arguments[..position].iter().any(|earlier| earlier.name == argument.name) {
            return Err(bad_request(&format!("the argument {} was sent twice", Excerpt(&argument.name))));
        }
    }
    Ok(())
}

fn value_of(
    source: &ParameterSource,
    organisation: Option<&OrganisationName>,
    call: &Call,
) -> Result<Value, Refusal> {
    match source {
        ParameterSource::Caller(name) => call
            .arguments
            .iter()
            .find(|argument| argument.name == *name)
            .map(|argument| argument.value.clone())
            .ok_or_else(|| bad_request(&format!("the argument {name} is missing"))),
        ParameterSource::Organisation => organisation
            .map(|organisation| Value::Text(organisation.as_str().into()))
            .ok_or_else(|| bad_request("a request on an open route has no organisation to bind")),
    }
}

fn bad_request(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::BadRequest, message)
}
