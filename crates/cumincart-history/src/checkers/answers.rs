//! A client receives the complete answer to its own request.

use {
    super::{Promise, Violation},
    crate::history::{Asked, Ended, History, Request},
};

pub(super) fn check(history: &History) -> Vec<Violation> {
    let wrong = history.requests.iter().filter(|request| is_wrong(request));
    wrong
        .map(|request| {
            let seen = format!("the answer belongs to another request or is incomplete: {request:?}");
            Violation::new(Promise::OwnAnswer, seen)
        })
        .collect()
}

fn is_wrong(request: &Request) -> bool {
    let Some(Ended::Answered { echo, value, .. }) = &request.ended else { return false };
    match request.asked {
        Asked::Put { .. } | Asked::Record { .. } | Asked::Within { .. } => *echo != Some(request.number),
        Asked::Get { .. } | Asked::OpenGet { .. } => *echo != Some(request.number) || value.is_none(),
        Asked::Begin(_) | Asked::Commit(_) | Asked::Rollback(_) => echo.is_some(),
    }
}
