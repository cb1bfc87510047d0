//! A host is lost for good and replaced.

#![allow(clippy::unwrap_used)]

mod group;

use almondlock_base::Code;
use group::{Group, announce, capacity, until};

/// A host's disk is lost and the host returns with an empty one and the same
/// settings; right after the repair a second host dies. The wiped one must not
/// vote as its old self; it waits, an operator puts it in the place of its old
/// identity, and from that moment on the group survives the second loss.
#[tokio::test]
async fn second_loss() {
    let mut group = Group::new(|b| b);
    group.accept(announce(1)).await;
    let lost = (group.leader().await + 1) % 3;
    let old = group.status(lost).await.id;
    group.kill(lost);
    group.wipe(lost);
    group.start(lost);
    let leader = group.leader().await;
    until("the wiped one asks to join", async || {
        let waiting = group.status(leader).await.waiting;
        waiting.contains(&group.names[lost]).then_some(())
    })
    .await;
    until("the wiped one was told of the group", async || {
        group.status(lost).await.outside.then_some(())
    })
    .await;
    let status = group.status(lost).await;
    assert_ne!(status.id, old);
    assert!(!status.founded);
    let name = group.names[lost].clone();
    let new = group.remote(leader).replace(old, name).await.unwrap();
    assert_eq!(new, status.id);
    // The second loss.
    let second = 3 - leader - lost;
    group.kill(second);
    group.accept(announce(2)).await;
    group.kill(leader);
    // Alone it accepts nothing; and since the second was down when the change
    // was accepted, only the newcomer can give it back.
    let refusal = group.remote(lost).propose(announce(3)).await.unwrap_err();
    assert!([Code::NoQuorum, Code::NotLeader].contains(&refusal.code));
    group.start(second);
    let remote = group.leader().await;
    let found = group.remote(remote).read(|s| capacity(s.config())).await;
    assert_eq!(found.unwrap(), 2);
}

/// Two of three disks are lost at once. What was accepted may be gone with
/// them, and the two empty ones must not form a group of their own that would
/// say so to nobody: nothing is accepted any more.
#[tokio::test]
async fn two_wiped() {
    let mut group = Group::new(|b| b);
    group.accept(announce(1)).await;
    for n in [0, 1] {
        group.kill(n);
        group.wipe(n);
        group.start(n);
    }
    until("the third told both of the group", async || {
        let waiting = group.status(2).await.waiting;
        (waiting.len() == 2).then_some(())
    })
    .await;
    for n in 0..3 {
        let refusal = group.remote(n).propose(announce(2)).await.unwrap_err();
        assert!([Code::NoQuorum, Code::NotLeader].contains(&refusal.code));
    }
    assert!(!group.status(0).await.founded && !group.status(1).await.founded);
}

/// The first to start, by name, is wiped and started while the others are
/// down: it must not begin a second group of empty disks when they return.
#[tokio::test]
async fn wiped_decider() {
    let mut group = Group::new(|b| b);
    group.accept(announce(1)).await;
    (0..3).for_each(|n| group.kill(n));
    group.wipe(0);
    group.start(0);
    group.start(1);
    group.start(2);
    let leader = group.leader().await;
    assert_ne!(leader, 0);
    let found = group.remote(leader).read(|s| capacity(s.config())).await;
    assert_eq!(found.unwrap(), 1);
    assert!(!group.status(0).await.founded);
}
