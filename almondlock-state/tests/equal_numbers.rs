//! Concurrent and repeated changes of operators.

#![allow(clippy::unwrap_used)]

mod common;

use almondlock_base::Code;
use almondlock_state::{
    command::{Command, Reply},
    machine::Machine,
    plan::State,
};
use common::{add, code, confirm, organisation, planned, propose, share, stop, wall};

/// Two operators choose number 17 for different changes at the same time, through two
/// replicas. The one that comes first in the log is planned, and only the other gets a
/// conflict, also when it asks again.
#[test]
fn racing_operators() {
    for (first, second) in [("acme", "rival"), ("rival", "acme")] {
        let mut machine = Machine::new();
        let won = planned(propose(&mut machine, "17", add(first), 1));
        for _ in 0..2 {
            let lost = propose(&mut machine, "17", add(second), 1);
            assert_eq!(code(&lost), Some(Code::Conflict));
        }
        assert_eq!(planned(propose(&mut machine, "17", add(first), 2)), won);
        confirm(&mut machine, won.id, 3);
        let names: Vec<_> = machine.config().organisations.keys().cloned().collect();
        assert_eq!(names, [organisation(first)]);
    }
}

/// Guards against a repeated change that overwrites a later one: the answer to a confirmation
/// is lost, another operator makes a change, and the first operator sends the proposal and
/// the confirmation again.
#[test]
fn resent_change() {
    let mut machine = Machine::new();
    common::change(&mut machine, "1", add("acme"), 1);
    let mine = common::change(&mut machine, "2", share("acme", 5), 2);
    common::change(&mut machine, "3", share("acme", 9), 3);
    let revision = machine.config().revision;
    let again = planned(propose(&mut machine, "2", share("acme", 5), 4));
    assert_eq!((again.id, again.state), (mine.id, State::Done));
    assert_eq!(
        planned(confirm(&mut machine, mine.id, 5)).state,
        State::Done
    );
    assert_eq!(machine.config().revision, revision);
    assert_eq!(
        machine.config().organisations[&organisation("acme")].share,
        9
    );
}

/// A plan does nothing until it is confirmed, and nothing at all once it is stopped or has
/// lapsed.
#[test]
fn unconfirmed_plan() {
    let mut machine = Machine::new();
    let plan = planned(propose(&mut machine, "1", add("acme"), 1));
    let before = machine.config().clone();
    assert!(before.organisations.is_empty());
    stop(&mut machine, plan.id, 2);
    assert_eq!(
        machine.plans().get(plan.id).map(|plan| plan.state),
        Some(State::Stopped)
    );
    let late = planned(propose(&mut machine, "2", add("rival"), 1));
    common::pass_time(&mut machine, 25 * common::HOUR);
    common::pass_time(&mut machine, 50 * common::HOUR);
    assert_eq!(
        code(&confirm(&mut machine, late.id, 3)),
        Some(Code::PlanState)
    );
    assert_eq!(*machine.config(), before);
}

/// Guards against a restarted replica that makes an operator of its settings an
/// administrator: only the first seed counts.
#[test]
fn one_seed() {
    let mut machine = Machine::new();
    for name in ["anna", "eve"] {
        let key = almondlock_state::operator::hash_key(name);
        let role = almondlock_state::operator::Role::Admin;
        let operator = almondlock_state::operator::Operator { key, role };
        let operators = [(name.to_owned(), operator)].into();
        let seed = Command::Seed {
            operators,
            replicas: Default::default(),
            at: wall(1),
        };
        assert!(matches!(machine.apply(seed).reply, Reply::Accepted { .. }));
    }
    let names: Vec<_> = machine.tables().operators.keys().collect();
    assert_eq!(names, ["anna"]);
}
