//! What a replica keeps on disk.
//!
//! One data folder holds one identity, a sequence of append-only segments and
//! the newest snapshot. Everything between two syncs costs one sync. A failed
//! write or sync ends the store: the kernel may have dropped the pages that it
//! failed to write and a second sync would then succeed without them, so what
//! is on disk is unknown until the folder is opened and checked again.
//!
//! Opening tells a torn tail from damage. A crash cuts the last segment short:
//! the bytes that are missing were never synced, so nobody was promised them,
//! and the cut record is taken away. A record that is whole but fails its
//! checksum may have been promised; guessing that it wasn't could take back an
//! accepted entry, so the store refuses to open and the replica is replaced.

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

/// The version of the files' format.
pub const FORMAT: u32 = 1;

/// Things to put on disk together, as a machine asks for them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Counts up with each write of a machine's life.
    pub sequence: u64,
    /// Term and vote.
    pub hard: HardState,
    /// A snapshot, to be in place before the rest.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The log starts anew behind the snapshot.
    pub reset: bool,
    /// Entries. They take the place of any at the same and later indexes.
    pub entries: Vec<Entry>,
}

/// What a disk holds when a replica starts.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    /// Term and vote.
    pub hard: HardState,
    /// The newest snapshot, if any.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Consecutive entries; if any, they reach at least to the snapshot's last
    /// one or start right after it.
    pub entries: Vec<Entry>,
}

impl Loaded {
    /// The start of a group: these members, and an empty log.
    pub fn initial(members: Members) -> Loaded {
        Loaded {
            hard: HardState::default(),
            snapshot: Some(Arc::new(initial_snapshot(members))),
            entries: Vec::new(),
        }
    }

    /// Whether nothing was ever promised from here.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.entries.is_empty() && self.hard == HardState::default()
    }

    /// Adds what a write says, as a disk would.
    pub fn apply(&mut self, write: &Write) {
        self.hard = write.hard;
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

    /// Takes away what the snapshot makes useless. Returns false when entries
    /// had to go that a later opening would take for good ones.
    pub fn settle(&mut self) -> bool {
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
