//! What one host has observed of an upstream lately.

use std::collections::VecDeque;

use almondlock_base::time::Mono;

use super::{Account, Sample, WINDOW};

/// Samples of a kind that are kept for an upstream: enough for a stable median.
const KEPT: usize = 24;

/// Recent observations of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Window {
    /// Requests, and whether they were answered. In order of time.
    requests: VecDeque<(Mono, bool)>,
    /// Times as multiples of what was expected. In order of time.
    times: VecDeque<(Mono, f64)>,
}

impl Window {
    /// Takes in an observation.
    pub fn tell(&mut self, now: Mono, sample: Sample) {
        match sample {
            Sample::Answer => push(&mut self.requests, (now, true)),
            Sample::Failure => push(&mut self.requests, (now, false)),
            Sample::Time(multiple) => push(&mut self.times, (now, multiple)),
        }
    }

    /// Whether everything in it is too old.
    pub fn is_old(&self, now: Mono) -> bool {
        let newest = [
            self.requests.back().map(|(at, _)| *at),
            self.times.back().map(|(at, _)| *at),
        ];
        newest.iter().flatten().all(|at| now.since(*at) >= WINDOW)
    }

    /// What it comes to now.
    pub fn account(&self, now: Mono) -> Account {
        let is_fresh = |at: &Mono| now.since(*at) < WINDOW;
        let mut account = Account::default();
        for (at, answered) in self.requests.iter().filter(|(at, _)| is_fresh(at)) {
            account.answers += u32::from(*answered);
            account.failures += u32::from(!answered);
            account.at = account.at.max(*at);
        }
        let fresh = self.times.iter().filter(|(at, _)| is_fresh(at));
        let mut times: Vec<f64> = Vec::with_capacity(self.times.len());
        for (at, multiple) in fresh {
            times.push(*multiple);
            account.at = account.at.max(*at);
        }
        account.witnessed = account.failures;
        account.samples = u32::try_from(times.len()).unwrap_or(u32::MAX);
        if !times.is_empty() {
            times.sort_unstable_by(f64::total_cmp);
            account.slowness = times[(times.len() - 1) / 2];
        }
        account.hosts = u32::from(account.samples + account.answers + account.failures > 0);
        account
    }
}

fn push<T>(entries: &mut VecDeque<T>, entry: T) {
    if entries.len() >= KEPT {
        entries.pop_front();
    }
    entries.push_back(entry);
}
