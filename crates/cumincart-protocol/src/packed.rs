//! Large updates of the catalogue as compressed bytes, which are computed once and shared by the messages to all holders.

use {
    crate::{heartbeat::CatalogueUpdate, peer::PEER_MAX_BYTES},
    miniz_oxide::{deflate::compress_to_vec, inflate::decompress_to_vec_with_limit},
    serde::{Deserialize, Deserializer, Serialize, Serializer, de},
    std::{fmt, sync::Arc},
};

/// The level of compression. Lists repeat a few settings for each of many databases, so that higher levels cost more and
/// hardly save bytes.
const LEVEL: u8 = 3;

/// The maximum nesting depth of the values in an update.
const MAX_DEPTH: usize = 64;

/// An update of the catalogue in CBOR, compressed with DEFLATE (RFC 1951).
#[derive(Clone, PartialEq, Eq)]
pub struct PackedUpdate {
    bytes: Arc<[u8]>,
}

/// An update that can't be unpacked.
#[derive(Debug, thiserror::Error)]
#[error("a packed update of the catalogue is not valid")]
pub struct UnpackError;

impl PackedUpdate {
    /// Packs an update.
    pub fn pack(update: &CatalogueUpdate) -> Self {
        let mut plain = Vec::new();
        ciborium::into_writer(update, &mut plain).expect("writing to a vector can't fail");
        Self { bytes: compress_to_vec(&plain, LEVEL).into() }
    }

    /// Unpacks the update. Fails if the bytes are not valid, are longer than a message may be, or contain another packed
    /// update.
    pub fn unpack(&self) -> Result<CatalogueUpdate, UnpackError> {
        let plain = decompress_to_vec_with_limit(&self.bytes, PEER_MAX_BYTES).map_err(|_| UnpackError)?;
        let mut rest = plain.as_slice();
        let update = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH);
        match update {
            Ok(CatalogueUpdate::Packed(_)) | Err(_) => Err(UnpackError),
            Ok(update) if rest.is_empty() => Ok(update),
            Ok(_) => Err(UnpackError),
        }
    }

    /// Returns the size of the packed update, in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are no bytes. Such an update is not valid.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

impl fmt::Debug for PackedUpdate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PackedUpdate({} bytes)", self.bytes.len())
    }
}

impl Serialize for PackedUpdate {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.bytes)
    }
}

impl<'de> Deserialize<'de> for PackedUpdate {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }
}

struct BytesVisitor;

impl de::Visitor<'_> for BytesVisitor {
    type Value = PackedUpdate;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the bytes of a packed update")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<PackedUpdate, E> {
        Ok(PackedUpdate { bytes: bytes.into() })
    }

    fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<PackedUpdate, E> {
        Ok(PackedUpdate { bytes: bytes.into() })
    }
}
