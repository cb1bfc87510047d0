//! The prefix cache of an engine: blocks of prompts seen before, in whatever
//! memory is free, the least recently used forgotten first. What changes is
//! told as events, which [`Cache::events`] hands out late and with gaps, as
//! real engines do: whoever follows them must treat them as hints.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Serialize;

/// Events kept for readers; older ones are lost to whoever didn't ask in time.
const EVENT_LIMIT: usize = 4096;

/// A change of the cache.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct Event {
    /// Counts up; a number that is missing is an event that was lost.
    number: u64,
    /// `stored` or `evicted`.
    kind: &'static str,
    /// The block's hash, in hexadecimal.
    block: String,
    #[serde(skip)]
    at: Duration,
}

/// The cache.
#[derive(Debug)]
pub(crate) struct Cache {
    // Invariant: `used` and `by_use` hold the same pairs, turned round.
    used: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    tick: u64,
    events: VecDeque<Event>,
    number: u64,
    gaps: f64,
    random: SmallRng,
}

impl Cache {
    pub(crate) fn new(gaps: f64, seed: u64) -> Cache {
        Cache {
            used: HashMap::new(),
            by_use: BTreeMap::new(),
            tick: 0,
            events: VecDeque::new(),
            number: 0,
            gaps: gaps.clamp(0.0, 1.0),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// How many blocks are held.
    pub(crate) fn len(&self) -> usize {
        self.used.len()
    }

    /// How many of a prompt's leading blocks are held.
    pub(crate) fn leading(&self, blocks: &[u64]) -> usize {
        let held = blocks.iter().take_while(|b| self.used.contains_key(b));
        held.count()
    }

    /// Holds a prompt's blocks. The first are used last, so that a prefix is
    /// forgotten from its end, where it is of least use.
    pub(crate) fn store(&mut self, blocks: &[u64], now: Duration) {
        for &block in blocks.iter().rev() {
            self.tick += 1;
            match self.used.insert(block, self.tick) {
                Some(before) => {
                    self.by_use.remove(&before);
                }
                None => self.publish("stored", block, now),
            }
            self.by_use.insert(self.tick, block);
        }
    }

    /// Forgets blocks until no more than `limit` are held.
    pub(crate) fn shrink(&mut self, limit: usize, now: Duration) {
        while self.used.len() > limit {
            let Some((_, block)) = self.by_use.pop_first() else {
                return;
            };
            self.used.remove(&block);
            self.publish("evicted", block, now);
        }
    }

    /// Events after a number that happened before `until`.
    pub(crate) fn events(&self, after: u64, until: Duration) -> Vec<Event> {
        let seen = self.events.iter().take_while(|e| e.at <= until);
        seen.filter(|e| e.number > after).cloned().collect()
    }

    fn publish(&mut self, kind: &'static str, block: u64, at: Duration) {
        self.number += 1;
        if self.random.random_bool(self.gaps) {
            return;
        }
        if self.events.len() == EVENT_LIMIT {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            number: self.number,
            kind,
            block: format!("{block:016x}"),
            at,
        });
    }
}
