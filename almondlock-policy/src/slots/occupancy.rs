//! How many of the engines' slots are in use, and when this host's own become free.

use std::{collections::BTreeSet, time::Duration};

use almondlock_base::time::Mono;

/// Load of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Engine {
    /// Number of requests that the engine processes concurrently.
    pub slots: u32,
    /// Number of streams that the engine writes, for all hosts.
    pub streams: u32,
    /// Number of requests whose answer hasn't begun, from all hosts.
    pub waiting: u32,
    /// Whether the engine has so much to read that a short prompt would be late there, even in a
    /// free slot.
    pub is_backlogged: bool,
}

/// Slots of all engines together, as last updated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Occupancy {
    /// Time of the update.
    pub seen_at: Mono,
    /// Number of slots of the engines that aren't backlogged.
    pub slots: u32,
    /// Number of those slots that are free.
    pub free: u32,
    /// Number of free slots of backlogged engines.
    pub backlogged_free: u32,
    /// Number of requests that have a slot or queue for one at an engine.
    pub in_use: u32,
    /// Number of requests that queue for a slot at an engine.
    pub queued: u32,
    /// Time for which a request keeps its slot.
    pub hold_time: Duration,
    /// Number of other hosts.
    pub other_hosts: usize,
}

impl Occupancy {
    /// Sums up the load of all engines.
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

    /// Returns the number of slots that become free per second, for all hosts together.
    pub fn release_rate(&self) -> f64 {
        let running = self.in_use.saturating_sub(self.queued);
        f64::from(running) / self.hold_time.as_secs_f64().max(1e-3)
    }

    /// Returns the part of the slots that each host has if all have the same number.
    pub(super) fn equal_share(&self) -> f64 {
        // Hosts are far fewer than an `f64` counts exactly.
        1.0 / (self.other_hosts as f64 + 1.0)
    }
}

/// A slot that one of this host's requests has, until the expected end of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Commitment {
    until: Mono,
    number: u64,
}

/// Slots of this host's own requests, ordered by their expected ends.
#[derive(Debug, Default)]
pub(super) struct Commitments {
    commitments: BTreeSet<Commitment>,
    last_number: u64,
}

impl Commitments {
    /// Adds a slot that is expected to become free at `until`.
    pub(super) fn add(&mut self, until: Mono) -> Commitment {
        self.last_number += 1;
        let number = self.last_number;
        let commitment = Commitment { until, number };
        self.commitments.insert(commitment);
        commitment
    }

    /// Removes a slot, and returns whether it was known.
    pub(super) fn remove(&mut self, commitment: Commitment) -> bool {
        self.commitments.remove(&commitment)
    }

    pub(super) fn len(&self) -> u32 {
        to_u32(self.commitments.len())
    }

    /// Returns the number of slots that are expected to become free within a time. Overdue ones
    /// count, since they may become free at any moment.
    pub(super) fn count_ending_within(&self, now: Mono, within: Duration) -> u32 {
        let until = now + within;
        let last = Commitment {
            until,
            number: u64::MAX,
        };
        to_u32(self.commitments.range(..=last).count())
    }
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
