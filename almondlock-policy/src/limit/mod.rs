//! How much an organisation may ask of the fleet, decided at one entry host.
//!
//! A limit is set for the whole fleet and must hold over all entry hosts, also
//! while some can't reach the others. Three ways were weighed: asking one place
//! for each request (exact, a round trip each, and nothing works when that
//! place is gone), each host alone with the whole limit (overrun by as many
//! times as there are hosts), and a divided limit. Here the limit is divided:
//! each of `n` hosts has a *floor* of its own that it may always use, and what
//! is over the floors is lent out as short [`Lease`]s by one place, a [`Lender`]. The sum of
//! floors and leases never exceeds the limit, so no cut in the network lets the
//! limit be overrun; a host that is cut off falls back to its floor when its
//! lease runs out.
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

mod lend;

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use almondlock_base::{Code, id::Organisation, time::Mono, unit::Tokens};

pub use self::lend::{Allotment, Lender, Terms};
use crate::bucket::Bucket;

/// How a fleet-wide limit is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Entry hosts that the limit is divided over. Counting one too many is
    /// safe, one too few is not.
    pub hosts: u32,
    /// How long unused rate may be saved up.
    pub burst: Duration,
    /// The share of a limit, in percent, that is given out as floors; the rest
    /// is lent. 100 where nobody lends.
    pub floor_percent: u32,
    /// What a caller is told to wait when the tokens in flight are used up:
    /// how long an answer takes, roughly.
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

/// What an organisation may use, over all entry hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    /// Requests per second. 0 is no limit.
    pub rate: u32,
    /// Prompt and answer tokens in flight. 0 is no limit.
    pub tokens: Tokens,
}

/// A part of a limit lent to this host for a while, on top of its floor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Thousandths of requests per second.
    pub rate_thousandths: u64,
    /// Tokens in flight.
    pub tokens: Tokens,
    /// When it ends, by this host's clock and counted from before it was asked
    /// for, so that it ends here no later than at the lender.
    pub until: Mono,
}

/// Why a request is not admitted. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// [`Code::RateLimited`] or [`Code::ShareExceeded`].
    pub code: Code,
    /// When to come back.
    pub retry_after: Duration,
}

/// Leave to run one request. Dropping it gives the tokens back.
#[derive(Debug)]
pub struct Permit {
    tokens: Tokens,
    in_flight: Arc<AtomicU64>,
}

impl Permit {
    /// The tokens it holds.
    pub fn tokens(&self) -> Tokens {
        self.tokens
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(self.tokens.0, Ordering::Relaxed);
    }
}

#[derive(Debug)]
struct Account {
    limit: Limit,
    lease: Option<Lease>,
    /// What is saved up of the rate.
    saved: Bucket,
    // Invariant: the sum of the tokens of all live permits of this account.
    in_flight: Arc<AtomicU64>,
    /// Requests and tokens turned away since demand was last asked for.
    missed: Demand,
}

/// What an organisation could have used and did not get. An entry host that
/// has some asks the lender for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Requests refused for their rate.
    pub requests: u64,
    /// Tokens refused for want of room.
    pub tokens: Tokens,
}

/// The limits of all organisations at one entry host.
#[derive(Debug)]
pub struct Limiter {
    config: Config,
    accounts: HashMap<Organisation, Account>,
}

impl Limiter {
    /// A limiter without organisations.
    pub fn new(config: Config) -> Limiter {
        Limiter {
            config,
            accounts: HashMap::new(),
        }
    }

    /// Divides the limits over another number of hosts from now on.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.config.hosts = hosts.max(1);
    }

    /// Sets an organisation's limit. What is in flight stays counted.
    pub fn set(&mut self, organisation: &Organisation, limit: Limit) {
        let account = self
            .accounts
            .entry(organisation.clone())
            .or_insert_with(|| Account {
                limit,
                lease: None,
                saved: Bucket::default(),
                in_flight: Arc::default(),
                missed: Demand::default(),
            });
        account.limit = limit;
    }

    /// Forgets an organisation. Its permits stay valid.
    pub fn remove(&mut self, organisation: &Organisation) {
        self.accounts.remove(organisation);
    }

    /// Takes a lease in place of the one before it.
    pub fn set_lease(&mut self, organisation: &Organisation, lease: Lease) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.lease = Some(lease);
        }
    }

    /// Tokens in flight through this host.
    pub fn in_flight(&self, organisation: &Organisation) -> Tokens {
        let load = |a: &Account| Tokens(a.in_flight.load(Ordering::Relaxed));
        self.accounts.get(organisation).map_or(Tokens::ZERO, load)
    }

    /// Of the tokens in flight, those over this host's floor: what the lender is
    /// told of with each question.
    pub fn tokens_over_floor(&self, organisation: &Organisation) -> Tokens {
        let Some(account) = self.accounts.get(organisation) else {
            return Tokens::ZERO;
        };
        let floor = Tokens(account.floor_tokens(&self.config));
        self.in_flight(organisation).saturating_sub(floor)
    }

    /// What was turned away since the last call: what to ask the lender for.
    pub fn take_demand(&mut self, organisation: &Organisation) -> Demand {
        let take = |a: &mut Account| std::mem::take(&mut a.missed);
        self.accounts
            .get_mut(organisation)
            .map(take)
            .unwrap_or_default()
    }

    /// Admits a request that will hold this many prompt and answer tokens.
    ///
    /// # Errors
    ///
    /// Refused when the organisation is unknown ([`Code::Forbidden`]), above
    /// its rate, or has its tokens in flight. Nothing is counted then.
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
        account.expire(now);
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
    fn expire(&mut self, now: Mono) {
        self.lease = self.lease.filter(|lease| now < lease.until);
    }

    /// Thousandths of requests per second that this host may let through.
    fn rate(&self, config: &Config) -> u64 {
        let floor = u64::from(self.limit.rate) * 10 * u64::from(config.floor_percent.min(100));
        floor / u64::from(config.hosts.max(1))
            + self.lease.map_or(0, |lease| lease.rate_thousandths)
    }

    fn floor_tokens(&self, config: &Config) -> u64 {
        let floor = u128::from(self.limit.tokens.0) * u128::from(config.floor_percent.min(100))
            / 100
            / u128::from(config.hosts.max(1));
        u64::try_from(floor).unwrap_or(u64::MAX)
    }

    /// Tokens that this host may have in flight.
    fn tokens(&self, config: &Config) -> u64 {
        let lent = self.lease.map_or(0, |lease| lease.tokens.0);
        self.floor_tokens(config).saturating_add(lent)
    }

    fn refill(&mut self, config: &Config, now: Mono) {
        self.saved.fill(self.rate(config), config.burst, now);
    }

    fn check_tokens(&mut self, config: &Config, tokens: Tokens) -> Result<(), Refusal> {
        if self.limit.tokens == Tokens::ZERO {
            return Ok(());
        }
        let used = self.in_flight.load(Ordering::Relaxed);
        if used.saturating_add(tokens.0) <= self.tokens(config) {
            return Ok(());
        }
        self.missed.tokens += tokens;
        Err(Refusal {
            code: Code::ShareExceeded,
            retry_after: config.full_retry_after,
        })
    }

    fn take_request(&mut self, config: &Config) -> Result<(), Refusal> {
        if self.limit.rate == 0 {
            return Ok(());
        }
        let Err(wait) = self.saved.take(self.rate(config)) else {
            return Ok(());
        };
        self.missed.requests += 1;
        Err(Refusal {
            code: Code::RateLimited,
            retry_after: wait,
        })
    }
}
