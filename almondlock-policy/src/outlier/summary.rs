//! How several hosts' observations of one upstream count together.
//!
//! **Failure.** A host reports wrong data. What one host reports counts at most as much as what
//! all others report together, so that its report alone has no weight, and besides one honest
//! report it has the weight of one.

use almondlock_base::time::Mono;

/// A standard normal deviate: the true share of failures is below the lower bound in one case
/// of ten, and above the upper one.
const DEVIATE: f64 = 1.28;

/// What was observed of an upstream within the window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// How many hosts observed it.
    pub hosts: u32,
    /// Requests that it answered.
    pub answers: u32,
    /// Requests that failed by its fault.
    pub failures: u32,
    /// The same, at most one of each host: for what a service does as a whole, of which one
    /// host's wrong report must not count for much.
    pub capped_failures: u32,
    /// The weight of the times that were compared with what was expected: one for each that
    /// was as expected, more for longer ones.
    pub time_weight: u32,
    /// Their weighted median, as a multiple of what was expected. 1 without any.
    pub slowness: f64,
    /// When the newest observation was made.
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
    /// Several hosts' accounts as one.
    pub fn pool(accounts: &[Summary]) -> Summary {
        let counts = |count: fn(&Summary) -> u32| accounts.iter().map(count).collect::<Vec<_>>();
        let requests: u32 = accounts.iter().map(Summary::requests).sum();
        let answers = accounts.iter().map(|account| {
            // One always counts, and any besides another host's failures.
            account.answers.min((requests - account.requests()).max(1))
        });
        let failures = capped(&counts(|account| account.failures));
        let samples = capped(&counts(|account| account.time_weight));
        let mut order: Vec<(f64, u32)> = accounts
            .iter()
            .zip(&samples)
            .map(|(account, samples)| (account.slowness, *samples))
            .collect();
        order.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let total: u32 = samples.iter().sum();
        let mut passed = 0;
        let median = order.iter().find(|(_, samples)| {
            passed += samples;
            passed * 2 >= total && passed > 0
        });
        Summary {
            hosts: u32::try_from(accounts.len()).unwrap_or(u32::MAX),
            answers: answers.sum(),
            failures: failures.iter().sum(),
            capped_failures: accounts.iter().map(|a| a.failures.min(1)).sum(),
            time_weight: total,
            slowness: median.map_or(1.0, |(slowness, _)| *slowness),
            newest: accounts
                .iter()
                .map(|a| a.newest)
                .max()
                .unwrap_or(Mono::ZERO),
        }
    }

    /// Requests of which it is known how they ended.
    pub const fn requests(&self) -> u32 {
        self.answers + self.failures
    }

    /// The part of the requests that failed.
    pub fn failure_share(&self) -> f64 {
        match self.requests() {
            0 => 0.0,
            requests => f64::from(self.failures) / f64::from(requests),
        }
    }

    /// A lower bound of the part that fails in the long run.
    pub fn failure_share_bound(&self) -> f64 {
        bounds(self.failures, self.requests()).0
    }
}

/// Bounds of the part that fails in the long run (Wilson's score interval).
pub(super) fn bounds(failures: u32, requests: u32) -> (f64, f64) {
    if requests == 0 {
        return (0.0, 1.0);
    }
    let requests = f64::from(requests);
    let share = f64::from(failures) / requests;
    let square = DEVIATE * DEVIATE;
    let centre = share + square / (2.0 * requests);
    let variance = share * (1.0 - share) / requests + square / (4.0 * requests * requests);
    let (spread, scale) = (DEVIATE * variance.sqrt(), 1.0 + square / requests);
    ((centre - spread) / scale, (centre + spread) / scale)
}

/// Counts of which none is larger than the sum of the others.
fn capped(counts: &[u32]) -> Vec<u32> {
    let total: u32 = counts.iter().sum();
    counts
        .iter()
        .map(|count| (*count).min(total - count))
        .collect()
}
