//! Links between the system's processes: WebSocket messages that hold one CBOR envelope each.
//!
//! A link begins with a handshake in which both sides prove that they know the fleet secret. Answers are matched by
//! number, never by order; a message that can't be read closes its link and touches no other request.

pub mod client;
pub mod codec;
pub mod handshake;
pub mod server;

/// Why a link could not do what it was asked.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum LinkError {
    /// The address can't be bound.
    #[error("the peer address {address} can't be bound: {source}")]
    #[diagnostic(code(cumincart::link::bind), help("check that no other process uses the address"))]
    Bind {
        /// The address.
        address: String,
        /// The operating system's reason.
        source: std::io::Error,
    },
    /// The other side does not know the fleet secret, or speaks another version.
    #[error("the peer failed the handshake: {reason}")]
    #[diagnostic(
        code(cumincart::link::handshake),
        help("give all instances the same fleet secret and version")
    )]
    Handshake {
        /// What was wrong.
        reason: &'static str,
    },
    /// A message is not a readable envelope.
    #[error("a message of a peer can't be read: {reason}")]
    #[diagnostic(code(cumincart::link::message), help("run the same version on all instances"))]
    Message {
        /// What was wrong.
        reason: String,
    },
    /// The link is down; nothing was sent.
    #[error("the link to the peer is down")]
    #[diagnostic(
        code(cumincart::link::down),
        help("the link is opened again by itself; send the request again")
    )]
    Down,
    /// The link was lost, or no answer came in time, after the message may have been sent.
    #[error("no answer came from the peer")]
    #[diagnostic(code(cumincart::link::lost), help("the peer may have acted on the message"))]
    Lost,
}
