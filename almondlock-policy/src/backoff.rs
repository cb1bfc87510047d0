//! Which upstreams have asked this host, in an answer, to send them nothing: for a while, or
//! because they leave.
//!
//! What an upstream asks holds for all that the host sends, not for the request that the
//! answer belongs to, and until it has passed: neither another answer nor a new configuration
//! ends it, only a new life of the upstream.
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

/// Reads the seconds of a `Retry-After`, which may be a fraction. None if they are no
/// time span; a date isn't read.
pub fn parse_delay(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Why an upstream takes nothing from this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It asked for a pause, of which so much is left.
    Backoff(Duration),
    /// It leaves.
    Leaving,
}

impl Reason {
    /// The word used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::Backoff(_) => "backoff",
            Reason::Leaving => "leaving",
        }
    }

    /// When it is over, from now, if it ends.
    pub const fn remaining(self) -> Option<Duration> {
        match self {
            Reason::Backoff(left) => Some(left),
            Reason::Leaving => None,
        }
    }
}

/// What upstreams have asked for.
#[derive(Debug, Default)]
pub struct Table {
    /// When the latest pause ends that each asked for.
    pauses: HashMap<Upstream, Mono>,
    leaving: HashSet<Upstream>,
}

impl Table {
    /// An upstream asked for a pause until then. Whether that is later than known.
    pub fn pause(&mut self, upstream: &Upstream, until: Mono) -> bool {
        let known = self.pauses.entry(upstream.clone()).or_default();
        let is_later = until > *known;
        *known = until.max(*known);
        is_later
    }

    /// An upstream says that it leaves. Whether that is new.
    pub fn mark_leaving(&mut self, upstream: &Upstream) -> bool {
        self.leaving.insert(upstream.clone())
    }

    /// Another life of the upstream has begun, which has asked for nothing.
    pub fn reset(&mut self, upstream: &Upstream) {
        self.pauses.remove(upstream);
        self.leaving.remove(upstream);
    }

    /// Why an upstream takes nothing, if so.
    pub fn reason(&self, now: Mono, upstream: &Upstream) -> Option<Reason> {
        if self.leaving.contains(upstream) {
            return Some(Reason::Leaving);
        }
        let left = self.pauses.get(upstream)?.since(now);
        (!left.is_zero()).then_some(Reason::Backoff(left))
    }

    /// Forgets pauses that are over, and which of the upstreams leave that are gone.
    pub fn sweep<F>(&mut self, now: Mono, is_known: F)
    where
        F: Fn(&Upstream) -> bool,
    {
        self.pauses.retain(|_, until| now < *until);
        self.leaving.retain(|upstream| is_known(upstream));
    }
}
