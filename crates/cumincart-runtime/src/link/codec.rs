//! Envelopes as bytes.

use {
    super::LinkError,
    cumincart_protocol::peer::{Envelope, PEER_MAX_BYTES, PEER_VERSION},
};

/// The greatest nesting of a message's values that is read.
const MAX_DEPTH: usize = 64;

/// Encodes an envelope as CBOR.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(envelope, &mut bytes).expect("writing to a vector can't fail");
    bytes
}

/// Reads an envelope; refuses one that is too long, has another version or has bytes left over.
pub fn decode(bytes: &[u8]) -> Result<Envelope, LinkError> {
    if bytes.len() > PEER_MAX_BYTES {
        return Err(unreadable("it is too long"));
    }
    let mut rest = bytes;
    let envelope: Envelope = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .map_err(|error| unreadable(&error.to_string()))?;
    if !rest.is_empty() {
        return Err(unreadable("bytes are left over"));
    }
    if envelope.version != PEER_VERSION {
        return Err(unreadable(&format!("its version is {}, not {PEER_VERSION}", envelope.version)));
    }
    Ok(envelope)
}

fn unreadable(reason: &str) -> LinkError {
    LinkError::Message { reason: reason.to_owned() }
}
