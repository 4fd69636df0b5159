//! The envelope of all messages between instances.

use {
    crate::{
        excerpt::Excerpt,
        heartbeat::{Heartbeat, HeartbeatAnswer},
        name::InstanceName,
        refusal::{Refusal, RefusalCode},
        relay::{RelayAnswer, RelayRequest},
        replication::ReplicationMessage,
        request::{CallerRequest, CallerResult},
        size::encoded_bytes,
        token::{TokenAnswer, TokenRequest},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The version of the envelope and of all messages in it.
pub const PEER_VERSION: u16 = 3;

/// The longest encoded envelope that is accepted, in bytes.
pub const PEER_MAX_BYTES: usize = 32 * 1024 * 1024;

/// A message between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The version of the format.
    #[serde(rename = "v")]
    pub version: u16,
    /// The sender's name.
    #[serde(rename = "f")]
    pub from: InstanceName,
    /// The number of the request, which its answer carries too. Each link counts its own requests.
    #[serde(rename = "r")]
    pub request: u64,
    /// The content.
    #[serde(rename = "b")]
    pub body: PeerBody,
}

/// The content of an envelope.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerBody {
    /// A message between control instances. It identifies what it answers by itself, so the sender does not wait for an
    /// answer.
    #[serde(rename = "r")]
    Replication(ReplicationMessage),
    /// An entry instance's heartbeat to a control instance.
    #[serde(rename = "h")]
    Heartbeat(Box<Heartbeat>),
    /// The leader's answer to a heartbeat.
    #[serde(rename = "a")]
    HeartbeatAnswer(Box<HeartbeatAnswer>),
    /// The answer of a control instance that is not the leader, with the leader if it is known.
    NotLeader(Option<Leader>),
    /// A caller's request, forwarded to the entry instance that holds its transaction or a connection.
    Forward(Box<CallerRequest>),
    /// The answer to `Forward`.
    ForwardAnswer(Box<CallerResult>),
    /// An exchange with an endpoint, relayed to the entry instance that holds the organisation's connections.
    #[serde(rename = "x")]
    Relay(Box<RelayRequest>),
    /// The answer to `Relay`.
    #[serde(rename = "y")]
    RelayAnswer(Box<RelayAnswer>),
    /// A request for a token, sent to the entry instance that holds a failure domain's share of an organisation's rate.
    #[serde(rename = "t")]
    Token(TokenRequest),
    /// The answer to `Token`.
    #[serde(rename = "u")]
    TokenAnswer(TokenAnswer),
    /// Asks another entry instance for the control instances that it knows. Sent by one that none of them answers.
    #[serde(rename = "w")]
    ControlAddressesRequest,
    /// The answer to `ControlAddressesRequest`: peer addresses, as `ip:port`.
    #[serde(rename = "k")]
    ControlAddresses(Vec<Arc<str>>),
    /// The answer to a message that the receiver rejects as a whole.
    Refused(Refusal),
}

/// The name and address of the control leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// Its name.
    pub instance: InstanceName,
    /// The address of its peer port, as `ip:port`.
    pub peer_address: Arc<str>,
}

/// The room for the rest of an envelope, beside the answer to a forwarded request.
const ENVELOPE_MAX_BYTES: usize = 64 * 1024;

impl PeerBody {
    /// Returns the answer to a forwarded request. A result that is too long for an envelope becomes a refusal with the
    /// same verdict, because the receiver would close the link, on which other requests are in progress.
    pub fn forward_answer(result: CallerResult) -> Self {
        let result = if encoded_bytes(&result) + ENVELOPE_MAX_BYTES > PEER_MAX_BYTES {
            Err(too_long(result))
        } else {
            result
        };
        Self::ForwardAnswer(Box::new(result))
    }
}

fn too_long(result: CallerResult) -> Refusal {
    match result {
        Ok(_) => Refusal::ran(RefusalCode::Internal, "the statement ran, but its result is too long"),
        Err(refusal) => {
            Refusal { message: Excerpt(&refusal.message).to_string().into(), session: None, ..refusal }
        }
    }
}
