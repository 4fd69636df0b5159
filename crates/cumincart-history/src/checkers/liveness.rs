//! Every session is served again within the failover limit after the faults end.

use {
    super::{Guarantee, Violation},
    crate::history::{History, RequestOutcome},
    std::time::Duration,
};

/// The failover limit: the maximum time from the end of the last fault until every session is served.
const FAILOVER_LIMIT: Duration = Duration::from_millis(10_000);

pub(super) fn check(history: &History) -> Vec<Violation> {
    let sessions = history.requests.iter().map(|request| request.session).max().map_or(0, |last| last + 1);
    let unserved = (0..sessions).filter(|session| !is_served(history, *session));
    unserved
        .map(|session| {
            let details = format!("session {session} received no answer after the faults ended");
            Violation::new(Guarantee::Liveness, details)
        })
        .collect()
}

fn is_served(history: &History, session: usize) -> bool {
    let mut later = history.requests.iter().filter(|request| {
        request.session == session && request.sent_at >= history.faults_end + FAILOVER_LIMIT
    });
    later.any(|request| matches!(request.outcome, Some(RequestOutcome::Answered { .. })))
}
