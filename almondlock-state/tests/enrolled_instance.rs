//! Delayed heartbeats of servers that have left or crashed. Acting on one would send requests
//! to a server that is gone, or to another one at its address.

use std::time::Duration;

use almondlock_base::{
    id::{Domain, Service, Upstream},
    time::{Mono, Wall},
    unit::Revision,
};
use almondlock_state::{
    command::Command,
    instance::{Birth, Disposition, Heartbeat, Instance, Roster},
    limit,
    machine::Machine,
};

const AT: Wall = Wall::from_millis(1);

fn name(text: &str) -> Upstream {
    Upstream::new(text).unwrap()
}

fn instance(address: &str, leaving: bool) -> Instance {
    Instance {
        service: Service::new("s").unwrap(),
        address: address.parse().unwrap(),
        domain: Domain::new("d").unwrap(),
        slots: 4,
        leaving,
        birth: Birth::default(),
        cold: false,
    }
}

fn enrol(machine: &mut Machine, text: &str, address: &str, leaving: bool) {
    machine.apply(Command::Enrol {
        upstream: name(text),
        instance: instance(address, leaving),
        at: AT,
    });
}

fn known(machine: &Machine, text: &str) -> Option<bool> {
    let found = machine.config().instances.get(&name(text));
    found.map(|instance| instance.leaving)
}

#[test]
fn leaving_stays() {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", "10.0.0.1:80", false);
    enrol(&mut machine, "i-1", "10.0.0.1:80", true);
    enrol(&mut machine, "i-1", "10.0.0.1:80", false);
    assert_eq!(known(&machine, "i-1"), Some(true));
}

#[test]
fn gone_stays() {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", "10.0.0.1:80", false);
    machine.apply(Command::Withdraw {
        upstream: name("i-1"),
        at: AT,
    });
    enrol(&mut machine, "i-1", "10.0.0.1:80", false);
    assert_eq!(known(&machine, "i-1"), None);
}

#[test]
fn gone_before_known() {
    let mut machine = Machine::new();
    machine.apply(Command::Withdraw {
        upstream: name("i-1"),
        at: AT,
    });
    enrol(&mut machine, "i-1", "10.0.0.1:80", false);
    assert_eq!(known(&machine, "i-1"), None);
}

#[test]
fn address_reused() {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", "10.0.0.1:80", false);
    enrol(&mut machine, "i-2", "10.0.0.1:80", false);
    assert_eq!(known(&machine, "i-1"), None);
    // The last heartbeat of the first instance, after its address was reused.
    enrol(&mut machine, "i-1", "10.0.0.1:80", false);
    assert_eq!(known(&machine, "i-1"), None);
    assert_eq!(known(&machine, "i-2"), Some(false));
}

#[test]
fn overtaken_heartbeat() {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", "10.0.0.1:80", true);
    let (mut roster, i) = (Roster::default(), name("i-1"));
    let config = machine.config();
    let ready = instance("10.0.0.1:80", false);
    let leaving = instance("10.0.0.1:80", true);
    let now = Mono::from_millis(5);
    let known = Disposition::Leaving(Revision(1));
    assert_eq!(roster.receive(now, config, (&i, 7), &leaving), known);
    assert_eq!(
        roster.receive(now, config, (&i, 6), &ready),
        Disposition::Unchanged
    );
    assert_eq!(roster.receive(now, config, (&i, 5), &leaving), known);
    assert_eq!(
        roster.receive(now, config, (&i, 8), &ready),
        Disposition::Unchanged
    );
    let other = instance("10.0.0.2:80", true);
    assert_eq!(
        roster.receive(now, config, (&i, 9), &other),
        Disposition::Changed
    );
}

/// Guards against an instance that can never stop: it reports again and again that it is
/// leaving, while hundreds of others enrol. It must be acknowledged once the revision in
/// which it left is in force, and not wait for the newest revision each time.
#[test]
fn leaves_meanwhile() {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", "10.0.0.1:80", true);
    let (mut roster, i) = (Roster::default(), name("i-1"));
    let leaving = instance("10.0.0.1:80", true);
    let now = Mono::from_millis(5);
    let known = Disposition::Leaving(Revision(1));
    assert_eq!(
        roster.receive(now, machine.config(), (&i, 7), &leaving),
        known
    );
    enrol(&mut machine, "i-2", "10.0.0.2:80", false);
    assert_eq!(
        roster.receive(now, machine.config(), (&i, 8), &leaving),
        known
    );
    // A new leader doesn't know when it began to leave, and takes the current revision.
    let later = Disposition::Leaving(Revision(2));
    let mut roster = Roster::default();
    assert_eq!(
        roster.receive(now, machine.config(), (&i, 9), &leaving),
        later
    );
}

/// Guards against an instance that stops too soon: a delayed copy of its leaving heartbeat
/// arrives while the first one is still being entered, and must not be acknowledged at once.
#[test]
fn leaves_twice() {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", "10.0.0.1:80", false);
    let (mut roster, i) = (Roster::default(), name("i-1"));
    let leaving = instance("10.0.0.1:80", true);
    let now = Mono::from_millis(5);
    let config = machine.config();
    assert_eq!(
        roster.receive(now, config, (&i, 8), &leaving),
        Disposition::Changed
    );
    assert_eq!(
        roster.receive(now, config, (&i, 7), &leaving),
        Disposition::Changed
    );
}

#[test]
fn silence_lapses() {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", "10.0.0.1:80", false);
    enrol(&mut machine, "i-2", "10.0.0.2:80", false);
    let (config, lease) = (machine.config(), Duration::from_secs(10));
    let mut roster = Roster::default();
    let at = Mono::from_millis;
    // A new leader grants each instance a full lease.
    assert!(roster.find_silent(at(1_000), lease, config).is_empty());
    let spoke = instance("10.0.0.2:80", false);
    roster.receive(at(9_000), config, (&name("i-2"), 3), &spoke);
    assert_eq!(roster.find_silent(at(11_000), lease, config), [name("i-1")]);
}

/// A heartbeat that another replica received counts like one received here. One of an earlier
/// incarnation, or with a number that was overtaken, changes nothing.
#[test]
fn heard_elsewhere() {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", "10.0.0.1:80", false);
    let (config, lease) = (machine.config(), Duration::from_secs(10));
    let mut roster = Roster::default();
    let at = Mono::from_millis;
    let told = |birth, sequence| Heartbeat {
        name: name("i-1"),
        birth: Birth(birth),
        sequence,
    };
    roster.find_silent(at(0), lease, config);
    roster.receive_relayed(at(8_000), &told(0, 5));
    assert!(roster.find_silent(at(17_000), lease, config).is_empty());
    let ready = instance("10.0.0.1:80", false);
    // Overtaken: nothing changes.
    assert_eq!(
        roster.receive(at(17_000), config, (&name("i-1"), 4), &ready),
        Disposition::Unchanged
    );
    assert_eq!(roster.find_silent(at(18_000), lease, config), [name("i-1")]);
    // Another incarnation is heard; heartbeats of the earlier one no longer count.
    roster.receive_relayed(at(18_000), &told(9, 1));
    roster.receive_relayed(at(19_000), &told(0, 6));
    assert!(roster.find_silent(at(27_000), lease, config).is_empty());
    assert_eq!(roster.find_silent(at(28_000), lease, config), [name("i-1")]);
}

/// Only a heartbeat that changes nothing is accepted without a decision of the leader.
#[test]
fn routine_only() {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", "10.0.0.1:80", false);
    let heartbeat = Heartbeat {
        name: name("i-1"),
        birth: Birth::default(),
        sequence: 2,
    };
    let is_routine = |record: &Instance| heartbeat.is_routine(machine.config(), record);
    assert!(is_routine(&instance("10.0.0.1:80", false)));
    assert!(!is_routine(&instance("10.0.0.1:80", true)));
    assert!(!is_routine(&instance("10.0.0.2:80", false)));
    let later = Instance {
        birth: Birth(1),
        cold: false,
        ..instance("10.0.0.1:80", false)
    };
    assert!(!is_routine(&later));
}

/// Guards against servers that are acknowledged and never enrolled because the table is full.
#[test]
fn full_table() {
    let mut machine = Machine::new();
    for n in 0..limit::MAX_INSTANCES {
        let address = format!("10.0.{}.{}:80", n / 256, n % 256);
        enrol(&mut machine, &format!("i-{n}"), &address, false);
    }
    let (config, mut roster) = (machine.config(), Roster::default());
    let beat = |roster: &mut Roster, text: &str, address: &str| {
        let named = (&name(text), 1);
        roster.receive(
            Mono::from_millis(1),
            config,
            named,
            &instance(address, false),
        )
    };
    let full = beat(&mut roster, "i-more", "10.1.0.1:80");
    assert_eq!(full, Disposition::Full);
    let known = beat(&mut roster, "i-7", "10.0.0.7:80");
    assert_eq!(known, Disposition::Unchanged);
    let moved = beat(&mut roster, "i-8", "10.1.0.8:80");
    assert_eq!(moved, Disposition::Changed, "it has its place");
}
