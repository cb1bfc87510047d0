//! The log's messages on the wire.
//!
//! A greeting travels as a snapshot of nothing (index 0, term 0), since the
//! log itself never sends one of those; so do heartbeats that a follower has taken,
//! which come with a greeting.

use std::sync::Arc;

use almondlock_quorum::{
    entry::{Entry, Index, Payload, Term},
    message::{Append, AppendReply, Body, Message, Piece, PieceReply, VoteReply, VoteRequest},
};
use almondlock_wire::almondlock_capnp::{append, raft_entry, raft_message, snapshot};
use serde::{Serialize, de::DeserializeOwned};

use super::{founding::Greeting, peers::Parcel};

const COMMAND: u8 = 0;
const EMPTY: u8 = 1;
const MEMBERS: u8 = 2;

/// Reads what another replica sent.
pub(super) fn read(from: raft_message::Reader<'_>) -> Result<Parcel, capnp::Error> {
    let body = match from.which()? {
        raft_message::VoteRequest(request) => {
            let request = request?;
            Body::VoteRequest(VoteRequest {
                is_pre_vote: request.get_pre(),
                last_index: Index(request.get_last_index()),
                last_term: Term(request.get_last_term()),
            })
        }
        raft_message::VoteReply(reply) => {
            let reply = reply?;
            Body::VoteReply(VoteReply {
                is_pre_vote: reply.get_pre(),
                granted: reply.get_granted(),
            })
        }
        raft_message::Append(append) => Body::Append(read_append(append?)?),
        raft_message::AppendReply(reply) => {
            let reply = reply?;
            Body::AppendReply(AppendReply {
                matched: reply.get_matched(),
                index: Index(reply.get_index()),
                round: reply.get_round(),
            })
        }
        raft_message::Snapshot(piece) => {
            let piece = piece?;
            if piece.get_last_index() == 0 {
                let greeting: Box<Greeting> = parse(piece.get_members()?)?;
                return Ok(match piece.get_data()? {
                    [] => Parcel::Greeting(greeting),
                    data => Parcel::Heartbeats(greeting, parse(data)?),
                });
            }
            Body::Piece(read_piece(piece)?)
        }
        raft_message::SnapshotReply(reply) => {
            let reply = reply?;
            Body::PieceReply(PieceReply {
                last_index: Index(reply.get_last_index()),
                offset: reply.get_offset(),
                done: reply.get_done(),
            })
        }
        raft_message::TimeoutNow(()) => Body::TimeoutNow,
    };
    let term = Term(from.get_term());
    Ok(Parcel::Message(Message { term, body }))
}

fn read_append(from: append::Reader<'_>) -> Result<Append, capnp::Error> {
    let previous_index = Index(from.get_previous_index());
    let mut entries = Vec::new();
    let mut index = previous_index;
    for entry in from.get_entries()? {
        let entry = read_entry(entry)?;
        index = index.next();
        if entry.index != index {
            return Err(capnp::Error::failed(
                "entries don't follow each other".into(),
            ));
        }
        entries.push(entry);
    }
    Ok(Append {
        previous_index,
        previous_term: Term(from.get_previous_term()),
        commit: Index(from.get_commit()),
        round: from.get_round(),
        entries,
    })
}

fn read_entry(from: raft_entry::Reader<'_>) -> Result<Entry, capnp::Error> {
    let data = from.get_data()?;
    let payload = match from.get_kind() {
        COMMAND => Payload::Command(Arc::from(data)),
        EMPTY => Payload::Empty,
        MEMBERS => Payload::Members(Arc::new(parse(data)?)),
        kind => return Err(capnp::Error::failed(format!("no entry has kind {kind}"))),
    };
    Ok(Entry {
        index: Index(from.get_index()),
        term: Term(from.get_term()),
        payload,
    })
}

fn read_piece(from: snapshot::Reader<'_>) -> Result<Piece, capnp::Error> {
    Ok(Piece {
        last_index: Index(from.get_last_index()),
        last_term: Term(from.get_last_term()),
        members: Arc::new(parse(from.get_members()?)?),
        offset: from.get_offset(),
        total: from.get_total(),
        data: from.get_data()?.to_vec(),
    })
}

/// Writes what is sent to another replica.
pub(super) fn write(parcel: &Parcel, mut to: raft_message::Builder<'_>) {
    let message = match parcel {
        Parcel::Message(message) => message,
        Parcel::Greeting(greeting) => {
            to.init_snapshot().set_members(&json(greeting));
            return;
        }
        Parcel::Heartbeats(greeting, heartbeats) => {
            let mut to = to.init_snapshot();
            to.set_members(&json(greeting));
            to.set_data(&json(heartbeats));
            return;
        }
    };
    to.set_term(message.term.0);
    match &message.body {
        Body::VoteRequest(request) => {
            let mut to = to.init_vote_request();
            to.set_pre(request.is_pre_vote);
            to.set_last_index(request.last_index.0);
            to.set_last_term(request.last_term.0);
        }
        Body::VoteReply(reply) => {
            let mut to = to.init_vote_reply();
            to.set_pre(reply.is_pre_vote);
            to.set_granted(reply.granted);
        }
        Body::Append(append) => write_append(append, to.init_append()),
        Body::AppendReply(reply) => {
            let mut to = to.init_append_reply();
            to.set_matched(reply.matched);
            to.set_index(reply.index.0);
            to.set_round(reply.round);
        }
        Body::Piece(piece) => write_piece(piece, to.init_snapshot()),
        Body::PieceReply(reply) => {
            let mut to = to.init_snapshot_reply();
            to.set_last_index(reply.last_index.0);
            to.set_offset(reply.offset);
            to.set_done(reply.done);
        }
        Body::TimeoutNow => to.set_timeout_now(()),
    }
}

fn write_append(append: &Append, mut to: append::Builder<'_>) {
    to.set_previous_index(append.previous_index.0);
    to.set_previous_term(append.previous_term.0);
    to.set_commit(append.commit.0);
    to.set_round(append.round);
    let count = u32::try_from(append.entries.len()).unwrap_or(u32::MAX);
    let mut entries = to.init_entries(count);
    for (place, entry) in (0..count).zip(&append.entries) {
        let mut to = entries.reborrow().get(place);
        to.set_index(entry.index.0);
        to.set_term(entry.term.0);
        match &entry.payload {
            Payload::Command(data) => {
                to.set_kind(COMMAND);
                to.set_data(data);
            }
            Payload::Empty => to.set_kind(EMPTY),
            Payload::Members(members) => {
                to.set_kind(MEMBERS);
                to.set_data(&json(members.as_ref()));
            }
        }
    }
}

fn write_piece(piece: &Piece, mut to: snapshot::Builder<'_>) {
    to.set_last_index(piece.last_index.0);
    to.set_last_term(piece.last_term.0);
    to.set_members(&json(piece.members.as_ref()));
    to.set_offset(piece.offset);
    to.set_total(piece.total);
    to.set_data(&piece.data);
}

fn json<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    // Plain structs of numbers, names and maps with plain keys: it can't fail.
    serde_json::to_vec(value).unwrap_or_default()
}

fn parse<T>(bytes: &[u8]) -> Result<T, capnp::Error>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(bytes).map_err(|e| capnp::Error::failed(e.to_string()))
}
