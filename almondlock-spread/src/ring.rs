//! The changes that were applied last, as they travel.
//!
//! A process that missed some is given those, and only one that missed more
//! than the ring holds needs the whole configuration. Two bounds hold: one on
//! changes, for many small ones, one on bytes, for few large ones.

use std::{collections::VecDeque, sync::Arc};

use almondlock_base::unit::Revision;

/// Changes kept.
pub const MAX_CHANGES: usize = 16_384;
/// Bytes kept.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;

/// The last changes before a revision.
#[derive(Clone, Debug)]
pub struct Ring {
    count: usize,
    bytes: usize,
    // Invariant: the last one made `newest`, the one before it the revision
    // before, and so on; together at most `count` of at most `bytes`.
    changes: VecDeque<Arc<[u8]>>,
    held: usize,
    newest: Revision,
}

impl Default for Ring {
    fn default() -> Ring {
        Ring::new(MAX_CHANGES, MAX_BYTES)
    }
}

impl Ring {
    /// An empty ring at revision zero.
    pub fn new(count: usize, bytes: usize) -> Ring {
        Ring {
            count,
            bytes,
            changes: VecDeque::new(),
            held: 0,
            newest: Revision::ZERO,
        }
    }

    /// Adds the change that makes the next revision.
    pub fn push(&mut self, change: &[u8]) {
        self.newest = self.newest.next();
        self.held += change.len();
        self.changes.push_back(Arc::from(change));
        while self.changes.len() > self.count || self.held > self.bytes {
            match self.changes.pop_front() {
                Some(oldest) => self.held -= oldest.len(),
                None => return,
            }
        }
    }

    /// Forgets all changes: what follows comes after `newest`.
    pub fn reset(&mut self, newest: Revision) {
        self.changes.clear();
        self.held = 0;
        self.newest = newest;
    }

    /// The last revision added.
    pub fn newest(&self) -> Revision {
        self.newest
    }

    /// Bytes held.
    pub fn held_bytes(&self) -> usize {
        self.held
    }

    /// The bytes of the changes after a revision, as far as they are here.
    pub fn bytes_after(&self, have: Revision) -> usize {
        let missed = self.newest.0.saturating_sub(have.0);
        let missed = usize::try_from(missed).unwrap_or(usize::MAX);
        let skipped = self.changes.len().saturating_sub(missed);
        self.changes.iter().skip(skipped).map(|c| c.len()).sum()
    }

    /// Whether everything after a revision is here.
    pub fn has_all_after(&self, have: Revision) -> bool {
        let missed = self.newest.0.checked_sub(have.0);
        missed.is_some_and(|missed| missed <= self.changes.len() as u64)
    }

    /// The changes after a revision, oldest first, as many as fit `bytes` and
    /// `count` but at least one. `None` when some of them are gone.
    pub fn after(&self, have: Revision, count: usize, bytes: usize) -> Option<Vec<Arc<[u8]>>> {
        if !self.has_all_after(have) {
            return None;
        }
        let missed = usize::try_from(self.newest.0 - have.0).ok()?;
        let mut room = bytes;
        let mut some = Vec::new();
        for change in self.changes.range(self.changes.len() - missed..) {
            let fits = change.len() <= room && some.len() < count;
            if !fits && !some.is_empty() {
                break;
            }
            room = room.saturating_sub(change.len());
            some.push(Arc::clone(change));
        }
        Some(some)
    }
}
