//! HTTP responses for refusals.

use {
    super::caller::SESSION_HEADER,
    cumincart_protocol::refusal::{Refusal, RefusalCode},
    rocket::{
        Request,
        http::{ContentType, Status},
        response::{self, Responder, Response},
    },
    std::io::Cursor,
};

const MILLIS_PER_SECOND: u64 = 1_000;

/// The HTTP response with a refusal for a caller.
#[derive(Debug)]
pub(crate) struct RefusalResponse(pub(crate) Refusal);

impl From<Refusal> for RefusalResponse {
    fn from(refusal: Refusal) -> Self {
        Self(refusal)
    }
}

impl<'r> Responder<'r, 'static> for RefusalResponse {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'static> {
        let refusal = self.0;
        let body = serde_json::to_vec(&refusal).map_err(|_| Status::InternalServerError)?;
        let mut response = Response::build();
        response.status(status(refusal.code)).header(ContentType::JSON);
        if let Some(after_ms) = refusal.retry_after_ms {
            // The header has a resolution of seconds; the body has the exact time.
            response.raw_header("Retry-After", after_ms.div_ceil(MILLIS_PER_SECOND).to_string());
        }
        if let Some(session) = &refusal.session {
            response.raw_header(SESSION_HEADER, session.to_string());
        }
        response.sized_body(body.len(), Cursor::new(body)).ok()
    }
}

/// Returns the HTTP status of a refusal code.
pub(crate) fn status(code: RefusalCode) -> Status {
    match code {
        RefusalCode::BadRequest | RefusalCode::BadSession | RefusalCode::RequestIdMissing => {
            Status::BadRequest
        }
        RefusalCode::KeyRefused => Status::Unauthorized,
        RefusalCode::RouteForbidden => Status::Forbidden,
        RefusalCode::RouteUnknown | RefusalCode::TransactionUnknown => Status::NotFound,
        RefusalCode::OverRate => Status::TooManyRequests,
        RefusalCode::AlreadyRun | RefusalCode::WriteLost => Status::Conflict,
        RefusalCode::StatementFailed => Status::UnprocessableEntity,
        RefusalCode::DeadlineExceeded => Status::GatewayTimeout,
        RefusalCode::ConnectionLost | RefusalCode::TermChanged => Status::BadGateway,
        RefusalCode::NotFresh
        | RefusalCode::OutOfService
        | RefusalCode::NoEndpoint
        | RefusalCode::Overloaded => Status::ServiceUnavailable,
        RefusalCode::Internal => Status::InternalServerError,
    }
}
