//! The waiting jobs of one organisation and its fairness counter, a *flow* in the terms of
//! fair queueing.

use std::collections::BTreeSet;

use almondlock_base::{time::Mono, unit::Tokens};

use super::Job;

/// Where a job waits within a flow: the lane of its class, or that of suspects, which is
/// considered only while no other suspect runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Lane(usize);

impl Lane {
    /// Lane of suspects.
    pub(super) const SUSPECT: Lane = Lane(4);
    /// Lane of jobs that run alone. It belongs to the queue and not to a flow.
    pub(super) const ALONE: Lane = Lane(5);
    pub(super) const ALL: [Lane; 5] = [Lane(0), Lane(1), Lane(2), Lane(3), Lane::SUSPECT];

    pub(super) fn of(job: &Job) -> Lane {
        if job.suspect {
            Lane::SUSPECT
        } else {
            Lane(job.class().index())
        }
    }
}

/// Where a job waits: its number and the keys of the indices that hold it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Position {
    /// Its key in `Queue::waiting`.
    pub(super) number: u64,
    /// Its due time.
    pub(super) due: Mono,
    /// The lane that it waits in.
    pub(super) lane: Lane,
    /// Its key in `Queue::deadlines`.
    pub(super) last_start: Mono,
}

/// The waiting jobs of one organisation by lane, ordered by due time.
#[derive(Debug)]
pub(super) struct Flow {
    /// Tokens served per unit of weight.
    counter: u64,
    lanes: [BTreeSet<(Mono, u64)>; 5],
    waiting: usize,
    running: u32,
}

impl Flow {
    pub(super) fn new(least: u64) -> Flow {
        Flow {
            counter: least,
            lanes: Default::default(),
            waiting: 0,
            running: 0,
        }
    }

    pub(super) fn counter(&self) -> u64 {
        self.counter
    }

    pub(super) fn running(&self) -> u32 {
        self.running
    }

    pub(super) fn is_idle(&self) -> bool {
        self.waiting == 0 && self.running == 0
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Adds a waiting job. The counter of an organisation that had none waiting is raised
    /// to `least`. Otherwise it could save up its share through a quiet day and then hold
    /// the engine for as long.
    pub(super) fn arrive(&mut self, lane: Lane, key: (Mono, u64), least: u64) {
        if self.waiting == 0 {
            self.counter = self.counter.max(least);
        }
        self.waiting += usize::from(self.lanes[lane.0].insert(key));
    }

    pub(super) fn leave(&mut self, lane: Lane, key: (Mono, u64)) {
        let removed = self.lanes[lane.0].remove(&key);
        self.waiting -= usize::from(removed);
    }

    /// Counts a job that starts, with the longest answer it may have.
    pub(super) fn start(&mut self, job: &Job) {
        self.running += 1;
        let tokens = job.prefill_tokens() + job.max_output;
        self.counter = self.counter.saturating_add(cost(tokens, job.weight));
    }

    /// Counts a job that ended. The counter was charged for the longest answer; the
    /// difference is given back.
    pub(super) fn finish(&mut self, job: &Job, output: Tokens) {
        self.running = self.running.saturating_sub(1);
        let unused = job.max_output.saturating_sub(output);
        self.counter = self.counter.saturating_sub(cost(unused, job.weight));
    }

    /// Returns the key of the job in a lane that has the earliest due time.
    pub(super) fn first(&self, lane: Lane) -> Option<(Mono, u64)> {
        self.lanes[lane.0].first().copied()
    }
}

/// Returns the tokens per unit of weight.
fn cost(tokens: Tokens, weight: u32) -> u64 {
    tokens.0 / u64::from(weight.max(1))
}
