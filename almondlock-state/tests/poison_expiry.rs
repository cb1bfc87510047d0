//! Refusal of requests that crash engines, and its expiry.

#![allow(clippy::unwrap_used)]

mod common;

use almondlock_base::id::{Fingerprint, Incarnation};
use almondlock_state::{command::Command, config::Quarantine, limit, machine::Machine};
use common::{HOUR, organisation, pass_time, upstream, wall};

fn print(owner: &str, body: &str) -> Fingerprint {
    Fingerprint::new(&organisation(owner), "/", body.as_bytes())
}

fn blame(machine: &mut Machine, body: &str, life: u64, at: u64) {
    machine.apply(Command::Blame {
        fingerprint: print("acme", body),
        organisation: organisation("acme"),
        upstream: upstream("u"),
        incarnation: Incarnation(life),
        at: wall(at),
    });
}

fn clear(machine: &mut Machine, body: &str, at: u64) {
    let (fingerprint, organisation) = (print("acme", body), organisation("acme"));
    machine.apply(Command::Clear {
        fingerprint,
        organisation,
        at: wall(at),
    });
}

fn quarantine<'a>(machine: &'a Machine, body: &str) -> Option<&'a Quarantine> {
    machine.config().quarantine(print("acme", body))
}

/// A request that runs alone is refused after the deaths of two engines. A death that three
/// entry hosts report counts once.
#[test]
fn two_alone() {
    let mut machine = Machine::new();
    for _ in 0..3 {
        blame(&mut machine, "poison", 1, HOUR);
    }
    assert!(quarantine(&machine, "poison").is_some_and(|it| !it.refused && it.deaths == 1));
    blame(&mut machine, "poison", 2, HOUR);
    assert!(quarantine(&machine, "poison").is_some_and(|it| it.refused));
}

/// A poison request crashes three engines while other requests run there. An innocent one that
/// ran beside it twice is only suspected, and is cleared once it finishes alone. The poison
/// request can't be cleared any more.
#[test]
fn innocent_beside() {
    let mut machine = Machine::new();
    for life in 1..=3 {
        blame(&mut machine, "poison", life, HOUR);
        let beside = if life < 3 { "innocent" } else { "other" };
        blame(&mut machine, beside, life, HOUR);
    }
    assert!(quarantine(&machine, "poison").is_some_and(|it| it.refused));
    assert!(quarantine(&machine, "innocent").is_some_and(|it| !it.refused));
    clear(&mut machine, "innocent", HOUR);
    clear(&mut machine, "poison", HOUR);
    assert!(quarantine(&machine, "innocent").is_none());
    assert!(quarantine(&machine, "poison").is_some_and(|it| it.refused));
}

/// A quarantine expires in time and not before, also after a restore from a snapshot.
#[test]
fn ends_by_itself() {
    let mut machine = Machine::new();
    pass_time(&mut machine, HOUR);
    blame(&mut machine, "poison", 1, HOUR);
    blame(&mut machine, "poison", 2, HOUR);
    blame(&mut machine, "suspect", 3, HOUR);
    let mut machine = Machine::restore(&machine.snapshot()).unwrap();
    pass_time(&mut machine, 3 * HOUR);
    assert!(quarantine(&machine, "suspect").is_none());
    assert!(quarantine(&machine, "poison").is_some_and(|it| it.refused));
    let kept = u64::try_from(limit::REFUSAL_RETENTION.as_millis()).unwrap();
    pass_time(&mut machine, 2 * HOUR + kept);
    assert!(machine.config().quarantines.is_empty());
}

/// Blame doesn't affect a request with the same body from another organisation.
#[test]
fn other_organisation() {
    let mut machine = Machine::new();
    blame(&mut machine, "poison", 1, HOUR);
    blame(&mut machine, "poison", 2, HOUR);
    assert!(
        machine
            .config()
            .quarantine(print("rival", "poison"))
            .is_none()
    );
}
