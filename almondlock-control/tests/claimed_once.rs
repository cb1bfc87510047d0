//! Claims under changes of leader.

#![allow(clippy::unwrap_used)]

mod group;

use std::{collections::BTreeMap, time::Duration};

use almondlock_control::replica::Remote;
use tokio::task::{LocalSet, spawn_local};

use group::{Group, accept, claim, is_granted};

const KEYS: u64 = 12;
const ENTRIES: u64 = 6;

/// Each of the entry hosts claims each key, again and again until it is told
/// something.
async fn claim_all(remotes: Vec<(usize, Remote)>, entry: u64) -> Vec<(u64, u64)> {
    let mut granted = Vec::new();
    for key in 0..KEYS {
        let command = claim(&format!("payment-{key}"), entry);
        let (_, reply) = accept(&remotes, command).await;
        if is_granted(&reply) {
            granted.push((key, entry));
        }
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    granted
}

/// A caller sends its payment again, and the platform's balancer gives the copies to
/// several entry hosts while the leader hangs, then dies. Exactly one of the
/// copies may run, also when the answer to a claim was lost and it was asked
/// again.
#[tokio::test]
async fn leader_changes() {
    LocalSet::new().run_until(run_changes()).await;
}

async fn run_changes() {
    let mut group = Group::new(|b| b);
    group.leader().await;
    let remotes: Vec<_> = (0..3).map(|n| (n, group.remote(n).clone())).collect();
    let entries: Vec<_> = (1..=ENTRIES)
        .map(|entry| spawn_local(claim_all(remotes.clone(), entry)))
        .collect();
    let leader = group.leader().await;
    let running = group.running[leader].as_ref().unwrap();
    running.pause(Duration::from_millis(900)).await;
    let leader = group.leader().await;
    group.kill(leader);
    group.leader().await;
    group.start(leader);
    let mut holders: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for entry in entries {
        for (key, entry) in entry.await.unwrap() {
            holders.entry(key).or_default().push(entry);
        }
    }
    assert_eq!(holders.len() as u64, KEYS);
    assert!(holders.values().all(|h| h.len() == 1), "{holders:?}");
}

/// All replicas restart after a claim was granted; the copy sent afterwards, by
/// another entry host, is told that it runs.
#[tokio::test]
async fn all_restart() {
    let mut group = Group::new(|b| b);
    let (_, reply) = group.accept(claim("payment", 1)).await;
    assert!(is_granted(&reply));
    (0..3).for_each(|n| group.kill(n));
    (0..3).for_each(|n| group.start(n));
    let (_, reply) = group.accept(claim("payment", 2)).await;
    assert!(!is_granted(&reply), "{reply:?}");
    // The first one's own claim, asked again, is still its.
    let (_, reply) = group.accept(claim("payment", 1)).await;
    assert!(is_granted(&reply), "{reply:?}");
}
