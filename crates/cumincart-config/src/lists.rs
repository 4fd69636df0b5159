//! Reading and validation of the two lists.

mod organisations;
mod plans;
mod services;
mod sql;
mod statement;

use {
    crate::{
        problem::ConfigError,
        read::{Diagnostics, error_if_any, read_document},
        source::Source,
    },
    cumincart_protocol::lists::Lists,
    std::sync::Arc,
};

/// Reads and validates both lists.
///
/// # Errors
///
/// Returns `ConfigError::Invalid` with all problems of both files, those of `organisations` first.
pub fn parse_lists(organisations: &Source, plans: &Source) -> Result<Lists, ConfigError> {
    let mut plan_diagnostics = Diagnostics::new(plans);
    let plan_list = read_document(plans, &mut plan_diagnostics, plans::read_plan_list);
    let plan_names = plan_list.as_ref().map(|plans| plans.names.as_slice());

    let mut organisation_diagnostics = Diagnostics::new(organisations);
    let organisation_list =
        read_document(organisations, &mut organisation_diagnostics, |value, diagnostics| {
            organisations::read_organisation_list(value, plan_names, diagnostics)
        });

    let mut problems = organisation_diagnostics.into_problems();
    problems.extend(plan_diagnostics.into_problems());
    error_if_any(problems)?;
    let organisations = organisation_list.unwrap_or_default();
    let plans = plan_list.map(|plans| plans.list).unwrap_or_default();
    Ok(Lists { organisations, plans, ..Lists::default() })
}

/// The names of all elements of one kind whose names could be read.
type Names = [Arc<str>];
