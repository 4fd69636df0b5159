//! A vector that is kept sorted by a key of its elements and searched by bisection.

use serde::{Deserialize, Serialize};

/// An element that carries the key it is sorted by.
pub trait Keyed {
    /// The type of the key.
    type Key: Ord;

    /// The key of this element.
    fn key(&self) -> &Self::Key;
}

/// A vector sorted by its elements' keys; no two elements share a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SortedVec<T> {
    items: Vec<T>,
}

impl<T> Default for SortedVec<T> {
    fn default() -> Self {
        Self { items: Vec::new() }
    }
}

impl<T: Keyed> SortedVec<T> {
    /// An empty vector.
    pub fn new() -> Self {
        Self::default()
    }

    /// The element with this key.
    pub fn get(&self, key: &T::Key) -> Option<&T> {
        let index = self.position(key).ok()?;
        Some(&self.items[index])
    }

    /// The element with this key, to be changed; its key must stay as it is.
    pub fn get_mut(&mut self, key: &T::Key) -> Option<&mut T> {
        let index = self.position(key).ok()?;
        Some(&mut self.items[index])
    }

    /// Adds an element; returns the one that it replaces.
    pub fn insert(&mut self, item: T) -> Option<T> {
        match self.position(item.key()) {
            Ok(index) => Some(std::mem::replace(&mut self.items[index], item)),
            Err(index) => {
                self.items.insert(index, item);
                None
            }
        }
    }

    /// The element with this key, made first if there is none.
    pub fn get_or_insert_with(&mut self, key: &T::Key, make: impl FnOnce() -> T) -> &mut T {
        let index = match self.position(key) {
            Ok(index) => index,
            Err(index) => {
                self.items.insert(index, make());
                index
            }
        };
        &mut self.items[index]
    }

    /// Takes the element with this key out.
    pub fn remove(&mut self, key: &T::Key) -> Option<T> {
        let index = self.position(key).ok()?;
        Some(self.items.remove(index))
    }

    /// Whether there is an element with this key.
    pub fn contains(&self, key: &T::Key) -> bool {
        self.position(key).is_ok()
    }

    fn position(&self, key: &T::Key) -> Result<usize, usize> {
        self.items.binary_search_by(|item| item.key().cmp(key))
    }
}

impl<T> SortedVec<T> {
    /// The elements in the order of their keys.
    pub fn iter(&self) -> std::slice::Iter<'_, T> {
        self.items.iter()
    }

    /// The elements in the order of their keys, to be changed; their keys must stay as they are.
    pub fn iter_mut(&mut self) -> std::slice::IterMut<'_, T> {
        self.items.iter_mut()
    }

    /// Keeps only the elements for which `keep` holds.
    pub fn retain(&mut self, keep: impl FnMut(&T) -> bool) {
        self.items.retain(keep);
    }

    /// The elements in the order of their keys, taken out.
    pub fn into_items(self) -> std::vec::IntoIter<T> {
        self.items.into_iter()
    }

    /// The number of elements.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there is no element.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}

impl<T: Keyed> FromIterator<T> for SortedVec<T> {
    fn from_iter<I: IntoIterator<Item = T>>(items: I) -> Self {
        let mut sorted = Self::new();
        for item in items {
            sorted.insert(item);
        }
        sorted
    }
}

impl<'a, T> IntoIterator for &'a SortedVec<T> {
    type Item = &'a T;
    type IntoIter = std::slice::Iter<'a, T>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl Keyed for crate::name::DomainName {
    type Key = Self;

    fn key(&self) -> &Self {
        self
    }
}

impl Keyed for crate::name::InstanceName {
    type Key = Self;

    fn key(&self) -> &Self {
        self
    }
}
