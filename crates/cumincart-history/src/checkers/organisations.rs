//! A request runs only for the organisation whose key came with it; a withdrawn key stops within seconds.

use {
    super::{Promise, Violation},
    crate::history::{Asked, Execution, History, Request},
    std::time::Duration,
};

/// How long a withdrawn key may still work.
const WITHDRAWN_LIMIT: Duration = Duration::from_millis(5_000);

/// How many keys each organisation has.
const KEYS: usize = 2;

pub(super) fn check(history: &History) -> Vec<Violation> {
    history.executions.iter().filter_map(|execution| check_execution(history, execution)).collect()
}

fn check_execution(history: &History, execution: &Execution) -> Option<Violation> {
    let request = history.request(execution.request)?;
    if matches!(request.asked, Asked::OpenGet { .. }) {
        return None;
    }
    if execution.organisation != request.organisation {
        let seen = format!("{request:?} ran for another organisation: {execution:?}");
        return Some(Violation::new(Promise::OwnOrganisation, seen));
    }
    is_withdrawn(history, request, execution).then(|| {
        let seen = format!("{request:?} ran with a withdrawn key: {execution:?}");
        Violation::new(Promise::OwnOrganisation, seen)
    })
}

/// Whether the key had been withdrawn for longer than the limit, and nobody had asked to grant it again.
fn is_withdrawn(history: &History, request: &Request, execution: &Execution) -> bool {
    let Some(organisation) = request.organisation else { return false };
    let subject = organisation * KEYS + request.key;
    let mut spans = history.keys_withdrawn.iter().filter(|span| span.subject == subject);
    spans.any(|span| {
        let is_late = execution.at > span.from + WITHDRAWN_LIMIT;
        is_late && span.until.is_none_or(|until| execution.at < until)
    })
}
