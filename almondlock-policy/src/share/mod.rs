//! Max-min fair sharing of the engines among organisations.
//!
//! **Load pattern.** Organisations of unequal size share the engines of a service. One of
//! them sends several times its usual rate, or repeats each refused request at once. With
//! first come, first served, it gets capacity in proportion to what it sends, and the
//! requests of all others are late.
//!
//! **Max-min fairness.** Under contention, no organisation gets more than a common level
//! while another one that has less is waiting. The level is found by water filling
//! ([`level`]): an organisation that demands less than the level gets all it demands, and
//! the remainder raises the level for the others.
//!
//! **Two resources.** Slots (requests in flight) and reading time (prefill of prompts) are
//! assessed separately ([`Assessment`]): an organisation is over its share if it is over in
//! either of them.
//!
//! **Contention.** Slots are contended once the requests that have a slot or wait for one
//! outnumber the slots, less one per engine, and an organisation below the level waits.
//! Long prompts keep engines reading for seconds each at normal times too, so reading time
//! is contended only once a prompt of an organisation below the level waits at a host or was
//! refused while engines are busy.

mod assessment;
mod level;
mod rank;

use serde::{Deserialize, Serialize};

pub use self::{
    assessment::{Assessment, Capacity, Excess, Resource},
    level::level,
    rank::demoted_rank,
};

/// Whether an organisation is over its share.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Standing {
    /// The organisation has no more than its share, or its usage isn't known.
    #[default]
    Within,
    /// The organisation has more than its share, and another one that has less waits.
    Over {
        /// Excess over the share, as a multiple of the share.
        by: f64,
    },
}

/// What an organisation uses of a service's engines, and what it waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// Number of requests that were sent to an engine and have not ended.
    pub slots: u32,
    /// Number of those requests whose first event has not come.
    #[serde(rename = "unread")]
    pub unanswered: u32,
    /// Reading time of the requests without a first event, in milliseconds, on all engines
    /// together.
    #[serde(rename = "reading")]
    pub reading_ms: u32,
    /// Number of requests that wait for a slot, at a host or at a caller told to retry later.
    pub queued: u32,
    /// Reading time, in milliseconds, of the prompts that wait to be read, at a host or at a
    /// caller told to retry later.
    #[serde(rename = "queued_reading")]
    pub queued_reading_ms: u32,
}

impl Usage {
    /// Adds another usage.
    pub fn add(&mut self, other: &Usage) {
        self.merge(other, u32::saturating_add);
    }

    /// Subtracts a usage that was added before.
    pub fn subtract(&mut self, other: &Usage) {
        self.merge(other, u32::saturating_sub);
    }

    /// Whether nothing is in flight or waiting.
    pub fn is_empty(&self) -> bool {
        *self == Usage::default()
    }

    /// Returns a key that orders usages by what is in flight, then by what waits.
    pub fn sort_key(&self) -> (u32, u32, u32) {
        (self.slots, self.reading_ms, self.queued)
    }

    fn merge<F>(&mut self, other: &Usage, act: F)
    where
        F: Fn(u32, u32) -> u32,
    {
        self.slots = act(self.slots, other.slots);
        self.unanswered = act(self.unanswered, other.unanswered);
        self.reading_ms = act(self.reading_ms, other.reading_ms);
        self.queued = act(self.queued, other.queued);
        self.queued_reading_ms = act(self.queued_reading_ms, other.queued_reading_ms);
    }
}

/// The organisations that are not listed individually, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Unlisted {
    /// Number of the unlisted organisations.
    pub organisations: u32,
    /// Usage of the unlisted organisations together. Each is assumed to have an equal part.
    #[serde(rename = "count")]
    pub usage: Usage,
}
