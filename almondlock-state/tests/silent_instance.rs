//! Servers that can't reach the replicas for longer than their lease, and are well. Withdrawn
//! as if they had given notice, they would never be used again, although their heartbeats are
//! acknowledged.

use std::time::Duration;

use almondlock_base::{
    id::{Domain, Service, Upstream},
    time::{Mono, Wall},
};
use almondlock_state::{
    command::Command,
    instance::{
        Birth, Heartbeat, Instance, Roster, Table,
        silence::{RESUME_GAP, Watermark},
    },
    limit,
    machine::Machine,
};
use yare::parameterized;

const AT: Wall = Wall::from_millis(1_000);
const LEASE: Duration = Duration::from_secs(10);

fn name(text: &str) -> Upstream {
    Upstream::new(text).unwrap()
}

fn life(birth: u64, address: &str) -> Instance {
    Instance {
        service: Service::new("s").unwrap(),
        address: address.parse().unwrap(),
        domain: Domain::new("d").unwrap(),
        slots: 4,
        leaving: false,
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

/// Withdraws the incarnation 5 of `i-1`, whose last heartbeat was number 40.
fn lapse(machine: &mut Machine, is_certain: bool) {
    machine.apply(Command::Lapse {
        upstream: name("i-1"),
        watermark: Watermark {
            birth: Birth(5),
            sequence: 40,
            is_certain,
        },
        at: AT,
    });
}

fn reinstate(machine: &mut Machine, at: Wall, sequence: u64, instance: Instance) {
    machine.apply(Command::Reinstate {
        upstream: name("i-1"),
        sequence,
        instance,
        at,
    });
}

fn withdraw(machine: &mut Machine, text: &str) {
    machine.apply(Command::Withdraw {
        upstream: name(text),
        at: AT,
    });
}

fn known(machine: &Machine, text: &str) -> Option<u64> {
    let found = machine.config().instances.get(&name(text));
    found.map(|instance| instance.birth.0)
}

const ADDRESS: &str = "10.0.0.1:80";

/// An instance that fell silent.
fn silent(is_certain: bool) -> Machine {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", life(5, ADDRESS));
    lapse(&mut machine, is_certain);
    assert_eq!(known(&machine, "i-1"), None);
    machine
}

fn restored(machine: &Machine) -> Machine {
    Machine::restore(&machine.snapshot()).unwrap()
}

/// Guards against servers that stay out for good after a partition.
#[parameterized(
    same_replica = { false },
    from_snapshot = { true },
)]
fn later_word(from_snapshot: bool) {
    let mut machine = silent(true);
    if from_snapshot {
        machine = restored(&machine);
    }
    reinstate(&mut machine, AT, 41, life(5, ADDRESS));
    assert_eq!(known(&machine, "i-1"), Some(5));
    assert!(machine.instances().silence(&name("i-1")).is_none());
}

/// Guards against requests to a server that crashed: a copy of one of its heartbeats arrives
/// after its lease.
#[parameterized(
    same_replica = { false },
    from_snapshot = { true },
)]
fn late_copy(from_snapshot: bool) {
    let mut machine = silent(true);
    if from_snapshot {
        machine = restored(&machine);
    }
    for sequence in [1, 39, 40] {
        reinstate(&mut machine, AT, sequence, life(5, ADDRESS));
    }
    enrol(&mut machine, "i-1", life(5, ADDRESS));
    // An earlier incarnation counted further.
    reinstate(&mut machine, AT, 90, life(4, ADDRESS));
    enrol(&mut machine, "i-1", life(4, ADDRESS));
    assert_eq!(known(&machine, "i-1"), None);
}

/// Guards against delayed heartbeats that the withdrawing leader never heard: they arrive
/// together, whereas a server that runs goes on.
#[test]
fn unheard_words() {
    let mut machine = silent(false);
    for sequence in [41, 42, 42, 41] {
        reinstate(&mut machine, AT, sequence, life(5, ADDRESS));
    }
    assert_eq!(known(&machine, "i-1"), None);
    machine = restored(&machine);
    reinstate(&mut machine, AT + RESUME_GAP, 42, life(5, ADDRESS));
    assert_eq!(known(&machine, "i-1"), None);
    reinstate(&mut machine, AT + RESUME_GAP, 43, life(5, ADDRESS));
    assert_eq!(known(&machine, "i-1"), Some(5));
}

/// Guards against a server that gave notice, or whose address another one has, and that a
/// heartbeat from before brings back.
#[parameterized(
    notice_before = { true, false },
    notice_after = { false, false },
    address_reused = { false, true },
)]
fn final_end(notice_before: bool, reused: bool) {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", life(5, ADDRESS));
    if notice_before {
        withdraw(&mut machine, "i-1");
    }
    lapse(&mut machine, true);
    match reused {
        true => enrol(&mut machine, "i-2", life(6, ADDRESS)),
        false => withdraw(&mut machine, "i-1"),
    }
    assert!(machine.is_gone(&name("i-1")));
    if reused {
        // The second one's silence or notice doesn't give the address back.
        withdraw(&mut machine, "i-2");
    }
    machine = restored(&machine);
    for sequence in [41, 50] {
        reinstate(&mut machine, AT, sequence, life(5, ADDRESS));
    }
    enrol(&mut machine, "i-1", life(5, ADDRESS));
    assert_eq!(known(&machine, "i-1"), None);
}

/// Guards against a delayed heartbeat of an older server that takes the address of a silent one.
#[test]
fn older_at_address() {
    let mut machine = silent(true);
    enrol(&mut machine, "i-0", life(4, ADDRESS));
    assert_eq!(known(&machine, "i-0"), None);
    reinstate(&mut machine, AT, 41, life(5, ADDRESS));
    assert_eq!(known(&machine, "i-1"), Some(5));
}

#[test]
fn next_incarnation() {
    for by_enrol in [true, false] {
        let mut machine = silent(true);
        match by_enrol {
            true => enrol(&mut machine, "i-1", life(6, ADDRESS)),
            false => reinstate(&mut machine, AT, 1, life(6, ADDRESS)),
        }
        assert_eq!(known(&machine, "i-1"), Some(6));
        reinstate(&mut machine, AT, 50, life(5, ADDRESS));
        assert_eq!(known(&machine, "i-1"), Some(6));
        // The silence of the earlier one was noticed late.
        lapse(&mut machine, true);
        assert_eq!(known(&machine, "i-1"), Some(6));
    }
}

#[test]
fn leaving_stays() {
    let mut machine = Machine::new();
    let leaving = Instance {
        leaving: true,
        ..life(5, ADDRESS)
    };
    enrol(&mut machine, "i-1", leaving);
    lapse(&mut machine, true);
    reinstate(&mut machine, AT, 41, life(5, ADDRESS));
    let known = &machine.config().instances[&name("i-1")];
    assert!(known.leaving);
}

/// Guards against a leader that knows less than the one before it: it was elected when the
/// server had crashed.
#[test]
fn later_leader() {
    let mut machine = Machine::new();
    enrol(&mut machine, "i-1", life(5, ADDRESS));
    let mut roster = Roster::default();
    let at = Mono::from_millis;
    roster.receive(
        at(1),
        machine.config(),
        (&name("i-1"), 40),
        &life(5, ADDRESS),
    );
    let number = |machine: &Machine| machine.instances().last_number(&name("i-1"), Birth(5));
    let heard = roster.list_news(|_, _| number(&machine));
    assert_eq!(
        heard,
        [Heartbeat {
            name: name("i-1"),
            birth: Birth(5),
            sequence: 40
        }]
    );
    let exact = roster.watermark(&name("i-1"), Birth(5), number(&machine));
    assert_eq!((exact.sequence, exact.is_certain), (40, true));
    machine.apply(Command::Heard { heard, at: AT });
    assert!(roster.list_news(|_, _| number(&machine)).is_empty());
    machine = restored(&machine);
    // Every replica was restarted.
    let mut roster = Roster::default();
    roster.find_lost(at(2), LEASE, machine.config());
    let watermark = roster.watermark(&name("i-1"), Birth(5), number(&machine));
    assert_eq!((watermark.sequence, watermark.is_certain), (40, false));
    // Numbers start anew with an incarnation.
    assert_eq!(machine.instances().last_number(&name("i-1"), Birth(6)), 0);
}

/// Guards against a service without servers because none of them reaches the replicas. A part
/// of them that is silent while the others speak is withdrawn.
#[parameterized(
    one_of_four = { 1, &["i-0"] },
    two_of_four = { 2, &["i-0", "i-1"] },
    three_of_four = { 3, &[] },
    all = { 4, &[] },
)]
fn most_are_silent(count: usize, expected: &[&str]) {
    let (mut machine, mut roster) = (Machine::new(), Roster::default());
    let address = |n: usize| format!("10.0.0.{n}:80");
    for n in 0..4 {
        enrol(&mut machine, &format!("i-{n}"), life(5, &address(n)));
    }
    let at = Mono::from_millis;
    let config = machine.config();
    roster.find_lost(at(0), LEASE, config);
    for n in count..4 {
        let named = (&name(&format!("i-{n}")), 2);
        roster.receive(at(9_000), config, named, &life(5, &address(n)));
    }
    let (lost, kept) = roster.find_lost(at(10_000), LEASE, config);
    let expected: Vec<Upstream> = expected.iter().map(|text| name(text)).collect();
    assert_eq!(lost, expected);
    assert_eq!(kept, count - expected.len());
}

/// Guards against servers that are withdrawn when the path to the replicas is back, because the
/// first heartbeats of half of them came sooner than theirs.
#[test]
fn path_is_back() {
    let (mut machine, mut roster) = (Machine::new(), Roster::default());
    let address = |n: usize| format!("10.0.0.{n}:80");
    for n in 0..4 {
        enrol(&mut machine, &format!("i-{n}"), life(5, &address(n)));
    }
    let at = Mono::from_millis;
    let config = machine.config();
    roster.find_lost(at(0), LEASE, config);
    assert_eq!(roster.find_lost(at(13_000), LEASE, config).1, 4);
    for n in 0..3 {
        let named = (&name(&format!("i-{n}")), 2);
        roster.receive(at(13_500), config, named, &life(5, &address(n)));
    }
    assert_eq!(roster.find_lost(at(14_000), LEASE, config), (vec![], 1));
    // One that doesn't come back was lost meanwhile.
    let (lost, _) = roster.find_lost(at(18_000), LEASE, config);
    assert_eq!(lost, [name("i-3")]);
}

/// A snapshot of the version before can be read, and the version before can read one in which
/// nobody is silent.
#[test]
fn earlier_snapshot() {
    let text = r#"{"gone":["i-9"],"births":{"i-9":3}}"#;
    let table: Table = serde_json::from_str(text).unwrap();
    assert!(table.is_gone(&name("i-9")));
    assert_eq!(serde_json::to_string(&table).unwrap(), text);
}

#[test]
fn bounded_table() {
    let mut machine = Machine::new();
    for n in 0..=limit::MAX_GONE_INSTANCES {
        let text = format!("i-{n}");
        let address = format!("10.0.{}.{}:80", n / 256, n % 256);
        enrol(&mut machine, &text, life(5, &address));
        machine.apply(Command::Lapse {
            upstream: name(&text),
            watermark: Watermark {
                birth: Birth(5),
                sequence: 1,
                is_certain: true,
            },
            at: AT + Duration::from_millis(n as u64),
        });
    }
    let is_silent = |n: usize| {
        machine
            .instances()
            .silence(&name(&format!("i-{n}")))
            .is_some()
    };
    assert!(!is_silent(0), "the oldest one gave way");
    assert!(is_silent(1) && is_silent(limit::MAX_GONE_INSTANCES));
}
