//! Evacuation of failure domains by operators.

mod common;

use almondlock_base::{
    id::{Domain, Service, Upstream},
    time::Wall,
};
use almondlock_state::{
    command::{Command, Reply},
    instance::{Birth, Instance},
    intent::Intent,
    machine::Machine,
    plan::State,
};
use common::{announce, engine, upstream};

const AT: Wall = Wall::from_millis(1);

fn domain(name: &str) -> Domain {
    Domain::new(name).unwrap()
}

fn instance(place: &str, port: u16, cold: bool) -> Instance {
    Instance {
        service: Service::new("s").unwrap(),
        address: format!("10.0.0.1:{port}").parse().unwrap(),
        domain: domain(place),
        slots: 4,
        leaving: false,
        birth: Birth(1),
        cold,
    }
}

fn enrol(machine: &mut Machine, name: &str, instance: Instance) {
    let upstream = Upstream::new(name).unwrap();
    let at = AT;
    machine.apply(Command::Enrol {
        upstream,
        instance,
        at,
    });
}

fn evacuate(machine: &mut Machine, place: &str) -> usize {
    let command = Command::Evacuate {
        domain: domain(place),
        at: AT,
    };
    accepted(machine, command)
}

fn readmit(machine: &mut Machine, place: &str) -> usize {
    let command = Command::Readmit {
        domain: domain(place),
        at: AT,
    };
    accepted(machine, command)
}

/// Returns the number of changes that an accepted command makes.
fn accepted(machine: &mut Machine, command: Command) -> usize {
    let applied = machine.apply(command);
    assert!(matches!(applied.reply, Reply::Accepted { .. }));
    applied.changes.len()
}

fn is_cold(machine: &Machine, name: &str) -> bool {
    machine.config().instances[&Upstream::new(name).unwrap()].cold
}

/// Guards against an evacuation that is refused or makes another change when it is sent again
/// because its answer was lost.
#[test]
fn repeated_order() {
    let mut machine = Machine::new();
    assert_eq!(readmit(&mut machine, "a"), 0, "nothing to withdraw");
    assert_eq!(evacuate(&mut machine, "a"), 1);
    assert_eq!(evacuate(&mut machine, "a"), 0);
    assert!(machine.config().evacuations.contains_key(&domain("a")));
    assert_eq!(readmit(&mut machine, "a"), 1);
    assert_eq!(readmit(&mut machine, "a"), 0);
    assert!(machine.config().evacuations.is_empty());
}

/// Guards against an evacuation that is lost when a snapshot replaces the log.
#[test]
fn kept_in_snapshot() {
    let mut machine = Machine::new();
    evacuate(&mut machine, "a");
    let restored = Machine::restore(&machine.snapshot()).unwrap();
    assert_eq!(restored, machine);
    assert!(restored.config().evacuations.contains_key(&domain("a")));
}

/// Guards against the full load on upstreams that were restarted during the evacuation and
/// have not reported yet that they are cold.
#[test]
fn cold_on_return() {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", instance("a", 1, false));
    enrol(&mut machine, "i-2", instance("b", 2, false));
    evacuate(&mut machine, "a");
    readmit(&mut machine, "a");
    assert!(is_cold(&machine, "i-1"));
    assert!(!is_cold(&machine, "i-2"), "it is in another domain");
    enrol(&mut machine, "i-1", instance("a", 1, false));
    assert!(
        !is_cold(&machine, "i-1"),
        "its heartbeat says that it isn't"
    );
}

/// Each upstream in an evacuated domain counts as drained.
#[test]
fn drained_by_domain() {
    let mut machine = Machine::new();
    announce(&mut machine, "e-0", engine(0, 1, "1"), 1);
    announce(&mut machine, "e-1", engine(1, 1, "1"), 1);
    evacuate(&mut machine, "domain-0");
    assert!(machine.config().is_drained(&upstream("e-0")));
    assert!(!machine.config().is_drained(&upstream("e-1")));
}

fn plan(machine: &mut Machine, number: &str, intent: Intent) -> Reply {
    let command = Command::Propose {
        number: number.to_owned(),
        intent,
        operator: "o".to_owned(),
        at: AT,
    };
    machine.apply(command).reply
}

/// An operator sees the remaining capacity before confirming an evacuation, and an unknown
/// domain is refused.
#[test]
fn planned_evacuation() {
    let mut machine = Machine::new();
    announce(&mut machine, "e-0", engine(0, 1, "1"), 1);
    announce(&mut machine, "e-1", engine(1, 1, "1"), 1);
    let evacuation = |name: &str| Intent::Evacuate {
        domain: domain(name),
        reason: "power".to_owned(),
    };
    let unknown = plan(&mut machine, "1", evacuation("elsewhere"));
    assert!(matches!(unknown, Reply::Refused { .. }), "{unknown:?}");
    let Reply::Planned { plan: it } = plan(&mut machine, "2", evacuation("domain-0")) else {
        panic!("not planned");
    };
    assert_eq!(it.risk.capacity_left, Some(50));
    assert!(machine.config().evacuations.is_empty(), "not confirmed");
    let confirm = Command::Confirm {
        plan: it.id,
        operator: "o".to_owned(),
        at: AT,
    };
    let Reply::Planned { plan: it } = machine.apply(confirm).reply else {
        panic!("not confirmed");
    };
    assert_eq!(it.state, State::Done);
    let evacuated = &machine.config().evacuations[&domain("domain-0")];
    assert_eq!(evacuated.reason, "power");
}
