//! Passive outlier detection: finds and ejects upstreams that are slower than others or fail.
//!
//! **Load pattern.** An upstream runs at a seventh of its speed for seconds, fails part of its
//! requests while its health check passes, or alternates between both states every second. Each
//! of dozens of entry hosts sends it a request only every few seconds, so that a host's own
//! observations come too late. The observations of all hosts are therefore pooled.
//!
//! | module | question |
//! |---|---|
//! | [`window`] | what has one host observed of an upstream recently |
//! | [`summary`] | how are several hosts' observations pooled |
//! | [`finding`] | which upstreams of a service are outliers |
//! | [`stall`] | is the host itself slow or cut off |
//! | [`detector`] | which upstreams are ejected, probed and reinstated |

pub mod detector;
pub mod finding;
pub mod stall;
pub mod summary;
pub mod window;

use std::time::Duration;

pub use self::{
    detector::{Change, Detector},
    finding::{Finding, Source},
    stall::Stall,
    summary::Summary,
    window::Window,
};

/// Age beyond which observations don't count.
pub const WINDOW: Duration = Duration::from_secs(3);

/// One observation of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// A request was answered.
    Answer,
    /// A request failed through the upstream's fault.
    Failure,
    /// Part of a request took this many times as long as expected.
    Time(f64),
}

impl Sample {
    /// Creates a sample from an observed and an expected time. `slack` is the usual error of
    /// the expectation. It is added to both times, so that the error doesn't dominate short
    /// ones.
    pub fn time(observed: Duration, expected: Duration, slack: Duration) -> Sample {
        let expected = (expected + slack).as_secs_f64().max(1e-3);
        Sample::Time((observed + slack).as_secs_f64() / expected)
    }
}
