//! A change reaches every process over a tree of bounded width, and the sources
//! know when it has.

mod fleet;

use std::time::Duration;

use almondlock_node::{Node, Parts};
use almondlock_spread::view::View;
use almondlock_transport::fault::Plan;
use fleet::{accept, all_have, config, process, source, until};
use futures::future::join_all;

#[ntex::test]
async fn in_force_everywhere() {
    let view = View::new();
    accept(&view, 10);
    let root = source("c1", &view, None).await;
    let (seeds, plan) = ([root.address()], Plan::new());
    let mut nodes = Vec::new();
    for n in 0..60 {
        let domain = format!("d{}", n % 3);
        nodes.push(process(&format!("h{n}"), &domain, &seeds, &plan).await);
    }
    until("all have the first changes", || all_have(&nodes, &view)).await;
    until("the source knows all", || {
        root.handle().summary().processes == 61
    })
    .await;
    // No more than four of each failure domain ask the source itself.
    let direct = nodes.iter().filter(|n| n.handle().way().len() == 1);
    assert!((1..=12).contains(&direct.count()));
    let revision = accept(&view, 1);
    assert!(root.handle().summary().lowest < revision);
    until("the change is in force everywhere", || {
        root.handle().summary().lowest == revision
    })
    .await;
    // The source says so only when it is so.
    assert!(all_have(&nodes, &view));
    until("all are known by name", || {
        root.handle().members().len() == 60
    })
    .await;
    // One that stops tells its parent, which need not wait for it to lapse.
    let alone = |node: &Node| node.handle().summary().processes == 1;
    let leaf = nodes.iter().position(alone).unwrap();
    let leaf = nodes.swap_remove(leaf);
    let parent = leaf.handle().way()[0];
    let parent = nodes.iter().find(|node| node.address() == parent);
    let parent = parent.unwrap_or(&root).handle();
    let before = parent.summary().processes;
    leaf.stop().await;
    assert_eq!(parent.summary().processes, before - 1);
}

/// Hundreds of calls wait at the same moment until a change is in force everywhere.
/// All are told once it is; those that wait for what nobody has are told so in time.
#[ntex::test]
async fn hundreds_wait() {
    let view = View::new();
    accept(&view, 1);
    let root = source("c1", &view, None).await;
    let (seeds, plan) = ([root.address()], Plan::new());
    let mut nodes = Vec::new();
    for n in 0..20 {
        nodes.push(process(&format!("h{n}"), "d1", &seeds, &plan).await);
    }
    until("the source knows all", || {
        root.handle().summary().processes == 21
    })
    .await;
    let revision = accept(&view, 1);
    let allowed = Duration::from_secs(20);
    let calls = (0..500).map(|_| root.handle().in_force(revision, allowed));
    assert!(join_all(calls).await.into_iter().all(|done| done));
    assert!(all_have(&nodes, &view));
    let beyond = root
        .handle()
        .in_force(revision.next(), Duration::from_millis(100));
    assert!(!beyond.await);
}

/// Two sources share the processes. Each must know of both halves, or it would
/// call a change in force that the other half doesn't have.
#[ntex::test]
async fn sources_know_of_each_other() {
    let view = View::new();
    let ports: Vec<_> = (0..2)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let seeds: Vec<_> = ports.iter().map(|p| p.local_addr().unwrap()).collect();
    drop(ports);
    let mut roots = Vec::new();
    for (n, seed) in seeds.iter().enumerate() {
        let mut config = config(&format!("c{n}"), "d0", &seeds);
        config.listen = *seed;
        let parts = Parts {
            is_source: true,
            ..Parts::default()
        };
        roots.push(Node::start(config, view.clone(), parts).await.unwrap());
    }
    let (mut nodes, plan) = (Vec::new(), Plan::new());
    for n in 0..8 {
        nodes.push(process(&format!("h{n}"), "d1", &seeds, &plan).await);
    }
    let knows = |root: &Node| {
        let summary = root.handle().summary();
        summary.sources == 2 && summary.processes == 10
    };
    until("both know all", || roots.iter().all(knows)).await;
    let revision = accept(&view, 3);
    let in_force = |root: &Node| root.handle().summary().lowest == revision;
    until("both say it is in force", || roots.iter().all(in_force)).await;
    assert!(all_have(&nodes, &view));
}
