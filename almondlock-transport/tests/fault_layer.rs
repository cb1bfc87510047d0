//! Faults reach live connections, and only those between the two processes.

mod common;

use std::{io, net::SocketAddr, time::Duration};

use almondlock_transport::{Dialer, Link, Security, fault::Plan};
use common::{hello, listen, soon};
use tokio::time::timeout;

const OWN: &str = "127.0.0.1:1";

async fn pair() -> (Plan, SocketAddr, SocketAddr, Link) {
    let (remote, _task) = listen(Security::Plain).await;
    let own: SocketAddr = OWN.parse().unwrap();
    let plan = Plan::new();
    let dialer = Dialer::with_layer(Security::Plain, plan.site(own));
    let link = soon(dialer.dial(remote)).await.unwrap();
    assert!(soon(hello(&link, "e1")).await.is_ok());
    (plan, own, remote, link)
}

/// Whether a call is still without an answer after a while.
async fn hangs(link: &Link) -> bool {
    timeout(Duration::from_millis(200), hello(link, "e1"))
        .await
        .is_err()
}

#[ntex::test]
async fn a_cut_is_silent_and_heals() {
    let (plan, own, remote, link) = pair().await;
    plan.cut(remote, own);
    assert!(hangs(&link).await);
    assert!(!link.is_closed());
    plan.heal(own, remote);
    assert!(soon(hello(&link, "e1")).await.is_ok());
    plan.silence(own, remote);
    assert!(hangs(&link).await);
}

#[ntex::test]
async fn a_close_ends_the_session() {
    let (plan, own, remote, link) = pair().await;
    plan.close(own, remote);
    soon(link.closed()).await;
    assert!(link.is_closed());
    assert!(hello(&link, "e1").await.is_err());
}

#[ntex::test]
async fn a_refusal_is_told() {
    let (plan, own, remote, _link) = pair().await;
    plan.refuse(own, remote);
    let dialer = Dialer::with_layer(Security::Plain, plan.site(own));
    let error = dialer.dial(remote).await.err().unwrap();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionRefused);
}

#[ntex::test]
async fn a_delay_holds_back() {
    let (plan, own, remote, link) = pair().await;
    plan.delay(own, remote, Duration::from_millis(50));
    let began = std::time::Instant::now();
    soon(hello(&link, "e1")).await.unwrap();
    assert!(began.elapsed() >= Duration::from_millis(50));
}

#[ntex::test]
async fn others_are_untouched() {
    let (plan, _, remote, link) = pair().await;
    let other: SocketAddr = "127.0.0.1:2".parse().unwrap();
    plan.silence(other, remote);
    plan.close(other, remote);
    assert!(soon(hello(&link, "e1")).await.is_ok());
}
