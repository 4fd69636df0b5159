//! A failure domain that is out of service receives no new requests after a time limit.
//!
//! Exempt (see decision 0031) are reads on open routes through an entry instance of the failure domain itself while
//! that instance holds no lease: it can't know that its domain is out of service.

use {
    super::{Guarantee, Violation},
    crate::history::{ClientOperation, Execution, History},
    std::time::Duration,
};

/// The maximum time that new requests arrive after a domain was taken out of service.
const OUT_OF_SERVICE_LIMIT: Duration = Duration::from_millis(3_000);

pub(super) fn check(history: &History) -> Vec<Violation> {
    let late = history
        .executions
        .iter()
        .filter(|execution| is_new_request_while_out(history, execution) && !is_exempt(history, execution));
    late.map(|execution| {
        let details = format!("new request in a failure domain that is out of service: {execution:?}");
        Violation::new(Guarantee::ServiceState, details)
    })
    .collect()
}

fn is_new_request_while_out(history: &History, execution: &Execution) -> bool {
    let domain = history.endpoint_domains[execution.endpoint];
    let mut spans = history.domains_out.iter().filter(|span| span.subject == domain);
    !execution.is_in_transaction
        && spans.any(|span| {
            let is_late = execution.at > span.from + OUT_OF_SERVICE_LIMIT;
            is_late && span.until.is_none_or(|until| execution.at < until)
        })
}

/// The maximum age of an entry instance's last sample for its lease to count as valid.
const MAX_SAMPLE_AGE: Duration = Duration::from_millis(100);

fn is_exempt(history: &History, execution: &Execution) -> bool {
    let Some(request) = history.request(execution.request) else { return false };
    if !matches!(request.operation, ClientOperation::OpenGet { .. }) {
        return false;
    }
    let is_own_domain = history.entry_domains[request.entry] == history.endpoint_domains[execution.endpoint];
    let mut samples = history.samples.iter().rev().filter(|sample| sample.entry == request.entry);
    let is_fresh =
        samples.any(|sample| sample.at <= execution.at && sample.at + MAX_SAMPLE_AGE >= execution.at);
    is_own_domain && !is_fresh
}
