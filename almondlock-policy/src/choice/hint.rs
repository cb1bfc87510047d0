//! Remembers which upstream processed a prompt prefix last.

use std::collections::{HashMap, VecDeque};

/// Bounded map from prefix hashes to the upstream that processed each of them last.
///
/// The oldest prefix is evicted first. An entry is only a hint: the upstream may have dropped
/// the prefix from its cache.
#[derive(Clone, Debug)]
pub(super) struct Hints {
    capacity: usize,
    // Slot of the upstream in the table, by prefix hash.
    upstreams: HashMap<u64, u32>,
    // Prefix hashes, oldest first. Invariant: holds each key of `upstreams` once.
    order: VecDeque<u64>,
}

impl Hints {
    pub(super) fn new(capacity: usize) -> Hints {
        Hints {
            capacity: capacity.max(1),
            upstreams: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Records that an upstream processed a prefix.
    pub(super) fn insert(&mut self, prefix: u64, slot: u32) {
        if self.upstreams.insert(prefix, slot).is_some() {
            return;
        }
        self.order.push_back(prefix);
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.upstreams.remove(&oldest);
        }
    }

    /// Returns the upstream that processed the longest part of a prefix, and the number of
    /// blocks in that part.
    pub(super) fn find_longest(&self, prefix: &[u64]) -> Option<(u32, usize)> {
        let found = |(i, hash): (usize, &u64)| self.upstreams.get(hash).map(|slot| (*slot, i + 1));
        prefix.iter().enumerate().rev().find_map(found)
    }

    /// Returns the number of leading blocks that an upstream is believed to have cached.
    pub(super) fn cached_blocks(&self, prefix: &[u64], slot: u32) -> usize {
        let here = |hash: &u64| self.upstreams.get(hash) == Some(&slot);
        prefix.iter().rposition(here).map_or(0, |i| i + 1)
    }

    /// Removes all prefixes of an upstream.
    pub(super) fn forget(&mut self, slot: u32) {
        self.upstreams.retain(|_, upstream| *upstream != slot);
        let upstreams = &self.upstreams;
        self.order.retain(|hash| upstreams.contains_key(hash));
    }
}
