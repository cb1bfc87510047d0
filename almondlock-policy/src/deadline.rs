//! Checks how much time a request is given, and whether it can end within that time.
//!
//! A request that can't end in time is refused when it comes and not when its time is over:
//! its caller can go elsewhere at once, and the fleet does not work on an answer that
//! nobody waits for. The estimate is optimistic, since a wrong refusal is final, while a
//! wrong admission costs only a place in a queue, where the sidecar gives the request up as
//! soon as it can't end in time.
//!
//! ```
//! use std::time::Duration;
//! use almondlock_base::{Code, unit::Tokens};
//! use almondlock_policy::deadline::{Bounds, Forecast, Work};
//!
//! let bounds = Bounds { default_ms: 30_000, limit_ms: 600_000 };
//! assert_eq!(bounds.parse(Some("1500")), Ok(Duration::from_millis(1500)));
//! assert_eq!(bounds.parse(Some("0")), Err(Code::BadDeadline));
//!
//! let work = Work { prompt: Tokens(80_000), ..Work::default() };
//! let forecast = Forecast::default();
//! assert!(forecast.check(&work, Duration::from_secs(60)).is_ok());
//! assert!(forecast.check(&work, Duration::from_secs(2)).is_err());
//! ```

use std::time::Duration;

use almondlock_base::{Code, unit::Tokens};

/// Deadlines that an organisation may ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Time for a request that names no deadline, in milliseconds.
    pub default_ms: u64,
    /// Longest time that a request may name, in milliseconds.
    pub limit_ms: u64,
}

impl Bounds {
    /// Returns the time for a request, from the text of its header.
    ///
    /// A default above the limit is lowered to the limit. A caller's value above the limit
    /// is an error instead, since the caller would count on time that it does not have.
    ///
    /// # Errors
    ///
    /// Returns [`Code::BadDeadline`] for anything but a number of milliseconds from 1 to
    /// the limit.
    pub fn parse(&self, text: Option<&str>) -> Result<Duration, Code> {
        let Some(text) = text else {
            return Ok(Duration::from_millis(
                self.default_ms.min(self.limit_ms).max(1),
            ));
        };
        // `u64::from_str` takes a leading plus sign; a header should not.
        let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        let millis = text
            .parse()
            .ok()
            .filter(|millis| digits && (1..=self.limit_ms).contains(millis));
        millis.map(Duration::from_millis).ok_or(Code::BadDeadline)
    }
}

/// What a request asks of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Number of prompt tokens that are probably cached.
    pub cached: Tokens,
    /// Maximum length of the answer.
    pub max_output: Tokens,
    /// Time that the request would wait at the upstream that it would be sent to.
    pub queue_wait: Duration,
}

/// Why a request is refused. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Always [`Code::DeadlineUnreachable`].
    pub code: Code,
    /// Time after which the wait will be short enough. Zero if the work alone takes longer
    /// than the deadline, since coming back with the same deadline is then no use.
    pub retry_after: Duration,
}

/// Recent speeds, from which the time of a request is estimated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    // Invariant: all three are above zero, the last one at most 1.
    prefill_speed: f64,
    decode_speed: f64,
    /// Length of answers, as a part of the length asked for.
    used_ratio: f64,
}

/// Weight of one observation against the value known before.
const SMOOTHING_RATIO: f64 = 0.05;

impl Default for Forecast {
    /// Returns a forecast of 8,000 prompt tokens and 40 answer tokens per second, and
    /// answers a quarter as long as allowed.
    fn default() -> Forecast {
        Forecast {
            prefill_speed: 8_000.0,
            decode_speed: 40.0,
            used_ratio: 0.25,
        }
    }
}

impl Forecast {
    /// Returns the time that a request takes, including its wait in the queue.
    pub fn estimate(&self, work: &Work) -> Duration {
        work.queue_wait + self.service_time(work)
    }

    /// Returns the estimated time if the request can end within the time left.
    ///
    /// # Errors
    ///
    /// Returns a refusal if it can't, with the time after which the caller may come back.
    pub fn check(&self, work: &Work, left: Duration) -> Result<Duration, Refusal> {
        let service = self.service_time(work);
        let estimate = work.queue_wait + service;
        if estimate <= left {
            return Ok(estimate);
        }
        let retry_after = if service <= left {
            (estimate - left).max(Duration::from_millis(1))
        } else {
            Duration::ZERO
        };
        Err(Refusal {
            code: Code::DeadlineUnreachable,
            retry_after,
        })
    }

    /// Adds the observation of a prefill, timed from its start on the engine.
    pub fn observe_prefill(&mut self, tokens: Tokens, took: Duration) {
        update_speed(&mut self.prefill_speed, tokens, took);
    }

    /// Adds the observation of an answer, timed from its first token.
    pub fn observe_decode(&mut self, output: Tokens, allowed: Tokens, took: Duration) {
        update_speed(&mut self.decode_speed, output, took);
        if allowed > Tokens::ZERO {
            let used = (output.0 as f64 / allowed.0 as f64).clamp(0.01, 1.0);
            self.used_ratio += (used - self.used_ratio) * SMOOTHING_RATIO;
        }
    }

    fn service_time(&self, work: &Work) -> Duration {
        let prefill = work.prompt.saturating_sub(work.cached).0 as f64 / self.prefill_speed;
        let decode = work.max_output.0 as f64 * self.used_ratio / self.decode_speed;
        Duration::from_secs_f64((prefill + decode).min(1e9))
    }
}

fn update_speed(speed: &mut f64, tokens: Tokens, took: Duration) {
    if tokens == Tokens::ZERO || took.is_zero() {
        return;
    }
    let seen = (tokens.0 as f64 / took.as_secs_f64()).max(1.0);
    *speed += (seen - *speed) * SMOOTHING_RATIO;
}
