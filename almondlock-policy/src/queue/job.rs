//! The types that go into a queue and come out of it.

use std::{fmt, time::Duration};

use almondlock_base::{Code, id::Organisation, time::Mono, unit::Tokens};

use crate::length::Class;

/// An attempt as the queue sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The organisation that sent it.
    pub organisation: Organisation,
    /// Weight of the organisation's share relative to those of other organisations.
    pub weight: u32,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Number of tokens at the start of the prompt that the engine is believed to have
    /// cached.
    pub cached: Tokens,
    /// Maximum length of the answer.
    pub max_output: Tokens,
    /// Time by which the answer must be complete.
    pub deadline: Mono,
    /// Whether it is suspected of killing engines.
    pub suspect: bool,
}

impl Job {
    /// Returns the engine memory that it needs when its answer has the maximum length.
    pub fn memory_need(&self) -> Tokens {
        self.prompt + self.max_output
    }

    /// Returns the number of prompt tokens that are not cached.
    pub fn prefill_tokens(&self) -> Tokens {
        self.prompt.saturating_sub(self.cached)
    }

    /// Returns its length class by the tokens to process: a long prompt whose start is
    /// cached delays others no more than a short one.
    pub fn class(&self) -> Class {
        Class::of(self.prefill_tokens())
    }
}

/// The free and the total memory and batch slots of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Free memory.
    pub free_memory: Tokens,
    /// Total memory.
    pub total_memory: Tokens,
    /// Number of free batch slots.
    pub free_slots: u32,
    /// Total number of batch slots.
    pub total_slots: u32,
}

impl Room {
    /// Returns the room of an engine on which nothing runs.
    pub fn idle(capacity: Tokens, slots: u32) -> Room {
        Room {
            free_memory: capacity,
            total_memory: capacity,
            free_slots: slots,
            total_slots: slots,
        }
    }
}

/// A job that starts now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant<I> {
    /// The job.
    pub id: I,
    /// Its length class.
    pub class: Class,
    /// Its priority on the engine; 0 goes before all others.
    pub priority: u8,
    /// Time that it waited in the queue.
    pub waited: Duration,
}

/// A job that was given up before it started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expiry<I> {
    /// The job. It is no longer in the queue.
    pub id: I,
    /// [`Code::QueueTimeout`] or [`Code::DeadlineUnreachable`].
    pub code: Code,
    /// Time after which its caller may come back.
    pub retry_after: Duration,
}

/// Why a job was not added to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// Time after which the caller may come back. Zero means that it should not.
    pub retry_after: Duration,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.code.fmt(f)
    }
}

impl std::error::Error for Refusal {}
