//! A few processes on loopback addresses, all on one thread.

#![allow(dead_code)]

use std::{net::SocketAddr, time::Duration};

use almondlock_base::{
    id::{Domain, Host, Incarnation, Region},
    unit::Revision,
};
use almondlock_node::{Config, Node, Parts, Vouch};
use almondlock_spread::view::View;
use almondlock_state::config::Change;
use almondlock_transport::{Security, fault::Plan};

/// The settings of a process.
pub(crate) fn config(host: &str, domain: &str, seeds: &[SocketAddr]) -> Config {
    Config {
        host: Host::new(host).unwrap(),
        domain: Domain::new(domain).unwrap(),
        region: Region::new("r1").unwrap(),
        incarnation: Incarnation(1),
        listen: "127.0.0.1:0".parse().unwrap(),
        seeds: seeds.to_vec(),
        security: Security::Plain,
        pace: Default::default(),
    }
}

/// A source whose view the test extends.
pub(crate) async fn source(host: &str, view: &View, vouch: Option<Vouch>) -> Node {
    let parts = Parts {
        is_source: true,
        vouch,
        ..Parts::default()
    };
    let config = config(host, "d0", &[]);
    Node::start(config, view.clone(), parts).await.unwrap()
}

/// A process below, through a plan of faults.
pub(crate) async fn process(host: &str, domain: &str, seeds: &[SocketAddr], plan: &Plan) -> Node {
    let config = config(host, domain, seeds);
    let layer = |own| plan.site(own);
    Node::start_with(config, View::new(), Parts::default(), layer)
        .await
        .unwrap()
}

/// Accepts as many small changes.
pub(crate) fn accept(view: &View, changes: u64) -> Revision {
    let from = view.revision().0;
    let change = |n: u64| {
        Change::Setting(
            format!("s{}", (from + n) % 1000),
            Some((from + n).to_string()),
        )
    };
    assert!(view.extend(view.revision().next(), (0..changes).map(change)));
    view.revision()
}

/// Waits until something holds, but not for ever.
pub(crate) async fn until<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    for _ in 0..6_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("not within half a minute: {what}");
}

/// Whether all processes hold what a source holds, and know it.
pub(crate) fn all_have(processes: &[Node], view: &View) -> bool {
    let want = view.get();
    processes
        .iter()
        .all(|node| node.is_recent() && node.handle().view().get() == want)
}
