//! Thousands of servers speak each second. Followers take what tells nothing new and
//! pass it on to the leader, which would otherwise take a server for silent and put it
//! out, though it was acknowledged all the time.

mod group;

use std::{net::SocketAddr, time::Duration};

use almondlock_base::id::{Domain, Service, Upstream};
use almondlock_control::replica::{Builder, Remote, Taken};
use almondlock_state::instance::{Birth, Instance};
use group::{Group, until};
use tokio::time::{Instant, sleep};

/// How long a server may be silent here.
const LEASE: Duration = Duration::from_secs(2);

fn adapt(builder: Builder) -> Builder {
    builder
        .instance_lease(LEASE)
        .duty_pause(Duration::from_millis(100))
}

fn server(n: u8, leaving: bool) -> (Upstream, Instance) {
    let instance = Instance {
        service: Service::new("s").unwrap(),
        address: SocketAddr::from(([10, 9, 0, n], 80)),
        domain: Domain::new("domain-0").unwrap(),
        slots: 16,
        leaving,
        birth: Birth(7),
        cold: false,
    };
    (Upstream::new(&format!("i-{n}")).unwrap(), instance)
}

async fn beat(remote: &Remote, n: u8, sequence: u64) -> Option<Taken> {
    let (name, instance) = server(n, false);
    remote.beat(name, sequence, instance).await.ok()
}

async fn knows(remote: &Remote, n: u8) -> bool {
    let (name, _) = server(n, false);
    let known = move |state: &almondlock_state::machine::Machine| {
        state.config().instances.contains_key(&name)
    };
    remote.look(known).await.unwrap()
}

/// One server speaks to followers only, another one not at all: the second one is put
/// out after a lease, the first one stays.
#[tokio::test]
async fn followers_take_them() {
    let group = Group::new(adapt);
    let leader = group.leader().await;
    let followers: Vec<&Remote> = (0..3)
        .filter(|n| *n != leader)
        .map(|n| group.remote(n))
        .collect();
    let decided = Some(Taken::Decided(None));
    assert_eq!(beat(group.remote(leader), 1, 1).await, decided);
    assert_eq!(beat(group.remote(leader), 2, 1).await, decided);
    for follower in &followers {
        until("the servers are known", async || {
            knows(follower, 2).await.then_some(())
        })
        .await;
    }
    let begun = Instant::now();
    let (mut sequence, mut passed) = (1, 0);
    // As long as the silent one is known, and twice its lease in any case.
    while begun.elapsed() < LEASE * 2 || knows(followers[0], 2).await {
        assert!(
            begun.elapsed() < LEASE * 10,
            "the silent one is still known"
        );
        for follower in &followers {
            sequence += 1;
            let taken = beat(follower, 1, sequence).await;
            passed += u32::from(taken == Some(Taken::Passed));
        }
        sleep(Duration::from_millis(100)).await;
    }
    assert!(passed > 0);
    assert!(knows(followers[0], 1).await);
}

/// What tells something new is for the leader: a server that isn't known yet, and one
/// that leaves, which must not be acknowledged before it is entered.
#[tokio::test]
async fn news_for_leader() {
    let group = Group::new(adapt);
    let leader = group.leader().await;
    let follower = group.remote((leader + 1) % 3);
    assert_eq!(beat(follower, 1, 1).await, None);
    let decided = Some(Taken::Decided(None));
    assert_eq!(beat(group.remote(leader), 1, 2).await, decided);
    until("the server is known", async || beat(follower, 1, 3).await).await;
    let (name, leaving) = server(1, true);
    assert!(follower.beat(name, 4, leaving).await.is_err());
}
