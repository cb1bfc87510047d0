//! Plans that are confirmed after the state they were computed on has changed.

#![allow(clippy::unwrap_used)]

mod common;

use almondlock_base::Code;
use almondlock_state::{
    command::Reply,
    intent::Intent,
    machine::Machine,
    operator::{Operator, Role, hash_key},
    plan::State,
};
use common::{add, change, code, confirm, organisation, planned, propose, share, upstream, wall};

fn message(reply: &Reply) -> &str {
    match reply {
        Reply::Refused { message, .. } => message,
        other => panic!("{other:?}"),
    }
}

/// Guards against a plan that silently overwrites a later change: Anna plans a share of 5,
/// Boris sets 9, and Anna confirms her plan. It is refused, and the answer names the modified
/// resource.
#[test]
fn modified_resource() {
    let mut machine = Machine::new();
    change(&mut machine, "1", add("acme"), 1);
    let mine = planned(propose(&mut machine, "2", share("acme", 5), 2));
    change(&mut machine, "3", share("acme", 9), 3);
    let refused = confirm(&mut machine, mine.id, 4);
    assert_eq!(code(&refused), Some(Code::PlanStale));
    assert!(message(&refused).contains("organisation/acme changed at revision 2"));
    assert_eq!(
        machine.config().organisations[&organisation("acme")].share,
        9
    );
}

/// A plan is carried out if only another organisation was changed in between.
#[test]
fn disjoint_resources() {
    let mut machine = Machine::new();
    change(&mut machine, "1", add("acme"), 1);
    change(&mut machine, "2", add("rival"), 1);
    let mine = planned(propose(&mut machine, "3", share("acme", 5), 2));
    change(&mut machine, "4", share("rival", 9), 3);
    assert_eq!(
        planned(confirm(&mut machine, mine.id, 4)).state,
        State::Done
    );
    let shares: Vec<_> = machine
        .config()
        .organisations
        .values()
        .map(|o| o.share)
        .collect();
    assert_eq!(shares, [5, 9]);
}

/// Two administrators each plan to remove the other. The plans change no common resource, but
/// would together leave no administrator, so the second one is refused.
#[test]
fn last_administrator() {
    let mut machine = Machine::new();
    let operator = |name: &str| {
        let operator = Operator {
            key: hash_key(name),
            role: Role::Admin,
        };
        (name.to_owned(), operator)
    };
    let operators = [operator("anna"), operator("boris")].into();
    let replicas = Default::default();
    let seed = almondlock_state::command::Command::Seed {
        operators,
        replicas,
        at: wall(1),
    };
    machine.apply(seed);
    let remove = |name: &str| Intent::RemoveOperator {
        name: name.to_owned(),
    };
    let first = planned(propose(&mut machine, "1", remove("anna"), 1));
    let second = planned(propose(&mut machine, "2", remove("boris"), 1));
    assert_eq!(
        planned(confirm(&mut machine, first.id, 2)).state,
        State::Done
    );
    assert_eq!(
        code(&confirm(&mut machine, second.id, 2)),
        Some(Code::PlanStale)
    );
}

/// Undoing restores the earlier value, and is refused if the value was changed again since.
#[test]
fn undone() {
    let mut machine = Machine::new();
    change(&mut machine, "1", add("acme"), 1);
    let first = change(&mut machine, "2", share("acme", 5), 2);
    let back = change(&mut machine, "3", Intent::Undo { plan: first.id }, 3);
    assert_eq!(
        machine.config().organisations[&organisation("acme")].share,
        1
    );
    let again = propose(&mut machine, "4", Intent::Undo { plan: first.id }, 4);
    assert_eq!(code(&again), Some(Code::PlanStale));
    change(&mut machine, "5", Intent::Undo { plan: back.id }, 5);
    assert_eq!(
        machine.config().organisations[&organisation("acme")].share,
        5
    );
}

/// A planned drain of a model's last upstream warns that none would be left, and does nothing
/// before its confirmation.
#[test]
fn told_risk() {
    let mut machine = Machine::new();
    common::announce(&mut machine, "u1", common::engine(1, 1, "v1"), 1);
    let drain = |name| Intent::Drain {
        upstream: upstream(name),
        reason: String::new(),
    };
    let plan = planned(propose(&mut machine, "1", drain("u1"), 2));
    assert_eq!(plan.risk.capacity_left, Some(0));
    assert!(!plan.risk.warnings.is_empty());
    common::announce(&mut machine, "u2", common::engine(2, 2, "v1"), 3);
    let plan = planned(propose(&mut machine, "2", drain("u1"), 4));
    assert_eq!(
        (plan.risk.capacity_left, plan.risk.warnings.len()),
        (Some(50), 0)
    );
    assert!(machine.config().drains.is_empty());
}
