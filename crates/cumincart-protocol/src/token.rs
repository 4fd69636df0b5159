//! Tokens of small organisations' rates, which one instance of each failure domain holds for the others there.

use {
    crate::name::OrganisationName,
    serde::{Deserialize, Serialize},
};

/// Asks the receiver for one token of an organisation's rate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The organisation.
    #[serde(rename = "o")]
    pub organisation: OrganisationName,
    /// The order among databases; 0 goes first.
    #[serde(rename = "r")]
    pub priority: u32,
    /// Within which time the token is of use, in milliseconds.
    #[serde(rename = "b")]
    pub within_ms: u64,
}

/// Answers a [`TokenRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenAnswer {
    /// The token is the asker's.
    #[serde(rename = "g")]
    Granted,
    /// No token came in time.
    #[serde(rename = "r")]
    Refused,
    /// The receiver is stopping or holds no lease on shares; another instance may serve.
    #[serde(rename = "n")]
    NotServed,
}
