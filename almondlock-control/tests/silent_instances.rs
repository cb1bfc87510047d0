//! Servers that are cut off from the replicas for longer than their lease, while they serve
//! well. Withdrawn for good they would be lost until each is started anew.

mod group;

use std::{net::SocketAddr, time::Duration};

use almondlock_base::id::{Domain, Service, Upstream};
use almondlock_control::replica::Builder;
use almondlock_state::instance::{Birth, Instance};
use group::{Group, until};
use tokio::time::sleep;
use yare::parameterized;

/// How long a server may be silent here.
const LEASE: Duration = Duration::from_secs(2);
const SERVERS: u8 = 4;

fn adapt(builder: Builder) -> Builder {
    builder
        .instance_lease(LEASE)
        .duty_pause(Duration::from_millis(100))
        .snapshot(8)
}

fn server(n: u8) -> (Upstream, Instance) {
    let instance = Instance {
        service: Service::new("s").unwrap(),
        address: SocketAddr::from(([10, 9, 0, n], 80)),
        domain: Domain::new("domain-0").unwrap(),
        slots: 16,
        leaving: false,
        birth: Birth(7),
        cold: false,
    };
    (Upstream::new(&format!("i-{n}")).unwrap(), instance)
}

/// Sends a heartbeat to one replica after the other until it is acknowledged.
async fn beat(group: &Group, n: u8, sequence: u64) {
    until("an acknowledgement", async || {
        for replica in group.running.iter().flatten() {
            let (name, instance) = server(n);
            if replica.remote.beat(name, sequence, instance).await.is_ok() {
                return Some(());
            }
        }
        None
    })
    .await;
}

/// The number of servers that the leader would let hosts use.
async fn known(group: &Group) -> usize {
    let leader = group.leader().await;
    let remote = group.remote(leader);
    remote
        .look(|state| state.config().instances.len())
        .await
        .unwrap()
}

async fn restart_all(group: &mut Group) {
    (0..3).for_each(|n| group.kill(n));
    (0..3).for_each(|n| group.start(n));
    group.leader().await;
}

/// What happens while servers are cut off.
#[derive(Clone, Copy, PartialEq)]
enum Meanwhile {
    Nothing,
    LeaderKilled,
    AllKilled,
}

fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(test);
}

/// Guards against servers that are never used again after a partition that outlasts the lease,
/// whatever becomes of the replicas meanwhile.
#[parameterized(
    nothing = { 1, Meanwhile::Nothing },
    leader_killed = { 1, Meanwhile::LeaderKilled },
    all_killed = { 1, Meanwhile::AllKilled },
    all_cut_off = { SERVERS, Meanwhile::Nothing },
    all_cut_off_and_killed = { SERVERS, Meanwhile::AllKilled },
)]
fn cut_off(count: u8, meanwhile: Meanwhile) {
    run(async {
        let mut group = Group::new(adapt);
        group.leader().await;
        for sequence in 1..4 {
            for n in 0..SERVERS {
                beat(&group, n, sequence).await;
            }
        }
        match meanwhile {
            Meanwhile::Nothing => {}
            Meanwhile::LeaderKilled => {
                let leader = group.leader().await;
                group.kill(leader);
            }
            Meanwhile::AllKilled => restart_all(&mut group).await,
        }
        // The others go on.
        let mut sequence = 4;
        let span = LEASE * 5 / 2 / 20;
        for _ in 0..20 {
            for n in count..SERVERS {
                beat(&group, n, sequence).await;
            }
            sequence += 1;
            sleep(span).await;
        }
        let expected = match count {
            SERVERS => SERVERS,
            cut => SERVERS - cut,
        };
        until("the silent one is withdrawn", async || {
            (known(&group).await == usize::from(expected)).then_some(())
        })
        .await;
        if meanwhile == Meanwhile::AllKilled {
            restart_all(&mut group).await;
        }
        until("all servers are known", async || {
            for n in 0..SERVERS {
                beat(&group, n, sequence).await;
            }
            sequence += 1;
            sleep(Duration::from_millis(200)).await;
            (known(&group).await == usize::from(SERVERS)).then_some(())
        })
        .await;
    });
}

/// Guards against a crashed server that late copies of its heartbeats bring back, under later
/// leaders that never heard it as well.
#[parameterized(
    same_leader = { Meanwhile::Nothing },
    all_killed = { Meanwhile::AllKilled },
)]
fn late_copies(meanwhile: Meanwhile) {
    run(async {
        let mut group = Group::new(adapt);
        group.leader().await;
        let mut sequence = 0;
        // Longer than the time between two records of the heartbeats' numbers.
        for _ in 0..60 {
            sequence += 1;
            for n in 0..SERVERS {
                beat(&group, n, sequence).await;
            }
            sleep(Duration::from_millis(100)).await;
        }
        let last = sequence;
        let speak = async |group: &Group, sequence| {
            for n in 1..SERVERS {
                beat(group, n, sequence).await;
            }
        };
        // The crash; what was recorded is older than this by 5 s at most.
        for _ in 0..60 {
            sequence += 1;
            speak(&group, sequence).await;
            sleep(Duration::from_millis(100)).await;
        }
        if meanwhile == Meanwhile::AllKilled {
            restart_all(&mut group).await;
        }
        until("the crashed one is withdrawn", async || {
            sequence += 1;
            speak(&group, sequence).await;
            (known(&group).await == usize::from(SERVERS - 1)).then_some(())
        })
        .await;
        if meanwhile == Meanwhile::AllKilled {
            restart_all(&mut group).await;
        }
        for copy in last - 10..=last {
            beat(&group, 0, copy).await;
            sequence += 1;
            speak(&group, sequence).await;
            assert_eq!(known(&group).await, usize::from(SERVERS - 1), "copy {copy}");
            sleep(Duration::from_millis(200)).await;
        }
    });
}
