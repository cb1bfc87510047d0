//! What goes into a queue and what comes out.

use std::{fmt, time::Duration};

use almondlock_base::{Code, id::Organisation, time::Mono, unit::Tokens};

use crate::length::Class;

/// What the queue has to know of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Who pays for it.
    pub organisation: Organisation,
    /// The organisation's share against the others'.
    pub weight: u32,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// How much of the prompt's start the engine has cached, as believed.
    pub cached: Tokens,
    /// Most tokens it may answer with.
    pub max_output: Tokens,
    /// When its time is over.
    pub deadline: Mono,
    /// Whether it is under suspicion of killing engines.
    pub suspect: bool,
}

impl Job {
    /// Engine memory that it needs in the end.
    pub fn memory_need(&self) -> Tokens {
        self.prompt + self.max_output
    }

    /// Tokens still to be prefilled.
    pub fn prefill_tokens(&self) -> Tokens {
        self.prompt.saturating_sub(self.cached)
    }

    /// Its length class, by the work it is: a long prompt whose start is cached
    /// delays others no more than a short one.
    pub fn class(&self) -> Class {
        Class::of(self.prefill_tokens())
    }
}

/// What is free on the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Free memory.
    pub free_memory: Tokens,
    /// All its memory.
    pub total_memory: Tokens,
    /// Free places in the batch.
    pub free_slots: u32,
    /// All places in the batch.
    pub total_slots: u32,
}

impl Room {
    /// An engine on which nothing runs.
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
    /// Its class.
    pub class: Class,
    /// The engine's priority for it; 0 goes before all others.
    pub priority: u8,
    /// How long it waited.
    pub waited: Duration,
}

/// A job that is given up before it started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expiry<I> {
    /// The job. It is no longer in the queue.
    pub id: I,
    /// [`Code::QueueTimeout`] or [`Code::DeadlineUnreachable`].
    pub code: Code,
    /// When its caller may come back.
    pub retry_after: Duration,
}

/// A job that may not wait here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The numbered reason.
    pub code: Code,
    /// When to come back, zero for never.
    pub retry_after: Duration,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.code.fmt(f)
    }
}

impl std::error::Error for Refusal {}
