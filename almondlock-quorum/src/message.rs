//! Messages between replicas.
//!
//! The field `term` of [`Message`] is the sender's term, except in a pre-vote request and in a
//! reply that grants one: there it is the term that the candidate would begin.

use std::sync::Arc;

use crate::{
    entry::{Entry, Index, Term},
    member::{Id, Members},
};

/// A message with its recipient.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The recipient.
    pub to: Id,
    /// The message.
    pub message: Message,
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The sender's term, or the term that a pre-vote is for.
    pub term: Term,
    /// The content, by kind of message.
    pub body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// A candidate asks for a vote or a pre-vote.
    VoteRequest(VoteRequest),
    /// A voter grants or refuses a vote or a pre-vote.
    VoteReply(VoteReply),
    /// The leader sends entries, or a heartbeat if there are none.
    Append(Append),
    /// A replica answers an append.
    AppendReply(AppendReply),
    /// The leader sends a piece of a snapshot.
    Piece(Piece),
    /// A replica answers a piece of a snapshot.
    PieceReply(PieceReply),
    /// The leader asks a voter to start an election at once, without a pre-vote.
    TimeoutNow,
}

/// A request for a vote or a pre-vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteRequest {
    /// Whether this is a pre-vote, which only asks whether the vote would be granted.
    pub is_pre_vote: bool,
    /// The index of the candidate's last entry.
    pub last_index: Index,
    /// The term of the candidate's last entry.
    pub last_term: Term,
}

/// The reply to a [`VoteRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteReply {
    /// Whether the request was a pre-vote.
    pub is_pre_vote: bool,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// Entries to append after a named entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// The index of the entry before the first one sent.
    pub previous_index: Index,
    /// The term of that entry.
    pub previous_term: Term,
    /// The leader's commit index.
    pub commit: Index,
    /// The leader's newest heartbeat round, which the reply repeats. It confirms reads.
    pub round: u64,
    /// The entries, oldest first.
    pub entries: Vec<Entry>,
}

/// The reply to an [`Append`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendReply {
    /// Whether the logs agree at the append's `previous_index`.
    pub matched: bool,
    /// If `matched`, the last index that agrees and is synced here; otherwise the
    /// last index at which the logs may agree.
    pub index: Index,
    /// The round of the append.
    pub round: u64,
}

/// A piece of a snapshot, of bounded size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// The index of the last entry that the snapshot covers.
    pub last_index: Index,
    /// The term of that entry.
    pub last_term: Term,
    /// The members in force at that index.
    pub members: Arc<Members>,
    /// The offset of the piece in the snapshot's data, in bytes.
    pub offset: u64,
    /// The size of the snapshot's data, in bytes.
    pub total: u64,
    /// The bytes of the piece.
    pub data: Vec<u8>,
}

/// The reply to a [`Piece`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceReply {
    /// The `last_index` of the piece.
    pub last_index: Index,
    /// The offset of the next piece to send, in bytes.
    pub offset: u64,
    /// Whether the snapshot is complete, in force and synced.
    pub done: bool,
}
