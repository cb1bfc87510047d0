//! Entries of the log and what identifies them.

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
            /// Before the first one.
            pub const ZERO: $name = $name(0);

            /// The one after this.
            #[must_use]
            pub const fn next(self) -> $name {
                $name(self.0 + 1)
            }

            /// The one before this, or zero.
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
    /// A place in the log. The first entry has index 1.
    Index
);
counter!(
    /// A term: at most one leader is elected in each.
    Term
);

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// A command for the state machine, opaque here.
    Command(Arc<[u8]>),
    /// Nothing: a new leader commits one, and with it all before it.
    Empty,
    /// The members from this entry on.
    Members(Arc<Members>),
}

impl Payload {
    /// Bytes that count against the limits on messages.
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
    /// Its place.
    pub index: Index,
    /// The term of the leader that made it.
    pub term: Term,
    /// What it holds.
    pub payload: Payload,
}

/// Where a proposal was put. It is accepted once an entry of this very term is
/// committed at this index; another term there means that it never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The term it was proposed in.
    pub term: Term,
    /// Its place in the log.
    pub index: Index,
}

/// What a replica must remember of elections before it answers anybody.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The newest term it has seen.
    pub term: Term,
    /// Whom it voted for in that term.
    pub vote: Option<crate::member::Id>,
}

/// The state up to an index, in place of the entries that made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The last entry it covers.
    pub index: Index,
    /// That entry's term.
    pub term: Term,
    /// The members in force there.
    pub members: Arc<Members>,
    /// The state machine's own bytes.
    pub data: Arc<[u8]>,
}
