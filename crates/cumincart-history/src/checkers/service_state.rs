//! A failure domain that is out gets no new work after a few seconds.

use {
    super::{Promise, Violation},
    crate::history::{Execution, History},
    std::time::Duration,
};

/// How long new work may still come.
const OUT_LIMIT: Duration = Duration::from_millis(3_000);

pub(super) fn check(history: &History) -> Vec<Violation> {
    let late = history.executions.iter().filter(|execution| is_new_work_when_out(history, execution));
    late.map(|execution| {
        let seen = format!("new work in a failure domain that is out: {execution:?}");
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
