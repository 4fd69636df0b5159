//! Encoding and decoding of envelopes.

use {
    super::LinkError,
    cumincart_protocol::peer::{Envelope, PEER_MAX_BYTES, PEER_VERSION},
};

/// The maximum nesting depth of the values in a message.
const MAX_DEPTH: usize = 64;

/// Encodes an envelope as CBOR.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(envelope, &mut bytes).expect("writing to a vector can't fail");
    bytes
}

/// Decodes an envelope. Fails if it is too long, has another version or is followed by further bytes.
pub fn decode(bytes: &[u8]) -> Result<Envelope, LinkError> {
    if bytes.len() > PEER_MAX_BYTES {
        return Err(malformed(&format!(
            "it has {} bytes, but at most {PEER_MAX_BYTES} are allowed",
            bytes.len()
        )));
    }
    let mut rest = bytes;
    let envelope: Envelope = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .map_err(|error| malformed(&error.to_string()))?;
    if !rest.is_empty() {
        return Err(malformed(&format!("{} bytes of trailing data follow the envelope", rest.len())));
    }
    if envelope.version != PEER_VERSION {
        return Err(malformed(&format!("its version is {}, expected {PEER_VERSION}", envelope.version)));
    }
    Ok(envelope)
}

fn malformed(reason: &str) -> LinkError {
    LinkError::Message { reason: reason.to_owned() }
}
