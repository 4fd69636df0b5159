//! A planned stop cuts no request.

use {
    super::{Promise, Violation},
    crate::{
        history::{Ended, History, Request, Span},
        world::BROKEN_WITHIN,
    },
};

/// No request was broken by the end of a process that had been asked to stop.
pub(super) fn check(history: &History) -> Vec<Violation> {
    let cut = history.planned_stops.iter().flat_map(|stop| {
        history.requests.iter().filter(move |request| is_cut(request, stop)).map(move |request| {
            let seen = format!("a planned stop cut a request: {request:?} by {stop:?}");
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
