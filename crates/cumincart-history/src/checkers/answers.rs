//! A client receives the complete answer to its own request.

use {
    super::{Guarantee, Violation},
    crate::history::{ClientOperation, History, Request, RequestOutcome},
};

pub(super) fn check(history: &History) -> Vec<Violation> {
    let wrong = history.requests.iter().filter(|request| is_wrong(request));
    wrong
        .map(|request| {
            let details = format!("the answer belongs to another request or is incomplete: {request:?}");
            Violation::new(Guarantee::MatchingAnswer, details)
        })
        .collect()
}

fn is_wrong(request: &Request) -> bool {
    let Some(RequestOutcome::Answered { echo, value, .. }) = &request.outcome else { return false };
    match request.operation {
        ClientOperation::Put { .. }
        | ClientOperation::Record { .. }
        | ClientOperation::PutInTransaction { .. } => *echo != Some(request.number),
        ClientOperation::Get { .. } | ClientOperation::OpenGet { .. } => {
            *echo != Some(request.number) || value.is_none()
        }
        ClientOperation::Begin(_) | ClientOperation::Commit(_) | ClientOperation::Rollback(_) => {
            echo.is_some()
        }
    }
}
