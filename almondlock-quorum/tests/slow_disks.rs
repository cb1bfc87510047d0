//! Syncs that take an election timeout or longer, and disks that hang for seconds.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::{sync::Arc, time::Duration};

use almondlock_base::time::Mono;
use almondlock_quorum::{
    config::Config,
    entry::{Entry, Index, Payload, Term},
    machine::Machine,
    member::{Id, Member, Members},
    message::{Append, AppendReply, Body, Message, Piece},
    storage::Loaded,
};
use cluster::Cluster;
use yare::parameterized;

/// Guards against elections and leaders that are abandoned again and again, because syncing a
/// vote or an acknowledgement takes longer than the timeout for it. Nobody led while the
/// disks were slow.
#[parameterized(
    half_a_timeout = { 3, 250, false },
    one_timeout = { 3, 500, false },
    longer = { 3, 700, false },
    two_timeouts = { 3, 1000, false },
    three_timeouts = { 3, 1500, false },
    all_but_one = { 3, 700, true },
    four_voters = { 4, 700, false },
    all_but_one_of_four = { 4, 1000, true },
)]
fn led_at_last(size: u64, millis: u64, one_fast: bool) {
    for seed in 0..8 {
        let mut c = Cluster::new(seed, size);
        // One append holds all entries proposed during the sync of another.
        c.batch = 100_000;
        for n in 0..c.nodes.len() {
            c.nodes[n].sync_millis = Some(millis).filter(|_| n > 0 || !one_fast);
            c.crash(n);
            c.start(n);
        }
        c.accept();
        let leader = c.leader();
        for _ in 0..200 {
            c.run(100);
            assert_eq!(c.leader(), leader, "seed {seed}");
            c.propose(leader.unwrap());
        }
        assert!(c.now < 60_000, "seed {seed}: it took {} ms", c.now - 20_000);
    }
}

/// Guards against an election, with refused requests until it ends, each time that the disks hang.
#[test]
fn hang_ends() {
    for seed in 0..20 {
        let mut c = Cluster::new(seed, 3);
        let leader = c.elect();
        c.accept();
        let term = c.nodes[leader].machine.as_ref().unwrap().term();
        for n in 0..3 {
            c.nodes[n].sync_millis = Some(3_000);
        }
        let before = c.history.newest();
        for _ in 0..30 {
            c.propose(leader);
            c.run(100);
        }
        for n in 0..3 {
            c.nodes[n].sync_millis = None;
        }
        c.run(3_000);
        assert!(c.history.newest().0 >= before.0 + 30, "seed {seed}");
        assert_eq!(c.leader(), Some(leader), "seed {seed}");
        assert_eq!(c.nodes[leader].machine.as_ref().unwrap().term(), term);
    }
}

/// Guards against a voter whose disk hangs for good and which is not replaced, since it answers.
#[test]
fn hung_not_heard() {
    let mut c = Cluster::new(1, 3);
    let leader = c.elect();
    c.accept();
    let hung = (leader + 1) % 3;
    let fine = (leader + 2) % 3;
    c.nodes[hung].sync_millis = Some(1_000_000);
    for _ in 0..40 {
        c.propose(leader);
        c.run(100);
    }
    let machine = c.nodes[leader].machine.as_ref().unwrap();
    let silence = |n: usize| {
        c.mono()
            .since(machine.last_advanced(c.nodes[n].id).unwrap())
    };
    assert!(silence(hung) > Duration::from_secs(3));
    assert!(silence(fine) < Duration::from_millis(300));
}

/// Guards against entries that count as held before they are synced, because they arrive a second
/// time while the first sync is running.
#[test]
fn entry_not_promised() {
    const NOW: Mono = Mono::from_millis(10_000);
    let loaded = Loaded::initial(Members::of_voters((1..=3).map(Member::sample)));
    let config = Config::builder().build().unwrap();
    let mut machine = Machine::new(config, Id(1), loaded, Mono::ZERO);
    let append = Append {
        previous_index: Index::ZERO,
        previous_term: Term::ZERO,
        commit: Index::ZERO,
        round: 1,
        entries: vec![Entry {
            index: Index(1),
            term: Term(3),
            payload: Payload::Empty,
        }],
    };
    let term = Term(3);
    let body = Body::Append(append);
    let message = Message { term, body };
    machine.receive(NOW, Id(2), message.clone());
    let write = machine.take(NOW).write.unwrap();
    machine.receive(NOW, Id(2), message);
    let indexes = |machine: &mut Machine| -> Vec<u64> {
        let sent = machine.take(NOW).messages.into_iter();
        let index = |body| match body {
            Body::AppendReply(reply) => reply.index.0,
            other => panic!("{other:?}"),
        };
        sent.map(|envelope| index(envelope.message.body)).collect()
    };
    assert_eq!(indexes(&mut machine), [0]);
    machine.synced(NOW, write.sequence);
    assert_eq!(indexes(&mut machine), [1]);
}

/// Guards against a snapshot that counts as held before it is synced, because an append without
/// new entries is answered at once.
#[test]
fn snapshot_not_promised() {
    const NOW: Mono = Mono::from_millis(10_000);
    let members = Members::of_voters((1..=3).map(Member::sample));
    let loaded = Loaded::initial(members.clone());
    let config = Config::builder().build().unwrap();
    let mut machine = Machine::new(config, Id(1), loaded, Mono::ZERO);
    let mut receive = |body| {
        let term = Term(3);
        machine.receive(NOW, Id(2), Message { term, body });
        machine.take(NOW)
    };
    let snapshot = receive(Body::Piece(Piece {
        last_index: Index(7),
        last_term: Term(3),
        members: Arc::new(members),
        offset: 0,
        total: 2,
        data: vec![1, 2],
    }));
    let heartbeat = Append {
        previous_index: Index(7),
        previous_term: Term(3),
        commit: Index(7),
        round: 1,
        entries: Vec::new(),
    };
    let reply = |index| {
        Body::AppendReply(AppendReply {
            matched: true,
            index: Index(index),
            round: 1,
        })
    };
    let early = receive(Body::Append(heartbeat.clone()));
    assert_eq!(early.messages[0].message.body, reply(0));
    machine.synced(NOW, snapshot.write.unwrap().sequence);
    machine.take(NOW);
    let message = Message {
        term: Term(3),
        body: Body::Append(heartbeat),
    };
    machine.receive(NOW, Id(2), message);
    assert_eq!(machine.take(NOW).messages[0].message.body, reply(7));
}
