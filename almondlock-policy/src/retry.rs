//! Whether a failed attempt is followed by another one.
//!
//! Three questions, in this order. Is it *safe*: could it run twice, or glue
//! two different answers together? Is it *of use*: may another attempt end
//! otherwise, and in time? Is it *affordable*: a retry costs the fleet as much
//! as a fresh request, and when half the fleet fails, retries by themselves
//! would double what the other half has to do. So they are paid from a
//! budget that fresh requests fill, per organisation and per entry host,
//! and when it is empty the caller gets its refusal at once.
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
    /// How it failed.
    pub code: Code,
    /// Whether the request ran, in this attempt or an earlier one; see
    /// [`merge_ran`].
    pub ran: Ran,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// How many tokens (or bytes) of the answer the caller already has.
    pub streamed: u64,
    /// Whether the engine guarantees the same continuation from an offset.
    pub resumable: bool,
}

/// What is known of a request after one more attempt. It did not run only if
/// no attempt did.
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
    /// A new attempt that goes on at this offset of the answer.
    Resume(u64),
    /// Nothing.
    Never,
}

/// What may safely follow, whatever it costs.
///
/// An answer that the caller has in part is only ever gone on with, never
/// begun anew: a second run may choose other words, and the caller would get
/// two halves that don't belong together. What may not be repeated is sent
/// again only when it provably did not run.
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

/// Whether a retry is paid for. Work that a leaving upstream gives back, a call
/// that met a sidecar's new life, and one whose upstream doesn't answer are
/// moved and not retried: nothing was tried. Charging for them would make a
/// planned stop fail requests, and a few dead upstreams spend the attempts of
/// a request that a living one would have answered.
pub fn is_charged(code: Code) -> bool {
    !matches!(
        code,
        Code::UpstreamLeaving | Code::StaleIncarnation | Code::NoUpstream
    )
}

/// Settings of a [`Policy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Attempts of one request, the first one included.
    pub max_attempts: u32,
    /// Retries per hundred fresh requests.
    pub retry_percent: u32,
    /// Retries per second that are free, so that a quiet organisation can
    /// retry at all.
    pub free_per_second: f64,
    /// Most retries saved up.
    pub max_saved: f64,
    /// Longest wait before the first retry.
    pub base_backoff: Duration,
    /// Longest wait before any.
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
        /// After this time.
        after: Duration,
        /// From this offset of the answer; 0 is from the start.
        offset: u64,
    },
    /// The final answer, now.
    GiveUp {
        /// The code to answer with.
        code: Code,
        /// What is known of all attempts.
        ran: Ran,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// Retries saved up.
#[derive(Clone, Copy, Debug, Default)]
struct Budget {
    // Invariant: between 0 and the burst.
    saved: f64,
    at: Option<Mono>,
}

impl Budget {
    fn refill(&mut self, config: &Config, now: Mono) {
        let earned = match self.at {
            None => config.max_saved,
            Some(at) => now.since(at).as_secs_f64() * config.free_per_second,
        };
        self.saved = (self.saved + earned).min(config.max_saved);
        self.at = Some(self.at.map_or(now, |at| at.max(now)));
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
    /// A policy with full budgets.
    pub fn new(config: Config) -> Policy {
        Policy {
            config,
            host: Budget::default(),
            organisations: HashMap::new(),
        }
    }

    /// Counts a fresh request.
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

    /// Retries that the host could pay for now.
    pub fn remaining(&self) -> f64 {
        self.host.saved
    }

    /// What follows a failed attempt, the `made`th of its request, with this
    /// much time left until the deadline.
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
            self.back_off(made, rng)
        } else {
            Duration::ZERO
        };
        if made >= self.config.max_attempts || after >= left {
            return self.exhausted(failure);
        }
        if is_charged(failure.code) && !self.pay(organisation, now) {
            return self.exhausted(failure);
        }
        Decision::Retry { after, offset }
    }

    /// Both budgets pay, or neither does.
    fn pay(&mut self, organisation: &Organisation, now: Mono) -> bool {
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

    /// Doubles with each attempt, and is drawn from the upper half: requests
    /// that failed together do not come back together.
    fn back_off<R>(&self, made: u32, rng: &mut R) -> Duration
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

    /// A request that ran keeps the code that says how it failed; one that did
    /// not is refused as such.
    fn exhausted(&self, failure: &Failure) -> Decision {
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
