//! Two clocks, told apart by type.
//!
//! Deciding code never reads a clock: the present time is an argument. `Mono`
//! never goes backwards but means nothing to another process; `Wall` can be
//! compared between hosts but may step. Leases, timeouts and deadlines use
//! `Mono`; only what is replicated or shown to people uses `Wall`.

use std::{fmt, ops, time::Duration};

use serde::{Deserialize, Serialize};

/// Microseconds since an arbitrary start, the same for a whole process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Mono(u64);

impl Mono {
    /// The start of the process's clock.
    pub const ZERO: Mono = Mono(0);

    /// The moment this many microseconds after the start.
    pub const fn from_micros(micros: u64) -> Mono {
        Mono(micros)
    }

    /// The moment this many milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Mono {
        Mono(millis.saturating_mul(1000))
    }

    /// Microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time since `earlier`, zero if that lies ahead.
    pub const fn since(self, earlier: Mono) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Duration> for Mono {
    type Output = Mono;

    fn add(self, span: Duration) -> Mono {
        Mono(self.0.saturating_add(micros(span)))
    }
}

impl ops::Sub<Duration> for Mono {
    type Output = Mono;

    fn sub(self, span: Duration) -> Mono {
        Mono(self.0.saturating_sub(micros(span)))
    }
}

/// Milliseconds since the Unix epoch, by the host's own, possibly wrong clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Wall(u64);

impl Wall {
    /// The moment this many milliseconds after the epoch.
    pub const fn from_millis(millis: u64) -> Wall {
        Wall(millis)
    }

    /// Milliseconds since the epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The time since `earlier`, zero if that lies ahead.
    pub const fn since(self, earlier: Wall) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Duration> for Wall {
    type Output = Wall;

    fn add(self, span: Duration) -> Wall {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Wall(self.0.saturating_add(millis))
    }
}

impl fmt::Display for Wall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
