//! The peer addresses of the control instances, as entry instances know them.
//!
//! A holder identifies its list by a digest of the list itself. So the leader sends the list to every holder that does
//! not have it, whatever was lost, late or answered again in between.

use {crate::fnv::Fnv, std::sync::Arc};

/// Returns the digest that identifies a list of addresses; 0 for an empty list. Source of the hash: [`Fnv`].
pub fn digest(addresses: &[Arc<str>]) -> u64 {
    if addresses.is_empty() {
        return 0;
    }
    let mut hash = Fnv::default();
    for address in addresses {
        hash.write(address.as_bytes());
        hash.write(&[0]);
    }
    hash.finish()
}
