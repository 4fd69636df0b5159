//! The session token: what a session has seen, which the caller carries from each answer to its next request.

use {
    crate::{
        name::ServiceName,
        number::{LogPosition, Term},
        sorted::{Keyed, SortedVec},
    },
    base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD},
    serde::{Deserialize, Serialize},
};

/// The version of the token format, stored in its first byte.
pub const SESSION_VERSION: u8 = 1;

/// The longest encoded token that is accepted, in bytes. A token grows by at most about 200 bytes with each service that
/// its session uses, so sessions that use 300 services stay below it.
pub const SESSION_MAX_BYTES: usize = 64 * 1024;

const CHECKSUM_BYTES: usize = 4;

/// A point in a group's history. Points are ordered by term first, then by position.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TermPoint {
    /// The term.
    pub term: Term,
    /// The position within the term's log.
    pub position: LogPosition,
}

/// The latest points of one service's history that a session has seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenPoints {
    /// The service.
    pub service: ServiceName,
    /// The point of the session's last acknowledged write.
    pub write: TermPoint,
    /// The point of the newest state that the session has read.
    pub read: TermPoint,
}

impl Keyed for SeenPoints {
    type Key = ServiceName;

    fn key(&self) -> &ServiceName {
        &self.service
    }
}

/// What a session has seen of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// One entry for each service that the session has used.
    pub seen: SortedVec<SeenPoints>,
}

/// The reason why a session token is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// The token is longer than any token that is issued.
    #[error("the session token is longer than {SESSION_MAX_BYTES} bytes")]
    TooLong,
    /// The token is not URL-safe base64 without padding, or too short.
    #[error("the session token is not well-formed")]
    Malformed,
    /// The token's version is not supported.
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

    /// Decodes a token made by [`Session::encode`].
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
