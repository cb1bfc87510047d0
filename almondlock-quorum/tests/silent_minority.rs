//! A replica is cut off without errors, for minutes.

#![allow(clippy::unwrap_used)]

mod cluster;

use cluster::Cluster;

/// Reads and changes reach a leader that is cut off. Within one election
/// timeout (500 ms here, and a heartbeat to notice) it refuses both; the others
/// elect meanwhile. On its return it takes nothing back and unseats nobody.
#[test]
fn leader_cut_off() {
    let mut c = Cluster::new(1, 5);
    let old = c.elect();
    c.accept();
    let ids: Vec<_> = c.nodes.iter().map(|n| n.id).collect();
    c.network.isolate(ids[old], ids.clone());
    assert!(c.propose(old), "it can't know yet");
    c.run(620);
    assert!(!c.propose(old) && !c.read(old), "it still takes work");
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

/// A follower is cut off while others work. It can't win an election, so it
/// doesn't raise its term, and nobody has to follow that on its return.
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

/// A follower hears the leader no more, but the leader and the rest hear it: a
/// one-way loss. Its log is as complete as theirs. It asks for votes all the
/// time, and is refused by those who hear the leader, whose work goes on
/// without a new election.
#[test]
fn deaf_follower() {
    let mut c = Cluster::new(3, 3);
    let leader = c.elect();
    let deaf = (leader + 1) % 3;
    let index = c.accept();
    c.until("all hold it", |c| {
        c.nodes.iter().all(|n| n.state.index >= index)
    });
    let pair = (c.nodes[leader].id, c.nodes[deaf].id);
    c.network.cut.insert(pair);
    let before = term(&c);
    c.run(30_000);
    c.accept();
    assert_eq!((c.leader(), term(&c)), (Some(leader), before));
}

/// The leader's process hangs for longer than an election takes; the others
/// elect and accept a change. When it wakes, a read is the first thing that
/// reaches it, before any message or timer: it must not answer from the state
/// before the change.
#[test]
fn leader_wakes() {
    let mut c = Cluster::new(4, 3);
    let old = c.elect();
    let before = c.accept();
    c.nodes[old].paused = true;
    c.until("another leads", |c| c.leader().is_some_and(|n| n != old));
    assert!(c.accept() > before);
    c.nodes[old].paused = false;
    assert!(c.read(old), "it can't know yet");
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
