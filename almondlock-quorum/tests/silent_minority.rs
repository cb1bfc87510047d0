//! A replica is cut off for minutes without any network error.

#![allow(clippy::unwrap_used)]

mod cluster;

use cluster::Cluster;

/// Guards against a leader that is cut off and still accepts reads and proposals. It must refuse
/// both after one election timeout (500 ms here, and a heartbeat to notice), while the others
/// elect a leader. On its return it must neither undo entries nor disturb the new leader.
#[test]
fn leader_cut_off() {
    let mut c = Cluster::new(1, 5);
    let old = c.elect();
    c.accept();
    let ids: Vec<_> = c.nodes.iter().map(|n| n.id).collect();
    c.network.isolate(ids[old], ids.clone());
    assert!(c.propose(old), "a leader just cut off can't know it yet");
    c.run(620);
    assert!(
        !c.propose(old) && !c.read(old),
        "the cut-off leader still accepts work"
    );
    let accepted = c.accept();
    c.run(120_000);
    let (leader, term) = (c.leader().unwrap(), term(&c));
    c.network.heal();
    c.run(5_000);
    assert_eq!(
        (
            c.leader().unwrap(),
            c.nodes[leader].machine.as_ref().unwrap().term()
        ),
        (leader, term)
    );
    assert!(c.nodes[old].state.index >= accepted);
}

/// Guards against a follower that raises its term while it is cut off, and unseats the leader on
/// its return. It can't win a pre-vote, so its term must stay.
#[test]
fn follower_returns() {
    let mut c = Cluster::new(2, 3);
    let leader = c.elect();
    c.accept();
    let ids: Vec<_> = c.nodes.iter().map(|n| n.id).collect();
    let away = (leader + 1) % 3;
    c.network.isolate(ids[away], ids.clone());
    c.run(60_000);
    let before = term(&c);
    c.network.heal();
    c.run(5_000);
    assert_eq!((c.leader(), term(&c)), (Some(leader), before));
}

/// Guards against elections caused by a follower that no longer receives the leader's messages
/// while all others receive its own. Its log is complete, so only the replicas that hear the
/// leader can refuse its pre-votes.
#[test]
fn deaf_follower() {
    let mut c = Cluster::new(3, 3);
    let leader = c.elect();
    let deaf = (leader + 1) % 3;
    let index = c.accept();
    c.until("all replicas hold the entry", |c| {
        c.nodes.iter().all(|n| n.state.index >= index)
    });
    let pair = (c.nodes[leader].id, c.nodes[deaf].id);
    c.network.cut.insert(pair);
    let before = term(&c);
    c.run(30_000);
    c.accept();
    assert_eq!((c.leader(), term(&c)), (Some(leader), before));
}

/// Guards against a stale read from a leader whose process hung while the others elected a new
/// leader and committed a change. The read reaches it before any message or timer.
#[test]
fn leader_wakes() {
    let mut c = Cluster::new(4, 3);
    let old = c.elect();
    let before = c.accept();
    c.nodes[old].paused = true;
    c.until("another replica leads", |c| {
        c.leader().is_some_and(|n| n != old)
    });
    assert!(c.accept() > before);
    c.nodes[old].paused = false;
    assert!(c.read(old), "a leader just cut off can't know it yet");
    c.run(5_000);
    assert_eq!(c.nodes[old].state.index, c.history.newest());
}

fn term(c: &Cluster) -> almondlock_quorum::entry::Term {
    c.nodes
        .iter()
        .filter_map(|n| n.machine.as_ref())
        .map(|m| m.term())
        .max()
        .unwrap()
}
