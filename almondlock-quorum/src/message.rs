//! What replicas say to each other.
//!
//! The field `term` of [`Message`] is the speaker's, but for a pre-vote, which
//! names the term that the speaker would like to begin.

use std::sync::Arc;

use crate::{
    entry::{Entry, Index, Term},
    member::{Id, Members},
};

/// A message to one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// To whom.
    pub to: Id,
    /// What.
    pub message: Message,
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The speaker's term.
    pub term: Term,
    /// The rest.
    pub body: Body,
}

/// The kinds of message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Asks for a vote, or whether one would be given.
    VoteRequest(VoteRequest),
    /// Answers it.
    VoteReply(VoteReply),
    /// Entries, or none: then it is a heartbeat.
    Append(Append),
    /// Answers it.
    AppendReply(AppendReply),
    /// A piece of a snapshot.
    Piece(Piece),
    /// Answers it.
    PieceReply(PieceReply),
    /// The leader asks a voter to take over at once.
    TimeoutNow,
}

/// Asks for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    /// Only asks whether the vote would be given.
    pub pre: bool,
    /// The candidate's last entry.
    pub last_index: Index,
    /// Its term.
    pub last_term: Term,
}

/// Answers a request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteReply {
    /// As in the request.
    pub pre: bool,
    /// Whether the vote is given.
    pub granted: bool,
}

/// Entries to follow the one named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// The entry before the first one sent.
    pub previous_index: Index,
    /// Its term.
    pub previous_term: Term,
    /// The leader's commit index.
    pub commit: Index,
    /// The round of heartbeats, for reads.
    pub round: u64,
    /// The entries, oldest first.
    pub entries: Vec<Entry>,
}

/// Answers an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendReply {
    /// Whether the logs agree at the entry named.
    pub matched: bool,
    /// The last entry that agrees and is synced; when none does, the last
    /// entry that may.
    pub index: Index,
    /// As in the append.
    pub round: u64,
}

/// A bounded piece of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// The snapshot's last entry.
    pub last_index: Index,
    /// Its term.
    pub last_term: Term,
    /// The members there.
    pub members: Arc<Members>,
    /// Where the piece starts.
    pub offset: u64,
    /// The size of the whole.
    pub total: u64,
    /// The piece.
    pub data: Vec<u8>,
}

/// Answers a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceReply {
    /// As in the piece.
    pub last_index: Index,
    /// The offset wanted next.
    pub offset: u64,
    /// Whether the whole snapshot is in force and synced.
    pub done: bool,
}
