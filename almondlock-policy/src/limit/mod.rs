//! Limits of what an organisation may use of the fleet, decided at one entry host.
//!
//! A limit is set for the whole fleet and must hold over all entry hosts, even while some
//! can't reach the others. To ask one place for each request would be exact, but it costs a
//! round trip for each request and fails with that place. If each host applied the whole
//! limit alone, the limit would be exceeded by a factor of the number of hosts. So the
//! limit is divided: each of `n` hosts has a *floor* that it may always use, and one place,
//! a [`Lender`], lends out the rest as short [`Lease`]s. The sum of floors and leases never
//! exceeds the limit, so no network partition lets it be exceeded. A host that is cut off
//! falls back to its floor when its lease ends.
//!
//! ```
//! use almondlock_base::{id::Organisation, time::Mono, unit::Tokens};
//! use almondlock_policy::limit::{Config, Limit, Limiter};
//!
//! let mut limiter = Limiter::new(Config { hosts: 2, ..Config::default() });
//! let bank = Organisation::new("bank")?;
//! limiter.set(&bank, Limit { rate: 0, tokens: Tokens(2_000) });
//! let now = Mono::ZERO;
//! let permit = limiter.admit(&bank, Tokens(900), now).unwrap();
//! assert!(limiter.admit(&bank, Tokens(900), now).is_err());
//! drop(permit);
//! assert!(limiter.admit(&bank, Tokens(900), now).is_ok());
//! # Ok::<(), almondlock_base::id::Error>(())
//! ```

mod lender;

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use almondlock_base::{Code, id::Organisation, time::Mono, unit::Tokens};

pub use self::lender::{Allotment, Lender, Terms};
use crate::bucket::Bucket;

/// How a fleet-wide limit is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of entry hosts that the limit is divided over. Too high a number is safe, too
    /// low a number is not.
    pub hosts: u32,
    /// Time over which unused rate may be saved up.
    pub burst: Duration,
    /// Percentage of a limit that is given out as floors; the rest is lent. 100 if there is
    /// no lender.
    pub floor_percent: u32,
    /// Retry delay for callers when the tokens in flight are used up: roughly the time of
    /// an answer.
    pub full_retry_after: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            hosts: 1,
            burst: Duration::from_secs(2),
            floor_percent: 100,
            full_retry_after: Duration::from_secs(1),
        }
    }
}

/// What an organisation may use over all entry hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    /// Requests per second. 0 is no limit.
    pub rate: u32,
    /// Prompt and answer tokens in flight. 0 is no limit.
    pub tokens: Tokens,
}

/// A part of a limit that is lent to this host for some time, in addition to its floor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Thousandths of requests per second.
    pub rate_thousandths: u64,
    /// Tokens in flight.
    pub tokens: Tokens,
    /// Time at which the lease ends, by this host's clock. It is counted from before the
    /// lease was asked for, so that it ends here no later than at the lender.
    pub until: Mono,
}

/// Why a request is not admitted. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// [`Code::RateLimited`] or [`Code::ShareExceeded`].
    pub code: Code,
    /// Time after which the caller may come back.
    pub retry_after: Duration,
}

/// Permission to run one request. Dropping it gives the tokens back.
#[derive(Debug)]
pub struct Permit {
    tokens: Tokens,
    in_flight: Arc<AtomicU64>,
}

impl Permit {
    /// Returns the number of tokens that the permit holds.
    pub fn tokens(&self) -> Tokens {
        self.tokens
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(self.tokens.0, Ordering::Relaxed);
    }
}

/// The state of one organisation's limit at this host.
#[derive(Debug)]
struct Account {
    limit: Limit,
    lease: Option<Lease>,
    /// Requests saved up at the allowed rate.
    bucket: Bucket,
    // Invariant: the sum of the tokens of all live permits of this account.
    in_flight: Arc<AtomicU64>,
    /// Demand that was refused since [`Limiter::take_demand`] was last called.
    refused_demand: Demand,
}

/// What an organisation was refused. An entry host asks the lender for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Requests refused because of the rate.
    pub requests: u64,
    /// Tokens refused because too many were in flight.
    pub tokens: Tokens,
}

/// The limits of all organisations at one entry host.
#[derive(Debug)]
pub struct Limiter {
    config: Config,
    accounts: HashMap<Organisation, Account>,
}

impl Limiter {
    /// Returns a limiter without organisations.
    pub fn new(config: Config) -> Limiter {
        Limiter {
            config,
            accounts: HashMap::new(),
        }
    }

    /// Sets the number of hosts that the limits are divided over.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.config.hosts = hosts.max(1);
    }

    /// Sets an organisation's limit. Requests in flight stay counted.
    pub fn set(&mut self, organisation: &Organisation, limit: Limit) {
        let account = self
            .accounts
            .entry(organisation.clone())
            .or_insert_with(|| Account {
                limit,
                lease: None,
                bucket: Bucket::default(),
                in_flight: Arc::default(),
                refused_demand: Demand::default(),
            });
        account.limit = limit;
    }

    /// Forgets an organisation. Its permits stay valid.
    pub fn remove(&mut self, organisation: &Organisation) {
        self.accounts.remove(organisation);
    }

    /// Replaces an organisation's lease.
    pub fn set_lease(&mut self, organisation: &Organisation, lease: Lease) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.lease = Some(lease);
        }
    }

    /// Returns the number of tokens in flight through this host.
    pub fn in_flight(&self, organisation: &Organisation) -> Tokens {
        let load = |a: &Account| Tokens(a.in_flight.load(Ordering::Relaxed));
        self.accounts.get(organisation).map_or(Tokens::ZERO, load)
    }

    /// Returns the number of tokens in flight over this host's floor, which it reports to
    /// the lender with each question.
    pub fn tokens_over_floor(&self, organisation: &Organisation) -> Tokens {
        let Some(account) = self.accounts.get(organisation) else {
            return Tokens::ZERO;
        };
        let floor = Tokens(account.floor_tokens(&self.config));
        self.in_flight(organisation).saturating_sub(floor)
    }

    /// Returns the demand that was refused since the last call, which is asked of the
    /// lender.
    pub fn take_demand(&mut self, organisation: &Organisation) -> Demand {
        let take = |a: &mut Account| std::mem::take(&mut a.refused_demand);
        self.accounts
            .get_mut(organisation)
            .map(take)
            .unwrap_or_default()
    }

    /// Admits a request that will hold this many prompt and answer tokens.
    ///
    /// # Errors
    ///
    /// Refused if the organisation is unknown ([`Code::Forbidden`]), is over its rate, or
    /// has too many tokens in flight. A refused request uses nothing of the limit.
    pub fn admit(
        &mut self,
        organisation: &Organisation,
        tokens: Tokens,
        now: Mono,
    ) -> Result<Permit, Refusal> {
        let config = self.config;
        let Some(account) = self.accounts.get_mut(organisation) else {
            return Err(Refusal {
                code: Code::Forbidden,
                retry_after: Duration::ZERO,
            });
        };
        account.expire_lease(now);
        account.refill(&config, now);
        account.check_tokens(&config, tokens)?;
        account.take_request(&config)?;
        account.in_flight.fetch_add(tokens.0, Ordering::Relaxed);
        Ok(Permit {
            tokens,
            in_flight: Arc::clone(&account.in_flight),
        })
    }
}

impl Account {
    fn expire_lease(&mut self, now: Mono) {
        self.lease = self.lease.filter(|lease| now < lease.until);
    }

    /// Returns the rate allowed at this host, in thousandths of requests per second.
    fn allowed_rate(&self, config: &Config) -> u64 {
        let floor = u64::from(self.limit.rate) * 10 * u64::from(config.floor_percent.min(100));
        floor / u64::from(config.hosts.max(1))
            + self.lease.map_or(0, |lease| lease.rate_thousandths)
    }

    /// Returns the number of tokens in flight that this host's floor allows.
    fn floor_tokens(&self, config: &Config) -> u64 {
        let floor = u128::from(self.limit.tokens.0) * u128::from(config.floor_percent.min(100))
            / 100
            / u128::from(config.hosts.max(1));
        u64::try_from(floor).unwrap_or(u64::MAX)
    }

    /// Returns the number of tokens that this host may have in flight.
    fn allowed_tokens(&self, config: &Config) -> u64 {
        let lent = self.lease.map_or(0, |lease| lease.tokens.0);
        self.floor_tokens(config).saturating_add(lent)
    }

    fn refill(&mut self, config: &Config, now: Mono) {
        self.bucket
            .refill(self.allowed_rate(config), config.burst, now);
    }

    /// Refuses a request whose tokens exceed what this host may have in flight, and counts
    /// them as refused demand.
    fn check_tokens(&mut self, config: &Config, tokens: Tokens) -> Result<(), Refusal> {
        if self.limit.tokens == Tokens::ZERO {
            return Ok(());
        }
        let used = self.in_flight.load(Ordering::Relaxed);
        if used.saturating_add(tokens.0) <= self.allowed_tokens(config) {
            return Ok(());
        }
        self.refused_demand.tokens += tokens;
        Err(Refusal {
            code: Code::ShareExceeded,
            retry_after: config.full_retry_after,
        })
    }

    /// Takes one request from the bucket, or refuses it and counts it as refused demand.
    fn take_request(&mut self, config: &Config) -> Result<(), Refusal> {
        if self.limit.rate == 0 {
            return Ok(());
        }
        let Err(wait) = self.bucket.take(self.allowed_rate(config)) else {
            return Ok(());
        };
        self.refused_demand.requests += 1;
        Err(Refusal {
            code: Code::RateLimited,
            retry_after: wait,
        })
    }
}
