//! A planned stop interrupts no request.

use {
    super::{Promise, Violation},
    crate::{
        history::{Ended, History, Request, Span},
        simulation::BROKEN_WITHIN,
    },
};

/// Checks that no request lost its connection because a process in a planned stop ended.
pub(super) fn check(history: &History) -> Vec<Violation> {
    let cut = history.planned_stops.iter().flat_map(|stop| {
        history.requests.iter().filter(move |request| is_cut(request, stop)).map(move |request| {
            let seen = format!("a planned stop interrupted a request: {request:?}, stop {stop:?}");
            Violation::new(Promise::PlannedStop, seen)
        })
    });
    cut.collect()
}

fn is_cut(request: &Request, stop: &Span) -> bool {
    let Some((ended_at, until)) = request.ended_at.zip(stop.until) else { return false };
    request.entry == stop.subject
        && request.ended == Some(Ended::Broken)
        && request.sent_at < until
        && ended_at >= until
        && ended_at <= until + BROKEN_WITHIN
}
