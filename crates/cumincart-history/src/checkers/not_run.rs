//! A request refused with the verdict "not run" was not committed.

use {
    super::{Promise, Violation},
    crate::history::{Asked, Ended, History, Request},
    cumincart_protocol::verdict::Verdict,
};

/// Checks that no commit contains a write of a request refused as not run, including commits lost in a failover.
pub(super) fn check(history: &History) -> Vec<Violation> {
    let refused = history
        .requests
        .iter()
        .filter(|request| matches!(request.ended, Some(Ended::Refused { verdict: Verdict::NotRun, .. })));
    let untrue = refused.filter(|request| has_run(history, request));
    untrue
        .map(|request| {
            let seen = format!("the request was refused as not run, but it was committed: {request:?}");
            Violation::new(Promise::NotRunIsTrue, seen)
        })
        .collect()
}

fn has_run(history: &History, request: &Request) -> bool {
    let mut writes = history.commits.iter().flat_map(|record| &record.commit.writes);
    match &request.asked {
        // If a transaction's commit did not run, none of its writes may be committed.
        Asked::Commit(transaction) => writes.any(|write| {
            let asked = history.request(write.request).map(|writer| &writer.asked);
            matches!(asked, Some(Asked::Within { transaction: own, .. }) if own == transaction)
        }),
        _ => writes.any(|write| write.request == request.number),
    }
}
