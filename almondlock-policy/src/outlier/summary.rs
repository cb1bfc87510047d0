//! Summaries of the observations of one upstream, and how those of several hosts are pooled.
//!
//! **Failure.** A host reports wrong data. The report of one host therefore counts at most as
//! much as all others together: alone it has no weight, and beside a single correct report it
//! has the same weight as that.

use almondlock_base::time::Mono;

/// Standard normal deviate of the bounds: the true share of failures is below the lower bound in
/// one case of ten, and above the upper bound in one of ten.
const NORMAL_DEVIATE: f64 = 1.28;

/// Summary of what was observed of an upstream within [`WINDOW`](super::WINDOW).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Number of hosts that observed the upstream.
    pub hosts: u32,
    /// Number of requests that the upstream answered.
    pub answers: u32,
    /// Number of requests that failed through the upstream's fault.
    pub failures: u32,
    /// Number of failures, with at most one from each host in a pooled summary. It tells whether
    /// a service fails as a whole, where one host's wrong report must not count for much.
    pub capped_failures: u32,
    /// Total weight of the observed times: 1 for a time that was as expected, more for longer
    /// ones.
    pub time_weight: u32,
    /// Weighted median of the observed times, as a multiple of the expected ones. 1 if no time
    /// was observed.
    pub slowness: f64,
    /// Time of the newest observation.
    pub newest: Mono,
}

impl Default for Summary {
    fn default() -> Summary {
        Summary {
            hosts: 0,
            answers: 0,
            failures: 0,
            capped_failures: 0,
            time_weight: 0,
            slowness: 1.0,
            newest: Mono::ZERO,
        }
    }
}

impl Summary {
    /// Pools the summaries of several hosts into one.
    pub fn pool(summaries: &[Summary]) -> Summary {
        let counts = |count: fn(&Summary) -> u32| summaries.iter().map(count).collect::<Vec<_>>();
        let requests: u32 = summaries.iter().map(Summary::requests).sum();
        let answers = summaries.iter().map(|summary| {
            // At least one answer counts, and at most as many as other hosts have requests.
            summary.answers.min((requests - summary.requests()).max(1))
        });
        let failures = cap_counts(&counts(|summary| summary.failures));
        let samples = cap_counts(&counts(|summary| summary.time_weight));
        let mut order: Vec<(f64, u32)> = summaries
            .iter()
            .zip(&samples)
            .map(|(summary, samples)| (summary.slowness, *samples))
            .collect();
        order.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let total: u32 = samples.iter().sum();
        let mut passed = 0;
        let median = order.iter().find(|(_, samples)| {
            passed += samples;
            passed * 2 >= total && passed > 0
        });
        Summary {
            hosts: u32::try_from(summaries.len()).unwrap_or(u32::MAX),
            answers: answers.sum(),
            failures: failures.iter().sum(),
            capped_failures: summaries.iter().map(|a| a.failures.min(1)).sum(),
            time_weight: total,
            slowness: median.map_or(1.0, |(slowness, _)| *slowness),
            newest: summaries
                .iter()
                .map(|a| a.newest)
                .max()
                .unwrap_or(Mono::ZERO),
        }
    }

    /// Returns the number of requests whose outcome is known.
    pub const fn requests(&self) -> u32 {
        self.answers + self.failures
    }

    /// Returns the part of the requests that failed.
    pub fn failure_share(&self) -> f64 {
        match self.requests() {
            0 => 0.0,
            requests => f64::from(self.failures) / f64::from(requests),
        }
    }

    /// Returns a lower bound of the part of the requests that fails in the long run.
    pub fn failure_share_bound(&self) -> f64 {
        failure_bounds(self.failures, self.requests()).0
    }
}

/// Returns the lower and the upper bound of the part of the requests that fails in the long run
/// (Wilson score interval).
pub(super) fn failure_bounds(failures: u32, requests: u32) -> (f64, f64) {
    if requests == 0 {
        return (0.0, 1.0);
    }
    let requests = f64::from(requests);
    let share = f64::from(failures) / requests;
    let square = NORMAL_DEVIATE * NORMAL_DEVIATE;
    let centre = share + square / (2.0 * requests);
    let variance = share * (1.0 - share) / requests + square / (4.0 * requests * requests);
    let (spread, scale) = (NORMAL_DEVIATE * variance.sqrt(), 1.0 + square / requests);
    ((centre - spread) / scale, (centre + spread) / scale)
}

/// Reduces each count to at most the sum of the others.
fn cap_counts(counts: &[u32]) -> Vec<u32> {
    let total: u32 = counts.iter().sum();
    counts
        .iter()
        .map(|count| (*count).min(total - count))
        .collect()
}
