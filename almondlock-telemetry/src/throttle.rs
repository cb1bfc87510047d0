//! Bounds how often a line is logged that others can cause at will.

use std::time::Duration;

use almondlock_base::time::Mono;

/// Lets one line pass in each period and counts the others.
#[derive(Clone, Copy, Debug)]
pub struct Throttle {
    period: Duration,
    // When the last line passed.
    last: Option<Mono>,
    suppressed: u64,
}

impl Throttle {
    /// Lets one line pass in each `period`.
    pub const fn new(period: Duration) -> Throttle {
        Throttle {
            period,
            last: None,
            suppressed: 0,
        }
    }

    /// Whether a line passes now: if it does, how many didn't since the last one
    /// that did.
    pub fn pass(&mut self, now: Mono) -> Option<u64> {
        let waits = self.last.is_some_and(|last| now.since(last) < self.period);
        if waits {
            self.suppressed += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}
