//! Fingerprints of what was answered recently, at an entry host.

use std::{collections::HashSet, time::Duration};

use almondlock_base::{id::Fingerprint, time::Mono};

/// Longest time for which an answer is remembered. Half of it at least, unless there are too
/// many.
pub const MAX_AGE: Duration = Duration::from_secs(60);
/// Maximum number of fingerprints that are remembered.
pub const MAX_PRINTS: usize = 4_096;

/// Fingerprints of what was answered recently.
///
/// They are kept in two generations, so that the old ones are forgotten together.
#[derive(Clone, Debug, Default)]
pub struct Answered {
    // Invariant: at most half of `MAX_PRINTS` each.
    newer: HashSet<Fingerprint>,
    older: HashSet<Fingerprint>,
    begun: Mono,
}

impl Answered {
    /// Records that something was answered.
    pub fn insert(&mut self, now: Mono, print: Fingerprint) {
        self.forget_old(now);
        if self.newer.len() >= MAX_PRINTS / 2 {
            self.begin_generation(now);
        }
        self.newer.insert(print);
    }

    /// Returns whether something was answered recently.
    pub fn contains(&mut self, now: Mono, print: &Fingerprint) -> bool {
        self.forget_old(now);
        self.newer.contains(print) || self.older.contains(print)
    }

    fn forget_old(&mut self, now: Mono) {
        let age = now.since(self.begun);
        if age >= MAX_AGE {
            self.newer.clear();
        }
        if age >= MAX_AGE / 2 {
            self.begin_generation(now);
        }
    }

    fn begin_generation(&mut self, now: Mono) {
        self.older = std::mem::take(&mut self.newer);
        self.begun = now;
    }
}
