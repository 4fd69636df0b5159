//! A failure domain that is out of service receives no new requests after a time limit.
//!
//! Exempt (see decision 0031) are reads on open routes through an entry instance of the failure domain itself while
//! that instance holds no lease: it can't know that its domain is out of service.

use {
    super::{Promise, Violation},
    crate::history::{Asked, Execution, History},
    std::time::Duration,
};

/// The maximum time that new requests arrive after a domain was taken out of service.
const OUT_LIMIT: Duration = Duration::from_millis(3_000);

pub(super) fn check(history: &History) -> Vec<Violation> {
    let late = history
        .executions
        .iter()
        .filter(|execution| is_new_work_when_out(history, execution) && !is_left_open(history, execution));
    late.map(|execution| {
        let seen = format!("new request in a failure domain that is out of service: {execution:?}");
        Violation::new(Promise::ServiceState, seen)
    })
    .collect()
}

fn is_new_work_when_out(history: &History, execution: &Execution) -> bool {
    let domain = history.endpoint_domains[execution.endpoint];
    let mut spans = history.domains_out.iter().filter(|span| span.subject == domain);
    !execution.is_within
        && spans.any(|span| {
            let is_late = execution.at > span.from + OUT_LIMIT;
            is_late && span.until.is_none_or(|until| execution.at < until)
        })
}

/// The maximum age of an entry instance's last sample for its lease to count as valid.
const SAMPLE_AGE: Duration = Duration::from_millis(100);

fn is_left_open(history: &History, execution: &Execution) -> bool {
    let Some(request) = history.request(execution.request) else { return false };
    if !matches!(request.asked, Asked::OpenGet { .. }) {
        return false;
    }
    let is_own_domain = history.entry_domains[request.entry] == history.endpoint_domains[execution.endpoint];
    let mut samples = history.samples.iter().rev().filter(|sample| sample.entry == request.entry);
    let is_fresh = samples.any(|sample| sample.at <= execution.at && sample.at + SAMPLE_AGE >= execution.at);
    is_own_domain && !is_fresh
}
