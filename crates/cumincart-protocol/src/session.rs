//! The session token: what a session has seen, carried by the caller from answer to request.

use {
    crate::{
        name::ServiceName,
        number::{LogPosition, Term},
        sorted::{Keyed, SortedVec},
    },
    base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD},
    serde::{Deserialize, Serialize},
};

/// The version of the token's layout, its first byte.
pub const SESSION_VERSION: u8 = 1;

/// The longest encoded token that is read, in bytes.
pub const SESSION_MAX_BYTES: usize = 8 * 1024;

const CHECKSUM_BYTES: usize = 4;

/// A point in a group's history.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Point {
    /// The term.
    pub term: Term,
    /// The position within the term's log.
    pub position: LogPosition,
}

/// What a session has seen of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The service.
    pub service: ServiceName,
    /// The session's last acknowledged write.
    pub write: Point,
    /// The newest state that the session has read.
    pub read: Point,
}

impl Keyed for Seen {
    type Key = ServiceName;

    fn key(&self) -> &ServiceName {
        &self.service
    }
}

/// All that a session has seen.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// One element for each service that the session has used.
    pub seen: SortedVec<Seen>,
}

/// Why a session token can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// The token is longer than any that the system makes.
    #[error("the session token is longer than {SESSION_MAX_BYTES} bytes")]
    TooLong,
    /// The token is not URL-safe base64 without padding, or too short.
    #[error("the session token is not well-formed")]
    Malformed,
    /// The token has a version that this program does not know.
    #[error("the session token has the unknown version {0}")]
    Version(u8),
    /// The token's checksum does not match its content.
    #[error("the session token is damaged")]
    Checksum,
}

impl Session {
    /// Encodes the session as a token: version, checksum, CBOR, in URL-safe base64.
    pub fn encode(&self) -> String {
        let mut body = Vec::new();
        ciborium::into_writer(self, &mut body).expect("writing to a vector can't fail");
        let mut bytes = vec![SESSION_VERSION];
        bytes.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
        bytes.extend_from_slice(&body);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Reads a token that [`Session::encode`] made.
    pub fn decode(token: &str) -> Result<Self, SessionError> {
        if token.len() > SESSION_MAX_BYTES {
            return Err(SessionError::TooLong);
        }
        let bytes = URL_SAFE_NO_PAD.decode(token).map_err(|_| SessionError::Malformed)?;
        let (version, rest) = bytes.split_first().ok_or(SessionError::Malformed)?;
        if *version != SESSION_VERSION {
            return Err(SessionError::Version(*version));
        }
        let (checksum, body) = rest.split_first_chunk::<CHECKSUM_BYTES>().ok_or(SessionError::Malformed)?;
        if crc32fast::hash(body) != u32::from_be_bytes(*checksum) {
            return Err(SessionError::Checksum);
        }
        ciborium::from_reader(body).map_err(|_| SessionError::Malformed)
    }
}
