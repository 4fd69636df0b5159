//! JSON responses to requests that no route accepts.

use {
    super::refusal::RefusalResponse,
    cumincart_protocol::refusal::{Refusal, RefusalCode},
    rocket::{Catcher, Request, catch, catchers, http::Status},
};

/// Returns the catchers of the interface.
pub(crate) fn catchers() -> Vec<Catcher> {
    catchers![default_catcher]
}

#[catch(default)]
fn default_catcher(status: Status, _: &Request<'_>) -> RefusalResponse {
    let refusal = match status.code {
        401 => Refusal::not_run(RefusalCode::KeyRefused, "the operator token is missing or wrong"),
        404 => Refusal::not_run(RefusalCode::RouteUnknown, "there is nothing at this path"),
        413 => Refusal::not_run(RefusalCode::BadRequest, "the body is too large"),
        400..=499 => Refusal::not_run(RefusalCode::BadRequest, status.reason_lossy()),
        _ => Refusal::unknown(RefusalCode::Internal, status.reason_lossy()),
    };
    RefusalResponse(refusal)
}
