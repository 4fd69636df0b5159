//! Rate-limit tokens of organisations with small rates. In each failure domain, one instance holds the tokens for all
//! instances of the domain.

use {
    crate::name::OrganisationName,
    serde::{Deserialize, Serialize},
};

/// A request for one token of an organisation's rate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The organisation.
    #[serde(rename = "o")]
    pub organisation: OrganisationName,
    /// The priority of the database; 0 is served first.
    #[serde(rename = "r")]
    pub priority: u32,
    /// The time within which the token must arrive, in milliseconds. Later, the sender no longer waits for it.
    #[serde(rename = "b")]
    pub within_ms: u64,
    /// Whether the token is borrowed for another failure domain: the receiver gives one that it doesn't need itself, at
    /// once or not at all.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub loan: bool,
    /// Whether the sender understands [`TokenAnswer::OverLimit`].
    #[serde(rename = "e", default, skip_serializing_if = "is_false")]
    pub explains: bool,
}

fn is_false(value: &bool) -> bool {
    !*value
}

/// The answer to a [`TokenRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenAnswer {
    /// The token is granted to the sender.
    #[serde(rename = "g")]
    Granted,
    /// No token became available in time.
    #[serde(rename = "r")]
    Refused,
    /// No token became available in time, since the organisation asks for more than its plan allows over all instances.
    #[serde(rename = "o")]
    OverLimit,
    /// The receiver is stopping or holds no lease on shares; another instance may be able to answer.
    #[serde(rename = "n")]
    NotServed,
}
