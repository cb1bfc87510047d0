//! When to try again.

use std::time::Duration;

use almondlock_base::time::Mono;
use rand::Rng;

/// Pauses that double from `first` to `limit`, each drawn from its upper half.
///
/// When a failure domain comes back, everyone who lost it tries again; without
/// the random half they would do so in the same instant, again and again.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    limit: Duration,
    failures: u32,
    until: Mono,
}

impl Backoff {
    /// Ready at once.
    pub const fn new(first: Duration, limit: Duration) -> Backoff {
        Backoff {
            first,
            limit,
            failures: 0,
            until: Mono::ZERO,
        }
    }

    /// Notes a failure and returns the pause.
    pub fn fail<R>(&mut self, now: Mono, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let doubled = self.first.saturating_mul(1 << self.failures.min(20));
        let span = doubled.min(self.limit);
        let pause = span.mul_f64(rng.random_range(0.5..1.0));
        self.failures = self.failures.saturating_add(1);
        self.until = now + pause;
        pause
    }

    /// Notes a success.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.until = Mono::ZERO;
    }

    /// How long still to wait.
    pub fn left(&self, now: Mono) -> Duration {
        self.until.since(now)
    }
}
