//! A process finds another parent when its own is lost, silent or cut off.

mod fleet;

use std::time::Duration;

use almondlock_base::unit::Revision;
use almondlock_node::{Vouch, clock};
use almondlock_spread::view::View;
use almondlock_transport::fault::Plan;
use fleet::{accept, all_have, process, source, until};

/// A relay's host dies with several processes below it. They are told nothing;
/// their sessions end. They go up, find room elsewhere, and miss no change.
#[ntex::test]
async fn a_relay_dies() {
    let view = View::new();
    let root = source("c1", &view, None).await;
    let (seeds, plan) = ([root.address()], Plan::new());
    let mut nodes = Vec::new();
    for n in 0..12 {
        nodes.push(process(&format!("h{n}"), "d1", &seeds, &plan).await);
    }
    until("all have a place", || all_have(&nodes, &view)).await;
    let below = |n: usize| nodes[n].handle().summary().processes - 1;
    until("somebody relays", || (0..12).any(|n| below(n) > 0)).await;
    let relay = (0..12).max_by_key(|n| below(*n)).unwrap();
    drop(nodes.swap_remove(relay));
    accept(&view, 5);
    until("all have the change", || all_have(&nodes, &view)).await;
}

/// The link to the parent goes silent: no error, no byte. The process must not
/// wait for TCP to notice. Its session to the other source works.
#[ntex::test]
async fn a_parent_falls_silent() {
    let view = View::new();
    let roots = [
        source("c1", &view, None).await,
        source("c2", &view, None).await,
    ];
    let plan = Plan::new();
    let seeds = [roots[0].address(), roots[1].address()];
    let nodes = [process("h1", "d1", &seeds, &plan).await];
    until("it has a place", || all_have(&nodes, &view)).await;
    let first = nodes[0].handle().way()[0];
    plan.silence(nodes[0].address(), first);
    accept(&view, 1);
    until("it has the change", || all_have(&nodes, &view)).await;
    assert_ne!(nodes[0].handle().way()[0], first);
}

/// A source is cut off from the other sources, without an error, while the
/// processes below it still reach it. It doesn't vouch for what it holds any
/// more. A request's answer tells one of them of a newer revision; its parent
/// stays behind, so it goes to the other source.
#[ntex::test]
async fn a_source_is_cut_off() {
    let (old, new) = (View::new(), View::new());
    accept(&old, 5);
    accept(&new, 5);
    let vouch = Vouch::new();
    vouch.at(clock::mono());
    let cut_off = source("c1", &old, Some(vouch)).await;
    let plan = Plan::new();
    let root = source("c2", &new, None).await;
    let seeds = [cut_off.address(), root.address()];
    // Held at the first source until it is settled there.
    let mut nodes = Vec::new();
    for n in 0..6 {
        nodes.push(process(&format!("h{n}"), "d1", &seeds, &plan).await);
    }
    until("all have a place", || all_have(&nodes, &old)).await;
    accept(&new, 1);
    let told = root.peer();
    nodes.iter().for_each(|node| node.heard(&told));
    until("all have the change", || all_have(&nodes, &new)).await;
    assert_eq!(old.revision(), Revision(5));
}

/// Nobody vouches for the only source. What it holds may be old, so a process
/// that starts there is not ready.
#[ntex::test]
async fn an_unvouched_source_makes_nobody_ready() {
    let view = View::new();
    accept(&view, 5);
    let vouch = Vouch::new();
    let root = source("c1", &view, Some(vouch.clone())).await;
    let plan = Plan::new();
    let node = process("h1", "d1", &[root.address()], &plan).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!node.is_recent() && !node.handle().has_started());
    // Nor does it count a child that will go elsewhere.
    assert_eq!(root.handle().summary().processes, 1);
    vouch.at(clock::mono());
    until("it is ready", || node.is_recent()).await;
    assert_eq!(node.handle().view().revision(), Revision(5));
}

/// A process heard of a revision that doesn't exist. It looks for it, finds
/// sources that don't have it, and gives up; it stays ready all along.
#[ntex::test]
async fn hearsay_is_doubted() {
    let view = View::new();
    let root = source("c1", &view, None).await;
    let plan = Plan::new();
    let node = process("h1", "d1", &[root.address()], &plan).await;
    until("it is ready", || node.is_recent()).await;
    node.handle().heard_revision(Revision(1_000_000));
    let caught_up = node.handle().catch_up(Duration::from_secs(30)).await;
    assert!(caught_up && node.is_recent());
}

/// Every exchange tells of a newer revision, many times while an answer of the
/// parent is on its way. The process must take the answers all the same: were
/// the question put again with each piece of news, it would never hear one.
#[ntex::test]
async fn news_without_end() {
    let view = View::new();
    let root = source("c1", &view, None).await;
    let plan = Plan::new();
    let node = process("h1", "d1", &[root.address()], &plan).await;
    until("it is ready", || node.is_recent()).await;
    plan.delay(root.address(), node.address(), Duration::from_millis(30));
    until("it learns something", || {
        accept(&view, 1);
        node.heard(&root.peer());
        node.handle().view().revision() > Revision(0)
    })
    .await;
}
