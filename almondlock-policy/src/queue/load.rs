//! What runs on the engine, as far as the order of what waits depends on it.

use almondlock_base::unit::Tokens;

use super::{GROUPS, Job, group};
use crate::length::Class;

#[derive(Debug)]
pub(super) struct Running {
    pub(super) job: Job,
    /// Whether its prompt is still being processed.
    pub(super) prefilling: bool,
    /// Whether it started while room was kept for a longer job.
    pub(super) held: bool,
    /// Whether nothing else may run beside it.
    pub(super) alone: bool,
}

/// Sums over the jobs that run. Invariant: equal to the sum over
/// `Queue::running`, held so by `Queue::enter` and `Queue::leave`.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    /// Prompt tokens in prefill, by group of classes.
    pub(super) prefill: [Tokens; GROUPS],
    pub(super) short_memory: Tokens,
    pub(super) short_slots: u32,
    /// Of the short ones, those that started while room was kept for a longer
    /// job.
    pub(super) held_memory: Tokens,
    pub(super) held_slots: u32,
    pub(super) suspects: u32,
    /// Jobs that run alone: one at most.
    pub(super) alone: u32,
}

impl Load {
    pub(super) fn enter(&mut self, running: &Running) {
        let job = &running.job;
        self.prefill[group(job.class())] += job.prefill_tokens();
        if job.class() == Class::Short {
            self.short_memory += job.memory_need();
            self.short_slots += 1;
            if running.held {
                self.held_memory += job.memory_need();
                self.held_slots += 1;
            }
        }
        self.suspects += u32::from(job.suspect || running.alone);
        self.alone += u32::from(running.alone);
    }

    pub(super) fn end_prefill(&mut self, class: Class, tokens: Tokens) {
        let active = &mut self.prefill[group(class)];
        *active = active.saturating_sub(tokens);
    }

    pub(super) fn leave(&mut self, running: &Running) {
        let job = &running.job;
        if running.prefilling {
            self.end_prefill(job.class(), job.prefill_tokens());
        }
        if job.class() == Class::Short {
            self.short_memory = self.short_memory.saturating_sub(job.memory_need());
            self.short_slots = self.short_slots.saturating_sub(1);
            if running.held {
                self.held_memory = self.held_memory.saturating_sub(job.memory_need());
                self.held_slots = self.held_slots.saturating_sub(1);
            }
        }
        let suspect = job.suspect || running.alone;
        self.suspects = self.suspects.saturating_sub(u32::from(suspect));
        self.alone = self.alone.saturating_sub(u32::from(running.alone));
    }
}
