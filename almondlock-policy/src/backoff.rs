//! Records which upstreams have asked this host, in an answer, to send them no requests:
//! for some time, or because they leave.
//!
//! A pause applies to all requests of this host, not only to the one that was answered, and
//! lasts until it is over: neither another answer nor a new configuration ends it, only a
//! new life of the upstream.
//!
//! ```
//! use std::time::Duration;
//! use almondlock_base::{id::Upstream, time::Mono};
//! use almondlock_policy::backoff::{self, Reason, Table};
//!
//! let now = Mono::from_millis(1_000);
//! let upstream = Upstream::new("prices")?;
//! let mut table = Table::default();
//! let delay = backoff::parse_delay("1.5").unwrap();
//! table.pause(&upstream, now + delay);
//! let after = now + Duration::from_secs(1);
//! let left = Duration::from_millis(500);
//! assert_eq!(table.reason(after, &upstream), Some(Reason::Backoff(left)));
//! assert_eq!(table.reason(now + delay, &upstream), None);
//! # Ok::<(), almondlock_base::id::Error>(())
//! ```

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use almondlock_base::{id::Upstream, time::Mono};

/// Parses the seconds of a `Retry-After` header, which may be a fraction. Returns `None` if
/// the text is not a time span; dates are not supported.
pub fn parse_delay(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Why an upstream takes no requests from this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It asked for a pause, of which this time remains.
    Backoff(Duration),
    /// It is leaving.
    Leaving,
}

impl Reason {
    /// Returns the word used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::Backoff(_) => "backoff",
            Reason::Leaving => "leaving",
        }
    }

    /// Returns the time until the reason ends, or `None` if it has no end.
    pub const fn remaining(self) -> Option<Duration> {
        match self {
            Reason::Backoff(left) => Some(left),
            Reason::Leaving => None,
        }
    }
}

/// The pauses that upstreams have asked for, and the upstreams that are leaving.
#[derive(Debug, Default)]
pub struct Table {
    /// End of the latest pause that each upstream asked for.
    pauses: HashMap<Upstream, Mono>,
    leaving: HashSet<Upstream>,
}

impl Table {
    /// Records that an upstream asked for a pause until the time `until`. Returns whether
    /// this is later than known before.
    pub fn pause(&mut self, upstream: &Upstream, until: Mono) -> bool {
        let known = self.pauses.entry(upstream.clone()).or_default();
        let is_later = until > *known;
        *known = until.max(*known);
        is_later
    }

    /// Records that an upstream is leaving. Returns whether this is new.
    pub fn mark_leaving(&mut self, upstream: &Upstream) -> bool {
        self.leaving.insert(upstream.clone())
    }

    /// Forgets what an upstream asked for, since a new life of it has begun.
    pub fn reset(&mut self, upstream: &Upstream) {
        self.pauses.remove(upstream);
        self.leaving.remove(upstream);
    }

    /// Returns why an upstream takes no requests, or `None` if it takes them.
    pub fn reason(&self, now: Mono, upstream: &Upstream) -> Option<Reason> {
        if self.leaving.contains(upstream) {
            return Some(Reason::Leaving);
        }
        let left = self.pauses.get(upstream)?.since(now);
        (!left.is_zero()).then_some(Reason::Backoff(left))
    }

    /// Forgets pauses that are over, and leaving upstreams that are gone.
    pub fn sweep<F>(&mut self, now: Mono, is_known: F)
    where
        F: Fn(&Upstream) -> bool,
    {
        self.pauses.retain(|_, until| now < *until);
        self.leaving.retain(|upstream| is_known(upstream));
    }
}
