//! Recent observations of one upstream by one host.

use std::collections::VecDeque;

use almondlock_base::time::Mono;

use super::{Sample, Summary, WINDOW};

/// Largest number of requests and of times that are kept for an upstream. It is enough for a
/// window at an engine that writes a few of the host's streams.
const MAX_SAMPLES: usize = 64;

/// Largest weight of a time. A time is weighted by its multiple of the expected one, since an
/// upstream that becomes seven times slower yields a seventh of the times: with equal weights,
/// the earlier times would outnumber them until nearly all of the window has passed.
const MAX_WEIGHT: f64 = 10.0;

/// Recent observations of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Window {
    /// Times at which requests ended and whether they were answered, oldest first.
    requests: VecDeque<(Mono, bool)>,
    /// Observed times as multiples of the expected ones, oldest first.
    times: VecDeque<(Mono, f64)>,
}

impl Window {
    /// Adds an observation.
    pub fn observe(&mut self, now: Mono, sample: Sample) {
        match sample {
            Sample::Answer => push_bounded(&mut self.requests, (now, true)),
            Sample::Failure => push_bounded(&mut self.requests, (now, false)),
            Sample::Time(multiple) => push_bounded(&mut self.times, (now, multiple)),
        }
    }

    /// Whether all observations are older than the window.
    pub fn is_expired(&self, now: Mono) -> bool {
        let newest = [
            self.requests.back().map(|(at, _)| *at),
            self.times.back().map(|(at, _)| *at),
        ];
        newest.iter().flatten().all(|at| now.since(*at) >= WINDOW)
    }

    /// Summarises the observations that are not older than the window.
    pub fn summarise(&self, now: Mono) -> Summary {
        let is_fresh = |at: &Mono| now.since(*at) < WINDOW;
        let mut summary = Summary::default();
        for (at, answered) in self.requests.iter().filter(|(at, _)| is_fresh(at)) {
            summary.answers += u32::from(*answered);
            summary.failures += u32::from(!answered);
            summary.newest = summary.newest.max(*at);
        }
        let fresh = self.times.iter().filter(|(at, _)| is_fresh(at));
        let mut times: Vec<f64> = Vec::with_capacity(self.times.len());
        for (at, multiple) in fresh {
            times.push(*multiple);
            summary.newest = summary.newest.max(*at);
        }
        summary.capped_failures = summary.failures;
        times.sort_unstable_by(f64::total_cmp);
        let weight = |multiple: &f64| multiple.min(MAX_WEIGHT);
        let total: f64 = times.iter().map(weight).sum();
        // The number of times and their weights are bounded, so the sum fits.
        summary.time_weight = total.round() as u32;
        let mut passed = 0.0;
        let median = times.iter().find(|multiple| {
            passed += weight(multiple);
            passed * 2.0 >= total
        });
        summary.slowness = median.copied().unwrap_or(1.0);
        summary.hosts = u32::from(summary.time_weight + summary.answers + summary.failures > 0);
        summary
    }
}

/// Appends an entry, and drops the oldest one if there are too many.
fn push_bounded<T>(entries: &mut VecDeque<T>, entry: T) {
    if entries.len() >= MAX_SAMPLES {
        entries.pop_front();
    }
    entries.push_back(entry);
}
