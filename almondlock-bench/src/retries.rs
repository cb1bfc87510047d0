//! Judges retries against what may be made in any window, from what upstreams received.

use std::fmt;

/// Milliseconds over which retries are counted.
pub const WINDOW: u64 = 10_000;

/// What may be retried in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Retries for each request of the window, the one before or the one half a window
    /// before, whichever has most.
    pub ratio: f64,
    /// Retries in any case.
    pub slack: usize,
}

impl Bound {
    /// Reads `RATIO,SLACK`.
    pub fn parse(text: &str) -> Option<Bound> {
        let (ratio, slack) = text.split_once(',')?;
        let ratio: f64 = ratio.parse().ok()?;
        let slack = slack.parse().ok()?;
        (ratio.is_finite() && ratio >= 0.0).then_some(Bound { ratio, slack })
    }
}

/// The window with the most retries, of those that may be in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Worst {
    /// When it begins, in milliseconds.
    pub from: u64,
    /// Retries in it.
    pub made: usize,
    /// Retries that may be in it.
    pub allowed: usize,
}

impl fmt::Display for Worst {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Worst {
            from,
            made,
            allowed,
        } = self;
        write!(f, "{made} retries from {from} ms on, {allowed} allowed")
    }
}

impl Worst {
    /// Whether more were made than may be.
    pub const fn is_over(&self) -> bool {
        self.made > self.allowed
    }
}

/// Returns the worst window, or `None` without any retry. Takes the times, in milliseconds,
/// at which callers sent requests and upstreams received retries.
pub fn worst(mut asked: Vec<u64>, mut retries: Vec<u64>, bound: &Bound) -> Option<Worst> {
    asked.sort_unstable();
    retries.sort_unstable();
    let within = |times: &[u64], from: u64| {
        let begin = times.partition_point(|at| *at < from);
        times.partition_point(|at| *at < from + WINDOW) - begin
    };
    let windows = retries.iter().map(|from| {
        let begins = [WINDOW, WINDOW / 2, 0].map(|by| from.saturating_sub(by));
        let most = begins.into_iter().map(|begin| within(&asked, begin)).max();
        Worst {
            from: *from,
            made: within(&retries, *from),
            allowed: (most.unwrap_or(0) as f64 * bound.ratio) as usize + bound.slack,
        }
    });
    windows.max_by(|one, other| {
        let part = |worst: &Worst| worst.made as f64 / worst.allowed.max(1) as f64;
        part(one).total_cmp(&part(other))
    })
}
