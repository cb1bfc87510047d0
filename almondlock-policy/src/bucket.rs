//! A token bucket, which saves up the unused part of a rate.

use std::time::Duration;

use almondlock_base::time::Mono;

/// Millionths of a request in one request.
pub(crate) const MICROREQUESTS_PER_REQUEST: u64 = 1_000_000;

/// The requests saved up, in millionths.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bucket {
    credit: u64,
    // Time of the last refill. `None` before the first one, which gives one request: a bucket
    // that began full would give its capacity again at each start of its host.
    refilled_at: Option<Mono>,
}

impl Bucket {
    /// Returns a bucket that is empty now.
    pub(crate) const fn empty(now: Mono) -> Bucket {
        Bucket {
            credit: 0,
            refilled_at: Some(now),
        }
    }

    /// Adds what was earned since the last refill at `rate` thousandths of requests per
    /// second, up to what the rate earns within `burst`.
    ///
    /// The capacity is at least one request, else a low rate could never be used.
    pub(crate) fn refill(&mut self, rate: u64, burst: Duration, now: Mono) {
        let rate = u128::from(rate);
        let capacity = (rate * burst.as_micros() / 1000).max(u128::from(MICROREQUESTS_PER_REQUEST));
        let earned = match self.refilled_at {
            None => u128::from(MICROREQUESTS_PER_REQUEST),
            Some(at) => rate * now.since(at).as_micros() / 1000,
        };
        let credit = (u128::from(self.credit) + earned).min(capacity);
        // Fractions of a millionth are lost at each refill. The next span starts at `now`
        // only if something was earned, which bounds that loss.
        if earned > 0 || self.refilled_at.is_none() {
            self.refilled_at = Some(self.refilled_at.map_or(now, |at| at.max(now)));
        }
        self.credit = u64::try_from(credit).unwrap_or(u64::MAX);
    }

    /// Takes out one request.
    ///
    /// # Errors
    ///
    /// Returns the time until there is one at `rate` if the bucket holds less.
    pub(crate) fn take(&mut self, rate: u64) -> Result<(), Duration> {
        if let Some(rest) = self.credit.checked_sub(MICROREQUESTS_PER_REQUEST) {
            self.credit = rest;
            return Ok(());
        }
        let missing = u128::from(MICROREQUESTS_PER_REQUEST - self.credit) * 1000;
        let micros = missing.div_ceil(u128::from(rate.max(1)));
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        Err(Duration::from_micros(micros))
    }
}
