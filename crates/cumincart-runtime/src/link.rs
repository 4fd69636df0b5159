//! Links between instances: WebSocket connections whose messages contain one CBOR envelope each.
//!
//! A link starts with a handshake in which both sides prove that they know the fleet secret. Answers are matched to
//! requests by number, never by order. A message that can't be decoded closes its link and affects no other link.

pub mod client;
pub mod codec;
pub mod handshake;
pub mod lanes;
pub mod server;
pub mod traffic;

use cumincart_protocol::peer::PEER_MAX_BYTES;

/// An error of a peer link.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum LinkError {
    /// The address can't be bound.
    #[error("can't bind the peer address {address}: {source}")]
    #[diagnostic(
        code(cumincart::link::bind),
        help("check that the address belongs to this machine and that no other process uses it")
    )]
    Bind {
        /// The address.
        address: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The peer does not know the fleet secret, or uses another protocol version.
    #[error("the handshake with the peer failed: {reason}")]
    #[diagnostic(
        code(cumincart::link::handshake),
        help("configure the same fleet secret and run the same version on all instances")
    )]
    Handshake {
        /// Why it failed.
        reason: &'static str,
    },
    /// A message can't be decoded as an envelope.
    #[error("a message from a peer can't be decoded: {reason}")]
    #[diagnostic(code(cumincart::link::message), help("run the same version on all instances"))]
    Message {
        /// Why it failed.
        reason: String,
    },
    /// A message is longer than the peer accepts; nothing was sent, and the link is not affected.
    #[error("the message is longer than {PEER_MAX_BYTES} bytes")]
    #[diagnostic(code(cumincart::link::too_long), help("send less in one message"))]
    TooLong,
    /// The link is down; nothing was sent.
    #[error("the link to the peer is down")]
    #[diagnostic(
        code(cumincart::link::down),
        help("the link reconnects automatically; send the request again")
    )]
    Down,
    /// The link was lost or the answer timed out. The message may have been sent.
    #[error("the peer did not answer")]
    #[diagnostic(code(cumincart::link::lost), help("the peer may have processed the message"))]
    Lost,
}
