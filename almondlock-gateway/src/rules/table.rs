//! A hash table whose clones share unchanged entries.
//!
//! A clone costs one reference for each shard, and a change copies only the shard with the
//! changed entry. So one route of ten thousand can be replaced while requests still use the
//! earlier table.

use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
    sync::Arc,
};

/// Number of shards. With ten thousand entries a shard holds about twenty, which are
/// searched in order.
const SHARDS: usize = 512;

/// Key of an entry.
pub(super) type Key<'a> = (&'a str, &'a str);

/// An entry of a table.
pub(super) trait Entry: Clone + PartialEq {
    /// Returns the key of the entry.
    fn key(&self) -> Key<'_>;
}

type Shard<V> = Arc<Vec<(u64, V)>>;

#[derive(Clone, Debug)]
pub(super) struct Table<V> {
    // Invariant: each entry is in the shard of its key's hash, and no two entries have the
    // same key.
    shards: Vec<Shard<V>>,
    len: usize,
}

impl<V> Default for Table<V> {
    fn default() -> Table<V> {
        Table {
            // All shards are empty and share one allocation.
            shards: vec![Arc::default(); SHARDS],
            len: 0,
        }
    }
}

impl<V> Table<V>
where
    V: Entry,
{
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn get(&self, key: Key<'_>) -> Option<&V> {
        let hash = hash(key);
        let mut shard = self.shards.get(shard_index(hash))?.iter();
        shard.find_map(|(other, entry)| (*other == hash && entry.key() == key).then_some(entry))
    }

    /// Adds an entry, and replaces one with the same key.
    pub(super) fn insert(&mut self, entry: V) {
        let hash = hash(entry.key());
        let Some(shard) = self.shards.get_mut(shard_index(hash)) else {
            return;
        };
        let shard = Arc::make_mut(shard);
        let mut entries = shard.iter_mut();
        match entries.find(|(other, held)| *other == hash && held.key() == entry.key()) {
            Some((_, held)) => *held = entry,
            None => {
                shard.push((hash, entry));
                self.len += 1;
            }
        }
    }

    pub(super) fn remove(&mut self, key: Key<'_>) -> Option<V> {
        let hash = hash(key);
        let shard = self.shards.get_mut(shard_index(hash))?;
        let is_it = |(other, entry): &(u64, V)| *other == hash && entry.key() == key;
        let at = shard.iter().position(is_it)?;
        self.len -= 1;
        Some(Arc::make_mut(shard).swap_remove(at).1)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &V> {
        let entries = self.shards.iter().flat_map(|shard| shard.iter());
        entries.map(|(_, entry)| entry)
    }
}

impl<V> PartialEq for Table<V>
where
    V: Entry,
{
    fn eq(&self, other: &Table<V>) -> bool {
        self.len == other.len
            && self
                .iter()
                .all(|entry| other.get(entry.key()) == Some(entry))
    }
}

/// The keys come from operators, so the hash needs no secret.
fn hash(key: Key<'_>) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}

fn shard_index(hash: u64) -> usize {
    // The remainder is less than the number of shards, which fits a `usize`.
    usize::try_from(hash % SHARDS as u64).unwrap_or(0)
}
