//! Commits never mix transactions, and no transaction is partially committed.

use {
    super::{Guarantee, Violation},
    crate::history::{ClientOperation, CommitRecord, History, RequestOutcome, TransactionNumber},
};

/// Checks that every commit contains either one write outside a transaction or the writes of one transaction, and
/// that a single commit contains all writes of a transaction whose commit was acknowledged.
pub(super) fn check(history: &History) -> Vec<Violation> {
    let mixed = history.commits.iter().filter(|record| is_mixed(history, record)).map(|record| {
        Violation::new(
            Guarantee::TransactionIsolation,
            format!("one commit contains writes of different transactions: {record:?}"),
        )
    });
    let partial =
        history.requests.iter().filter_map(|request| match (&request.operation, &request.outcome) {
            (ClientOperation::Commit(transaction), Some(RequestOutcome::Answered { .. })) => {
                check_complete(history, *transaction)
            }
            _ => None,
        });
    mixed.chain(partial).collect()
}

fn transaction_of(history: &History, record: &CommitRecord) -> Vec<Option<TransactionNumber>> {
    let writes = record.commit.writes.iter();
    writes
        .map(|write| match history.request(write.request).map(|request| &request.operation) {
            Some(ClientOperation::PutInTransaction { transaction, .. }) => Some(*transaction),
            _ => None,
        })
        .collect()
}

fn is_mixed(history: &History, record: &CommitRecord) -> bool {
    let transactions = transaction_of(history, record);
    match transactions.first() {
        Some(None) => transactions.len() > 1,
        first => transactions.iter().any(|other| Some(other) != first),
    }
}

fn check_complete(history: &History, transaction: TransactionNumber) -> Option<Violation> {
    let answered = history.requests.iter().filter(|request| {
        let is_own = matches!(
            &request.operation,
            ClientOperation::PutInTransaction { transaction: own, .. } if *own == transaction
        );
        is_own && matches!(request.outcome, Some(RequestOutcome::Answered { .. }))
    });
    let numbers: Vec<_> = answered.map(|request| request.number).collect();
    let is_complete = history.commits.iter().any(|record| {
        let writes: Vec<_> = record.commit.writes.iter().map(|write| write.request).collect();
        writes == numbers
    });
    (!is_complete && !numbers.is_empty()).then(|| {
        let details =
            format!("{transaction:?} was committed, but no commit contains exactly the writes {numbers:?}");
        Violation::new(Guarantee::TransactionIsolation, details)
    })
}
