//! The envelope of every message between the system's own processes.

use {
    crate::{
        heartbeat::{Heartbeat, HeartbeatAnswer},
        name::InstanceName,
        refusal::Refusal,
        relay::{RelayAnswer, RelayRequest},
        replication::ReplicationMessage,
        request::{CallerRequest, CallerResult},
        token::{TokenAnswer, TokenRequest},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The version of the envelope and all that it carries.
pub const PEER_VERSION: u16 = 3;

/// The longest encoded envelope that is read, in bytes.
pub const PEER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// One message between processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The layout's version.
    #[serde(rename = "v")]
    pub version: u16,
    /// The sender's name.
    #[serde(rename = "f")]
    pub from: InstanceName,
    /// The number that an answer carries back; each link counts its own.
    #[serde(rename = "r")]
    pub request: u64,
    /// The content.
    #[serde(rename = "b")]
    pub body: PeerBody,
}

/// The content of an envelope.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerBody {
    /// Between control instances. Carries its own matching; no answer is awaited.
    #[serde(rename = "r")]
    Replication(ReplicationMessage),
    /// An entry instance's heartbeat to a control instance.
    #[serde(rename = "h")]
    Heartbeat(Box<Heartbeat>),
    /// The leader's answer to a heartbeat.
    #[serde(rename = "a")]
    HeartbeatAnswer(Box<HeartbeatAnswer>),
    /// The answer of a control instance that does not lead.
    NotLeader(Option<Leader>),
    /// A caller's request, passed on to the entry instance that holds its transaction or a connection.
    Forward(Box<CallerRequest>),
    /// The answer to `Forward`.
    ForwardAnswer(Box<CallerResult>),
    /// An exchange with an endpoint, passed on to the entry instance that holds the organisation's connections.
    #[serde(rename = "x")]
    Relay(Box<RelayRequest>),
    /// The answer to `Relay`.
    #[serde(rename = "y")]
    RelayAnswer(Box<RelayAnswer>),
    /// Asks the entry instance that holds a failure domain's share of an organisation's rate for a token.
    #[serde(rename = "t")]
    Token(TokenRequest),
    /// The answer to `Token`.
    #[serde(rename = "u")]
    TokenAnswer(TokenAnswer),
    /// A request that the receiver could not serve as a message.
    Refused(Refusal),
}

/// Where the control leader is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// Its name.
    pub instance: InstanceName,
    /// The address of its peer port, as `ip:port`.
    pub peer_address: Arc<str>,
}
