//! What is promised before it is on disk is a promise that a crash takes back.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use almondlock_base::time::Mono;
use almondlock_quorum::{
    config::Config,
    entry::{Entry, HardState, Index, Payload, Term},
    machine::Machine,
    member::{Id, Member, Members},
    message::{Append, AppendReply, Body, Message, Piece, VoteReply, VoteRequest},
    storage::Loaded,
};

const NOW: Mono = Mono::from_millis(10_000);

fn machine(id: u64, size: u64, entries: Vec<Entry>) -> Machine {
    let mut loaded = Loaded::initial(Members::of_voters((1..=size).map(Member::sample)));
    loaded.hard = HardState {
        term: Term(3),
        vote: None,
    };
    loaded.entries = entries;
    Machine::new(
        Config::builder().build().unwrap(),
        Id(id),
        loaded,
        Mono::ZERO,
    )
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index: Index(index),
        term: Term(term),
        payload: Payload::Command(vec![1].into()),
    }
}

fn message(term: u64, body: Body) -> Message {
    let term = Term(term);
    Message { term, body }
}

fn vote_reply(pre: bool) -> Body {
    Body::VoteReply(VoteReply { pre, granted: true })
}

/// Makes replica 1 the leader of term 4.
fn lead(machine: &mut Machine) {
    machine.tick(NOW);
    machine.receive(NOW, Id(2), message(4, vote_reply(true)));
    machine.receive(NOW, Id(3), message(4, vote_reply(true)));
    let write = machine.take(NOW).write.unwrap();
    machine.synced(NOW, write.sequence);
    machine.receive(NOW, Id(2), message(4, vote_reply(false)));
    machine.receive(NOW, Id(3), message(4, vote_reply(false)));
    assert!(machine.is_leader());
}

/// A voter crashes after it said yes and before the vote is on disk; back again
/// it votes for another in the same term, and two lead.
#[test]
fn vote_waits() {
    let mut machine = machine(1, 3, Vec::new());
    let request = VoteRequest {
        pre: false,
        last_index: Index(9),
        last_term: Term(3),
    };
    machine.receive(NOW, Id(2), message(4, Body::VoteRequest(request)));
    let output = machine.take(NOW);
    assert!(output.messages.is_empty());
    let write = output.write.unwrap();
    assert_eq!(write.hard.vote, Some(Id(2)));
    machine.synced(NOW, write.sequence);
    assert_eq!(
        machine.take(NOW).messages[0].message.body,
        vote_reply(false)
    );
}

/// A candidate's own vote is a vote: counted before it is on disk, it can be
/// given to another after a crash.
#[test]
fn own_vote_waits() {
    let mut machine = machine(1, 3, Vec::new());
    machine.tick(NOW);
    machine.receive(NOW, Id(2), message(4, vote_reply(true)));
    let write = machine.take(NOW).write.unwrap();
    machine.receive(NOW, Id(2), message(4, vote_reply(false)));
    assert!(!machine.is_leader());
    machine.synced(NOW, write.sequence);
    assert!(machine.is_leader());
}

/// A follower says that it holds an entry, the leader counts it and accepts,
/// and the follower's host loses power before the entry is on disk.
#[test]
fn entry_waits() {
    let mut machine = machine(1, 3, Vec::new());
    let append = Append {
        previous_index: Index::ZERO,
        previous_term: Term::ZERO,
        commit: Index::ZERO,
        round: 1,
        entries: vec![entry(1, 3)],
    };
    machine.receive(NOW, Id(2), message(3, Body::Append(append)));
    let output = machine.take(NOW);
    assert!(output.messages.is_empty());
    machine.synced(NOW, output.write.unwrap().sequence);
    assert_eq!(machine.take(NOW).messages.len(), 1);
}

/// A follower says that it holds a snapshot, the leader counts all that it
/// stands for, and the power fails before the snapshot is on disk.
#[test]
fn snapshot_waits() {
    let mut machine = machine(1, 3, Vec::new());
    let piece = Piece {
        last_index: Index(7),
        last_term: Term(3),
        members: Arc::new(Members::of_voters((1..=3).map(Member::sample))),
        offset: 0,
        total: 2,
        data: vec![1, 2],
    };
    machine.receive(NOW, Id(2), message(3, Body::Piece(piece)));
    let output = machine.take(NOW);
    assert!(output.restore.is_some() && output.messages.is_empty());
    machine.synced(NOW, output.write.unwrap().sequence);
    let replies = machine.take(NOW).messages;
    assert!(matches!(replies[0].message.body, Body::PieceReply(reply) if reply.done));
}

/// The leader itself counts towards the majority only once it has synced.
#[test]
fn leader_waits() {
    let mut machine = machine(1, 3, Vec::new());
    lead(&mut machine);
    let write = machine.take(NOW).write.unwrap();
    let reply = AppendReply {
        matched: true,
        index: Index(1),
        round: 0,
    };
    machine.receive(NOW, Id(2), message(4, Body::AppendReply(reply)));
    assert_eq!(machine.commit(), Index::ZERO);
    machine.synced(NOW, write.sequence);
    assert_eq!(machine.commit(), Index(1));
}

/// An entry of an earlier term is held by a majority and counted as accepted; a
/// replica that never saw it, but has a newer entry, wins the next election and
/// overwrites it. (The figure 8 of the Raft paper.)
#[test]
fn earlier_term_not_counted() {
    let mut machine = machine(1, 5, vec![entry(1, 1), entry(2, 2)]);
    lead(&mut machine);
    let write = machine.take(NOW).write.unwrap();
    machine.synced(NOW, write.sequence);
    for (index, commit) in [(2, 0), (3, 3)] {
        for id in [2, 3] {
            let reply = AppendReply {
                matched: true,
                index: Index(index),
                round: 0,
            };
            machine.receive(NOW, Id(id), message(4, Body::AppendReply(reply)));
        }
        assert_eq!(machine.commit(), Index(commit));
    }
}
