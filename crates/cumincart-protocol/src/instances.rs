//! Updates of the list of entry instances that hold leases.
//!
//! A holder identifies its list by a digest. A lost answer is therefore made up for by the next one, and a new leader
//! that knows the same list sends nothing.

use {
    crate::{
        fnv::Fnv,
        heartbeat::InstanceEntry,
        name::InstanceName,
        sorted::{Keyed, SortedVec},
    },
    serde::{Deserialize, Serialize},
};

/// Returns the digest that identifies a list; 0 for an empty list.
pub fn digest(instances: &SortedVec<InstanceEntry>) -> u64 {
    if instances.is_empty() {
        return 0;
    }
    let mut hash = Fnv::default();
    for entry in instances {
        for part in [entry.name.as_str(), entry.domain.as_str(), &*entry.peer_address] {
            hash.write(part.as_bytes());
            hash.write(&[0]);
        }
        hash.write(&entry.incarnation.0.to_be_bytes());
    }
    hash.finish()
}

/// An update of a holder's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstancesUpdate {
    /// The whole list.
    #[serde(rename = "w")]
    Whole(Vec<InstanceEntry>),
    /// The difference from the list that the holder identified.
    #[serde(rename = "c")]
    Changes {
        /// Instances that no longer hold a lease.
        #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
        ended: Vec<InstanceName>,
        /// Instances that are new or have changed.
        #[serde(rename = "j", default, skip_serializing_if = "Vec::is_empty")]
        joined: Vec<InstanceEntry>,
    },
}

impl InstancesUpdate {
    /// Returns the update that turns `from` into `to`.
    pub fn between(from: &SortedVec<InstanceEntry>, to: &SortedVec<InstanceEntry>) -> Self {
        let ended = from.iter().filter(|entry| !to.contains(entry.key())).map(|entry| entry.name.clone());
        let joined = to.iter().filter(|entry| from.get(entry.key()) != Some(entry));
        Self::Changes { ended: ended.collect(), joined: joined.cloned().collect() }
    }

    /// Applies the update to the holder's list.
    pub fn apply(&self, instances: &mut SortedVec<InstanceEntry>) {
        match self {
            Self::Whole(entries) => *instances = entries.iter().cloned().collect(),
            Self::Changes { ended, joined } => {
                for name in ended {
                    instances.remove(name);
                }
                for entry in joined {
                    instances.insert(entry.clone());
                }
            }
        }
    }
}
