//! The guard of operators' paths: a token in the `Authorization` header, compared in constant time.

use {
    rocket::{
        Request,
        http::Status,
        request::{FromRequest, Outcome},
    },
    std::{fmt, sync::Arc},
    subtle::ConstantTimeEq,
};

/// The token that operators show, kept as a managed state of the interface; without one their paths stay closed.
#[derive(Clone)]
pub struct OperatorToken(pub Option<Arc<str>>);

impl fmt::Debug for OperatorToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorToken(..)")
    }
}

/// Shows that a request came with the operators' token.
#[derive(Debug)]
pub struct Operator;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let expected = request.rocket().state::<OperatorToken>().and_then(|token| token.0.as_deref());
        let shown =
            request.headers().get_one("Authorization").and_then(|value| value.strip_prefix("Bearer "));
        match (expected, shown) {
            (Some(expected), Some(shown)) if bool::from(expected.as_bytes().ct_eq(shown.as_bytes())) => {
                Outcome::Success(Self)
            }
            _ => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}
