//! When a thing is worth another line.

use std::time::Duration;

use almondlock_base::time::Mono;

/// The least time between two lines of a kind.
const LEAST: Duration = Duration::from_secs(1);

/// After so long a line is written again although nothing has changed: whoever looks may
/// have the end of the log only.
const AGAIN: Duration = Duration::from_secs(10);

/// What a line last said, and when.
pub(super) struct Told<T> {
    last: Option<(T, Mono)>,
}

impl<T> Default for Told<T> {
    fn default() -> Told<T> {
        Told { last: None }
    }
}

impl<T> Told<T>
where
    T: PartialEq,
{
    /// Whether a line is to be written now, which counts as done.
    pub(super) fn is_due(&mut self, now: Mono, what: T) -> bool {
        let due = match &self.last {
            None => true,
            Some((told, at)) => {
                let span = if *told == what { AGAIN } else { LEAST };
                now.since(*at) >= span
            }
        };
        if due {
            self.last = Some((what, now));
        }
        due
    }

    /// As [`is_due`](Told::is_due), of something that isn't said again as long as it stays.
    pub(super) fn is_news(&mut self, now: Mono, what: T) -> bool {
        let same = self.last.as_ref().is_some_and(|(told, _)| *told == what);
        !same && self.is_due(now, what)
    }

    /// Whether there was a line at all.
    pub(super) fn was_told(&self) -> bool {
        self.last.is_some()
    }
}
