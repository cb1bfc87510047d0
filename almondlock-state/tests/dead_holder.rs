//! An entry host dies while it holds claims.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use almondlock_base::{
    Code, Ran,
    id::{Host, Incarnation},
};
use almondlock_state::{claim::Verdict, command::Command, limit, machine::Machine};
use common::{HOUR, MINUTE, attempt, claim, code, pass_time, settle, wall};
use yare::parameterized;

fn gone(machine: &mut Machine, life: u64, at: u64) {
    let (host, incarnation) = (Host::new("entry-1").unwrap(), Incarnation(life));
    machine.apply(Command::HolderGone {
        host,
        incarnation,
        at: wall(at),
    });
}

/// The entry host dies after it handed a payment on; the caller sends it again
/// through another host. Nobody knows whether it ran, so it isn't run again:
/// the caller gets `OutcomeLost`, however often it asks.
#[test]
fn never_given_again() {
    let mut machine = Machine::new();
    claim(&mut machine, "k", &attempt("entry-1", 1), 1);
    gone(&mut machine, 7, 2);
    for at in 3..6 {
        let answer = claim(&mut machine, "k", &attempt("entry-2", at), at);
        assert_eq!(answer.code(), Some(Code::OutcomeLost));
    }
}

/// The host was only cut off, and its lease ended. When it is back it knows
/// how the request ended and says so: `no` frees the claim, an outcome is given
/// to later copies.
#[test]
fn returned_holder() {
    let mut machine = Machine::new();
    let holder = attempt("entry-1", 1);
    for (key, ran) in [("freed", Ran::No), ("done", Ran::Yes)] {
        claim(&mut machine, key, &holder, 1);
        gone(&mut machine, 7, 2);
        assert_eq!(
            code(&settle(&mut machine, key, (&holder, ran, "bought"), 3)),
            None
        );
    }
    let second = attempt("entry-2", 1);
    assert_eq!(claim(&mut machine, "freed", &second, 4), Verdict::Granted);
    assert!(matches!(
        claim(&mut machine, "done", &second, 4),
        Verdict::Done(_)
    ));
}

/// A host restarts. Only what its earlier life held is lost.
#[test]
fn other_life() {
    let mut machine = Machine::new();
    claim(&mut machine, "k", &attempt("entry-1", 1), 1);
    gone(&mut machine, 6, 2);
    let second = attempt("entry-2", 1);
    assert_eq!(claim(&mut machine, "k", &second, 3), Verdict::Running);
    assert_eq!(
        machine.claims().holders(),
        [(Host::new("entry-1").unwrap(), Incarnation(7))]
    );
}

/// The entry host restarts and claims again. Nobody has told the replicas that
/// its earlier life ended; its new life's claim tells it. The caller's second
/// copy is answered with `OutcomeLost` and not with `AlreadyRunning` for a day.
#[test]
fn restarted_holder() {
    let mut machine = Machine::new();
    claim(&mut machine, "k", &attempt("entry-1", 1), 1);
    let mut next = attempt("entry-1", 1);
    next.incarnation = Incarnation(8);
    assert_eq!(claim(&mut machine, "other", &next, 2), Verdict::Granted);
    let second = attempt("entry-2", 1);
    assert_eq!(claim(&mut machine, "k", &second, 3), Verdict::Lost);
    assert_eq!(claim(&mut machine, "other", &second, 3), Verdict::Running);
}

/// Nobody ever says how a claim ended. Some time past the organisation's longest
/// deadline, or after a day when the organisation isn't known, it counts as lost,
/// is kept for its time, and is forgotten; it isn't held for ever.
#[parameterized(
    unknown_organisation = { false, limit::MAX_OPEN_CLAIM_AGE },
    known_organisation = { true, Duration::from_secs(600) + limit::OPEN_CLAIM_MARGIN },
)]
fn never_settled(known: bool, span: Duration) {
    let mut machine = Machine::new();
    pass_time(&mut machine, HOUR);
    if known {
        common::change(&mut machine, "1", common::add("acme"), HOUR);
    }
    claim(&mut machine, "k", &attempt("entry-1", 1), HOUR);
    let end = HOUR + u64::try_from(span.as_millis()).unwrap();
    let second = attempt("entry-2", 1);
    pass_time(&mut machine, end - MINUTE);
    assert_eq!(claim(&mut machine, "k", &second, end), Verdict::Running);
    pass_time(&mut machine, end + MINUTE);
    assert_eq!(
        claim(&mut machine, "k", &second, end + MINUTE),
        Verdict::Lost
    );
    pass_time(&mut machine, end + HOUR);
    assert!(machine.claims().is_empty());
}
