//! A leader that stops gracefully transfers its leadership to the voter that holds the most
//! entries, which then leads the next term.

#![allow(clippy::unwrap_used)]

mod cluster;

use almondlock_quorum::entry::Term;
use cluster::Cluster;
use rand::Rng;

/// Returns a cluster of three, its leader that has committed some entries, and the leader's term.
fn elected_cluster(seed: u64) -> (Cluster, usize, Term) {
    let mut cluster = Cluster::new(seed, 3);
    cluster.elect();
    cluster.accept();
    let pause = cluster.rng.random_range(0..200);
    cluster.run(pause);
    let leader = cluster.elect();
    let term = cluster.nodes[leader].machine.as_ref().unwrap().term();
    (cluster, leader, term)
}

fn transfer_leadership(cluster: &mut Cluster, leader: usize) {
    let now = cluster.mono();
    let machine = cluster.nodes[leader].machine.as_mut().unwrap();
    machine.transfer_leadership(now);
}

/// Stops the leader after one more heartbeat interval and returns the term of the next leader.
fn next_term(cluster: &mut Cluster, leader: usize) -> Term {
    let config = cluster.nodes[leader].machine.as_ref().unwrap().config();
    let heartbeat = config.heartbeat_interval().as_millis() as u64;
    cluster.run(heartbeat);
    cluster.crash(leader);
    let next = cluster.elect();
    cluster.nodes[next].machine.as_ref().unwrap().term()
}

/// Returns the seeds with which the next leader is not in the next term. `before` entries are
/// proposed right before the transfer begins, and `after` entries are tried after it.
fn seeds_with_late_successor(before: usize, after: usize) -> Vec<u64> {
    let mut late = Vec::new();
    for seed in 0..100 {
        let (mut cluster, leader, term) = elected_cluster(seed);
        for _ in 0..before {
            cluster.propose(leader);
        }
        transfer_leadership(&mut cluster, leader);
        for _ in 0..after {
            cluster.step();
            cluster.propose(leader);
        }
        if next_term(&mut cluster, leader) != term.next() {
            late.push(seed);
        }
    }
    late
}

/// Guards against a successor that loses the election because another voter holds entries that
/// it lacks.
#[test]
fn entries_beside() {
    for (before, after) in [(0, 0), (3, 0), (0, 3), (3, 3)] {
        let late = seeds_with_late_successor(before, after);
        assert!(
            late.is_empty(),
            "{before} entries before, {after} after: one more election with seeds {late:?}"
        );
    }
}

/// Guards against a transfer to a voter that has died, though it holds as much as the other.
#[test]
fn dead_voter() {
    for seed in 0..40 {
        let (mut cluster, leader, term) = elected_cluster(seed);
        cluster.run(200);
        let dead = (0..3).rev().find(|n| *n != leader).unwrap();
        cluster.crash(dead);
        // Two heartbeat intervals: the leader can't notice the loss sooner.
        cluster.run(200);
        transfer_leadership(&mut cluster, leader);
        cluster.run(100);
        let next = cluster.elect();
        let next_term = cluster.nodes[next].machine.as_ref().unwrap().term();
        assert_eq!(
            (next, next_term),
            (3 - leader - dead, term.next()),
            "seed {seed}"
        );
    }
}

/// Guards against a leader that appends nothing more: the voter to which it transfers its
/// leadership dies in that moment, and the other one still follows.
#[test]
fn dies_meanwhile() {
    for seed in 0..40 {
        let (mut cluster, leader, _) = elected_cluster(seed);
        cluster.run(200);
        transfer_leadership(&mut cluster, leader);
        // The message that asks the successor is still on its way.
        let successor = cluster.nodes[leader].machine.as_ref().unwrap().successor();
        let successor = cluster.node_of(successor.unwrap()).unwrap();
        cluster.crash(successor);
        let other = 3 - leader - successor;
        cluster.until("another leader", |c| c.leader() == Some(other));
        cluster.accept();
    }
}
