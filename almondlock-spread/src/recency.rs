//! Tracks how recent the configuration in force is known to be.
//!
//! An answer says how long ago a revision was the newest that a source had. This age
//! is counted back from when the request was sent, not from when the answer arrived,
//! so it can only be overestimated: an answer that the network delayed by a minute
//! never makes an old configuration look recent.

use almondlock_base::{time::Mono, unit::Revision};

/// Compares the revision of one process with the revisions that a source had.
#[derive(Clone, Debug, Default)]
pub struct Recency {
    // The last moment at which this process's revision was a source's newest.
    current: Option<Mono>,
    // Revisions that a source had and this process doesn't have yet. The oldest is kept
    // as well as the newest: with the newest alone, a process that is always one change
    // behind would never be seen to catch up.
    oldest: Option<(Revision, Mono)>,
    newest: Option<(Revision, Mono)>,
}

impl Recency {
    /// Creates a tracker that knows no revision of a source.
    pub fn new() -> Recency {
        Recency::default()
    }

    /// Records that a source had nothing newer than `newest` at the moment `at`.
    pub fn record_source(&mut self, newest: Revision, at: Mono) {
        self.oldest.get_or_insert((newest, at));
        if self.newest.is_none_or(|(_, last)| at >= last) {
            self.newest = Some((newest, at));
        }
    }

    /// Records that this process has revision `have` in force. Returns the last moment
    /// at which its revision is known to have been a source's newest, if there is one.
    pub fn record_own(&mut self, have: Revision) -> Option<Mono> {
        for known in [&mut self.oldest, &mut self.newest] {
            if let Some((_, at)) = known.take_if(|(revision, _)| *revision <= have) {
                self.current = self.current.max(Some(at));
            }
        }
        self.current
    }
}
