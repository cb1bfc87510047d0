//! The most recently applied changes, in the form in which they are sent.
//!
//! A process that missed some changes is sent those; only a process that missed more
//! than the ring holds needs the whole configuration. The ring is bounded by the number
//! of changes, for many small ones, and by their bytes, for a few large ones.

use std::{collections::VecDeque, sync::Arc};

use almondlock_base::unit::Revision;

/// Default maximum number of changes kept.
pub const MAX_CHANGES: usize = 16_384;
/// Default maximum number of bytes kept.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;

/// The last changes up to a revision.
#[derive(Clone, Debug)]
pub struct Ring {
    max_changes: usize,
    max_bytes: usize,
    // Invariant: the last change made revision `newest`, the one before it the revision
    // before, and so on; there are at most `max_changes`, of at most `max_bytes` in all.
    changes: VecDeque<Arc<[u8]>>,
    total_bytes: usize,
    newest: Revision,
}

impl Default for Ring {
    fn default() -> Ring {
        Ring::new(MAX_CHANGES, MAX_BYTES)
    }
}

impl Ring {
    /// Creates an empty ring at revision zero.
    pub fn new(max_changes: usize, max_bytes: usize) -> Ring {
        Ring {
            max_changes,
            max_bytes,
            changes: VecDeque::new(),
            total_bytes: 0,
            newest: Revision::ZERO,
        }
    }

    /// Adds the change that makes the next revision.
    pub fn push(&mut self, change: &[u8]) {
        self.newest = self.newest.next();
        self.total_bytes += change.len();
        self.changes.push_back(Arc::from(change));
        while self.changes.len() > self.max_changes || self.total_bytes > self.max_bytes {
            match self.changes.pop_front() {
                Some(oldest) => self.total_bytes -= oldest.len(),
                None => return,
            }
        }
    }

    /// Removes all changes; the next one pushed is the change after `newest`.
    pub fn reset(&mut self, newest: Revision) {
        self.changes.clear();
        self.total_bytes = 0;
        self.newest = newest;
    }

    /// Returns the revision that the last change made.
    pub fn newest(&self) -> Revision {
        self.newest
    }

    /// Returns the number of bytes of all changes held.
    pub fn held_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Returns the number of bytes of the changes after a revision that the ring holds.
    pub fn bytes_after(&self, have: Revision) -> usize {
        let missed = self.newest.0.saturating_sub(have.0);
        let missed = usize::try_from(missed).unwrap_or(usize::MAX);
        let skipped = self.changes.len().saturating_sub(missed);
        self.changes.iter().skip(skipped).map(|c| c.len()).sum()
    }

    /// Returns true if the ring holds all changes after a revision. False if the revision
    /// is newer than the ring's.
    pub fn has_all_after(&self, have: Revision) -> bool {
        let missed = self.newest.0.checked_sub(have.0);
        missed.is_some_and(|missed| missed <= self.changes.len() as u64)
    }

    /// Returns the changes after a revision, oldest first: as many as fit `bytes` and
    /// `count`, but at least one if there are any. Returns `None` unless the ring holds
    /// all changes after the revision.
    pub fn after(&self, have: Revision, count: usize, bytes: usize) -> Option<Vec<Arc<[u8]>>> {
        if !self.has_all_after(have) {
            return None;
        }
        let missed = usize::try_from(self.newest.0 - have.0).ok()?;
        let mut room = bytes;
        let mut changes = Vec::new();
        for change in self.changes.range(self.changes.len() - missed..) {
            let fits = change.len() <= room && changes.len() < count;
            if !fits && !changes.is_empty() {
                break;
            }
            room = room.saturating_sub(change.len());
            changes.push(Arc::clone(change));
        }
        Some(changes)
    }
}
