//! What the engines' slots are committed to, and when they become free.

use std::{collections::BTreeSet, time::Duration};

use almondlock_base::time::Mono;

/// What is known of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Engine {
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Streams that it writes, of all hosts.
    pub streams: u32,
    /// Requests whose answer hasn't begun, of all hosts.
    pub waiting: u32,
    /// It has so much to read that a short prompt would be late whatever its slots.
    pub is_backlogged: bool,
}

/// The sums over all engines, as last seen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Occupancy {
    /// When they were seen.
    pub seen_at: Mono,
    /// Slots of engines that aren't backlogged.
    pub slots: u32,
    /// Those of them that no request has.
    pub free: u32,
    /// Free slots of engines that are backlogged.
    pub backlogged_free: u32,
    /// Requests that have a slot or queue for one at an engine.
    pub in_use: u32,
    /// Those of them that queue.
    pub queued: u32,
    /// How long a request has its slot.
    pub hold_time: Duration,
    /// Other hosts.
    pub other_hosts: usize,
}

impl Occupancy {
    pub(super) fn of<I>(now: Mono, engines: I, hold: Duration, hosts: usize) -> Occupancy
    where
        I: IntoIterator<Item = Engine>,
    {
        let none = Occupancy {
            seen_at: now,
            hold_time: hold,
            other_hosts: hosts,
            ..Occupancy::default()
        };
        engines.into_iter().fold(none, |sum, engine| {
            let requests = engine.streams.saturating_add(engine.waiting);
            let left = engine.slots.saturating_sub(requests);
            let (slots, free, spare) = match engine.is_backlogged {
                true => (0, 0, left),
                false => (engine.slots, left, 0),
            };
            Occupancy {
                slots: sum.slots.saturating_add(slots),
                free: sum.free.saturating_add(free),
                backlogged_free: sum.backlogged_free.saturating_add(spare),
                in_use: sum.in_use.saturating_add(requests),
                queued: sum
                    .queued
                    .saturating_add(requests.saturating_sub(engine.slots)),
                ..sum
            }
        })
    }

    /// Slots that become free in a second, over all hosts.
    pub fn release_rate(&self) -> f64 {
        let running = self.in_use.saturating_sub(self.queued);
        f64::from(running) / self.hold_time.as_secs_f64().max(1e-3)
    }

    /// The part of the slots that each host has if all have the same.
    pub(super) fn equal(&self) -> f64 {
        // Hosts are far fewer than an `f64` counts exactly.
        1.0 / (self.other_hosts as f64 + 1.0)
    }
}

/// A slot that one of this host's requests has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Commitment {
    until: Mono,
    number: u64,
}

/// When this host's own requests end, by forecast.
#[derive(Debug, Default)]
pub(super) struct Ends {
    ends: BTreeSet<Commitment>,
    last: u64,
}

impl Ends {
    pub(super) fn begin(&mut self, until: Mono) -> Commitment {
        self.last += 1;
        let number = self.last;
        let commitment = Commitment { until, number };
        self.ends.insert(commitment);
        commitment
    }

    pub(super) fn end(&mut self, commitment: Commitment) -> bool {
        self.ends.remove(&commitment)
    }

    pub(super) fn len(&self) -> u32 {
        count(self.ends.len())
    }

    /// How many end within a time. Those that were to have ended may do so at any moment.
    pub(super) fn within(&self, now: Mono, within: Duration) -> u32 {
        let until = now + within;
        let last = Commitment {
            until,
            number: u64::MAX,
        };
        count(self.ends.range(..=last).count())
    }
}

fn count(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
