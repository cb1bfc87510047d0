//! Sums over the jobs that run on the engine, as far as the order of waiting jobs depends
//! on them.

use almondlock_base::unit::Tokens;

use super::{Job, PREFILL_GROUP_COUNT, prefill_group};
use crate::length::Class;

/// A job that runs.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) job: Job,
    /// Whether its prompt is still being processed.
    pub(super) prefilling: bool,
    /// Whether it started while room was kept for a longer job.
    pub(super) during_hold: bool,
    /// Whether no other job may run beside it.
    pub(super) alone: bool,
}

/// Sums over the running jobs. Invariant: equal to the sum over `Queue::running`, which
/// `Queue::start_waiting` and `Queue::finish` maintain.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    /// Prompt tokens in prefill, by group of classes.
    pub(super) prefill: [Tokens; PREFILL_GROUP_COUNT],
    /// Memory of the short jobs.
    pub(super) short_memory: Tokens,
    /// Batch slots of the short jobs.
    pub(super) short_slots: u32,
    /// Memory of the short jobs that started while room was kept for a longer job.
    pub(super) hold_memory: Tokens,
    /// Batch slots of the short jobs that started while room was kept for a longer job.
    pub(super) hold_slots: u32,
    /// Number of suspects, including jobs that run alone.
    pub(super) suspects: u32,
    /// Number of jobs that run alone, at most one.
    pub(super) alone: u32,
}

impl Load {
    pub(super) fn enter(&mut self, running: &Running) {
        let job = &running.job;
        self.prefill[prefill_group(job.class())] += job.prefill_tokens();
        if job.class() == Class::Short {
            self.short_memory += job.memory_need();
            self.short_slots += 1;
            if running.during_hold {
                self.hold_memory += job.memory_need();
                self.hold_slots += 1;
            }
        }
        self.suspects += u32::from(job.suspect || running.alone);
        self.alone += u32::from(running.alone);
    }

    pub(super) fn end_prefill(&mut self, class: Class, tokens: Tokens) {
        let active = &mut self.prefill[prefill_group(class)];
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
            if running.during_hold {
                self.hold_memory = self.hold_memory.saturating_sub(job.memory_need());
                self.hold_slots = self.hold_slots.saturating_sub(1);
            }
        }
        let suspect = job.suspect || running.alone;
        self.suspects = self.suspects.saturating_sub(u32::from(suspect));
        self.alone = self.alone.saturating_sub(u32::from(running.alone));
    }
}
