//! Where the start of a prompt was processed lately.

use std::collections::{HashMap, VecDeque};

/// A bounded memory of which upstream processed which prefix last. Forgets the
/// oldest first. It is never an answer, only a reason to try there.
#[derive(Clone, Debug)]
pub(super) struct Hints {
    capacity: usize,
    // Invariant: `order` holds each key of `places` once.
    places: HashMap<u64, u32>,
    order: VecDeque<u64>,
}

impl Hints {
    pub(super) fn new(capacity: usize) -> Hints {
        Hints {
            capacity: capacity.max(1),
            places: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    pub(super) fn put(&mut self, prefix: u64, slot: u32) {
        if self.places.insert(prefix, slot).is_some() {
            return;
        }
        self.order.push_back(prefix);
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.places.remove(&oldest);
        }
    }

    /// The upstream that processed the longest part of a prefix, and how many
    /// of its blocks.
    pub(super) fn longest(&self, prefix: &[u64]) -> Option<(u32, usize)> {
        let place = |(i, hash): (usize, &u64)| self.places.get(hash).map(|slot| (*slot, i + 1));
        prefix.iter().enumerate().rev().find_map(place)
    }

    /// How many leading blocks an upstream is believed to hold.
    pub(super) fn depth(&self, prefix: &[u64], slot: u32) -> usize {
        let here = |hash: &u64| self.places.get(hash) == Some(&slot);
        prefix.iter().rposition(here).map_or(0, |i| i + 1)
    }

    pub(super) fn forget(&mut self, slot: u32) {
        self.places.retain(|_, place| *place != slot);
        let places = &self.places;
        self.order.retain(|hash| places.contains_key(hash));
    }
}
