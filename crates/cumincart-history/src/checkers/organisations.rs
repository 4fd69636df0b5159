//! A request runs only for the organisation that owns its key; a withdrawn key stops working within a time limit.

use {
    super::{Guarantee, Violation},
    crate::history::{ClientOperation, Execution, History, Request},
    std::time::Duration,
};

/// The maximum time that a key works after its withdrawal was accepted.
const WITHDRAWAL_LIMIT: Duration = Duration::from_millis(5_000);

/// The number of keys of each organisation.
const KEYS: usize = 2;

pub(super) fn check(history: &History) -> Vec<Violation> {
    history.executions.iter().filter_map(|execution| check_execution(history, execution)).collect()
}

fn check_execution(history: &History, execution: &Execution) -> Option<Violation> {
    let request = history.request(execution.request)?;
    if matches!(request.operation, ClientOperation::OpenGet { .. }) {
        return None;
    }
    if execution.organisation != request.organisation {
        let details = format!("{request:?} ran for another organisation: {execution:?}");
        return Some(Violation::new(Guarantee::OrganisationIsolation, details));
    }
    is_withdrawn(history, request, execution).then(|| {
        let details = format!("{request:?} ran with a withdrawn key: {execution:?}");
        Violation::new(Guarantee::OrganisationIsolation, details)
    })
}

/// Returns whether the key had been withdrawn for longer than the limit and no grant had been requested again.
fn is_withdrawn(history: &History, request: &Request, execution: &Execution) -> bool {
    let Some(organisation) = request.organisation else { return false };
    let subject = organisation * KEYS + request.key;
    let mut spans = history.keys_withdrawn.iter().filter(|span| span.subject == subject);
    spans.any(|span| {
        let is_late = execution.at > span.from + WITHDRAWAL_LIMIT;
        is_late && span.until.is_none_or(|until| execution.at < until)
    })
}
