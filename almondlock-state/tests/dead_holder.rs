//! Claims whose holder dies, restarts or is cut off.

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

/// Guards against running a request twice: the entry host dies after it forwarded a payment,
/// and the caller sends it again through another host. Since the payment may have run, the
/// caller gets `OutcomeLost`, however often it asks.
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

/// The host was only cut off, and its lease ended. It returns and reports how its requests
/// ended: `no` frees a claim, and an outcome is given to later copies.
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

/// A host restarts. Only the claims of its earlier incarnation are lost.
#[test]
fn other_incarnation() {
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

/// Guards against copies that get `AlreadyRunning` for a day: an entry host restarts, and
/// the replicas learn of it only by a claim of its new incarnation. Copies then get
/// `OutcomeLost`.
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

/// Guards against claims that stay open for ever when nobody settles them. Such a claim
/// counts as lost some time after the organisation's longest deadline, or after a day if the
/// organisation is unknown, and is removed after its retention.
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
