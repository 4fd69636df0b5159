//! A vector that is sorted by a key of its elements and searched with binary search.

use serde::{Deserialize, Serialize};

/// An element that contains its sort key.
pub trait Keyed {
    /// The type of the key.
    type Key: Ord;

    /// Returns the key of the element.
    fn key(&self) -> &Self::Key;
}

/// A vector that is sorted by its elements' keys. Keys are unique.
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
    /// Returns an empty vector.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the element with the key.
    pub fn get(&self, key: &T::Key) -> Option<&T> {
        let index = self.position(key).ok()?;
        Some(&self.items[index])
    }

    /// Returns the element with the key for changing it. Its key must not change.
    pub fn get_mut(&mut self, key: &T::Key) -> Option<&mut T> {
        let index = self.position(key).ok()?;
        Some(&mut self.items[index])
    }

    /// Inserts an element and returns the one that it replaces.
    pub fn insert(&mut self, item: T) -> Option<T> {
        match self.position(item.key()) {
            Ok(index) => Some(std::mem::replace(&mut self.items[index], item)),
            Err(index) => {
                self.items.insert(index, item);
                None
            }
        }
    }

    /// Returns the element with the key, inserting the result of `make` if there is none.
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

    /// Removes and returns the element with the key.
    pub fn remove(&mut self, key: &T::Key) -> Option<T> {
        let index = self.position(key).ok()?;
        Some(self.items.remove(index))
    }

    /// Returns whether there is an element with the key.
    pub fn contains(&self, key: &T::Key) -> bool {
        self.position(key).is_ok()
    }

    fn position(&self, key: &T::Key) -> Result<usize, usize> {
        self.items.binary_search_by(|item| item.key().cmp(key))
    }
}

impl<T> SortedVec<T> {
    /// Returns the elements in key order.
    pub fn iter(&self) -> std::slice::Iter<'_, T> {
        self.items.iter()
    }

    /// Returns the elements in key order for changing them. Their keys must not change.
    pub fn iter_mut(&mut self) -> std::slice::IterMut<'_, T> {
        self.items.iter_mut()
    }

    /// Keeps only the elements for which `keep` returns true.
    pub fn retain(&mut self, keep: impl FnMut(&T) -> bool) {
        self.items.retain(keep);
    }

    /// Consumes the vector and returns its elements in key order.
    pub fn into_items(self) -> std::vec::IntoIter<T> {
        self.items.into_iter()
    }

    /// Returns the number of elements.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether there are no elements.
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
