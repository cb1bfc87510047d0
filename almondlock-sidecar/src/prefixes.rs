//! The prefixes that an engine has probably cached.

use std::collections::{HashSet, VecDeque};

/// Maximum number of prefix hashes remembered as cached on the engine.
const MAX_KNOWN_PREFIXES: usize = 8192;

/// Prefixes that the engine has probably cached. A bounded hint: the oldest are
/// forgotten first.
#[derive(Default)]
pub(crate) struct Prefixes {
    known: HashSet<u64>,
    order: VecDeque<u64>,
}

impl Prefixes {
    pub(crate) fn insert(&mut self, prefix: &[u64]) {
        for hash in prefix {
            if self.known.insert(*hash) {
                self.order.push_back(*hash);
            }
        }
        while self.order.len() > MAX_KNOWN_PREFIXES {
            let oldest = self.order.pop_front();
            oldest.map(|hash| self.known.remove(&hash));
        }
    }

    pub(crate) fn count_leading(&self, prefix: &[u64]) -> u32 {
        let leading = prefix.iter().take_while(|h| self.known.contains(h));
        u32::try_from(leading.count()).unwrap_or(u32::MAX)
    }
}
