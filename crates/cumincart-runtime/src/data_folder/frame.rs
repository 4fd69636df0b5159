//! Frames of the state file: magic bytes, length, CRC-32 checksum and content in CBOR.

use {
    super::state::State,
    cumincart_core::control::Persist,
    cumincart_protocol::replication::DiskId,
    serde::{Deserialize, Serialize},
};

const MAGIC: [u8; 4] = *b"CMR1";
const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;
const HEADER_BYTES: usize = MAGIC.len() + LENGTH_BYTES + CHECKSUM_BYTES;

/// The content of a frame.
#[derive(Debug, Serialize, Deserialize)]
pub enum FrameContent {
    /// A complete state. The first frame of each file.
    #[serde(rename = "Whole")]
    State {
        /// The identity of the folder that the state was written in.
        disk: DiskId,
        /// The state.
        state: Box<State>,
    },
    /// A change to the state.
    Persist(Persist),
}

/// The frames read from a state file.
#[derive(Debug)]
pub struct ScannedFrames {
    /// The contents of the complete frames, in order.
    pub contents: Vec<FrameContent>,
    /// The end of the last complete frame. A torn frame may follow.
    pub end: u64,
}

/// Encodes a frame.
pub fn encode(content: &FrameContent) -> Vec<u8> {
    let mut body = Vec::new();
    ciborium::into_writer(content, &mut body).expect("writing to a vector can't fail");
    let length = u32::try_from(body.len()).expect("a frame is far below 4 GB");
    let length = length.to_be_bytes();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&checksum(&length, &body).to_be_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes the frames of a state file. Each frame is synced before the next one is written, so only the last one can be
/// torn. An invalid frame with a valid one after it means that the file is damaged; its offset is returned as the
/// error.
pub fn scan(bytes: &[u8]) -> Result<ScannedFrames, u64> {
    let mut contents = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let Some(body) = body(&bytes[offset..]) else {
            if has_frame_after(bytes, offset + 1) {
                return Err(offset as u64);
            }
            break;
        };
        let content = ciborium::from_reader(body).map_err(|_| offset as u64)?;
        contents.push(content);
        offset += HEADER_BYTES + body.len();
    }
    Ok(ScannedFrames { contents, end: offset as u64 })
}

fn has_frame_after(bytes: &[u8], start: usize) -> bool {
    (start..bytes.len()).any(|offset| bytes[offset..].starts_with(&MAGIC) && body(&bytes[offset..]).is_some())
}

fn body(bytes: &[u8]) -> Option<&[u8]> {
    let rest = bytes.strip_prefix(&MAGIC)?;
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
