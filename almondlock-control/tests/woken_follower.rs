//! A follower is suspended for longer than every timeout. When it wakes, it finds messages in
//! its sockets that the leader sent before, or while it was suspended.

mod group;

use std::time::Duration;

use almondlock_node::clock;
use group::{Group, announce, revision, until};

/// How long the follower is suspended: several election timeouts.
const SUSPENDED: Duration = Duration::from_secs(2);
/// How long it is watched after that.
const WATCHED: Duration = Duration::from_secs(2);

/// Guards against a follower that wakes and vouches for the configuration that it had, which
/// processes that start then take for the one in force.
#[tokio::test]
async fn old_not_vouched() {
    let group = Group::with_seeds(|b| b);
    let leader = group.leader().await;
    let (_, reply) = group.accept(announce(1)).await;
    let follower = (leader + 1) % 3;
    group.holds(follower, revision(&reply)).await;
    let running = group.running[follower].as_ref().unwrap();
    until("the follower vouches", async || {
        let last = running.vouch.last()?;
        (clock::mono().since(last) < SUSPENDED / 2).then_some(())
    })
    .await;
    running.pause(SUSPENDED).await;
    let (_, reply) = group.accept(announce(2)).await;
    let (accepted, newest) = (clock::mono(), revision(&reply));
    let end = accepted + SUSPENDED + WATCHED;
    let mut is_late = false;
    while clock::mono() < end {
        let vouched = running.vouch.last().unwrap();
        if running.view.revision() < newest {
            assert!(vouched < accepted, "vouched for what it had before");
        } else {
            is_late |= vouched > accepted;
        }
        std::thread::yield_now();
    }
    assert!(is_late, "never vouches again");
}
