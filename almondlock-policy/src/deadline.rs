//! How long a request may take, and whether that will do.
//!
//! A request that can't end in time is refused when it comes, not when its time
//! is over: its caller can turn elsewhere at once, and the fleet does not work
//! for an answer that nobody waits for. The estimate leans to the hopeful side,
//! since a wrong refusal is final and a wrong admission only costs a place in a
//! queue, from which the sidecar gives it up as soon as it is hopeless.
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

/// What an organisation may ask for, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// What a request gets that names no deadline.
    pub default_ms: u64,
    /// The longest one.
    pub limit_ms: u64,
}

impl Bounds {
    /// The time allowed to a request, by the header's text.
    ///
    /// A default above the limit is cut to it. A caller's figure above the
    /// limit is an error and not cut: the caller would count on time that it
    /// does not have.
    ///
    /// # Errors
    ///
    /// [`Code::BadDeadline`] for anything but a number of milliseconds from 1
    /// to the limit.
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

/// What is asked of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Of that, what is likely cached.
    pub cached: Tokens,
    /// Most tokens of the answer.
    pub max_output: Tokens,
    /// How long it would wait at the upstream that it would go to.
    pub queue_wait: Duration,
}

/// Why a request is refused, with when to come back. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Always [`Code::DeadlineUnreachable`].
    pub code: Code,
    /// When the wait will have gone by as far as is needed. Coming back with
    /// the same deadline is no use when the work alone takes longer than it;
    /// then it is zero.
    pub retry_after: Duration,
}

/// Speeds seen lately.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    // Invariant: all three are above zero, the last one at most 1.
    prefill: f64,
    decode: f64,
    /// The part of the tokens asked for that answers really have.
    used: f64,
}

/// How much one answer counts against what was known.
const GAIN: f64 = 0.05;

impl Default for Forecast {
    /// 8,000 prompt tokens and 40 answer tokens a second, and answers a
    /// quarter as long as allowed.
    fn default() -> Forecast {
        Forecast {
            prefill: 8_000.0,
            decode: 40.0,
            used: 0.25,
        }
    }
}

impl Forecast {
    /// How long the work takes, the wait included.
    pub fn estimate(&self, work: &Work) -> Duration {
        work.queue_wait + self.service_time(work)
    }

    /// Whether the work can end within the time left.
    ///
    /// # Errors
    ///
    /// Refused when it can't, with when to come back.
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

    /// Learns how long a prefill took, from its start on the engine.
    pub fn observe_prefill(&mut self, tokens: Tokens, took: Duration) {
        learn(&mut self.prefill, tokens, took);
    }

    /// Learns how long an answer took from its first token on.
    pub fn observe_decode(&mut self, output: Tokens, allowed: Tokens, took: Duration) {
        learn(&mut self.decode, output, took);
        if allowed > Tokens::ZERO {
            let used = (output.0 as f64 / allowed.0 as f64).clamp(0.01, 1.0);
            self.used += (used - self.used) * GAIN;
        }
    }

    fn service_time(&self, work: &Work) -> Duration {
        let prefill = work.prompt.saturating_sub(work.cached).0 as f64 / self.prefill;
        let decode = work.max_output.0 as f64 * self.used / self.decode;
        Duration::from_secs_f64((prefill + decode).min(1e9))
    }
}

fn learn(speed: &mut f64, tokens: Tokens, took: Duration) {
    if tokens == Tokens::ZERO || took.is_zero() {
        return;
    }
    let seen = (tokens.0 as f64 / took.as_secs_f64()).max(1.0);
    *speed += (seen - *speed) * GAIN;
}
