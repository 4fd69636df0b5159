//! JSON responses to requests that match no path or lack the operator token.

use {
    super::refusal::RefusalResponse,
    cumincart_protocol::operator_api::{OperatorRefusal, OperatorRefusalCode},
    rocket::{Catcher, Request, catch, catchers, http::Status},
};

/// Returns the catchers of the interface.
pub(crate) fn catchers() -> Vec<Catcher> {
    catchers![unauthorized, default_catcher]
}

#[catch(401)]
fn unauthorized() -> RefusalResponse {
    RefusalResponse(OperatorRefusal {
        code: OperatorRefusalCode::TokenRefused,
        leader: None,
        message: Some("the operator token is missing or wrong".into()),
    })
}

#[catch(default)]
fn default_catcher(status: Status, _: &Request<'_>) -> (Status, RefusalResponse) {
    (status, RefusalResponse::bad_request(status.reason_lossy()))
}
