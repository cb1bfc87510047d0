//! Operators publish versions that differ in a few routes. Guards against a publication that
//! is acknowledged and isn't in force, or not to the byte, on some replica: while others
//! publish at the same time, when the leader is lost, and after all replicas were restarted.

mod group;

use almondlock_base::Code;
use almondlock_control::{admin::Failure, directory::Directory, replica::Remote};
use almondlock_node::clock;
use almondlock_state::{
    command::{Command, Reply},
    document::{Document, Piece, Publication},
    machine::Machine,
};
use futures::future::join_all;
use group::{Group, revision, until};

const ROUTES: u64 = 100;

fn document(version: u64) -> Document {
    let text = |n| match n == version % ROUTES {
        true => format!("{{\"route\": {n}, \"changed\": {version}}},\n"),
        false => format!("{{\"route\": {n}, \"host\": \"h{n:0100}\"}},\n"),
    };
    let texts: Vec<String> = (0..ROUTES).map(text).collect();
    Document::new(version, texts.iter().map(|text| Piece::from(&**text)))
}

fn directory(remote: &Remote) -> Directory {
    Directory::new(remote.clone(), 0, &[]).deltas(true)
}

/// Publishes at whoever leads, until it is acknowledged.
async fn publish(group: &Group, document: &Document, deltas: bool) {
    until("an acknowledgement", async || {
        let leader = group.leader().await;
        let directory = directory(group.remote(leader)).deltas(deltas);
        directory.publish(document.clone()).await.ok()
    })
    .await;
}

async fn held(remote: &Remote) -> Option<Document> {
    let look = |state: &Machine| state.config().document.clone();
    remote.look(look).await.unwrap()
}

/// Waits until the replicas hold a document, in their state and in what they tell others.
async fn all_hold(group: &Group, replicas: &[usize], document: &Document) {
    for n in replicas {
        until("the version", async || {
            let running = group.running[*n].as_ref().unwrap();
            let state = held(&running.remote).await?;
            let told = running.view.get().document.clone()?;
            (state.version == document.version && told.version == document.version)
                .then_some((state, told))
        })
        .await;
        let view = &group.running[*n].as_ref().unwrap().view;
        assert_eq!(held(group.remote(*n)).await.as_ref(), Some(document));
        assert_eq!(view.get().document.as_ref(), Some(document));
        // Held once: the view shares it with the state.
        let (state, told) = (held(group.remote(*n)).await, view.get().document.clone());
        let (state, told) = (state.unwrap().pieces, told.unwrap().pieces);
        let same = state.iter().zip(told.iter());
        assert!(same.fold(true, |same, (one, other)| same && one.is_same(other)));
    }
}

/// Each is proposed on the version that its proposer had applied, and most meet another one.
#[tokio::test]
async fn many_operators() {
    let group = Group::new(|builder| builder);
    publish(&group, &document(1), true).await;
    let leader = group.leader().await;
    let directory = directory(group.remote(leader));
    for round in 0..5 {
        let versions = (0..6).map(|n| 2 + round * 6 + n);
        let published = versions.map(|version| directory.publish(document(version)));
        for outcome in join_all(published).await {
            outcome.unwrap();
        }
        all_hold(&group, &[0, 1, 2], &document(7 + round * 6)).await;
    }
}

/// The base moves between proposing and applying. Nothing of the publication is applied, and
/// the proposer is told.
#[tokio::test]
async fn moved_base() {
    let group = Group::new(|builder| builder);
    publish(&group, &document(1), true).await;
    let remote = group.remote(group.leader().await);
    let propose = async |version| {
        let publication = Publication::of(Some(&document(1)), document(version));
        assert!(matches!(publication, Publication::Delta(_)));
        let at = clock::wall();
        let command = Command::Publish { publication, at };
        remote.propose(command).await.unwrap()
    };
    let in_force = revision(&propose(2).await);
    assert_eq!(propose(3).await, Reply::BaseMoved { held: Some(2) });
    all_hold(&group, &[0, 1, 2], &document(2)).await;
    let again = directory(remote).publish(document(2)).await;
    assert!(matches!(again, Ok(revision) if revision == in_force));
    directory(remote).publish(document(3)).await.unwrap();
    all_hold(&group, &[0, 1, 2], &document(3)).await;
}

/// The log begins with a text in one piece, as replicas of an earlier version wrote it, and
/// goes on with pieces and deltas. Snapshots stand for a part of it.
#[tokio::test]
async fn restarted() {
    let mut group = Group::new(|builder| builder.snapshot(7));
    publish(&group, &document(1), false).await;
    all_hold(&group, &[0, 1, 2], &document(1).into_single_piece()).await;
    for version in 2..12 {
        publish(&group, &document(version), true).await;
    }
    (0..3).for_each(|n| group.kill(n));
    (0..3).for_each(|n| group.start(n));
    all_hold(&group, &[0, 1, 2], &document(11)).await;
    publish(&group, &document(12), true).await;
    all_hold(&group, &[0, 1, 2], &document(12)).await;
}

/// The leader is lost. The next one publishes on what the log made, and the old one catches
/// up when it is back, by deltas.
#[tokio::test]
async fn lost_leader() {
    let mut group = Group::new(|builder| builder);
    publish(&group, &document(1), true).await;
    let lost = group.leader().await;
    group.kill(lost);
    for version in 2..20 {
        publish(&group, &document(version), true).await;
    }
    let left: Vec<usize> = (0..3).filter(|n| *n != lost).collect();
    all_hold(&group, &left, &document(19)).await;
    group.start(lost);
    all_hold(&group, &[0, 1, 2], &document(19)).await;
}

/// A replacement joins with an empty disk while versions are published, deltas and, from racing
/// operators, whole ones. Guards against one that holds another division of the text than the
/// rest, or other revisions.
#[tokio::test]
async fn replaced() {
    let mut group = Group::new(|builder| builder.snapshot(5));
    publish(&group, &document(1), true).await;
    for version in 2..9 {
        publish(&group, &document(version), true).await;
    }
    let leader = group.leader().await;
    let lost = (leader + 1) % 3;
    let old = group.status(lost).await.id;
    group.kill(lost);
    group.wipe(lost);
    group.start(lost);
    until("the empty one asks to join", async || {
        let waiting = group.status(leader).await.waiting;
        waiting.contains(&group.names[lost]).then_some(())
    })
    .await;
    let name = group.names[lost].clone();
    let publishing = async {
        for version in (9..60).step_by(3) {
            let racing = version..version + 3;
            let racing =
                racing.map(async |version| publish(&group, &document(version), true).await);
            join_all(racing).await;
        }
    };
    let remote = group.remote(leader);
    let (replaced, ()) = futures::join!(remote.replace(old, name), publishing);
    replaced.unwrap();
    all_hold(&group, &[0, 1, 2], &document(59)).await;
    publish(&group, &document(60), true).await;
    all_hold(&group, &[0, 1, 2], &document(60)).await;
    let config = |n: usize| {
        let look = |state: &Machine| state.config().clone();
        group.remote(n).look(look)
    };
    let first = config(0).await.unwrap();
    for n in [1, 2] {
        assert_eq!(config(n).await.unwrap(), first);
    }
}

/// A follower doesn't take publications, whatever it holds.
#[tokio::test]
async fn at_a_follower() {
    let group = Group::new(|builder| builder);
    publish(&group, &document(1), true).await;
    let leader = group.leader().await;
    let follower = directory(group.remote((leader + 1) % 3));
    let outcome = follower.publish(document(2)).await;
    assert!(matches!(outcome, Err(Failure::NotLeader(_))));
}

/// A state that holds the base divided otherwise isn't what the log made. Guards against a
/// replica that passes over the delta and counts other revisions than the rest from then on.
#[tokio::test]
async fn divided_otherwise() {
    let group = Group::new(|builder| builder);
    publish(&group, &document(1), false).await;
    let remote = group.remote(group.leader().await);
    let publication = Publication::of(Some(&document(1)), document(2));
    let at = clock::wall();
    let command = Command::Publish { publication, at };
    // Whether others accept it isn't known here.
    let refusal = remote.propose(command).await.unwrap_err();
    assert_eq!(refusal.code, Code::NoQuorum);
    assert_eq!(held(remote).await, Some(document(1).into_single_piece()));
    let later = directory(remote).publish(document(3)).await;
    assert!(matches!(later, Err(Failure::Storage)));
}

/// Operators turn deltas off and on again, as before a way back to an earlier version.
#[tokio::test]
async fn switched_off() {
    let group = Group::new(|builder| builder);
    for (version, deltas) in [
        (1, true),
        (2, true),
        (3, false),
        (4, false),
        (5, true),
        (6, true),
    ] {
        let document = document(version);
        publish(&group, &document, deltas).await;
        let expected = if deltas {
            document
        } else {
            document.into_single_piece()
        };
        all_hold(&group, &[0, 1, 2], &expected).await;
    }
}
