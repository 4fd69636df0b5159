//! Authentication of operators: a request guard that compares the bearer token of a request in constant time.

use {
    rocket::{
        Request,
        http::Status,
        request::{FromRequest, Outcome},
    },
    std::{fmt, sync::Arc},
    subtle::ConstantTimeEq,
};

/// The expected operator token, kept in Rocket's managed state. Without one, every operator request is refused.
#[derive(Clone)]
pub struct OperatorToken(pub Option<Arc<str>>);

impl fmt::Debug for OperatorToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorToken(..)")
    }
}

/// A request guard: the request has the operator token.
#[derive(Debug)]
pub struct Operator;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let expected = request.rocket().state::<OperatorToken>().and_then(|token| token.0.as_deref());
        let presented =
            request.headers().get_one("Authorization").and_then(|value| value.strip_prefix("Bearer "));
        match (expected, presented) {
            (Some(expected), Some(presented))
                if bool::from(expected.as_bytes().ct_eq(presented.as_bytes())) =>
            {
                Outcome::Success(Self)
            }
            _ => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}
