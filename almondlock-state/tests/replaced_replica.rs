//! Replacement of control replicas by plans.

mod common;

use std::collections::BTreeMap;

use almondlock_base::{Code, id::Domain};
use almondlock_state::{
    command::Command,
    intent::Intent,
    machine::Machine,
    operator::{Operator, Role, hash_key},
    plan::{Action, Id, State, Transition, due_actions},
    replica::{self, Member, Replica},
};
use common::{change, code, planned, propose, wall};

fn replica(number: u16) -> Replica {
    Replica {
        address: format!("10.0.0.{number}:7000").parse().unwrap(),
        admin: format!("10.0.0.{number}:7001").parse().unwrap(),
        domain: Domain::new(&format!("domain-{number}")).unwrap(),
    }
}

fn members(numbers: &[(replica::Id, u16)]) -> BTreeMap<replica::Id, Replica> {
    numbers
        .iter()
        .map(|(id, number)| (*id, replica(*number)))
        .collect()
}

fn group(numbers: &[(replica::Id, u16)]) -> Machine {
    let mut machine = Machine::new();
    let admin = Operator {
        key: hash_key("anna"),
        role: Role::Admin,
    };
    let operators = [("anna".to_owned(), admin)].into();
    let replicas = members(numbers);
    machine.apply(Command::Seed {
        operators,
        replicas,
        at: wall(1),
    });
    machine
}

fn asked(machine: &Machine) -> Vec<Member> {
    let members = due_actions(machine, wall(1))
        .into_iter()
        .filter_map(|action| match action {
            Action::Member { member, .. } => Some(member),
            Action::Propose(_) => None,
        });
    members.collect()
}

fn step(machine: &mut Machine, plan: Id, index: usize, advance: Transition) {
    let step = Command::Step {
        plan,
        index,
        transition: advance,
        at: wall(1),
    };
    assert_eq!(code(&machine.apply(step).reply), None);
}

/// A host whose disk was wiped waits at its old address with a new identity. It is added
/// before the old identity is removed. The leader changes in between, and the new one is
/// asked to continue with the same step.
#[test]
fn same_host() {
    let mut machine = group(&[(11, 1), (12, 2), (13, 3)]);
    let intent = Intent::ReplaceReplica {
        old: 12,
        replica: replica(2),
    };
    let plan = change(&mut machine, "1", intent, 1);
    step(&mut machine, plan.id, 0, Transition::Begin);
    assert_eq!(asked(&machine), [Member::Add(replica(2))]);
    let mut machine = Machine::restore(&machine.snapshot()).unwrap();
    assert_eq!(asked(&machine), [Member::Add(replica(2))]);
    step(&mut machine, plan.id, 0, Transition::Finish);
    let replicas = members(&[(11, 1), (12, 2), (13, 3), (99, 2)]);
    machine.apply(Command::Replicas {
        replicas,
        at: wall(1),
    });
    step(&mut machine, plan.id, 1, Transition::Begin);
    assert_eq!(asked(&machine), [Member::Remove(12)]);
    step(&mut machine, plan.id, 1, Transition::Finish);
    assert_eq!(
        machine.plans().get(plan.id).map(|plan| plan.state),
        Some(State::Done)
    );
    assert_eq!(
        machine.tables().replicas,
        members(&[(11, 1), (13, 3), (99, 2)])
    );
}

/// The leader copies the log's membership: a new replica has the identity of its disk, and the
/// admin address of the plan that added it.
#[test]
fn copied_members() {
    let mut machine = group(&[(11, 1), (12, 2)]);
    let member = |(id, it): (replica::Id, Replica)| (id, it.address, it.domain);
    let now = members(&[(11, 1), (12, 2)]);
    assert_eq!(
        replica::changed_replicas(&machine, now.into_iter().map(member)),
        None
    );
    change(
        &mut machine,
        "1",
        Intent::AddReplica {
            replica: replica(3),
        },
        1,
    );
    let now = members(&[(11, 1), (12, 2), (99, 3)]);
    let copied = replica::changed_replicas(&machine, now.clone().into_iter().map(member));
    assert_eq!(copied, Some(now));
    let empty = replica::changed_replicas(&Machine::new(), [(1, replica(1))].map(member));
    assert_eq!(empty, None, "not before the seed");
}

/// The new replica never catches up. The plan fails at that step, and the old replica is not
/// removed, since that would leave fewer replicas than before.
#[test]
fn newcomer_fails() {
    let mut machine = group(&[(11, 1), (12, 2), (13, 3)]);
    let intent = Intent::ReplaceReplica {
        old: 12,
        replica: replica(4),
    };
    let plan = change(&mut machine, "1", intent, 1);
    step(&mut machine, plan.id, 0, Transition::Begin);
    let message = "it doesn't catch up".to_owned();
    step(&mut machine, plan.id, 0, Transition::Fail { message });
    assert_eq!(
        machine.plans().get(plan.id).map(|plan| plan.state),
        Some(State::Failed)
    );
    assert!(asked(&machine).is_empty());
    assert!(machine.tables().replicas.contains_key(&12));
}

/// A change that would break the group is refused, and the risks of others are shown.
#[test]
fn risks_shown() {
    let mut machine = group(&[(11, 1), (12, 2), (13, 3)]);
    let taken = Intent::AddReplica {
        replica: replica(3),
    };
    let refused = propose(&mut machine, "1", taken, 1);
    assert_eq!(code(&refused), Some(Code::BadChange));
    let plan = planned(propose(
        &mut machine,
        "2",
        Intent::RemoveReplica { id: 12 },
        1,
    ));
    assert!(
        plan.risk
            .warnings
            .iter()
            .any(|it| it.contains("no majority"))
    );
    let mut alone = group(&[(11, 1)]);
    let refused = propose(&mut alone, "1", Intent::RemoveReplica { id: 11 }, 1);
    assert_eq!(code(&refused), Some(Code::BadChange));
}
