//! Differences between two configurations. With them, the cost of an edit depends on the size of the edit rather than
//! on the size of the configuration.

use {
    crate::{
        lists::{Database, Lists, Organisation, Plan, Service, ServiceLimits},
        name::{OrganisationName, PlanName, ServiceName},
        sorted::{Keyed, SortedVec},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The difference between two texts: the part between their common prefix and their common suffix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextPatch {
    /// The length of the common prefix, in bytes.
    #[serde(rename = "b")]
    pub begin: usize,
    /// The length of the common suffix, in bytes.
    #[serde(rename = "e")]
    pub end: usize,
    /// The new text between prefix and suffix.
    #[serde(rename = "m")]
    pub middle: Arc<str>,
}

impl TextPatch {
    /// Returns the patch that turns `old` into `new`.
    pub fn between(old: &str, new: &str) -> Self {
        let shorter = old.len().min(new.len());
        let mut begin = common_length(old.bytes().zip(new.bytes()));
        while !(old.is_char_boundary(begin) && new.is_char_boundary(begin)) {
            begin -= 1;
        }
        let mut end = common_length(old.bytes().rev().zip(new.bytes().rev())).min(shorter - begin);
        while !(old.is_char_boundary(old.len() - end) && new.is_char_boundary(new.len() - end)) {
            end -= 1;
        }
        Self { begin, end, middle: new[begin..new.len() - end].into() }
    }

    /// Returns the patched text; none if the patch does not fit `old`.
    pub fn apply(&self, old: &str) -> Option<Arc<str>> {
        let end_at = old.len().checked_sub(self.end).filter(|end_at| *end_at >= self.begin)?;
        let begin = old.get(..self.begin)?;
        let end = old.get(end_at..)?;
        Some([begin, &self.middle, end].concat().into())
    }
}

fn common_length(pairs: impl Iterator<Item = (u8, u8)>) -> usize {
    pairs.take_while(|(a, b)| a == b).count()
}

/// The difference between two collections: elements that are new or changed, and keys of removed elements.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ItemsPatch<T, K> {
    /// New or changed elements.
    #[serde(rename = "p")]
    pub put: Vec<T>,
    /// Keys of removed elements.
    #[serde(rename = "r")]
    pub removed: Vec<K>,
}

impl<T: Keyed + Clone + PartialEq> ItemsPatch<T, T::Key>
where
    T::Key: Clone,
{
    fn between<'a>(old: impl Iterator<Item = &'a T>, new: impl Iterator<Item = &'a T>) -> Self
    where
        T: 'a,
    {
        let old: SortedVec<T> = old.cloned().collect();
        let new: SortedVec<T> = new.cloned().collect();
        let put = new.iter().filter(|item| old.get(item.key()) != Some(item)).cloned().collect();
        let removed = old.iter().map(Keyed::key).filter(|key| !new.contains(key)).cloned().collect();
        Self { put, removed }
    }

    fn apply(&self, items: &mut SortedVec<T>) {
        for key in &self.removed {
            items.remove(key);
        }
        for item in &self.put {
            items.insert(item.clone());
        }
    }

    /// Returns the patch that has the effect of several ones in order.
    fn join<'a>(patches: impl Iterator<Item = &'a Self>) -> Self
    where
        Self: 'a,
    {
        let mut put: SortedVec<T> = SortedVec::new();
        let mut removed: Vec<T::Key> = Vec::new();
        for patch in patches {
            for key in &patch.removed {
                put.remove(key);
                removed.push(key.clone());
            }
            for item in &patch.put {
                put.insert(item.clone());
            }
        }
        removed.sort_unstable();
        removed.dedup();
        removed.retain(|key| !put.contains(key));
        Self { put: put.into_items().collect(), removed }
    }

    /// Applies the patch to a vector that is not sorted. Elements that are not part of the patch keep their order.
    fn apply_to_vec(&self, items: &mut Vec<T>) {
        items.retain(|item| !self.removed.contains(item.key()));
        for item in &self.put {
            match items.iter_mut().find(|known| known.key() == item.key()) {
                Some(known) => known.clone_from(item),
                None => items.push(item.clone()),
            }
        }
    }
}

/// The difference between two revisions of the lists.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListsPatch {
    /// Changed organisations.
    #[serde(rename = "o")]
    pub organisations: ItemsPatch<Organisation, OrganisationName>,
    /// Changed plans.
    #[serde(rename = "p")]
    pub plans: ItemsPatch<Plan, PlanName>,
    /// Changed services, with all their routes.
    #[serde(rename = "s")]
    pub services: ItemsPatch<Service, ServiceName>,
    /// Changed interactive databases.
    #[serde(rename = "d")]
    pub databases: ItemsPatch<Database, Arc<str>>,
    /// Changed limits of services.
    #[serde(rename = "l")]
    pub limits: ItemsPatch<ServiceLimits, ServiceName>,
    /// The idle timeout of a transaction, in milliseconds. Always present.
    #[serde(rename = "i")]
    pub idle_transaction_ms: u64,
}

impl ListsPatch {
    /// Returns the patch that turns `old` into `new`, except for the order of organisations, plans and services.
    pub fn between(old: &Lists, new: &Lists) -> Self {
        let organisations = |lists: &'_ Lists| lists.organisations.organisations.clone();
        Self {
            organisations: ItemsPatch::between(organisations(old).iter(), organisations(new).iter()),
            plans: ItemsPatch::between(old.plans.plans.iter(), new.plans.plans.iter()),
            services: ItemsPatch::between(old.plans.services.iter(), new.plans.services.iter()),
            databases: ItemsPatch::between(
                old.interactive.databases.iter(),
                new.interactive.databases.iter(),
            ),
            limits: ItemsPatch::between(old.interactive.services.iter(), new.interactive.services.iter()),
            idle_transaction_ms: new.interactive.idle_transaction_ms,
        }
    }

    /// Returns the patch that has the effect of several ones in order, except for the order of organisations, plans and
    /// services; none if there are no patches.
    pub fn join(patches: &[&Self]) -> Option<Self> {
        let last = patches.last()?;
        Some(Self {
            organisations: ItemsPatch::join(patches.iter().map(|patch| &patch.organisations)),
            plans: ItemsPatch::join(patches.iter().map(|patch| &patch.plans)),
            services: ItemsPatch::join(patches.iter().map(|patch| &patch.services)),
            databases: ItemsPatch::join(patches.iter().map(|patch| &patch.databases)),
            limits: ItemsPatch::join(patches.iter().map(|patch| &patch.limits)),
            idle_transaction_ms: last.idle_transaction_ms,
        })
    }

    /// Returns the patched lists.
    pub fn apply(&self, old: &Lists) -> Lists {
        let mut lists = old.clone();
        self.organisations.apply_to_vec(&mut lists.organisations.organisations);
        self.plans.apply_to_vec(&mut lists.plans.plans);
        self.services.apply_to_vec(&mut lists.plans.services);
        self.databases.apply(&mut lists.interactive.databases);
        self.limits.apply(&mut lists.interactive.services);
        lists.interactive.idle_transaction_ms = self.idle_transaction_ms;
        lists
    }
}
