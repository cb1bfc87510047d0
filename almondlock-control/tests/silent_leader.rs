//! The leader falls silent without an error.

#![allow(clippy::unwrap_used)]

mod group;

use std::time::Duration;

use almondlock_base::Code;
use group::{Group, announce, capacity, revision, until};

/// An operator changes something while the leader's host hangs, and asks the
/// hung host afterwards. The others elect and accept the change; the old leader
/// returns believing that it leads, must not answer with the state from before
/// the change, and accepts nothing that the others don't.
#[tokio::test]
async fn others_go_on() {
    let group = Group::new(|b| b);
    group.accept(announce(1)).await;
    let old = group.leader().await;
    let paused = group.remote(old).clone();
    group.running[old]
        .as_ref()
        .unwrap()
        .pause(Duration::from_secs(3))
        .await;
    // Asked while it hangs, answered when it returns.
    let stale = tokio::spawn(async move { paused.read(|s| capacity(s.config())).await });
    let (new, reply) = group.accept(announce(2)).await;
    assert_ne!(new, old);
    match stale.await.unwrap() {
        Ok(value) => assert_eq!(value, 2, "a stale read"),
        Err(refusal) => {
            assert!(
                [Code::NotLeader, Code::NoQuorum].contains(&refusal.code),
                "{refusal}"
            );
        }
    }
    group.holds(old, revision(&reply)).await;
    let view = group.running[old].as_ref().unwrap().view.get();
    assert_eq!(capacity(&view), 2);
}

/// The same hang twice, of whoever leads: terms go up, revisions never down.
#[tokio::test]
async fn twice() {
    let group = Group::new(|b| b);
    let mut newest = almondlock_base::unit::Revision::ZERO;
    for value in 1..=3 {
        let (_, reply) = group.accept(announce(value)).await;
        assert!(revision(&reply) > newest);
        newest = revision(&reply);
        let leader = group.leader().await;
        let running = group.running[leader].as_ref().unwrap();
        running.pause(Duration::from_secs(1)).await;
    }
    for n in 0..3 {
        group.holds(n, newest).await;
    }
}

/// Whoever asks a follower is sent to the leader.
#[tokio::test]
async fn one_leader_known() {
    let group = Group::new(|b| b);
    let leader = group.leader().await;
    let address = group.addresses[leader];
    for n in 0..3 {
        until("all name the same leader", async || {
            (group.status(n).await.leader == Some(address)).then_some(())
        })
        .await;
    }
}

/// The leader's host is restarted on purpose. It hands leadership on before it
/// goes: the next term is the very next one, begun by the voter that it chose.
#[tokio::test]
async fn stops_gracefully() {
    let mut group = Group::new(|b| b);
    group.accept(announce(1)).await;
    let old = group.leader().await;
    let term = group.status(old).await.term;
    group.stop(old);
    let (new, _) = group.accept(announce(2)).await;
    assert_ne!(new, old);
    assert_eq!(group.status(new).await.term, term.next());
}
