//! A planned stop interrupts no request.

use {
    super::{Guarantee, Violation},
    crate::{
        history::{History, Request, RequestOutcome, Span},
        simulation::CONNECTION_LOSS_NOTICED_WITHIN,
    },
};

/// Checks that no request lost its connection because a process in a planned stop ended.
pub(super) fn check(history: &History) -> Vec<Violation> {
    let cut = history.planned_stops.iter().flat_map(|stop| {
        history.requests.iter().filter(move |request| is_interrupted(request, stop)).map(move |request| {
            let details = format!("a planned stop interrupted a request: {request:?}, stop {stop:?}");
            Violation::new(Guarantee::PlannedStop, details)
        })
    });
    cut.collect()
}

fn is_interrupted(request: &Request, stop: &Span) -> bool {
    let Some((ended_at, until)) = request.ended_at.zip(stop.until) else { return false };
    request.entry == stop.subject
        && request.outcome == Some(RequestOutcome::NoAnswer)
        && request.sent_at < until
        && ended_at >= until
        && ended_at <= until + CONNECTION_LOSS_NOTICED_WITHIN
}
