//! The 64-bit FNV-1a hash, which gives the same value in every process and on every start.

/// The FNV-1a offset basis.
const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// The FNV prime.
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// The state of a hash.
#[derive(Debug, Clone, Copy)]
pub struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Self {
        Self(OFFSET)
    }
}

impl Fnv {
    /// Adds bytes to the hash.
    pub fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }

    /// Returns the hash. A finalizer mixes its bits, because FNV's upper bits depend little on the last bytes.
    pub fn finish(self) -> u64 {
        let mut hash = self.0;
        hash ^= hash >> 33;
        hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
        hash ^ (hash >> 33)
    }
}
