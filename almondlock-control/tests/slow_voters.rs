//! Three voters and a spare that all run, on disks that take long to sync. One disk may be lost
//! at any time.

#![allow(clippy::unwrap_used)]

#[path = "../../almondlock-quorum/tests/cluster/mod.rs"]
mod cluster;

use std::{net::SocketAddr, time::Duration};

use almondlock_control::replica::repair::{Newcomer, Peer, Sight};
use almondlock_quorum::{
    member::{Change, Member},
    storage::Loaded,
};
use cluster::Cluster;
use rand::Rng;
use yare::parameterized;

/// An election timeout.
const PATIENCE: Duration = Duration::from_millis(500);

/// Three voters and a replica that asks to join.
fn four(seed: u64) -> Cluster {
    let mut c = Cluster::new(seed, 3);
    c.batch = 100_000;
    c.next_id = 5;
    c.add_node(Member::sample(4), Loaded::default());
    for (n, port) in (0..4).zip(10..) {
        c.nodes[n].member.address = SocketAddr::from(([127, 0, 0, 1], port));
    }
    c.start(3);
    c
}

/// What the leader at `n` does next about the members.
fn next_step(c: &Cluster, n: usize) -> Option<Change> {
    let machine = c.nodes[n].machine.as_ref()?;
    let (members, now) = (machine.members(), c.mono());
    let asks = c.nodes.iter().filter(|node| {
        let own = node.machine.as_ref();
        let led = own.is_some_and(|m| m.members().contains(node.id) && m.hears_leader(now));
        own.is_some() && !led && !members.contains(node.id)
    });
    let newcomers = asks.map(|node| Newcomer {
        member: node.member.clone(),
        heard: now,
    });
    let sight = Sight {
        own: machine.id(),
        members,
        newcomers: newcomers.collect(),
        led_since: machine.leader_since(),
        patience: PATIENCE,
        now,
    };
    let step = sight.step(|id| Peer {
        heard: machine.last_heard(id),
        advanced: machine.last_advanced(id),
        caught_up: machine.is_caught_up(id),
        leaving: false,
        stays: false,
    });
    step.filter(|_| machine.has_committed_members())
}

/// The cluster's step, with proposals and repairs.
fn step(c: &mut Cluster) {
    if let Some(n) = c.leader() {
        if c.now.is_multiple_of(50) {
            c.propose(n);
        }
        if let Some(change) = next_step(c, n) {
            c.change(n, &change);
        }
    }
    c.step();
}

fn run(c: &mut Cluster, millis: u64) {
    let end = c.now + millis;
    while c.now < end {
        step(c);
    }
}

/// Guards against a group that gives up a voter which is there, keeps two, and needs both when
/// the only disk that is ever lost is one of theirs.
#[parameterized(
    fast = { 0 },
    fifth_of_a_second = { 200 },
    half_a_timeout = { 300 },
    almost_a_timeout = { 400 },
    longer = { 600 },
)]
fn one_lost_disk(millis: u64) {
    let mut ended = Vec::new();
    for seed in 0..24 {
        let mut c = four(seed);
        run(&mut c, 3_000);
        (0..4).for_each(|n| c.nodes[n].sync_millis = Some(millis).filter(|m| *m > 0));
        let span = c.rng.random_range(10_000..30_000);
        run(&mut c, span);
        (0..4).for_each(|n| c.nodes[n].sync_millis = None);
        (0..4).for_each(|n| c.crash(n));
        let lost = c.rng.random_range(0..4);
        let address = c.nodes[lost].member.address;
        c.wipe(lost);
        c.nodes[lost].member.address = address;
        (0..4).filter(|n| *n != lost).for_each(|n| c.start(n));
        run(&mut c, 15_000);
        if c.leader().is_none() {
            ended.push(seed);
        }
    }
    assert!(ended.is_empty(), "nobody leads any more: seeds {ended:?}");
}
