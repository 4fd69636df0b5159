//! A refusal that says "not run" is true.

use {
    super::{Promise, Violation},
    crate::history::{Asked, Ended, History, Request},
    cumincart_protocol::verdict::Verdict,
};

/// Nothing of a request that was refused as not run stands in any commit, also none that a failover lost.
pub(super) fn check(history: &History) -> Vec<Violation> {
    let refused = history
        .requests
        .iter()
        .filter(|request| matches!(request.ended, Some(Ended::Refused { verdict: Verdict::NotRun, .. })));
    let untrue = refused.filter(|request| has_run(history, request));
    untrue
        .map(|request| {
            let seen = format!("it was refused as not run, but it was committed: {request:?}");
            Violation::new(Promise::NotRunIsTrue, seen)
        })
        .collect()
}

fn has_run(history: &History, request: &Request) -> bool {
    let mut writes = history.commits.iter().flat_map(|record| &record.commit.writes);
    match &request.asked {
        // A commit that was not run leaves none of its transaction's writes.
        Asked::Commit(transaction) => writes.any(|write| {
            let asked = history.request(write.request).map(|writer| &writer.asked);
            matches!(asked, Some(Asked::Within { transaction: own, .. }) if own == transaction)
        }),
        _ => writes.any(|write| write.request == request.number),
    }
}
