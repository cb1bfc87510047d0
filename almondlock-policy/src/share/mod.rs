//! Fair shares of the engines among organisations.
//!
//! **Load pattern.** Organisations of unequal size share the engines of a service. One of
//! them sends several times its usual rate, or repeats each refused request at once. First
//! come, first served, it gets capacity in proportion to what it sends, and the requests of
//! all others are late.
//!
//! **Max-min fairness.** Under contention, no organisation has more than a common level as
//! long as another one that has less waits. The level is found by water filling
//! ([`level`]): whoever asks for less than the level has all it asks for, and what it leaves
//! raises the level for the others.
//!
//! **Two resources.** Slots and reading time are judged separately ([`Assessment`]): an
//! organisation is over its share if it is over in either of them.
//!
//! **Contention.** Slots are contended once the requests that have one or wait for one are
//! more than all slots but one of each engine, and an organisation below the level waits.
//! Long prompts keep engines reading in usual times too, for seconds each, so that reading
//! is contended only once a prompt of an organisation below the level waits at a host or was
//! refused, while engines are busy.

mod assessment;
mod level;
mod rank;

use serde::{Deserialize, Serialize};

pub use self::{
    assessment::{Assessment, Capacity, Excess, Resource},
    level::level,
    rank::demoted_rank,
};

/// How an organisation stands with its share.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Standing {
    /// It has no more than its share, or that isn't known.
    #[default]
    Within,
    /// It has more, and another one that has less waits.
    Over {
        /// By how much, as a part of its share.
        by: f64,
    },
}

/// What an organisation has at the engines of a service, and what it waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// Requests sent to an engine that have not ended.
    pub slots: u32,
    /// Of those, the ones whose first event has not come.
    pub unread: u32,
    /// Milliseconds of reading that those take, on all engines together.
    pub reading: u32,
    /// Requests that wait for a slot, at a host or at a caller that was told to return.
    pub queued: u32,
    /// Milliseconds of reading of prompts that wait for engines' time in the same way.
    pub queued_reading: u32,
}

impl Usage {
    /// Adds another count.
    pub fn add(&mut self, other: &Usage) {
        self.merge(other, u32::saturating_add);
    }

    /// Takes out what was added before.
    pub fn subtract(&mut self, other: &Usage) {
        self.merge(other, u32::saturating_sub);
    }

    /// Whether nothing is in flight or waiting.
    pub fn is_empty(&self) -> bool {
        *self == Usage::default()
    }

    /// Orders counts by what is in flight, then by what waits.
    pub fn sort_key(&self) -> (u32, u32, u32) {
        (self.slots, self.reading, self.queued)
    }

    fn merge<F>(&mut self, other: &Usage, act: F)
    where
        F: Fn(u32, u32) -> u32,
    {
        self.slots = act(self.slots, other.slots);
        self.unread = act(self.unread, other.unread);
        self.reading = act(self.reading, other.reading);
        self.queued = act(self.queued, other.queued);
        self.queued_reading = act(self.queued_reading, other.queued_reading);
    }
}

/// Organisations that are not listed one by one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Unlisted {
    /// How many there are.
    pub organisations: u32,
    /// What they have together. Each counts with an equal part.
    pub count: Usage,
}
