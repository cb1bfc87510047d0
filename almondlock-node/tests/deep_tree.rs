//! Processes that stand far below the sources.

mod fleet;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use almondlock_node::{Node, Pace, Parts, Vouch, clock};
use almondlock_spread::view::View;
use fleet::{accept, config, source, until};

/// Levels below the source.
const DEPTH: usize = 8;
const HOLD: Duration = Duration::from_millis(200);
/// How old what a source holds is known to be.
const SOURCE_AGE: Duration = Duration::from_millis(500);
/// Five times the time for which an answer is held, as settings have it.
const STALE: Duration = Duration::from_millis(1_000);
/// How long the tree is watched.
const WATCHED: Duration = Duration::from_secs(4);

/// A process below another one.
async fn below(n: usize, parent: SocketAddr) -> Node {
    let mut config = config(&format!("h{n}"), "d1", &[parent]);
    config.pace = Pace {
        hold: HOLD,
        silence: HOLD * 2,
        stale: STALE,
        search: HOLD / 2,
    };
    Node::start(config, View::new(), Parts::default())
        .await
        .unwrap()
}

/// Guards against processes deep in the tree that leave one parent after the other, because
/// what they hear grows older by the time of an answer with each level: they are counted
/// twice for as long as a silent one counts, and no change is known to be in force.
#[ntex::test]
async fn keeps_its_parent() {
    let (view, vouch) = (View::new(), Vouch::new());
    accept(&view, 5);
    let root = source("c1", &view, Some(vouch.clone())).await;
    let vouching = ntex::rt::spawn(async move {
        loop {
            vouch.at(clock::mono() - SOURCE_AGE);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    let mut nodes: Vec<Node> = Vec::new();
    for n in 0..DEPTH {
        let parent = nodes.last().map_or(root.address(), Node::address);
        let node = below(n, parent).await;
        until("it has a parent", || !node.handle().way().is_empty()).await;
        nodes.push(node);
    }
    let is_kept = Arc::new(AtomicBool::new(true));
    let end = clock::mono() + WATCHED;
    while clock::mono() < end {
        let all = nodes.iter().all(|node| !node.handle().way().is_empty());
        is_kept.fetch_and(all, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert!(is_kept.load(Ordering::Relaxed), "a parent was left");
    let age = nodes[DEPTH - 1].handle().age(clock::mono());
    assert!(age < STALE, "{age:?}");
    let revision = accept(&view, 1);
    let is_in_force = root
        .handle()
        .in_force(revision, Duration::from_secs(5))
        .await;
    assert!(is_in_force, "not known to be in force");
    vouching.cancel();
}
