//! What one host has observed of an upstream lately.

use std::collections::VecDeque;

use almondlock_base::time::Mono;

use super::{Sample, Summary, WINDOW};

/// Samples of a kind that are kept for an upstream: those of a window at an engine that writes
/// a few of the host's streams.
const KEPT: usize = 64;

/// A time has its multiple as its weight, up to this. An upstream that becomes seven times
/// slower gives a seventh of the times: counted alike, those from before would outnumber them
/// until nearly all of the window has passed.
const WEIGHT_MOST: f64 = 10.0;

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
    pub fn observe(&mut self, now: Mono, sample: Sample) {
        match sample {
            Sample::Answer => push(&mut self.requests, (now, true)),
            Sample::Failure => push(&mut self.requests, (now, false)),
            Sample::Time(multiple) => push(&mut self.times, (now, multiple)),
        }
    }

    /// Whether everything in it is too old.
    pub fn is_expired(&self, now: Mono) -> bool {
        let newest = [
            self.requests.back().map(|(at, _)| *at),
            self.times.back().map(|(at, _)| *at),
        ];
        newest.iter().flatten().all(|at| now.since(*at) >= WINDOW)
    }

    /// What it comes to now.
    pub fn summarise(&self, now: Mono) -> Summary {
        let is_fresh = |at: &Mono| now.since(*at) < WINDOW;
        let mut account = Summary::default();
        for (at, answered) in self.requests.iter().filter(|(at, _)| is_fresh(at)) {
            account.answers += u32::from(*answered);
            account.failures += u32::from(!answered);
            account.newest = account.newest.max(*at);
        }
        let fresh = self.times.iter().filter(|(at, _)| is_fresh(at));
        let mut times: Vec<f64> = Vec::with_capacity(self.times.len());
        for (at, multiple) in fresh {
            times.push(*multiple);
            account.newest = account.newest.max(*at);
        }
        account.capped_failures = account.failures;
        times.sort_unstable_by(f64::total_cmp);
        let weight = |multiple: &f64| multiple.min(WEIGHT_MOST);
        let total: f64 = times.iter().map(weight).sum();
        // A window holds few times; their weights are bounded.
        account.time_weight = total.round() as u32;
        let mut passed = 0.0;
        let median = times.iter().find(|multiple| {
            passed += weight(multiple);
            passed * 2.0 >= total
        });
        account.slowness = median.copied().unwrap_or(1.0);
        account.hosts = u32::from(account.time_weight + account.answers + account.failures > 0);
        account
    }
}

fn push<T>(entries: &mut VecDeque<T>, entry: T) {
    if entries.len() >= KEPT {
        entries.pop_front();
    }
    entries.push_back(entry);
}
