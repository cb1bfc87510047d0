//! Upstreams judged by how fast and how often they answer.
//!
//! **Load pattern.** An upstream runs at a seventh of its speed for seconds, fails part of its
//! requests while its health check passes, or changes between both states each second. One
//! entry host of dozens sends it a request every few seconds, so its own observations come too
//! late: all hosts' observations count together.
//!
//! | module | decides |
//! |---|---|
//! | [`window`] | what one host has observed of an upstream lately |
//! | [`summary`] | how several hosts' observations count together |
//! | [`finding`] | which upstreams of a service are outliers |
//! | [`stall`] | whether the host itself is what was slow |
//! | [`detector`] | who is ejected, probed and reinstated |

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

/// Observations older than this don't count.
pub const WINDOW: Duration = Duration::from_secs(3);

/// What one request showed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// It was answered.
    Answer,
    /// It failed by the upstream's fault.
    Failure,
    /// Something took this many times as long as expected.
    Time(f64),
}

impl Sample {
    /// A time against what was expected. `slack` is an error of the expectation that is
    /// usual, so that short times aren't judged by it.
    pub fn time(observed: Duration, expected: Duration, slack: Duration) -> Sample {
        let expected = (expected + slack).as_secs_f64().max(1e-3);
        Sample::Time((observed + slack).as_secs_f64() / expected)
    }
}
