//! All replicas start at the same moment, one of them without its disk. Two stand for
//! election at once and get half of the votes each.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::time::Duration;

use cluster::Cluster;

/// Milliseconds until a group of so many, of which one is down, has a leader.
fn led_after(seed: u64, size: u64) -> u64 {
    let mut cluster = Cluster::new(seed, size);
    cluster.crash(0);
    let start = cluster.mono();
    cluster.elect();
    let span = cluster.mono().since(start);
    u64::try_from(span.as_millis()).unwrap()
}

/// Guards against hosts that wait for a leader, since after a split vote nobody stands for the
/// time that a silent leader is given. Two rounds fit into the shortest of these.
#[test]
fn tried_again_soon() {
    for size in [3, 5] {
        let late: Vec<(u64, u64)> = (0..400)
            .map(|seed| (seed, led_after(seed, size)))
            .filter(|(_, millis)| *millis > 500)
            .collect();
        assert!(
            late.len() <= 4,
            "{size}: {} of 400 starts, {late:?}",
            late.len()
        );
    }
}

/// Guards against replicas that raise terms for ever where a vote takes longer to be written
/// than the time between the first rounds.
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
