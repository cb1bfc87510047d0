//! One bound on the bodies that a process holds.
//!
//! Each body is entered before its first byte is read, and asks again whenever it outgrows
//! what it was granted. A refusal is final for that body, so no body waits for another and
//! there is nothing to deadlock on.
//!
//! A body that is alone gets whatever it needs. When memory is short, a body gives way to another one if it is still arriving and either
//! has taken longer than [`Config::grace`], or is large while the other one is small. A part
//! of the capacity is kept for small bodies, so that large ones that are complete and wait
//! for their answers don't keep them out.
//!
//! ```
//! use std::time::Duration;
//! use almondlock_base::time::Mono;
//! use almondlock_policy::intake::{Config, Ledger};
//!
//! let config = Config { capacity: 1 << 20, grace: Duration::from_secs(1) };
//! let mut ledger = Ledger::new(config);
//! let now = Mono::from_micros(0);
//! let body = ledger.enter(now);
//! assert!(ledger.grow(body, 4096, now).granted);
//! assert_eq!(ledger.held(), 4096);
//! ledger.leave(body);
//! assert_eq!(ledger.held(), 0);
//! ```

use std::{collections::BTreeMap, time::Duration};

use almondlock_base::time::Mono;

/// Bodies up to this size are small, in bytes.
pub const SMALL: u64 = 64 * 1024;

/// Part of the capacity that only small bodies may use: one in this many.
const RESERVE: u64 = 4;

/// Settings of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Bytes that all bodies together may take.
    pub capacity: u64,
    /// Time for which an arriving body is left alone, unless it is large and keeps a small
    /// one out.
    pub grace: Duration,
}

/// Identifies a body in its ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u64);

#[derive(Clone, Copy, Debug)]
struct Entry {
    bytes: u64,
    begun: Mono,
    arriving: bool,
    /// Told to give way. Its bytes are no longer in `Ledger::held`.
    cut: bool,
}

/// Answer to a body that asks for more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Whether the body may grow.
    pub granted: bool,
    /// Bodies that have to be dropped for it.
    pub cut: Vec<Key>,
}

/// The bodies that a process holds.
#[derive(Clone, Debug)]
pub struct Ledger {
    config: Config,
    next: u64,
    /// In the order in which they were entered.
    entries: BTreeMap<Key, Entry>,
    /// Invariant: the sum of `bytes` over the entries that aren't cut.
    held: u64,
}

impl Ledger {
    /// Returns an empty ledger.
    pub const fn new(config: Config) -> Ledger {
        Ledger {
            config,
            next: 0,
            entries: BTreeMap::new(),
            held: 0,
        }
    }

    /// Returns the bytes that the bodies hold, without those that were told to give way.
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Returns the settings.
    pub const fn config(&self) -> Config {
        self.config
    }

    /// Returns how many bodies there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no body.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Enters a body of which nothing has been read.
    pub fn enter(&mut self, now: Mono) -> Key {
        let key = Key(self.next);
        self.next += 1;
        let entry = Entry {
            bytes: 0,
            begun: now,
            arriving: true,
            cut: false,
        };
        self.entries.insert(key, entry);
        key
    }

    /// Decides whether a body may take `bytes` in all. A body that was told to give way
    /// gets no more.
    pub fn grow(&mut self, key: Key, bytes: u64, now: Mono) -> Decision {
        let refused = |cut| Decision {
            granted: false,
            cut,
        };
        let Some(entry) = self.entries.get(&key).copied().filter(|entry| !entry.cut) else {
            return refused(Vec::new());
        };
        let more = bytes.saturating_sub(entry.bytes);
        let is_small = bytes <= SMALL;
        let limit = match is_small {
            true => self.config.capacity,
            false => self.config.capacity - self.config.capacity / RESERVE,
        };
        // One body is always taken, so that the largest one is served in calm.
        let is_alone = self.held == entry.bytes;
        let missing = match is_alone {
            true => 0,
            false => (self.held + more).saturating_sub(limit),
        };
        let cut = self.victims(key, missing, is_small, now);
        let Some(cut) = cut else {
            return refused(Vec::new());
        };
        for victim in &cut {
            self.cut(*victim);
        }
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.bytes += more;
            self.held += more;
        }
        Decision { granted: true, cut }
    }

    /// Returns the bodies whose end frees `missing` bytes: the oldest that have outstayed
    /// their time, and for a small body then the largest ones. `None` if all of them
    /// together don't free enough.
    fn victims(&self, asking: Key, missing: u64, is_small: bool, now: Mono) -> Option<Vec<Key>> {
        let mut left = missing;
        if left == 0 {
            return Some(Vec::new());
        }
        let arriving = self.entries.iter();
        let arriving = arriving.filter(|(key, e)| **key != asking && e.arriving && !e.cut);
        let is_late = |entry: &Entry| now.since(entry.begun) >= self.config.grace;
        let (late, mut rest): (Vec<_>, Vec<_>) = arriving.partition(|(_, e)| is_late(e));
        rest.retain(|(_, entry)| is_small && entry.bytes > SMALL);
        rest.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.bytes));
        let mut victims = Vec::new();
        for (key, entry) in late.into_iter().chain(rest) {
            if left == 0 {
                break;
            }
            left = left.saturating_sub(entry.bytes);
            victims.push(*key);
        }
        (left == 0).then_some(victims)
    }

    fn cut(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.cut = true;
            self.held -= entry.bytes;
        }
    }

    /// Notes that a body has arrived in full. Returns whether it may be used: it may not if
    /// it was told to give way.
    pub fn complete(&mut self, key: Key) -> bool {
        let entry = self.entries.get_mut(&key);
        entry.is_some_and(|entry| {
            entry.arriving = false;
            !entry.cut
        })
    }

    /// Removes a body that is no longer held.
    pub fn leave(&mut self, key: Key) {
        if let Some(entry) = self.entries.remove(&key)
            && !entry.cut
        {
            self.held -= entry.bytes;
        }
    }
}
