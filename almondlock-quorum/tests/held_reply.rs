//! Replies must not be sent before what they depend on is on disk, or a crash invalidates them.

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
    loaded.hard_state = HardState {
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
    Body::VoteReply(VoteReply {
        is_pre_vote: pre,
        granted: true,
    })
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

/// Guards against two leaders in one term: a voter grants its vote, crashes before the vote is on
/// disk, and votes for another candidate after its restart.
#[test]
fn vote_waits() {
    let mut machine = machine(1, 3, Vec::new());
    let request = VoteRequest {
        is_pre_vote: false,
        last_index: Index(9),
        last_term: Term(3),
    };
    machine.receive(NOW, Id(2), message(4, Body::VoteRequest(request)));
    let output = machine.take(NOW);
    assert!(output.messages.is_empty());
    let write = output.write.unwrap();
    assert_eq!(write.hard_state.vote, Some(Id(2)));
    machine.synced(NOW, write.sequence);
    assert_eq!(
        machine.take(NOW).messages[0].message.body,
        vote_reply(false)
    );
}

/// Guards against a candidate's own vote being counted before it is on disk. After a crash the
/// replica could vote for another candidate in the same term.
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

/// Guards against a committed entry that a follower loses: it acknowledges the entry, the leader
/// commits it, and the follower's host loses power before the entry is on disk.
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

/// Guards against a snapshot that a follower acknowledges and then loses in a power failure,
/// after the leader has counted all entries that it covers.
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

/// Guards against a leader that counts itself towards the majority before it has synced.
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
    assert_eq!(machine.commit_index(), Index::ZERO);
    machine.synced(NOW, write.sequence);
    assert_eq!(machine.commit_index(), Index(1));
}

/// Guards against an entry of an earlier term being committed because a majority holds it. A
/// replica that never received it, but has a newer entry, could win the next election and
/// overwrite it (figure 8 of the Raft paper).
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
        assert_eq!(machine.commit_index(), Index(commit));
    }
}
