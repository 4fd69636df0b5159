//! HTTP responses for refusals to operators.

use {
    cumincart_core::control::ControlRefusal,
    cumincart_protocol::operator_api::{OperatorRefusal, OperatorRefusalCode},
    rocket::{
        Request,
        http::{ContentType, Status},
        response::{self, Responder, Response},
    },
    std::{io::Cursor, sync::Arc},
};

/// The HTTP response with a refusal for an operator.
#[derive(Debug)]
pub(crate) struct RefusalResponse(pub(crate) OperatorRefusal);

impl RefusalResponse {
    /// Creates the refusal of a malformed request.
    pub(crate) fn bad_request(message: impl Into<Arc<str>>) -> Self {
        Self(OperatorRefusal {
            code: OperatorRefusalCode::BadRequest,
            leader: None,
            message: Some(message.into()),
        })
    }
}

impl From<ControlRefusal> for RefusalResponse {
    fn from(refusal: ControlRefusal) -> Self {
        let (code, leader, message) = match refusal {
            ControlRefusal::NotLeader(leader) => (
                OperatorRefusalCode::NotLeader,
                leader,
                "this control instance is not the leader; send the request to another one",
            ),
            ControlRefusal::Unknown => (
                OperatorRefusalCode::Unknown,
                None,
                "the change may be committed; send it again with the same id",
            ),
            ControlRefusal::NoQuorum => {
                (OperatorRefusalCode::NoQuorum, None, "no quorum of control instances answers")
            }
        };
        Self(OperatorRefusal { code, leader, message: Some(message.into()) })
    }
}

impl<'r> Responder<'r, 'static> for RefusalResponse {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'static> {
        let body = serde_json::to_vec(&self.0).map_err(|_| Status::InternalServerError)?;
        Response::build()
            .status(status(self.0.code))
            .header(ContentType::JSON)
            .sized_body(body.len(), Cursor::new(body))
            .ok()
    }
}

fn status(code: OperatorRefusalCode) -> Status {
    match code {
        OperatorRefusalCode::BadRequest => Status::BadRequest,
        OperatorRefusalCode::TokenRefused => Status::Unauthorized,
        OperatorRefusalCode::NotLeader | OperatorRefusalCode::Unknown | OperatorRefusalCode::NoQuorum => {
            Status::ServiceUnavailable
        }
    }
}
