//! Decides whether a failed attempt is followed by another one.
//!
//! A retry must pass three checks, in this order. It must be *safe*: the request must not
//! run twice if it may not, and parts of different answers must not be joined. It must be
//! *useful*: another attempt could have another result, in time. And it must be
//! *affordable*: a retry costs the fleet as much as a fresh request, and when half the
//! fleet fails, retries alone would double the work of the other half. So retries are paid
//! from budgets that fresh requests fill, one per organisation and one per entry host. When
//! a budget is empty, the caller gets its refusal at once. The budgets of all entry hosts
//! together stay within a [`Bound`], whenever hosts start anew.
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

use crate::{
    budget::{Account, Bound, Budget},
    suspension::Watch,
};

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
    /// What all entry hosts together may retry, in all and for each organisation.
    pub bound: Bound,
    /// Longest wait before the first retry.
    pub base_backoff: Duration,
    /// Longest wait before any retry.
    pub max_backoff: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            max_attempts: 4,
            bound: Bound {
                window: Duration::from_secs(10),
                ratio: 0.2,
                slack: 100.0,
            },
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
        /// Whether the attempt was reserved in the budgets.
        is_charged: bool,
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

/// Decides on retries at one entry host.
#[derive(Debug)]
pub struct Policy {
    config: Config,
    host: Budget,
    organisations: HashMap<Organisation, Budget>,
    /// When the host started.
    started: Mono,
    /// Number of entry hosts that share the bound.
    hosts: u32,
    watch: Watch,
}

impl Policy {
    /// Returns a policy with empty budgets, for a host that shares the bound with none.
    pub fn new(config: Config, now: Mono) -> Policy {
        Policy {
            config,
            host: Budget::new(config.bound, now),
            organisations: HashMap::new(),
            started: now,
            hosts: 1,
            watch: Watch::default(),
        }
    }

    /// Sets the number of entry hosts that share the bound.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

    /// Notes that the process runs. Called at least as often as [`TICK`] says. Returns for how
    /// long the process was suspended, if it was.
    ///
    /// [`TICK`]: crate::suspension::TICK
    pub fn tick(&mut self, now: Mono) -> Option<Duration> {
        self.watch.tick(now)
    }

    /// Counts a fresh request, which adds to the budgets.
    pub fn count_request(&mut self, organisation: &Organisation, now: Mono) {
        let (hosts, is_late) = (self.hosts, self.watch.is_catching_up(now));
        let count = |budget: &mut Budget| match is_late {
            true => budget.record_late_request(now),
            false => budget.record_request(Some(hosts), now),
        };
        count(&mut self.host);
        // Found before inserted: the name is not copied for each request.
        if let Some(budget) = self.organisations.get_mut(organisation) {
            count(budget);
        } else {
            let mut budget = Budget::new(self.config.bound, self.started);
            count(&mut budget);
            self.organisations.insert(organisation.clone(), budget);
        }
    }

    /// Forgets an organisation.
    pub fn remove(&mut self, organisation: &Organisation) {
        self.organisations.remove(organisation);
    }

    /// Returns what the host's budget counts.
    pub fn account(&mut self, now: Mono) -> Account {
        self.host.account(Some(self.hosts), now)
    }

    /// Returns what an organisation's budget counts, if it has one.
    pub fn account_of(&mut self, organisation: &Organisation, now: Mono) -> Option<Account> {
        let own = self.organisations.get_mut(organisation)?;
        Some(own.account(Some(self.hosts), now))
    }

    /// Returns the code of a request that gets no further attempt, from what is known of its
    /// running.
    pub const fn exhausted_code(ran: Ran) -> Code {
        match ran {
            Ran::No => Code::RetriesExhausted,
            Ran::Yes | Ran::Unknown => Code::UpstreamLost,
        }
    }

    /// Decides what follows a failed attempt. `made` is the number of attempts that the
    /// request has had, and `left` the time until its deadline. A retry that is charged is
    /// reserved: it has to be [spent](Policy::spend) or [released](Policy::release) once.
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
        let is_charged = is_charged(failure.code);
        let after = if is_charged {
            self.draw_backoff(made, rng)
        } else {
            Duration::ZERO
        };
        if made >= self.config.max_attempts || after >= left {
            return self.give_up_exhausted(failure);
        }
        if is_charged && !self.reserve(organisation, now) {
            return self.give_up_exhausted(failure);
        }
        Decision::Retry {
            after,
            offset,
            is_charged,
        }
    }

    /// Reserves one retry in both budgets, or in neither if one has none left.
    fn reserve(&mut self, organisation: &Organisation, now: Mono) -> bool {
        let hosts = Some(self.hosts);
        let Some(own) = self.organisations.get_mut(organisation) else {
            return false;
        };
        if !own.reserve(hosts, now) {
            return false;
        }
        let is_reserved = self.host.reserve(hosts, now);
        if !is_reserved {
            own.release();
        }
        is_reserved
    }

    /// Spends a reserved retry, which is sent now. Returns `false` if what was to pay for
    /// it has expired; nothing is reserved any more then either.
    pub fn spend(&mut self, organisation: &Organisation, now: Mono) -> bool {
        let hosts = Some(self.hosts);
        let own = self.organisations.get_mut(organisation);
        let own = own.is_some_and(|own| own.spend(hosts, now));
        // Both, so that the reservation ends in both.
        self.host.spend(hosts, now) && own
    }

    /// Gives a reserved retry back that was not sent.
    pub fn release(&mut self, organisation: &Organisation) {
        self.host.release();
        if let Some(own) = self.organisations.get_mut(organisation) {
            own.release();
        }
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
