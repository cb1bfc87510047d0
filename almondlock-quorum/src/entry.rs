//! Entries of the log, their indexes and terms, and snapshots that replace them.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::member::Members;

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The value before the first one.
            pub const ZERO: $name = $name(0);

            /// Returns the next value.
            #[must_use]
            pub const fn next(self) -> $name {
                $name(self.0 + 1)
            }

            /// Returns the previous value, or zero if there is none.
            #[must_use]
            pub const fn previous(self) -> $name {
                $name(self.0.saturating_sub(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

counter!(
    /// The position of an entry in the log. The first entry has index 1.
    Index
);
counter!(
    /// A Raft term. At most one leader is elected in each term.
    Term
);

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// A command for the state machine. This crate doesn't interpret it.
    Command(Arc<[u8]>),
    /// No content. A new leader appends one such entry; committing it commits all entries before
    /// it.
    Empty,
    /// The members of the group, in force from this entry on.
    Members(Arc<Members>),
}

impl Payload {
    /// Returns the number of bytes that count towards the limits on messages and memory.
    pub fn size(&self) -> usize {
        match self {
            Payload::Command(data) => data.len(),
            Payload::Empty => 0,
            Payload::Members(members) => members.voters.len() * 128,
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The entry's index.
    pub index: Index,
    /// The term of the leader that created the entry.
    pub term: Term,
    /// The entry's content.
    pub payload: Payload,
}

/// The term and index of a proposed entry.
///
/// The proposal is accepted once an entry of this term is committed at this index. If an
/// entry of another term is committed there, the proposal was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The term in which the entry was proposed.
    pub term: Term,
    /// The entry's index.
    pub index: Index,
}

/// The term and vote of a replica, which must be on disk before it sends a reply that depends
/// on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The newest term that the replica has seen.
    pub term: Term,
    /// The candidate that the replica voted for in that term.
    pub vote: Option<crate::member::Id>,
}

/// The state machine's state at an index, which replaces the entries up to that index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The index of the last entry that the snapshot covers.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The members in force at that index.
    pub members: Arc<Members>,
    /// The serialised state, as the state machine gave it.
    pub data: Arc<[u8]>,
}
