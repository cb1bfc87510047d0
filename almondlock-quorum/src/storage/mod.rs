//! A replica's storage on disk.
//!
//! A data folder holds one identity, a sequence of append-only segments and the newest
//! snapshot. All writes between two syncs share one sync. After a failed write or sync the
//! store takes no more writes: the kernel may have dropped the pages that it failed to
//! write, and a second sync would succeed without them. What is on disk is then unknown
//! until the folder is opened and checked again.
//!
//! Opening a folder tells a torn tail from damage. If a crash cut the last segment short, the
//! missing bytes were never synced and so never acknowledged, and the incomplete record is
//! removed. A complete record that fails its checksum may have been acknowledged. Removing
//! it could lose a committed entry, so the store refuses to open and the replica must be
//! replaced.

pub mod disk;
pub mod identity;
mod record;
mod segment;
mod snapshot;
mod store;

use std::sync::Arc;

pub use self::store::Store;
use crate::{
    entry::{Entry, HardState, Index, Snapshot, Term},
    member::Members,
};

/// The version of the file format.
pub const FORMAT: u32 = 1;

/// A set of changes that a machine wants on disk together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The sequence number, which rises by one with each write of a machine.
    pub sequence: u64,
    /// The current term and vote.
    pub hard_state: HardState,
    /// A snapshot to store before the rest.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether to drop all entries on disk, so that the log starts after the snapshot.
    pub reset: bool,
    /// Entries to append. They replace any entries at the same and later indexes.
    pub entries: Vec<Entry>,
}

/// The state that a replica loads from disk when it starts.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    /// The last term and vote.
    pub hard_state: HardState,
    /// The newest snapshot, if any.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Consecutive entries. If there are any, they reach at least to the snapshot's last entry or
    /// start right after it.
    pub entries: Vec<Entry>,
}

impl Loaded {
    /// Returns the initial state of a group with these members and an empty log.
    pub fn initial(members: Members) -> Loaded {
        Loaded {
            hard_state: HardState::default(),
            snapshot: Some(Arc::new(initial_snapshot(members))),
            entries: Vec::new(),
        }
    }

    /// Whether there is nothing on disk, so that this replica never acknowledged anything.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none()
            && self.entries.is_empty()
            && self.hard_state == HardState::default()
    }

    /// Applies a write, with the same result as writing it to disk and loading it.
    pub fn apply(&mut self, write: &Write) {
        self.hard_state = write.hard_state;
        if let Some(snapshot) = &write.snapshot {
            self.snapshot = Some(Arc::clone(snapshot));
        }
        if write.reset {
            self.entries.clear();
        }
        if let Some(first) = write.entries.first() {
            while self.entries.pop_if(|e| e.index >= first.index).is_some() {}
            let joined = self
                .entries
                .last()
                .is_none_or(|e| e.index.next() == first.index);
            if !joined {
                self.entries.clear();
            }
        }
        self.entries.extend(write.entries.iter().cloned());
    }

    /// Removes entries that don't agree with the snapshot. Returns false if it removed any, since
    /// the log on disk must then be reset, or a later opening would take them for valid.
    pub fn drop_conflicting_entries(&mut self) -> bool {
        let Some(snapshot) = &self.snapshot else {
            return true;
        };
        let at = |index: Index| self.entries.iter().find(|e| e.index == index);
        let starts_after = self
            .entries
            .first()
            .is_none_or(|e| e.index == snapshot.index.next());
        let agrees = at(snapshot.index).is_some_and(|e| e.term == snapshot.term);
        if starts_after || agrees {
            return true;
        }
        self.entries.clear();
        false
    }
}

pub(crate) fn initial_snapshot(members: Members) -> Snapshot {
    Snapshot {
        index: Index::ZERO,
        term: Term::ZERO,
        members: Arc::new(members),
        data: Arc::from([]),
    }
}
