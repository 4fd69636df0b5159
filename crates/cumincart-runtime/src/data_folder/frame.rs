//! Frames of the state file: a mark, a length, a checksum and the content in CBOR.

use {
    super::state::State,
    cumincart_core::control::Persist,
    cumincart_protocol::replication::DiskId,
    serde::{Deserialize, Serialize},
};

const MARK: [u8; 4] = *b"CMR1";
const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;
const HEADER_BYTES: usize = MARK.len() + LENGTH_BYTES + CHECKSUM_BYTES;

/// What a frame holds.
#[derive(Debug, Serialize, Deserialize)]
pub enum Entry {
    /// The whole state; the first frame of each file.
    Whole {
        /// The identity of the folder that it was written in.
        disk: DiskId,
        /// The state.
        state: Box<State>,
    },
    /// One step from there on.
    Persist(Persist),
}

/// What a file holds.
#[derive(Debug)]
pub struct Scan {
    /// The content of its frames.
    pub entries: Vec<Entry>,
    /// Where the last whole frame ends; what follows is torn.
    pub end: u64,
}

/// Encodes a frame.
pub fn encode(entry: &Entry) -> Vec<u8> {
    let mut body = Vec::new();
    ciborium::into_writer(entry, &mut body).expect("writing to a vector can't fail");
    let length = u32::try_from(body.len()).expect("a frame is far below 4 GB");
    let length = length.to_be_bytes();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&MARK);
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&checksum(&length, &body).to_be_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Reads a file's frames. Every frame was synced before the next was begun, so only the last can be torn: a bad frame
/// with a good one behind it is damage, and its offset is the error.
pub fn scan(bytes: &[u8]) -> Result<Scan, u64> {
    let mut entries = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let Some(body) = body(&bytes[offset..]) else {
            if has_frame_after(bytes, offset + 1) {
                return Err(offset as u64);
            }
            break;
        };
        let entry = ciborium::from_reader(body).map_err(|_| offset as u64)?;
        entries.push(entry);
        offset += HEADER_BYTES + body.len();
    }
    Ok(Scan { entries, end: offset as u64 })
}

fn has_frame_after(bytes: &[u8], start: usize) -> bool {
    (start..bytes.len()).any(|offset| bytes[offset..].starts_with(&MARK) && body(&bytes[offset..]).is_some())
}

fn body(bytes: &[u8]) -> Option<&[u8]> {
    let rest = bytes.strip_prefix(&MARK)?;
    let (length, rest) = rest.split_first_chunk::<LENGTH_BYTES>()?;
    let (expected, rest) = rest.split_first_chunk::<CHECKSUM_BYTES>()?;
    let body = rest.get(..u32::from_be_bytes(*length) as usize)?;
    (checksum(length, body) == u32::from_be_bytes(*expected)).then_some(body)
}

fn checksum(length: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(body);
    hasher.finalize()
}
