//! A replica returns with fewer entries than it acknowledged: its file system lost the end of a
//! synced file. The leader that counted it still leads.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::collections::{BTreeMap, VecDeque};

use almondlock_base::time::Mono;
use almondlock_quorum::{
    config::Config,
    entry::{Entry, HardState, Index, Payload, Term},
    machine::Machine,
    member::{Id, Member, Members},
    message::{AppendReply, Body, Message, VoteReply},
    storage::Loaded,
};
use cluster::{CALM, Cluster, Faults};
use rand::Rng;
use yare::parameterized;

const NOW: Mono = Mono::from_millis(10_000);

fn term(c: &Cluster, n: usize) -> Term {
    c.nodes[n].machine.as_ref().unwrap().term()
}

/// Guards against a replica that never gets its entries again, and a group that commits nothing
/// once a second replica is in that state, although every process runs.
#[parameterized(
    one_entry = { 1 },
    ten_entries = { 10 },
    all_entries = { 1000 },
)]
fn sent_again(lost: usize) {
    for seed in 0..20 {
        let mut c = Cluster::new(seed, 3);
        let leader = c.elect();
        // The log is not compacted, so that no snapshot restores the entries.
        for _ in 0..20 {
            c.accept();
        }
        let before = term(&c, leader);
        for n in (0..3).filter(|n| *n != leader) {
            c.cut(n, lost);
            c.start(n);
            let newest = c.history.newest();
            c.until("the replica holds all committed entries", |c| {
                c.nodes[n].state.index >= newest
            });
            c.accept();
        }
        assert_eq!((c.leader(), term(&c, leader)), (Some(leader), before));
    }
}

/// Guards against a leader that never commits anything again but is heard by a majority, so that
/// no other replica stands for election.
#[test]
fn beside_dead_one() {
    for seed in 0..20 {
        let mut c = Cluster::new(seed, 3);
        let leader = c.elect();
        c.accept();
        let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
        c.cut(others[0], 1000);
        c.start(others[0]);
        c.crash(others[1]);
        c.accept();
        assert_eq!(c.leader(), Some(leader), "seed {seed}");
    }
}

/// Guards against late refusals being taken for lost entries: acknowledgements of the replica
/// must stay valid.
#[test]
fn late_refusals() {
    let faults = Faults {
        delay: 400,
        double: 0.3,
        drop: 0.1,
        ..CALM
    };
    for seed in 0..60 {
        let mut c = Cluster::new(seed, 3);
        c.faults = faults;
        let mut known: BTreeMap<(Term, Id, Id), Index> = BTreeMap::new();
        for _ in 0..2000 {
            let n = c.rng.random_range(0..3);
            if c.rng.random_bool(0.3) {
                c.propose(n);
            }
            if c.rng.random_bool(0.1) {
                c.read(n);
            }
            c.step();
            for node in &c.nodes {
                let machine = node.machine.as_ref().unwrap();
                for other in c.nodes.iter().filter(|_| machine.is_leader()) {
                    let Some(matched) = machine.matched(other.id) else {
                        continue;
                    };
                    let key = (machine.term(), node.id, other.id);
                    let old = known.insert(key, matched).unwrap_or_default();
                    assert!(matched >= old, "seed {seed}: {matched} after {old}");
                }
            }
        }
    }
}

fn machine(id: u64, entries: Vec<Entry>, batch: usize) -> Machine {
    let mut loaded = Loaded::initial(Members::of_voters((1..=3).map(Member::sample)));
    loaded.hard_state = HardState {
        term: Term(3),
        vote: None,
    };
    loaded.entries = entries;
    let config = Config::builder().append_bytes(batch).build().unwrap();
    Machine::new(config, Id(id), loaded, Mono::ZERO)
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index: Index(index),
        term: Term(term),
        payload: Payload::Command(vec![1].into()),
    }
}

fn message(body: Body) -> Message {
    let term = Term(4);
    Message { term, body }
}

fn reply(matched: bool, index: u64, round: u64) -> Message {
    let index = Index(index);
    message(Body::AppendReply(AppendReply {
        matched,
        index,
        round,
    }))
}

/// Makes replica 1 the leader of term 4. Returns the sequence number of its last write.
fn lead(machine: &mut Machine) -> u64 {
    machine.tick(NOW);
    for pre in [true, false] {
        let vote = Body::VoteReply(VoteReply {
            is_pre_vote: pre,
            granted: true,
        });
        machine.receive(NOW, Id(2), message(vote.clone()));
        machine.receive(NOW, Id(3), message(vote));
        if let Some(write) = machine.take(NOW).write {
            machine.synced(NOW, write.sequence);
        }
    }
    assert!(machine.is_leader());
    machine.propose(vec![2].into()).unwrap();
    machine.take(NOW).write.map_or(0, |write| write.sequence)
}

/// Returns the round of the last append to replica 2.
fn round(machine: &mut Machine) -> u64 {
    let messages = machine.take(NOW).messages;
    let rounds = messages.iter().filter(|m| m.to == Id(2));
    let mut appends = rounds.filter_map(|m| match &m.message.body {
        Body::Append(append) => Some(append.round),
        _ => None,
    });
    appends.next_back().unwrap()
}

/// Guards against an entry that counts as held by a replica that acknowledged and lost it. With
/// the leader's own copy it would be committed while only one disk holds it.
#[test]
fn not_counted_twice() {
    let mut machine = machine(1, Vec::new(), 1000);
    let own = lead(&mut machine);
    machine.receive(NOW, Id(2), reply(true, 2, 0));
    assert_eq!(machine.matched(Id(2)), Some(Index(2)));
    // The replica returns without entries. The first refusal may be late; the second one
    // answers an append sent after the first.
    machine.receive(NOW, Id(2), reply(false, 0, 0));
    let asked = round(&mut machine);
    machine.receive(NOW, Id(2), reply(false, 0, asked));
    assert_eq!(machine.matched(Id(2)), Some(Index::ZERO));
    // An acknowledgement from before the loss arrives late.
    machine.receive(NOW, Id(2), reply(true, 2, 0));
    machine.receive(NOW, Id(2), reply(true, 2, asked));
    machine.synced(NOW, own);
    assert_eq!(machine.commit_index(), Index(1));
    let again = round(&mut machine);
    machine.receive(NOW, Id(2), reply(true, 2, again));
    assert_eq!(machine.commit_index(), Index(2));
}

/// Delivers all messages between a leader and replica 2 until there are none left, except the
/// appends that `lost` selects.
fn exchange<F>(leader: &mut Machine, follower: &mut Machine, mut lost: F)
where
    F: FnMut(&Body) -> bool,
{
    let mut queue = VecDeque::new();
    for _ in 0..1000 {
        for (id, machine) in [(Id(1), &mut *leader), (Id(2), &mut *follower)] {
            let output = machine.take(NOW);
            if let Some(write) = output.write {
                machine.synced(NOW, write.sequence);
            }
            let sent = output.messages.into_iter();
            queue.extend(sent.map(|envelope| (id, envelope)));
        }
        let Some((from, envelope)) = queue.pop_front() else {
            return;
        };
        if lost(&envelope.message.body) {
            continue;
        }
        match envelope.to {
            Id(1) => leader.receive(NOW, from, envelope.message),
            Id(2) => follower.receive(NOW, from, envelope.message),
            _ => {}
        }
    }
}

/// Guards against a replica that lost nothing and never gets an entry again: an append is lost,
/// and the replica refuses the next ones with a hint below what it acknowledged, because its
/// next entry is of the same term as those before and the hint skips a whole term.
#[test]
fn hint_below_acknowledged() {
    let entries = (1..=6).map(|i| entry(i, 2)).chain([entry(7, 3)]);
    let mut leader = machine(1, entries.collect(), 100);
    let mut follower = machine(2, (1..=9).map(|i| entry(i, 2)).collect(), 100);
    lead(&mut leader);
    let mut lose = true;
    for beat in 1..5 {
        leader.tick(NOW + leader.config().heartbeat_interval() * beat);
        exchange(&mut leader, &mut follower, |body| {
            let holds = |e: &Entry| e.index == Index(7);
            let found = matches!(body, Body::Append(a) if a.entries.iter().any(holds));
            found && std::mem::take(&mut lose)
        });
    }
    assert!(!lose);
    assert_eq!(follower.term_at(leader.last_index()), Some(leader.term()));
}
