//! All replicas but one start at the same moment. Two stand for election at once and get half of
//! the votes each.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::time::Duration;

use cluster::Cluster;

/// Returns the milliseconds until a group of `size` replicas with one down has a leader.
fn millis_until_leader(seed: u64, size: u64) -> u64 {
    let mut cluster = Cluster::new(seed, size);
    cluster.crash(0);
    let start = cluster.mono();
    cluster.elect();
    let span = cluster.mono().since(start);
    u64::try_from(span.as_millis()).unwrap()
}

/// Guards against hosts that wait for a leader for long, because after a split vote no replica
/// starts another election for a whole election timeout. Two elections fit into the shortest
/// timeout.
#[test]
fn next_election_soon() {
    for size in [3, 5] {
        let late: Vec<(u64, u64)> = (0..400)
            .map(|seed| (seed, millis_until_leader(seed, size)))
            .filter(|(_, millis)| *millis > 500)
            .collect();
        assert!(
            late.len() <= 4,
            "{size}: {} of 400 starts, {late:?}",
            late.len()
        );
    }
}

/// Guards against replicas that start elections for ever, because writing a vote takes longer
/// than the time between the first elections.
#[test]
fn slow_disks() {
    for seed in 0..40 {
        let mut cluster = Cluster::new(seed, 5);
        for node in &mut cluster.nodes {
            node.slow = true;
        }
        let start = cluster.mono();
        while cluster.leader().is_none() {
            cluster.run(300);
            (0..5).for_each(|n| cluster.sync(n));
            let span = cluster.mono().since(start);
            assert!(span < Duration::from_secs(15), "seed {seed}: no leader");
        }
    }
}
