//! Load reports that lag, as those of real engines do.

use std::{collections::VecDeque, time::Duration};

use serde::Serialize;

/// How many samples are kept for one lag.
const SAMPLES: u32 = 8;

/// What an engine says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Load {
    /// Requests in the batch.
    pub running: u64,
    /// Requests that wait for the batch or for memory.
    pub queued: u64,
    /// Engine memory in tokens.
    pub memory: u64,
    /// Memory that nothing has reserved, in tokens.
    pub free: u64,
    /// Prompt tokens not yet prefilled, of running and queued requests.
    pub backlog: u64,
}

/// Past loads, of which the newest that is old enough is shown.
#[derive(Debug)]
pub(crate) struct Report {
    lag: Duration,
    samples: VecDeque<(Duration, Load)>,
}

impl Report {
    pub(crate) fn new(lag: Duration, load: Load) -> Report {
        Report {
            lag,
            samples: VecDeque::from([(Duration::ZERO, load)]),
        }
    }

    /// Takes a sample. Within a fraction of the lag the last one is replaced.
    pub(crate) fn observe(&mut self, now: Duration, load: Load) {
        self.forget(now);
        let fresh = now.saturating_sub(self.lag / SAMPLES);
        match self.samples.back_mut() {
            Some((at, last)) if *at > fresh => *last = load,
            _ => self.samples.push_back((now, load)),
        }
    }

    /// The load as it is told now.
    pub(crate) fn get(&mut self, now: Duration) -> Load {
        self.forget(now);
        self.samples.front().map(|s| s.1).unwrap_or_default()
    }

    /// Drops samples that a newer one, old enough itself, has replaced.
    fn forget(&mut self, now: Duration) {
        let until = now.saturating_sub(self.lag);
        while self.samples.get(1).is_some_and(|next| next.0 <= until) {
            self.samples.pop_front();
        }
    }
}
