//! Relayed exchanges: an entry instance sends an exchange with an endpoint to the instance that holds the
//! organisation's connections.

use {
    crate::{
        exchange::{Command, LinkFailure, LogPoint, Prepared, Reply, SessionValue},
        name::{EndpointName, OrganisationName, ServiceName},
        number::Term,
        sorted::SortedVec,
    },
    serde::{Deserialize, Serialize},
};

/// The name of the executed statement in a relayed exchange. The receiver knows the statement's name on its connection
/// and puts it in place of this one, which no connection uses.
pub const RELAYED_STATEMENT: &str = "-";

fn is_zero(value: &u64) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !*value
}

/// A request to run commands at an endpoint over one of the receiver's connections.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: EndpointName,
    /// The organisation whose connection is to be used.
    #[serde(rename = "o")]
    pub organisation: OrganisationName,
    /// The sender's identifier of a slot that it holds over several exchanges; 0 for a single exchange.
    #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
    pub kept: u64,
    /// The session values that the connection must have.
    #[serde(rename = "v", default, skip_serializing_if = "SortedVec::is_empty")]
    pub values: SortedVec<SessionValue>,
    /// The prepared statement that the commands execute, if any.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub prepared: Option<Prepared>,
    /// The commands.
    #[serde(rename = "c")]
    pub commands: Vec<Command>,
    /// The priority of the database; 0 is served first.
    #[serde(rename = "r")]
    pub priority: u32,
    /// The time within which the commands must get a slot, in milliseconds. Later, the sender no longer waits for them.
    #[serde(rename = "b")]
    pub start_within_ms: u64,
    /// The time within which the answer must arrive, in milliseconds. Later, the sender no longer waits for it.
    #[serde(rename = "d")]
    pub answer_within_ms: u64,
    /// Whether the sender only needs a recent log point of the endpoint, which is the primary. The receiver answers with
    /// [`RelayAnswer::Point`], or [`RelayAnswer::NotServed`] if it has none. The commands are for receivers of older
    /// builds, which run them.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub accepts_point: bool,
}

/// The answer to a [`RelayRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayAnswer {
    /// One reply for each command of the request.
    #[serde(rename = "r")]
    Replies(Vec<Reply>),
    /// The exchange with the endpoint failed.
    #[serde(rename = "f")]
    Failed(LinkFailure),
    /// The receiver could not reach the endpoint; nothing was sent.
    #[serde(rename = "u")]
    Unreachable,
    /// The receiver had no free slot in time; nothing was sent.
    #[serde(rename = "b")]
    Busy {
        /// The time until a slot is likely to be free, in milliseconds.
        #[serde(rename = "m")]
        retry_after_ms: u64,
    },
    /// The receiver is stopping, does not know the endpoint, or has no recent log point of it; nothing was sent.
    #[serde(rename = "n")]
    NotServed,
    /// The receiver does not hold the slot, or no longer: its transaction is rolled back, and nothing was sent.
    #[serde(rename = "l")]
    NotKept,
    /// A log point that the receiver has from the primary already; nothing was sent. Only for a request that accepts it.
    #[serde(rename = "p")]
    Point(SampledPoint),
}

/// A log point that covers every commit which the primary of a term had acknowledged at an instant in the past.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampledPoint {
    /// The term of the group.
    #[serde(rename = "t")]
    pub term: Term,
    /// The log point.
    #[serde(rename = "p")]
    pub point: LogPoint,
    /// How long before this answer the instant was, on the sender's clock, in milliseconds; rounded up.
    #[serde(rename = "a")]
    pub age_ms: u64,
}
