//! What was accepted is there after any restart.

#![allow(clippy::unwrap_used)]

mod group;

use std::time::Duration;

use almondlock_base::{Code, unit::Revision};
use group::{Group, announce, capacity, revision, until};

fn small_snapshots(
    builder: almondlock_control::replica::Builder,
) -> almondlock_control::replica::Builder {
    let quorum = almondlock_quorum::config::Config::builder()
        .election_timeout(Duration::from_millis(300))
        .heartbeat_interval(Duration::from_millis(50))
        .retain_entries(5);
    builder.snapshot(20).quorum(quorum.build().unwrap())
}

/// An operator's change is accepted, then the power of all three hosts fails.
/// After the restart every replica has it, and the revision has not gone back.
#[tokio::test]
async fn all_restart() {
    let mut group = Group::new(|b| b);
    let mut accepted = Revision::ZERO;
    for value in 1..=20 {
        let (_, reply) = group.accept(announce(value)).await;
        accepted = revision(&reply);
    }
    (0..3).for_each(|n| group.kill(n));
    (0..3).for_each(|n| group.start(n));
    let leader = group.leader().await;
    let found = group
        .remote(leader)
        .read(|s| (s.config().revision, capacity(s.config())));
    assert_eq!(found.await.unwrap(), (accepted, 20));
    for n in 0..3 {
        group.holds(n, accepted).await;
    }
}

/// A replica is down while hundreds of changes pass it by and the log that held
/// them is compacted. It returns, gets the state in pieces and the tail, and its
/// view ends where the others' is.
#[tokio::test]
async fn far_behind() {
    let mut group = Group::with_seeds(small_snapshots);
    group.accept(announce(1)).await;
    group.kill(2);
    let mut last = Revision::ZERO;
    for value in 2..=300 {
        let (_, reply) = group.accept(announce(value)).await;
        last = revision(&reply);
    }
    group.start(2);
    group.holds(2, last).await;
    let view = &group.running[2].as_ref().unwrap().view;
    assert_eq!(capacity(&view.get()), 300);
    until("it vouches for its view", async || {
        group.running[2].as_ref().unwrap().vouch.last()
    })
    .await;
}

/// One replica alone is no majority: it refuses reads as well as commands, and
/// says of a command that it doesn't know.
#[tokio::test]
async fn minority_refuses() {
    let mut group = Group::new(|b| b);
    group.accept(announce(1)).await;
    let leader = group.leader().await;
    for n in (0..3).filter(|n| *n != leader) {
        group.kill(n);
    }
    let remote = group.remote(leader);
    let codes = [Code::NoQuorum, Code::NotLeader];
    let refusal = remote.propose(announce(2)).await.unwrap_err();
    assert!(codes.contains(&refusal.code), "{refusal}");
    let refusal = remote.read(|_| ()).await.unwrap_err();
    assert!(codes.contains(&refusal.code), "{refusal}");
    until("it no longer leads", async || {
        let refusal = remote.propose(announce(2)).await.unwrap_err();
        (refusal.code == Code::NotLeader).then_some(())
    })
    .await;
}
