//! When a follower may report that its state is current.

#![allow(clippy::unwrap_used)]

use almondlock_base::time::Mono;
use almondlock_quorum::{
    config::Config,
    entry::{Entry, Index, Payload, Term},
    machine::Machine,
    member::{Id, Member, Members},
    message::{Append, Body, Message},
    storage::Loaded,
};

const NOW: Mono = Mono::from_millis(100);

fn append(machine: &mut Machine, term: u64, previous: (u64, u64), commit: u64, terms: &[u64]) {
    let entries = (previous.0 + 1..).zip(terms).map(|(index, term)| Entry {
        index: Index(index),
        term: Term(*term),
        payload: Payload::Empty,
    });
    let append = Append {
        previous_index: Index(previous.0),
        previous_term: Term(previous.1),
        commit: Index(commit),
        round: 0,
        entries: entries.collect(),
    };
    let (term, body) = (Term(term), Body::Append(append));
    machine.receive(NOW, Id(2), Message { term, body });
}

/// Guards against a replica that returns after hundreds of changes and claims to be current
/// as soon as it hears the leader, so that processes act on an old configuration. It is
/// current only once it hears a leader that has committed an entry of its own term, and has
/// committed everything that this leader announced.
#[test]
fn behind_is_not_current() {
    let founding = Loaded::initial(Members::of_voters((1..=3).map(Member::sample)));
    let config = Config::builder().build().unwrap();
    let mut machine = Machine::new(config, Id(1), founding, Mono::ZERO);
    append(&mut machine, 3, (0, 0), 4, &[1, 1]);
    assert_eq!(machine.commit_index(), Index(2));
    assert!(!machine.is_current(NOW), "it lacks two entries");
    append(&mut machine, 3, (2, 1), 4, &[2, 3]);
    assert_eq!(machine.commit_index(), Index(4));
    assert!(machine.is_current(NOW));
    assert!(!machine.is_current(Mono::from_millis(2_000)), "silence");
    append(&mut machine, 5, (4, 3), 4, &[5]);
    assert!(
        !machine.is_current(NOW),
        "a new leader has accepted nothing"
    );
    append(&mut machine, 5, (5, 5), 5, &[]);
    assert!(machine.is_current(NOW));
    append(&mut machine, 5, (5, 5), 5, &[5, 5]);
    append(&mut machine, 5, (5, 5), 7, &[]);
    assert_eq!(machine.commit_index(), Index(5));
    assert!(
        !machine.is_current(NOW),
        "two entries are here, not yet applied"
    );
}
