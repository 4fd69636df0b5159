//! The list of entry instances that hold leases, brought forward by what differs.
//!
//! A holder names the list that it has by a digest, so a lost answer is made good by the next one, and a new leader that
//! knows the same list sends nothing.

use {
    crate::{
        fnv::Fnv,
        heartbeat::InstanceEntry,
        name::InstanceName,
        sorted::{Keyed, SortedVec},
    },
    serde::{Deserialize, Serialize},
};

/// A digest that tells two lists apart; 0 stands for none.
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

/// Brings a holder's list forward.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstancesUpdate {
    /// The whole list.
    #[serde(rename = "w")]
    Whole(Vec<InstanceEntry>),
    /// What differs from the list that the holder named.
    #[serde(rename = "c")]
    Changes {
        /// Instances that hold no lease any more.
        #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
        ended: Vec<InstanceName>,
        /// Instances that are new or have changed.
        #[serde(rename = "j", default, skip_serializing_if = "Vec::is_empty")]
        joined: Vec<InstanceEntry>,
    },
}

impl InstancesUpdate {
    /// What turns one list into another.
    pub fn between(from: &SortedVec<InstanceEntry>, to: &SortedVec<InstanceEntry>) -> Self {
        let ended = from.iter().filter(|entry| !to.contains(entry.key())).map(|entry| entry.name.clone());
        let joined = to.iter().filter(|entry| from.get(entry.key()) != Some(entry));
        Self::Changes { ended: ended.collect(), joined: joined.cloned().collect() }
    }

    /// Applies the update to the list that it is for.
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
