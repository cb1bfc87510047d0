//! A server starts again under its name, and a copy of the notice of its earlier incarnation is
//! held up until then. The notice names no incarnation.

mod group;

use std::{net::SocketAddr, time::Duration};

use almondlock_base::id::{Domain, Service, Upstream};
use almondlock_state::instance::{Birth, Instance};
use group::{Group, until};
use tokio::time::sleep;

fn server(birth: u64, leaving: bool) -> (Upstream, Instance) {
    let instance = Instance {
        service: Service::new("s").unwrap(),
        address: SocketAddr::from(([10, 9, 0, 1], 80)),
        domain: Domain::new("domain-0").unwrap(),
        slots: 16,
        leaving,
        birth: Birth(birth),
        cold: false,
    };
    (Upstream::new("i-1").unwrap(), instance)
}

async fn beat(group: &Group, birth: u64, sequence: u64, leaving: bool) {
    until("an acknowledgement", async || {
        let remote = group.remote(group.leader().await);
        let (name, instance) = server(birth, leaving);
        remote.beat(name, sequence, instance).await.ok()
    })
    .await;
}

/// Sends a notice to the leader, and says whether it was acknowledged.
async fn notice(group: &Group) -> bool {
    let remote = group.remote(group.leader().await);
    remote.withdraw(server(0, false).0).await.is_ok()
}

async fn known(group: &Group) -> Option<u64> {
    let (name, _) = server(0, false);
    let remote = group.remote(group.leader().await);
    let birth = remote.look(move |state| state.config().instances.get(&name).map(|i| i.birth.0));
    birth.await.unwrap()
}

/// Guards against a late copy of a notice that ends the next incarnation for good.
#[tokio::test]
async fn next_incarnation() {
    let mut group = Group::new(|builder| builder);
    beat(&group, 1, 1, false).await;
    beat(&group, 1, 2, true).await;
    assert!(notice(&group).await);
    beat(&group, 2, 1, false).await;
    // The leader that took the notice is lost meanwhile.
    let leader = group.leader().await;
    group.kill(leader);
    assert!(!notice(&group).await);
    assert_eq!(known(&group).await, Some(2));
    beat(&group, 2, 2, false).await;
    assert_eq!(known(&group).await, Some(2));
}

/// Guards against a server whose own notice is never acknowledged, since the one of its earlier
/// incarnation is recent.
#[tokio::test]
async fn own_notice() {
    let group = Group::new(|builder| builder);
    beat(&group, 1, 1, false).await;
    assert!(notice(&group).await);
    beat(&group, 2, 1, false).await;
    // It repeats what isn't acknowledged.
    assert!(!notice(&group).await);
    sleep(Duration::from_millis(300)).await;
    assert!(notice(&group).await);
    assert_eq!(known(&group).await, None);
    // One that said before that it leaves isn't doubted.
    beat(&group, 3, 1, false).await;
    beat(&group, 3, 2, true).await;
    assert!(notice(&group).await);
    assert_eq!(known(&group).await, None);
}
