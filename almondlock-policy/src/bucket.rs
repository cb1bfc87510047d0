//! A token bucket: how much of a rate has been saved up.

use std::time::Duration;

use almondlock_base::time::Mono;

/// Millionths in one request.
pub(crate) const MICROREQUESTS: u64 = 1_000_000;

/// What is saved up of a rate, in millionths of requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bucket {
    credit: u64,
    // When it was filled last. None: never, and the first time fills it up.
    refilled_at: Option<Mono>,
}

impl Bucket {
    /// One that is empty now.
    pub(crate) const fn empty(now: Mono) -> Bucket {
        Bucket {
            credit: 0,
            refilled_at: Some(now),
        }
    }

    /// Adds what was earned since the last time, at `rate` thousandths of requests a
    /// second, up to what `burst` earns.
    ///
    /// A full bucket always holds one request, else a small rate could never be used.
    pub(crate) fn refill(&mut self, rate: u64, burst: Duration, now: Mono) {
        let rate = u128::from(rate);
        let capacity = (rate * burst.as_micros() / 1000).max(u128::from(MICROREQUESTS));
        let earned = match self.refilled_at {
            None => capacity,
            Some(at) => rate * now.since(at).as_micros() / 1000,
        };
        let credit = (u128::from(self.credit) + earned).min(capacity);
        // Fractions below a millionth are lost at each call; starting the next
        // span at `now` only where something was earned bounds that loss.
        if earned > 0 || self.refilled_at.is_none() {
            self.refilled_at = Some(self.refilled_at.map_or(now, |at| at.max(now)));
        }
        self.credit = u64::try_from(credit).unwrap_or(u64::MAX);
    }

    /// Takes one request out.
    ///
    /// # Errors
    ///
    /// How long it takes at `rate` until there is one.
    pub(crate) fn take(&mut self, rate: u64) -> Result<(), Duration> {
        if let Some(rest) = self.credit.checked_sub(MICROREQUESTS) {
            self.credit = rest;
            return Ok(());
        }
        let missing = u128::from(MICROREQUESTS - self.credit) * 1000;
        let micros = missing.div_ceil(u128::from(rate.max(1)));
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        Err(Duration::from_micros(micros))
    }
}
