//! Where the start of a prompt was processed lately.

use std::collections::{HashMap, VecDeque};

/// A bounded memory of which upstream processed which prefix last. Forgets the
/// oldest first. It is never an answer, only a reason to try there.
#[derive(Clone, Debug)]
pub(super) struct Hints {
    capacity: usize,
    // Invariant: `order` holds each key of `places` once.
    upstreams: HashMap<u64, u32>,
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

    /// The upstream that processed the longest part of a prefix, and how many
    /// of its blocks.
    pub(super) fn find_longest(&self, prefix: &[u64]) -> Option<(u32, usize)> {
        let found = |(i, hash): (usize, &u64)| self.upstreams.get(hash).map(|slot| (*slot, i + 1));
        prefix.iter().enumerate().rev().find_map(found)
    }

    /// How many leading blocks an upstream is believed to hold.
    pub(super) fn cached_blocks(&self, prefix: &[u64], slot: u32) -> usize {
        let here = |hash: &u64| self.upstreams.get(hash) == Some(&slot);
        prefix.iter().rposition(here).map_or(0, |i| i + 1)
    }

    pub(super) fn forget(&mut self, slot: u32) {
        self.upstreams.retain(|_, upstream| *upstream != slot);
        let upstreams = &self.upstreams;
        self.order.retain(|hash| upstreams.contains_key(hash));
    }
}
