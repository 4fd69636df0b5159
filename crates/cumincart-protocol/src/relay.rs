//! Exchanges with an endpoint that an entry instance passes on to the one that holds the organisation's connections.

use {
    crate::{
        exchange::{Command, LinkFailure, Prepared, Reply, SessionValue},
        name::{EndpointName, OrganisationName, ServiceName},
        sorted::SortedVec,
    },
    serde::{Deserialize, Serialize},
};

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Asks the receiver to carry commands to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: EndpointName,
    /// The organisation that the connection must belong to.
    #[serde(rename = "o")]
    pub organisation: OrganisationName,
    /// The sender's number for a place that it keeps over several exchanges; 0 for one exchange.
    #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
    pub kept: u64,
    /// The session's values, which the connection must have.
    #[serde(rename = "v", default, skip_serializing_if = "SortedVec::is_empty")]
    pub values: SortedVec<SessionValue>,
    /// The prepared statement that the commands use, if any.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub prepared: Option<Prepared>,
    /// The commands.
    #[serde(rename = "c")]
    pub commands: Vec<Command>,
    /// The order among databases; 0 goes first.
    #[serde(rename = "r")]
    pub priority: u32,
    /// Within which time the commands must have a place to be of use, in milliseconds.
    #[serde(rename = "b")]
    pub start_within_ms: u64,
    /// Within which time the answer is of use, in milliseconds.
    #[serde(rename = "d")]
    pub answer_within_ms: u64,
}

/// Answers a [`RelayRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayAnswer {
    /// One reply for each command of the request.
    #[serde(rename = "r")]
    Replies(Vec<Reply>),
    /// The exchange with the endpoint failed.
    #[serde(rename = "f")]
    Failed(LinkFailure),
    /// The endpoint was not reached; nothing was sent.
    #[serde(rename = "u")]
    Unreachable,
    /// The receiver could not give a place in time; nothing was sent.
    #[serde(rename = "b")]
    Busy {
        /// When a place is likely, in milliseconds.
        #[serde(rename = "m")]
        retry_after_ms: u64,
    },
    /// The receiver is stopping or does not know the endpoint; nothing was sent.
    #[serde(rename = "n")]
    NotServed,
    /// The receiver does not keep this place (any more): it is rolled back, and nothing was sent.
    #[serde(rename = "l")]
    NotKept,
}
