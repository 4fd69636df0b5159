//! 64-bit FNV-1a: a hash that is the same in every process and run.

/// The offset basis.
const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// The prime.
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// A hash under way.
#[derive(Debug, Clone, Copy)]
pub struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Self {
        Self(OFFSET)
    }
}

impl Fnv {
    /// Takes bytes in.
    pub fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }

    /// The hash, with its bits spread by a finalizer: FNV's upper bits depend little on the last bytes.
    pub fn finish(self) -> u64 {
        let mut hash = self.0;
        hash ^= hash >> 33;
        hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
        hash ^ (hash >> 33)
    }
}
