//! Encoding and decoding of envelopes.

use {
    super::LinkError,
    cumincart_protocol::peer::{Envelope, PEER_MAX_BYTES, PEER_VERSION},
    std::io::{self, Write},
};

/// The maximum nesting depth of the values in a message.
const MAX_DEPTH: usize = 64;

/// Encodes an envelope as CBOR. Fails if it is longer than the peer accepts, which would close the link.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, LinkError> {
    let mut message = BoundedMessage::default();
    match ciborium::into_writer(envelope, &mut message) {
        Ok(()) => Ok(message.bytes),
        Err(_) => Err(LinkError::TooLong),
    }
}

/// An encoded message of at most [`PEER_MAX_BYTES`].
#[derive(Debug, Default)]
struct BoundedMessage {
    bytes: Vec<u8>,
}

impl Write for BoundedMessage {
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        if self.bytes.len() + part.len() > PEER_MAX_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        self.bytes.extend_from_slice(part);
        Ok(part.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
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
