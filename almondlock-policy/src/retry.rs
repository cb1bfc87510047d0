//! Decides whether a failed attempt is followed by another one.
//!
//! A retry must pass three checks, in this order. It must be *safe*: the request must not
//! run twice if it may not, and parts of different answers must not be joined. It must be
//! *useful*: another attempt could have another result, in time. And it must be
//! *affordable*: a retry costs the fleet as much as a fresh request, and when half the
//! fleet fails, retries alone would double the work of the other half. So retries are paid
//! from budgets that fresh requests fill, one per organisation and one per entry host. When
//! a budget is empty, the caller gets its refusal at once.
//!
//! ```
//! use almondlock_base::{Code, Ran};
//! use almondlock_policy::retry::{Failure, Safety, assess_safety};
//!
//! let payment = Failure {
//!     code: Code::UpstreamLost,
//!     ran: Ran::Unknown,
//!     repeatable: false,
//!     streamed: 0,
//!     resumable: false,
//! };
//! assert_eq!(assess_safety(&payment), Safety::Never);
//! // The sidecar holds a tombstone for it: it can safely go elsewhere.
//! assert_eq!(assess_safety(&Failure { ran: Ran::No, ..payment }), Safety::Again);
//! ```

use std::{collections::HashMap, time::Duration};

use almondlock_base::{Code, Ran, id::Organisation, time::Mono};
use rand::Rng;

/// What is known of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The result code of the failure.
    pub code: Code,
    /// Whether the request ran, in this attempt or an earlier one; see [`merge_ran`].
    pub ran: Ran,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Number of tokens (or bytes) of the answer that the caller already has.
    pub streamed: u64,
    /// Whether the engine guarantees the same continuation from an offset.
    pub resumable: bool,
}

/// Returns whether a request ran after one more attempt. It did not run only if no attempt
/// ran.
pub const fn merge_ran(before: Ran, attempt: Ran) -> Ran {
    match (before, attempt) {
        (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
        (Ran::No, Ran::No) => Ran::No,
    }
}

/// What may safely follow a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safety {
    /// A new attempt from the start.
    Again,
    /// A new attempt that continues the answer at this offset.
    Resume(u64),
    /// No further attempt.
    Never,
}

/// Returns what may safely follow a failed attempt, whatever it costs.
///
/// If the caller already has a part of the answer, the answer is only continued and never
/// started again: a second run may choose other words, and the two halves would not belong
/// together. A request that may not be repeated is sent again only if it provably did not
/// run.
pub fn assess_safety(failure: &Failure) -> Safety {
    let once = failure.ran == Ran::No || failure.repeatable;
    if !failure.code.is_retryable() || !once {
        return Safety::Never;
    }
    match failure.streamed {
        0 => Safety::Again,
        offset if failure.resumable && failure.repeatable => Safety::Resume(offset),
        _ => Safety::Never,
    }
}

/// Returns whether a retry after this code is paid from the budgets. Work that a leaving
/// upstream gives back, a call that reached a later life of a sidecar, and a call to an
/// upstream that doesn't answer are moved rather than retried, since the upstream did
/// nothing for them. If they were charged, a planned stop would make requests fail, and a
/// few dead upstreams would use up the attempts of a request that a live upstream would
/// have answered.
pub fn is_charged(code: Code) -> bool {
    !matches!(
        code,
        Code::UpstreamLeaving | Code::StaleIncarnation | Code::NoUpstream
    )
}

/// Configuration of a [`Policy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Maximum number of attempts of one request, the first one included.
    pub max_attempts: u32,
    /// Retries per hundred fresh requests.
    pub retry_percent: u32,
    /// Free retries per second, so that an organisation with few requests can retry at all.
    pub free_per_second: f64,
    /// Maximum number of retries saved up.
    pub max_saved: f64,
    /// Longest wait before the first retry.
    pub base_backoff: Duration,
    /// Longest wait before any retry.
    pub max_backoff: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            max_attempts: 4,
            retry_percent: 10,
            free_per_second: 0.5,
            max_saved: 20.0,
            base_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A new attempt.
    Retry {
        /// Time to wait before the attempt.
        after: Duration,
        /// Offset of the answer to continue at; 0 is from the start.
        offset: u64,
    },
    /// The request gets its final answer now.
    GiveUp {
        /// Result code of the answer.
        code: Code,
        /// Whether the request ran, over all attempts.
        ran: Ran,
        /// Time after which the caller may come back.
        retry_after: Duration,
    },
}

/// Number of retries saved up.
#[derive(Clone, Copy, Debug, Default)]
struct Budget {
    // Invariant: between 0 and [`Config::max_saved`].
    saved: f64,
    refilled_at: Option<Mono>,
}

impl Budget {
    fn refill(&mut self, config: &Config, now: Mono) {
        let earned = match self.refilled_at {
            None => config.max_saved,
            Some(at) => now.since(at).as_secs_f64() * config.free_per_second,
        };
        self.saved = (self.saved + earned).min(config.max_saved);
        self.refilled_at = Some(self.refilled_at.map_or(now, |at| at.max(now)));
    }

    fn deposit(&mut self, config: &Config, now: Mono) {
        self.refill(config, now);
        let earned = f64::from(config.retry_percent) / 100.0;
        self.saved = (self.saved + earned).min(config.max_saved);
    }

    fn has_one(&mut self, config: &Config, now: Mono) -> bool {
        self.refill(config, now);
        self.saved >= 1.0
    }
}

/// Decides on retries at one entry host.
#[derive(Debug)]
pub struct Policy {
    config: Config,
    host: Budget,
    organisations: HashMap<Organisation, Budget>,
}

impl Policy {
    /// Returns a policy with full budgets.
    pub fn new(config: Config) -> Policy {
        Policy {
            config,
            host: Budget::default(),
            organisations: HashMap::new(),
        }
    }

    /// Counts a fresh request, which adds to the budgets.
    pub fn count_request(&mut self, organisation: &Organisation, now: Mono) {
        self.host.deposit(&self.config, now);
        // Found before inserted: the name is not copied for each request.
        if let Some(budget) = self.organisations.get_mut(organisation) {
            budget.deposit(&self.config, now);
        } else {
            let mut budget = Budget::default();
            budget.deposit(&self.config, now);
            self.organisations.insert(organisation.clone(), budget);
        }
    }

    /// Forgets an organisation.
    pub fn remove(&mut self, organisation: &Organisation) {
        self.organisations.remove(organisation);
    }

    /// Returns the number of retries that the host's budget could pay for.
    pub fn remaining(&self) -> f64 {
        self.host.saved
    }

    /// Decides what follows a failed attempt. `made` is the number of attempts that the
    /// request has had, and `left` the time until its deadline.
    pub fn decide<R>(
        &mut self,
        organisation: &Organisation,
        failure: &Failure,
        made: u32,
        left: Duration,
        now: Mono,
        rng: &mut R,
    ) -> Decision
    where
        R: Rng,
    {
        let offset = match assess_safety(failure) {
            Safety::Again => 0,
            Safety::Resume(offset) => offset,
            Safety::Never => return self.give_up(failure.code, failure.ran),
        };
        let after = if is_charged(failure.code) {
            self.draw_backoff(made, rng)
        } else {
            Duration::ZERO
        };
        if made >= self.config.max_attempts || after >= left {
            return self.give_up_exhausted(failure);
        }
        if is_charged(failure.code) && !self.pay_retry(organisation, now) {
            return self.give_up_exhausted(failure);
        }
        Decision::Retry { after, offset }
    }

    /// Takes one retry from both budgets, or from neither if one is empty.
    fn pay_retry(&mut self, organisation: &Organisation, now: Mono) -> bool {
        let Some(own) = self.organisations.get_mut(organisation) else {
            return false;
        };
        let affordable = own.has_one(&self.config, now) && self.host.has_one(&self.config, now);
        if affordable {
            own.saved -= 1.0;
            self.host.saved -= 1.0;
        }
        affordable
    }

    /// Returns the wait before a retry. Its upper limit doubles with each attempt, and it
    /// is drawn from the upper half, so that requests that failed together do not come back
    /// together.
    fn draw_backoff<R>(&self, made: u32, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let doubled = 2u32.saturating_pow(made.saturating_sub(1).min(16));
        let most = self
            .config
            .base_backoff
            .saturating_mul(doubled)
            .min(self.config.max_backoff);
        most.mul_f64(rng.random_range(0.5..=1.0))
    }

    /// Gives up a request that may not be retried any more. If it did not run, the code is
    /// [`Code::RetriesExhausted`]; else the code of the failure is kept.
    fn give_up_exhausted(&self, failure: &Failure) -> Decision {
        if failure.ran == Ran::No && failure.streamed == 0 {
            self.give_up(Code::RetriesExhausted, Ran::No)
        } else {
            self.give_up(failure.code, failure.ran)
        }
    }

    fn give_up(&self, code: Code, ran: Ran) -> Decision {
        let retry_after = if code.is_retryable() {
            self.config.max_backoff
        } else {
            Duration::ZERO
        };
        Decision::GiveUp {
            code,
            ran,
            retry_after,
        }
    }
}
