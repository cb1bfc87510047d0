//! One session per address, dialled anew when it ends.

mod common;

use std::{io, net::SocketAddr, time::Duration};

use almondlock_base::time::Mono;
use almondlock_transport::{Dialer, Pool, Security, backoff::Backoff, fault::Plan};
use common::{hello, listen, soon};
use futures::future::join_all;
use rand::{SeedableRng, rngs::SmallRng};

fn own() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

#[ntex::test]
async fn one_session_is_shared() {
    let (address, _task) = listen(Security::Plain).await;
    let pool = Pool::new(Dialer::new(Security::Plain), 1);
    let links = soon(join_all((0..8).map(|_| pool.get(address)))).await;
    let link = links[0].as_ref().unwrap();
    assert!(soon(hello(link, "e1")).await.is_ok());
    // Ending one ends all: they are clones of one session.
    pool.forget(address);
    let first = link.closed();
    drop(links);
    soon(first).await;
}

#[ntex::test]
async fn an_ended_session_is_replaced() {
    let (address, _task) = listen(Security::Plain).await;
    let plan = Plan::new();
    let dialer = Dialer::with_layer(Security::Plain, plan.site(own()));
    let pool = Pool::new(dialer, 1);
    let link = pool.get(address).await.unwrap();
    plan.close(own(), address);
    soon(link.closed()).await;
    let link = pool.get(address).await.unwrap();
    assert!(soon(hello(&link, "e1")).await.is_ok());
}

/// A host is gone. The first request that asks for it finds out; those that
/// follow are told at once and go elsewhere, until the pause is over. When the
/// host is back, a request reaches it again.
#[ntex::test]
async fn a_lost_host_is_left_alone() {
    let (address, _task) = listen(Security::Plain).await;
    let plan = Plan::new();
    let dialer = Dialer::with_layer(Security::Plain, plan.site(own()));
    let pool = Pool::new(dialer, 1);
    plan.refuse(own(), address);
    let mut kinds = Vec::new();
    for _ in 0..2 {
        kinds.push(pool.get(address).await.err().unwrap().kind());
    }
    assert_eq!(kinds[0], io::ErrorKind::ConnectionRefused);
    assert_eq!(kinds[1], io::ErrorKind::HostUnreachable);
    plan.heal(own(), address);
    let back = async {
        while pool.get(address).await.is_err() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    soon(back).await;
}

#[test]
fn pauses_grow_and_differ() {
    let (first, limit) = (Duration::from_millis(50), Duration::from_secs(2));
    let pauses = |seed| {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut backoff = Backoff::new(first, limit);
        let pause = move |_| backoff.fail(Mono::ZERO, &mut rng);
        (0..40).map(pause).collect::<Vec<_>>()
    };
    let (a, b) = (pauses(1), pauses(2));
    assert_ne!(a, b);
    for (n, pause) in (0..).zip(&a) {
        let span = (first * (1 << i32::min(n, 10))).min(limit);
        assert!(*pause >= span / 2 && *pause <= span, "{n}: {pause:?}");
    }
}
