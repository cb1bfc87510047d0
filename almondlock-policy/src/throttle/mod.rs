//! How often an upstream that names a limit may be sent to, over all entry hosts.
//!
//! An upstream in need names, with its answers, the requests a second that it takes from
//! all entry hosts together; and one that has just started bears fewer than usual. No host
//! can keep that alone: each knows only what it sends itself, and how many others there are
//! changes. So relays give out permits, one for
//! each request. Each relay owns an equal part of every limit and shares it with nobody:
//! whichever relays and hosts can reach each other, the parts never add up to more than
//! the limit, and relays need not agree on anything but their number.
//!
//! | type | where | decides |
//! |---|---|---|
//! | [`Bound`] | both | how often an upstream may be sent to |
//! | [`Limits`] | both | which limits are in force, from answers and from what others heard |
//! | [`Issuer`] | relay | whether there is a permit, and when the next one is due |
//! | [`Selector`] | entry host | which relay to ask, and when to ask again |
//! | [`Stagger`] | entry host | when callers that are refused come back |
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

/// Requests a second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Rate(u32);

impl Rate {
    /// Reads a decimal number of requests a second. None if it is no such number.
    pub fn parse(text: &str) -> Option<Rate> {
        Rate::from_per_second(text.trim().parse().ok()?)
    }

    /// So many requests a second. None if that is no number of requests.
    pub fn from_per_second(rate: f64) -> Option<Rate> {
        let is_rate = rate.is_finite() && rate >= 0.0;
        // A float beyond the range saturates.
        is_rate.then_some(Rate((rate * 1e3) as u32))
    }

    /// Thousandths of requests a second.
    pub const fn thousandths(self) -> u32 {
        self.0
    }

    /// Requests a second.
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

/// What an answer said of its upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The limit. None: there is none any more.
    pub rate: Option<Rate>,
    /// When that was so: of a limit, when the answer came; of the end of one, when the
    /// request was sent, since the answer may be older than one that came before it.
    pub at: Mono,
}

impl Notice {
    /// That nothing was ever named. Any other notice replaces it.
    pub const NONE: Notice = Notice {
        rate: None,
        at: Mono::ZERO,
    };

    /// What an answer that came now says, to a request that was sent at `sent`.
    pub const fn of(rate: Option<Rate>, sent: Mono, now: Mono) -> Notice {
        let at = match rate {
            Some(_) => now,
            None => sent,
        };
        Notice { rate, at }
    }

    /// Whether it replaces an earlier notice. Between two of the same moment the limit
    /// stays.
    fn replaces(&self, other: &Notice) -> bool {
        let is_end = self.rate.is_none() && other.rate.is_some();
        self.at > other.at || self.at == other.at && !is_end
    }
}

/// What bounds the requests of all hosts to an upstream.
///
/// Invariant: at least one of both gives a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// The limit that it named last.
    pub named: Option<Notice>,
    /// What it bears, if it is cold.
    pub cold: Option<Rate>,
}

impl Bound {
    /// None: nothing bounds it.
    pub fn of(named: Option<Notice>, cold: Option<Rate>) -> Option<Bound> {
        let is_named = named.is_some_and(|named| named.rate.is_some());
        (is_named || cold.is_some()).then_some(Bound { named, cold })
    }

    /// Requests a second: the lower of both.
    pub fn rate(&self) -> Rate {
        let named = self.named.and_then(|named| named.rate);
        let rates = named.into_iter().chain(self.cold);
        rates.min().unwrap_or(Rate(0))
    }
}

/// The limits that upstreams have named.
#[derive(Clone, Debug)]
pub struct Limits<K> {
    // Ended limits stay, so that older news of them is known for what it is.
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
    /// Takes a notice in. Whether the limit in force has changed with it.
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

    /// The limit in force.
    pub fn rate(&self, key: &K) -> Option<Rate> {
        self.notices.get(key)?.rate
    }

    /// Whether no upstream has named a limit.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// The last notice.
    pub fn notice(&self, key: &K) -> Option<Notice> {
        self.notices.get(key).copied()
    }

    /// The upstreams whose limits are in force.
    pub fn limited_keys(&self) -> Vec<K> {
        let limited = self
            .notices
            .iter()
            .filter(|(_, notice)| notice.rate.is_some());
        limited.map(|(key, _)| key.clone()).collect()
    }

    /// All notices, ended limits among them.
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
