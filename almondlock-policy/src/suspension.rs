//! Recognises that a process was suspended, or that its host was starved.
//!
//! Requests that it reads right after that were sent long before. A clock can't tell them
//! from new ones, but a gap between regular ticks does.

use std::time::Duration;

use almondlock_base::time::Mono;

/// Time between two ticks.
pub const TICK: Duration = Duration::from_millis(250);
/// Shortest gap between two ticks that counts as a suspension.
pub const MIN_GAP: Duration = Duration::from_secs(1);
/// Time after a gap in which requests that came meanwhile are read.
pub const CATCH_UP: Duration = Duration::from_secs(1);

/// Watches the ticks of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watch {
    ticked_at: Option<Mono>,
    late_until: Option<Mono>,
}

impl Watch {
    /// Records a tick. Returns for how long the process was suspended before it, if it was.
    pub fn tick(&mut self, now: Mono) -> Option<Duration> {
        let gap = self.gap(now);
        self.ticked_at = Some(now);
        if gap.is_some() {
            self.late_until = Some(now + CATCH_UP);
        }
        gap
    }

    /// Returns whether a request that is read now may have waited while the process was
    /// suspended.
    pub fn is_catching_up(&self, now: Mono) -> bool {
        self.late_until.is_some_and(|until| now < until) || self.gap(now).is_some()
    }

    /// Returns the time since the last tick if it is too long.
    fn gap(&self, now: Mono) -> Option<Duration> {
        let gap = now.since(self.ticked_at?);
        (gap >= MIN_GAP).then_some(gap)
    }
}
