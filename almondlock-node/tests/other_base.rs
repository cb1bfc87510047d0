//! What goes down the tree is what differs from the version before. Guards against processes
//! that act on a text nobody published, because they hold another base, that lag behind after
//! they were cut off, or that ask for the whole without end.

mod fleet;

use std::{cell::RefCell, rc::Rc, time::Duration};

use almondlock_base::unit::Revision;
use almondlock_node::{Node, Parts};
use almondlock_spread::{ring::Ring, view::View};
use almondlock_state::{
    config::{Change, Config},
    document::{Delta, Document, Piece},
};
use almondlock_transport::fault::Plan;
use fleet::{all_have, config, process, source, until};
use yare::parameterized;

const ROUTES: u64 = 200;

fn document(version: u64) -> Document {
    let text = |n| match n == version % ROUTES {
        true => format!("{{\"route\": {n}, \"changed\": {version}}},\n"),
        false => format!("{{\"route\": {n}, \"host\": \"h{n:0200}\"}},\n"),
    };
    let texts: Vec<String> = (0..ROUTES).map(text).collect();
    Document::new(version, texts.iter().map(|text| Piece::from(&**text)))
}

/// Publishes the versions after the one in force, each as a delta but the first.
fn publish(view: &View, versions: u64) {
    for _ in 0..versions {
        let held = view.get().document.clone();
        let change = match held {
            None => Change::Document(Some(document(1))),
            Some(held) => Change::Delta(Delta::between(&held, &document(held.version + 1))),
        };
        assert!(view.extend(view.revision().next(), [change]));
    }
}

fn text(node: &Node) -> String {
    let document = node.handle().view().get().document.clone();
    document.map(|document| document.text()).unwrap_or_default()
}

/// Notes the revisions that a view shows, and checks that none is lower than the one before.
fn follow(view: &View) -> Rc<RefCell<Vec<Revision>>> {
    let seen = Rc::new(RefCell::new(Vec::new()));
    let (mut watch, noted) = (view.watch(), Rc::clone(&seen));
    ntex::rt::spawn(async move {
        while watch.changed().await.is_ok() {
            let revision = *watch.borrow_and_update();
            let last = noted.borrow().last().copied();
            assert!(last.is_none_or(|last| last < revision));
            noted.borrow_mut().push(revision);
        }
    });
    seen
}

/// Many versions are published one after the other.
#[ntex::test]
async fn follows() {
    let view = View::new();
    publish(&view, 1);
    let root = source("c1", &view, None).await;
    let node = process("h1", "d1", &[root.address()], &Plan::new()).await;
    until("it has a place", || text(&node) == document(1).text()).await;
    for version in 2..60 {
        publish(&view, 1);
        until("it has the version", || {
            text(&node) == document(version).text()
        })
        .await;
    }
    // By deltas alone: a whole would have begun the changes kept for others anew.
    let reaches = |ring: &Ring| ring.has_all_after(Revision(1));
    assert!(node.handle().view().with_ring(reaches));
}

/// More processes than a source serves: others hand the deltas on.
#[ntex::test]
async fn through_relays() {
    let view = View::new();
    publish(&view, 1);
    let root = source("c1", &view, None).await;
    let (seeds, plan) = ([root.address()], Plan::new());
    let mut nodes = Vec::new();
    for n in 0..15 {
        nodes.push(process(&format!("h{n}"), "d1", &seeds, &plan).await);
    }
    let relays = |node: &Node| node.handle().summary().processes > 1;
    until("all have a place", || {
        let placed = nodes.iter().all(|node| !node.handle().way().is_empty());
        placed && nodes.iter().any(relays) && all_have(&nodes, &view)
    })
    .await;
    for _ in 0..50 {
        publish(&view, 1);
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    until("all have everything", || all_have(&nodes, &view)).await;
    for node in &nodes {
        assert_eq!(text(node), document(51).text());
        let reaches = |ring: &Ring| ring.has_all_after(Revision(1));
        assert!(node.handle().view().with_ring(reaches));
    }
}

/// A process is cut off while versions are published. Few deltas are told one by one, in place
/// of many the whole configuration is.
#[parameterized(
    few = { 50, true },
    many = { 300, false },
)]
fn cut_off(missed: u64, by_deltas: bool) {
    ntex::rt::System::new("test", ntex::rt::DefaultRuntime).block_on(async move {
        let view = View::new();
        publish(&view, 1);
        let root = source("c1", &view, None).await;
        let plan = Plan::new();
        let nodes = [process("h1", "d1", &[root.address()], &plan).await];
        until("it has a place", || all_have(&nodes, &view)).await;
        let seen = follow(nodes[0].handle().view());
        plan.silence(nodes[0].address(), root.address());
        for _ in 0..missed {
            publish(&view, 1);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(text(&nodes[0]), document(1).text());
        plan.heal(nodes[0].address(), root.address());
        until("it has everything", || all_have(&nodes, &view)).await;
        assert_eq!(text(&nodes[0]), document(missed + 1).text());
        assert_eq!(seen.borrow().last(), Some(&view.revision()));
        let reaches = |ring: &Ring| ring.has_all_after(Revision(1));
        assert_eq!(nodes[0].handle().view().with_ring(reaches), by_deltas);
    });
}

/// A process holds the version before, though in one piece, as from a process of an earlier
/// version. The source still keeps a text of that revision for newcomers: the process, which
/// can't apply the next change, would be given it again and again.
#[ntex::test]
async fn divided_otherwise() {
    let view = View::new();
    let first = Config {
        revision: Revision(1),
        // So much text that a few changes are no reason to write it anew.
        settings: (0..500_u64)
            .map(|n| {
                (
                    format!("s{n}"),
                    n.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_string(),
                )
            })
            .collect(),
        document: Some(document(1)),
        ..Config::default()
    };
    let joined = Config {
        document: Some(document(1).into_single_piece()),
        ..first.clone()
    };
    assert!(view.replace(first));
    let root = source("c1", &view, None).await;
    let newcomer = process("h1", "d1", &[root.address()], &Plan::new()).await;
    until("the text is kept", || text(&newcomer) == document(1).text()).await;
    publish(&view, 1);
    let own = View::new();
    assert!(own.replace(joined));
    let seen = follow(&own);
    let node = Node::start(config("h2", "d1", &[root.address()]), own, Parts::default());
    let node = node.await.unwrap();
    until("it has the text", || text(&node) == document(2).text()).await;
    publish(&view, 1);
    until("it has the next", || text(&node) == document(3).text()).await;
    assert_eq!(*seen.borrow(), [Revision(2), Revision(3)]);
}
