//! JSON answers to requests that match no path or lack the operators' token.

use {
    super::refusal::RefusalResponse,
    cumincart_protocol::operator_api::{OperatorRefusal, OperatorRefusalCode},
    rocket::{Catcher, Request, catch, catchers, http::Status},
};

/// The catchers of the whole interface.
pub(crate) fn catchers() -> Vec<Catcher> {
    catchers![token_refused, not_served]
}

#[catch(401)]
fn token_refused() -> RefusalResponse {
    RefusalResponse(OperatorRefusal {
        code: OperatorRefusalCode::TokenRefused,
        leader: None,
        message: Some("the operator token is missing or wrong".into()),
    })
}

#[catch(default)]
fn not_served(status: Status, _: &Request<'_>) -> (Status, RefusalResponse) {
    (status, RefusalResponse::bad_request(status.reason_lossy()))
}
