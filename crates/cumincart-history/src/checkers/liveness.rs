//! Every session is served again within the failover limit after the faults end.

use {
    super::{Promise, Violation},
    crate::history::{Ended, History},
    std::time::Duration,
};

/// The failover limit: the maximum time from the end of the last fault until every session is served.
const SERVED_WITHIN: Duration = Duration::from_millis(10_000);

pub(super) fn check(history: &History) -> Vec<Violation> {
    let sessions = history.requests.iter().map(|request| request.session).max().map_or(0, |last| last + 1);
    let unserved = (0..sessions).filter(|session| !is_served(history, *session));
    unserved
        .map(|session| {
            let seen = format!("session {session} received no answer after the faults ended");
            Violation::new(Promise::Liveness, seen)
        })
        .collect()
}

fn is_served(history: &History, session: usize) -> bool {
    let mut later = history
        .requests
        .iter()
        .filter(|request| request.session == session && request.sent_at >= history.calm_from + SERVED_WITHIN);
    later.any(|request| matches!(request.ended, Some(Ended::Answered { .. })))
}
