//! What a replica reports about missing votes while there is no leader.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::collections::BTreeSet;

use almondlock_base::time::Mono;
use almondlock_quorum::{
    config::Config,
    entry::{Index, Term},
    machine::{Machine, Reason},
    member::{Id, Member, Members},
    message::{Append, Body, Message, VoteReply, VoteRequest},
    storage::Loaded,
};
use cluster::Cluster;
use yare::parameterized;

const NOW: Mono = Mono::from_millis(100);

fn ids(of: &[u64]) -> BTreeSet<Id> {
    of.iter().copied().map(Id).collect()
}

/// Returns replica 1 of a group of three.
fn machine() -> Machine {
    let members = Members::of_voters((1..=3).map(Member::sample));
    let config = Config::builder().build().unwrap();
    Machine::new(config, Id(1), Loaded::initial(members), NOW)
}

fn request(pre: bool, term: u64, last: u64) -> Message {
    let request = VoteRequest {
        is_pre_vote: pre,
        last_index: Index(last),
        last_term: Term(last),
    };
    Message {
        term: Term(term),
        body: Body::VoteRequest(request),
    }
}

fn heartbeat(term: u64) -> Message {
    let append = Append {
        previous_index: Index::ZERO,
        previous_term: Term::ZERO,
        commit: Index::ZERO,
        round: 0,
        entries: Vec::new(),
    };
    Message {
        term: Term(term),
        body: Body::Append(append),
    }
}

/// Guards against a group of four voters that lost two and doesn't report which.
#[test]
fn two_of_four() {
    let mut c = Cluster::new(1, 4);
    c.elect();
    c.crash(2);
    c.crash(3);
    c.run(5_000);
    for n in [0, 1] {
        let ballot = c.nodes[n].machine.as_ref().unwrap().failed_ballot();
        let ballot = ballot.unwrap();
        assert!(ballot.is_pre_vote);
        assert_eq!(ballot.quorum, 3);
        assert_eq!(ballot.granted, ids(&[1, 2]));
        assert_eq!(ballot.unanswered, ids(&[3, 4]));
        assert!(ballot.refused.is_empty());
    }
    c.start(2);
    c.elect();
    c.run(1_000);
    for n in 0..3 {
        let machine = c.nodes[n].machine.as_ref().unwrap();
        assert_eq!(machine.failed_ballot(), None, "a leader is known");
    }
}

/// Guards against a candidate whose own vote waits for a slow disk, and which seems to lack the
/// votes of others.
#[test]
fn own_vote_unsynced() {
    let mut machine = machine();
    let now = Mono::from_millis(10_000);
    machine.tick(now);
    let granted = VoteReply {
        is_pre_vote: true,
        granted: true,
    };
    let reply = Message {
        term: machine.term().next(),
        body: Body::VoteReply(granted),
    };
    machine.receive(now, Id(2), reply);
    let ballot = machine.ballot().unwrap();
    assert!(!ballot.is_pre_vote);
    assert!(ballot.granted.is_empty());
    assert_eq!(ballot.unanswered, ids(&[1, 2, 3]));
}

/// Reports all writes as synced, since no replica stands for election before its term is synced.
fn sync(machine: &mut Machine, now: Mono) {
    if let Some(write) = machine.take(now).write {
        machine.synced(now, write.sequence);
    }
}

/// Guards against a vote of a replica that is not a voter being reported as one that counts. A
/// replica that lost its disk answers under a new identity at its old address.
#[test]
fn outside_vote() {
    let mut machine = machine();
    let now = Mono::from_millis(10_000);
    machine.tick(now);
    let granted = VoteReply {
        is_pre_vote: true,
        granted: true,
    };
    let reply = Message {
        term: machine.term().next(),
        body: Body::VoteReply(granted),
    };
    machine.receive(now, Id(9), reply);
    let ballot = machine.ballot().unwrap();
    assert_eq!(ballot.granted, ids(&[1]));
    assert_eq!(ballot.unanswered, ids(&[2, 3]));
}

/// Guards against refusals that are not recorded because their term is older, or is newer and
/// ends the ballot.
#[parameterized(
    older = { 0 },
    newer = { 7 },
)]
fn refused(term: u64) {
    let mut machine = machine();
    machine.receive(NOW, Id(2), heartbeat(3));
    sync(&mut machine, NOW);
    let now = Mono::from_millis(10_000);
    machine.tick(now);
    let refused = VoteReply {
        is_pre_vote: true,
        granted: false,
    };
    let reply = Message {
        term: Term(term),
        body: Body::VoteReply(refused),
    };
    machine.receive(now, Id(2), reply);
    sync(&mut machine, now);
    machine.tick(Mono::from_millis(20_000));
    let ballot = machine.failed_ballot().unwrap();
    assert_eq!(ballot.refused, [(Id(2), Term(term))].into());
    assert_eq!(ballot.unanswered, ids(&[3]));
}

/// Guards against a voter that doesn't report why it refused a vote.
#[parameterized(
    leader_heard = { heartbeat(5), request(true, 6, 9), Reason::LeaderHeard },
    leader_of_the_term = { heartbeat(5), request(false, 5, 9), Reason::LeaderHeard },
    vote_given = { request(false, 5, 9), request(false, 5, 9), Reason::VoteGiven },
    old_term = { request(false, 5, 9), request(false, 4, 9), Reason::OldTerm },
    old_term_asked = { request(false, 5, 9), request(true, 5, 9), Reason::OldTerm },
)]
fn reasons(before: Message, asked: Message, reason: Reason) {
    let mut machine = machine();
    machine.receive(NOW, Id(2), before);
    assert_eq!(machine.take_denials().count(), 0);
    machine.receive(NOW, Id(3), asked);
    let denials: Vec<_> = machine.take_denials().collect();
    assert_eq!(denials.len(), 1);
    assert_eq!((denials[0].candidate, denials[0].reason), (Id(3), reason));
    assert_eq!(
        machine.take_denials().count(),
        0,
        "a denial was reported twice"
    );
}

#[test]
fn log_behind() {
    let mut c = Cluster::new(3, 3);
    let leader = c.elect();
    let index = c.accept();
    let follower = (leader + 1) % 3;
    c.until("the replica holds the entry", |c| {
        c.nodes[follower].state.index >= index
    });
    let now = Mono::from_millis(c.now + 10_000);
    let machine = c.nodes[follower].machine.as_mut().unwrap();
    let term = machine.term().next();
    machine.receive(now, Id(9), request(true, term.0, 0));
    let denial = machine.take_denials().last().unwrap();
    assert_eq!(
        (denial.candidate, denial.reason),
        (Id(9), Reason::LogBehind)
    );
    assert!(denial.last.index < index);
}
