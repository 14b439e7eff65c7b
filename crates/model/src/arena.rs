//! Append-only storage addressed by small `Copy` keys.
//!
//! A configuration is immutable once built, so its parts refer to each other by index. A key is
//! issued only for a stored value and never becomes invalid.

use std::marker::PhantomData;

/// An index into the [`Arena`] that issued it.
pub struct Key<T> {
    index: u32,
    marker: PhantomData<fn() -> T>,
}

impl<T> Clone for Key<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Key<T> {}

impl<T> PartialEq for Key<T> {
    fn eq(&self, other: &Self) -> bool {
        self.index == other.index
    }
}

impl<T> Eq for Key<T> {}

impl<T> std::fmt::Debug for Key<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "#{}", self.index)
    }
}

/// An append-only list whose values are accessed by [`Key`].
///
/// ```
/// let mut arena = model::arena::Arena::default();
/// let key = arena.insert("shelfview");
/// assert_eq!(*arena.get(key), "shelfview");
/// ```
#[derive(Clone, Debug)]
pub struct Arena<T> {
    values: Vec<T>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Arena { values: Vec::new() }
    }
}

impl<T> Arena<T> {
    /// Stores `value` and returns its key.
    pub fn insert(&mut self, value: T) -> Key<T> {
        let index =
            u32::try_from(self.values.len()).expect("an arena holds fewer than 2^32 values");
        self.values.push(value);
        Key { index, marker: PhantomData }
    }

    /// Returns the value that `key` was issued for.
    pub fn get(&self, key: Key<T>) -> &T {
        &self.values[key.index as usize]
    }

    /// Iterates over keys and values in insertion order.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.values
            .iter()
            .enumerate()
            .map(|(i, value)| (Key { index: i as u32, marker: PhantomData }, value))
    }

    /// Returns the number of stored values.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Returns whether no value is stored.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }
}
