//! Limits how often all entry hosts together send to an upstream that names a limit.
//!
//! An overloaded upstream names in its answers the rate of requests that it accepts from
//! all entry hosts together, and one that has just started bears a lower rate than usual.
//! No host can keep such a limit alone: each knows only what it sends itself, and the
//! number of hosts changes. So relays give out permits, one for each request. Each relay
//! owns an equal part of every limit and shares it with no other relay: whichever relays
//! and hosts can reach each other, the parts never add up to more than the limit, and
//! relays need to agree only on their number.
//!
//! | type | where | decides |
//! |---|---|---|
//! | [`Bound`] | both | how often an upstream may be sent to |
//! | [`Limits`] | both | which limits are in force, from answers and from other hosts' news |
//! | [`Issuer`] | relay | whether there is a permit, and when the next one is due |
//! | [`Selector`] | entry host | which relay to ask, and when to ask again |
//! | [`Stagger`] | entry host | when refused callers come back |
//!
//! ```
//! use std::time::Duration;
//! use almondlock_base::time::Mono;
//! use almondlock_policy::throttle::{Issuer, Rate};
//!
//! let mut issuer = Issuer::default();
//! let rate = Rate::parse("2.0").unwrap();
//! let start = Mono::from_millis(1_000);
//! // One of two relays: a request a second. It begins with none.
//! assert_eq!(issuer.take(start, "engine", rate, 2), Err(Duration::from_secs(1)));
//! let later = start + Duration::from_secs(1);
//! assert_eq!(issuer.take(later, "engine", rate, 2), Ok(()));
//! ```

mod client;
mod issuer;

use std::{collections::HashMap, fmt, hash::Hash, iter};

use almondlock_base::time::Mono;
use serde::{Deserialize, Serialize};

pub use self::{
    client::{Selector, Stagger},
    issuer::Issuer,
};

/// A rate of requests, in thousandths per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Rate(u32);

impl Rate {
    /// Parses a decimal number of requests per second. Returns `None` for other text.
    pub fn parse(text: &str) -> Option<Rate> {
        Rate::from_per_second(text.trim().parse().ok()?)
    }

    /// Returns a rate of this many requests per second, or `None` if the number is negative
    /// or not finite.
    pub fn from_per_second(rate: f64) -> Option<Rate> {
        let is_rate = rate.is_finite() && rate >= 0.0;
        // A float beyond the range saturates.
        is_rate.then_some(Rate((rate * 1e3) as u32))
    }

    /// Returns the rate in thousandths of requests per second.
    pub const fn thousandths(self) -> u32 {
        self.0
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

impl iter::Sum for Rate {
    fn sum<I>(rates: I) -> Rate
    where
        I: Iterator<Item = Rate>,
    {
        Rate(rates.fold(0, |sum, rate| sum.saturating_add(rate.0)))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

/// What an answer said about its upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The limit, or `None` if there is none any more.
    pub rate: Option<Rate>,
    /// Time from which the notice holds. For a limit it is the time of the answer. For the
    /// end of a limit it is the time at which the request was sent, since the answer may be
    /// older than one that came before it.
    pub at: Mono,
}

impl Notice {
    /// The notice of an upstream that never named a limit. Any other notice replaces it.
    pub const NONE: Notice = Notice {
        rate: None,
        at: Mono::ZERO,
    };

    /// Returns the notice of an answer that came now, to a request that was sent at `sent`.
    pub const fn of(rate: Option<Rate>, sent: Mono, now: Mono) -> Notice {
        let at = match rate {
            Some(_) => now,
            None => sent,
        };
        Notice { rate, at }
    }

    /// Returns whether this notice replaces an earlier one. Of two notices with the same
    /// time, the one with a limit stays.
    fn replaces(&self, other: &Notice) -> bool {
        let is_end = self.rate.is_none() && other.rate.is_some();
        self.at > other.at || self.at == other.at && !is_end
    }
}

/// What bounds the requests of all hosts to an upstream.
///
/// Invariant: at least one of the fields gives a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// The limit that the upstream named last.
    pub named: Option<Notice>,
    /// The rate that the upstream bears if it has just started (is cold).
    pub cold: Option<Rate>,
}

impl Bound {
    /// Returns the bound, or `None` if the upstream isn't limited.
    pub fn of(named: Option<Notice>, cold: Option<Rate>) -> Option<Bound> {
        let is_named = named.is_some_and(|named| named.rate.is_some());
        (is_named || cold.is_some()).then_some(Bound { named, cold })
    }

    /// Returns the lower one of both rates.
    pub fn rate(&self) -> Rate {
        let named = self.named.and_then(|named| named.rate);
        let rates = named.into_iter().chain(self.cold);
        rates.min().unwrap_or(Rate(0))
    }
}

/// The limits that upstreams have named.
#[derive(Clone, Debug)]
pub struct Limits<K> {
    // Ended limits stay, so that older news of a limit is recognised as old.
    notices: HashMap<K, Notice>,
}

impl<K> Default for Limits<K> {
    fn default() -> Limits<K> {
        Limits {
            notices: HashMap::new(),
        }
    }
}

impl<K> Limits<K>
where
    K: Clone + Eq + Hash,
{
    /// Takes in a notice. Returns whether it changed the limit in force.
    pub fn learn(&mut self, key: &K, notice: Notice) -> bool {
        let Some(last) = self.notices.get_mut(key) else {
            if notice.rate.is_none() {
                return false;
            }
            self.notices.insert(key.clone(), notice);
            return true;
        };
        if !notice.replaces(last) {
            return false;
        }
        let is_change = last.rate != notice.rate;
        *last = notice;
        is_change
    }

    /// Returns the limit in force.
    pub fn rate(&self, key: &K) -> Option<Rate> {
        self.notices.get(key)?.rate
    }

    /// Returns whether no upstream has named a limit.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// Returns the last notice of an upstream.
    pub fn notice(&self, key: &K) -> Option<Notice> {
        self.notices.get(key).copied()
    }

    /// Returns the upstreams whose limits are in force.
    pub fn limited_keys(&self) -> Vec<K> {
        let limited = self
            .notices
            .iter()
            .filter(|(_, notice)| notice.rate.is_some());
        limited.map(|(key, _)| key.clone()).collect()
    }

    /// Returns all notices, also those of limits that have ended.
    pub fn notices(&self) -> impl Iterator<Item = (&K, &Notice)> {
        self.notices.iter()
    }

    /// Forgets upstreams that are gone.
    pub fn retain<F>(&mut self, is_known: F)
    where
        F: Fn(&K) -> bool,
    {
        self.notices.retain(|key, _| is_known(key));
    }
}
