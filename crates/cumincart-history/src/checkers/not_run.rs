//! A request refused with the verdict "not run" was not committed.

use {
    super::{Guarantee, Violation},
    crate::history::{ClientOperation, History, Request, RequestOutcome},
    cumincart_protocol::verdict::Verdict,
};

/// Checks that no commit contains a write of a request refused as not run, including commits lost in a failover.
pub(super) fn check(history: &History) -> Vec<Violation> {
    let refused = history.requests.iter().filter(|request| {
        matches!(request.outcome, Some(RequestOutcome::Refused { verdict: Verdict::NotRun, .. }))
    });
    let committed = refused.filter(|request| was_committed(history, request));
    committed
        .map(|request| {
            let details = format!("the request was refused as not run, but it was committed: {request:?}");
            Violation::new(Guarantee::NotRunVerdict, details)
        })
        .collect()
}

fn was_committed(history: &History, request: &Request) -> bool {
    let mut writes = history.commits.iter().flat_map(|record| &record.commit.writes);
    match &request.operation {
        // If a transaction's commit did not run, none of its writes may be committed.
        ClientOperation::Commit(transaction) => writes.any(|write| {
            let operation = history.request(write.request).map(|writer| &writer.operation);
            matches!(
                operation,
                Some(ClientOperation::PutInTransaction { transaction: own, .. }) if own == transaction
            )
        }),
        _ => writes.any(|write| write.request == request.number),
    }
}
