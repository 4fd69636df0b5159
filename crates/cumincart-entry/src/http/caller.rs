//! The headers of a caller's request.

use {
    cumincart_protocol::{
        name::InstanceName,
        number::Incarnation,
        refusal::{Refusal, RefusalCode},
        request::{CallerRequest, Operation, RequestId, TransactionId},
        session::Session,
    },
    rocket::{
        Request,
        request::{FromRequest, Outcome},
    },
    sha2::{Digest, Sha256},
};

/// The header of the session token, in requests and responses.
pub(crate) const SESSION_HEADER: &str = "Cumincart-Session";

/// The header of the request id, which identifies a request that must not be executed twice.
pub(crate) const REQUEST_ID_HEADER: &str = "Cumincart-Request-Id";

/// The header that shortens the deadline of the route.
pub(crate) const DEADLINE_HEADER: &str = "Cumincart-Deadline-Ms";

/// The header of the transaction token, in requests and responses.
pub(crate) const TRANSACTION_HEADER: &str = "Cumincart-Transaction";

/// The maximum length of a request id, in bytes.
const REQUEST_ID_MAX_BYTES: usize = 128;

/// The validated headers of a caller's request.
#[derive(Debug)]
pub(crate) struct CallerHeaders {
    key_digest: Option<[u8; 32]>,
    session: Session,
    request_id: Option<RequestId>,
    deadline_ms: Option<u64>,
    /// The transaction that the request belongs to.
    pub(crate) transaction: Option<TransactionId>,
}

impl CallerHeaders {
    /// Creates the core's request for an operation.
    pub(crate) fn request(self, operation: Operation) -> CallerRequest {
        CallerRequest {
            key_digest: self.key_digest,
            session: self.session,
            request_id: self.request_id,
            operation,
            deadline_ms: self.deadline_ms,
        }
    }
}

/// The result of validating the headers.
pub(crate) struct CheckedHeaders(pub(crate) Result<CallerHeaders, Refusal>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CheckedHeaders {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        Outcome::Success(Self(read_headers(request)))
    }
}

fn read_headers(request: &Request<'_>) -> Result<CallerHeaders, Refusal> {
    let headers = request.headers();
    Ok(CallerHeaders {
        key_digest: headers.get_one("Authorization").map(key_digest).transpose()?,
        session: headers.get_one(SESSION_HEADER).map(session).transpose()?.unwrap_or_default(),
        request_id: headers.get_one(REQUEST_ID_HEADER).map(request_id).transpose()?,
        deadline_ms: headers.get_one(DEADLINE_HEADER).map(deadline_ms).transpose()?,
        transaction: headers.get_one(TRANSACTION_HEADER).map(transaction).transpose()?,
    })
}

fn key_digest(authorization: &str) -> Result<[u8; 32], Refusal> {
    let Some(key) = authorization.strip_prefix("Bearer ") else {
        return Err(Refusal::not_run(
            RefusalCode::KeyRefused,
            "the Authorization header must be `Bearer`, a space and the key",
        ));
    };
    Ok(Sha256::digest(key.trim().as_bytes()).into())
}

fn session(token: &str) -> Result<Session, Refusal> {
    Session::decode(token).map_err(|error| Refusal::not_run(RefusalCode::BadSession, error.to_string()))
}

fn request_id(text: &str) -> Result<RequestId, Refusal> {
    if text.is_empty() || text.len() > REQUEST_ID_MAX_BYTES {
        return Err(bad_request("the request id must have 1 to 128 bytes"));
    }
    Ok(RequestId(text.into()))
}

fn deadline_ms(text: &str) -> Result<u64, Refusal> {
    match text.parse() {
        Ok(deadline_ms) if deadline_ms > 0 => Ok(deadline_ms),
        _ => Err(bad_request("the deadline must be a whole number of milliseconds above 0")),
    }
}

/// Returns the token of a transaction: instance, incarnation and number.
pub(crate) fn transaction_token(transaction: &TransactionId) -> String {
    format!("{}/{}/{:x}", transaction.instance, transaction.incarnation, transaction.number)
}

fn transaction(text: &str) -> Result<TransactionId, Refusal> {
    parse_transaction(text).ok_or_else(|| bad_request("the transaction token is malformed"))
}

fn parse_transaction(text: &str) -> Option<TransactionId> {
    let mut parts = text.rsplitn(3, '/');
    let number = u64::from_str_radix(parts.next()?, 16).ok()?;
    let incarnation = Incarnation(parts.next()?.parse().ok()?);
    let instance = InstanceName::from(parts.next()?);
    Some(TransactionId { instance, incarnation, number })
}

/// Creates the refusal of a malformed request.
pub(crate) fn bad_request(message: &'static str) -> Refusal {
    Refusal::not_run(RefusalCode::BadRequest, message)
}
