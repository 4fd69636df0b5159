//! No write is acknowledged by a former primary.

use {
    super::{Guarantee, Violation},
    crate::history::{ClientOperation, CommitRecord, History, Request, RequestOutcome},
    cumincart_protocol::time::Instant,
};

/// Checks that each acknowledged write is in a commit that was part of its group's history at the time of the
/// acknowledgement: no term opened between commit and acknowledgement may start before the commit's position. With
/// synchronous replicas it must stay a part of it: no later term may start before it either.
pub(super) fn check(history: &History) -> Vec<Violation> {
    let acknowledged = history.requests.iter().filter(|request| is_acknowledged_write(request));
    acknowledged.filter_map(|request| check_write(history, request)).collect()
}

fn is_acknowledged_write(request: &Request) -> bool {
    let is_write = matches!(request.operation, ClientOperation::Put { .. } | ClientOperation::Record { .. });
    is_write && matches!(request.outcome, Some(RequestOutcome::Answered { .. }))
}

fn check_write(history: &History, request: &Request) -> Option<Violation> {
    let answered_at = request.answered_at?;
    let mut commits = history
        .commits
        .iter()
        .filter(|record| record.commit.writes.iter().any(|write| write.request == request.number));
    let until = if history.synchronous_replicas > 0 { history.end } else { answered_at };
    if commits.any(|record| is_in_history_at(history, record, until)) {
        return None;
    }
    let details =
        format!("{request:?} was acknowledged, but the primary at that time, or a later one, lacks it");
    Some(Violation::new(Guarantee::AcknowledgedWrites, details))
}

fn is_in_history_at(history: &History, record: &CommitRecord, at: Instant) -> bool {
    let terms = history.terms.iter().filter(|term| term.service == record.service && term.at <= at);
    let committed_at = record.commit.at;
    let own = terms.clone().rfind(|term| term.at <= committed_at);
    let is_from_primary = own.is_some_and(|term| term.endpoint == record.endpoint);
    let mut later = terms.filter(|term| term.at > committed_at);
    // A commit of a primary that is fenced at that time may have been replicated to the next primary.
    is_from_primary && later.all(|term| record.commit.position <= term.start)
}
