//! A server crashes and restarts under its earlier name. The new incarnation must get requests
//! from its first heartbeat on. Guards against delayed heartbeats of the earlier incarnation:
//! a late `draining`, or a higher sequence number than the new one's first, would keep a sound
//! server out for good.

use almondlock_base::{
    id::{Domain, Service, Upstream},
    time::{Mono, Wall},
};
use almondlock_state::{
    command::Command,
    instance::{Birth, Disposition, Instance, Roster},
    machine::Machine,
};

const AT: Wall = Wall::from_millis(1);
const FIRST: u64 = 1_000;
const SECOND: u64 = 7_000;
const ADDRESS: &str = "10.0.0.1:80";

fn name(text: &str) -> Upstream {
    Upstream::new(text).unwrap()
}

fn life(birth: u64, leaving: bool) -> Instance {
    Instance {
        service: Service::new("s").unwrap(),
        address: ADDRESS.parse().unwrap(),
        domain: Domain::new("d").unwrap(),
        slots: 4,
        leaving,
        birth: Birth(birth),
        cold: false,
    }
}

fn enrol(machine: &mut Machine, text: &str, instance: Instance) {
    machine.apply(Command::Enrol {
        upstream: name(text),
        instance,
        at: AT,
    });
}

fn withdraw(machine: &mut Machine, text: &str) {
    machine.apply(Command::Withdraw {
        upstream: name(text),
        at: AT,
    });
}

/// Returns the start time of the enrolled incarnation, and whether it is leaving.
fn known(machine: &Machine, text: &str) -> Option<(u64, bool)> {
    let found = machine.config().instances.get(&name(text));
    found.map(|instance| (instance.birth.0, instance.leaving))
}

#[test]
fn leaving_ends() {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", life(FIRST, true));
    enrol(&mut machine, "i-1", life(SECOND, false));
    assert_eq!(known(&machine, "i-1"), Some((SECOND, false)));
}

#[test]
fn returns_from_gone() {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", life(FIRST, false));
    withdraw(&mut machine, "i-1");
    enrol(&mut machine, "i-1", life(FIRST, false));
    assert_eq!(known(&machine, "i-1"), None);
    enrol(&mut machine, "i-1", life(SECOND, false));
    assert_eq!(known(&machine, "i-1"), Some((SECOND, false)));
    assert!(!machine.is_gone(&name("i-1")));
}

#[test]
fn gone_twice() {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", life(FIRST, false));
    withdraw(&mut machine, "i-1");
    enrol(&mut machine, "i-1", life(SECOND, false));
    withdraw(&mut machine, "i-1");
    enrol(&mut machine, "i-1", life(SECOND, false));
    assert_eq!(known(&machine, "i-1"), None);
    assert!(machine.is_gone(&name("i-1")));
}

#[test]
fn late_heartbeat() {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", life(SECOND, false));
    enrol(&mut machine, "i-1", life(FIRST, true));
    assert_eq!(known(&machine, "i-1"), Some((SECOND, false)));
}

#[test]
fn late_at_address() {
    // The address was reused by another server that started later.
    let mut machine = Machine::new();
    enrol(&mut machine, "i-2", life(SECOND, false));
    enrol(&mut machine, "i-1", life(FIRST, false));
    assert_eq!(known(&machine, "i-1"), None);
    assert_eq!(known(&machine, "i-2"), Some((SECOND, false)));
}

#[test]
fn numbers_begin_anew() {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", life(FIRST, false));
    let (mut roster, i) = (Roster::default(), name("i-1"));
    let (config, now) = (machine.config(), Mono::from_millis(5));
    let (first, second) = (life(FIRST, false), life(SECOND, false));
    assert_eq!(
        roster.receive(now, config, (&i, 40), &first),
        Disposition::Unchanged
    );
    assert_eq!(
        roster.receive(now, config, (&i, 1), &second),
        Disposition::Changed
    );
    // The last heartbeat of the earlier incarnation, which is acknowledged and not entered.
    let last = life(FIRST, true);
    assert_eq!(
        roster.receive(now, config, (&i, 41), &last),
        Disposition::Unchanged
    );
    assert_eq!(
        roster.receive(now, config, (&i, 2), &second),
        Disposition::Changed
    );
}

#[test]
fn leaving_is_entered() {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", life(FIRST, true));
    let (mut roster, i) = (Roster::default(), name("i-1"));
    let (config, now) = (machine.config(), Mono::from_millis(5));
    let second = life(SECOND, false);
    assert_eq!(
        roster.receive(now, config, (&i, 1), &second),
        Disposition::Changed
    );
}

#[test]
fn older_snapshot() {
    // Written before incarnations were distinguished: a gone name stays gone.
    let mut machine = Machine::new();
    withdraw(&mut machine, "i-1");
    let text = r#"{"gone":["i-1"]}"#;
    let table: almondlock_state::instance::Table = serde_json::from_str(text).unwrap();
    assert!(table.is_gone(&name("i-1")));
}
