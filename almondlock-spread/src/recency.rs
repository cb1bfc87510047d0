//! How recent the configuration in force is known to be.
//!
//! An answer says that some time ago a revision was the newest that a source
//! had. Counted from the moment the question was sent, not from the answer's
//! arrival, that time can only be too long: an answer that a slow network held
//! back for a minute never makes an old configuration look recent.

use almondlock_base::{time::Mono, unit::Revision};

/// Follows one process's revision against what a source had.
#[derive(Clone, Debug, Default)]
pub struct Recency {
    current: Option<Mono>,
    // What a source had and this process doesn't have yet. The oldest is kept
    // beside the newest: with the newest alone, a process that is always one
    // change behind would never be found to have caught up with anything.
    oldest: Option<(Revision, Mono)>,
    newest: Option<(Revision, Mono)>,
}

impl Recency {
    /// Nothing is known.
    pub fn new() -> Recency {
        Recency::default()
    }

    /// At the moment `at`, a source had nothing newer than `newest`.
    pub fn record_source(&mut self, newest: Revision, at: Mono) {
        self.oldest.get_or_insert((newest, at));
        if self.newest.is_none_or(|(_, last)| at >= last) {
            self.newest = Some((newest, at));
        }
    }

    /// The process has this revision in force. Gives the last moment at which
    /// that was the newest, if there was one.
    pub fn record_own(&mut self, have: Revision) -> Option<Mono> {
        for known in [&mut self.oldest, &mut self.newest] {
            if let Some((_, at)) = known.take_if(|(revision, _)| *revision <= have) {
                self.current = self.current.max(Some(at));
            }
        }
        self.current
    }
}
