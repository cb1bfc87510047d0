//! A claim is granted to one attempt, and its end decides the answer to later copies.

#![allow(clippy::unwrap_used)]

mod common;

use almondlock_base::{Code, Ran};
use almondlock_state::{blob::Blob, claim::Verdict, command::Command, limit, machine::Machine};
use common::{MINUTE, attempt, claim, claim_command, code, pass_time, settle, verdict};

/// Guards against a payment that runs twice: the caller sends it twice, and the copies reach
/// two entry hosts. The second copy is told that the first is running, and gets its outcome
/// once it has ended.
#[test]
fn second_copy() {
    let mut machine = Machine::new();
    let (first, second) = (attempt("entry-1", 1), attempt("entry-2", 1));
    assert_eq!(claim(&mut machine, "k", &first, 1), Verdict::Granted);
    // The same attempt asks again because the answer to its claim was lost.
    assert_eq!(claim(&mut machine, "k", &first, 1), Verdict::Granted);
    assert_eq!(claim(&mut machine, "k", &second, 2), Verdict::Running);
    assert_eq!(
        code(&settle(&mut machine, "k", (&first, Ran::Yes, "bought"), 3)),
        None
    );
    let outcome = Blob::from(&b"bought"[..]);
    assert_eq!(claim(&mut machine, "k", &second, 4), Verdict::Done(outcome));
}

/// A request with a used key and another body neither runs nor gets the other's outcome.
#[test]
fn other_body() {
    let mut machine = Machine::new();
    let holder = attempt("entry-1", 1);
    claim(&mut machine, "k", &holder, 1);
    let mut command = claim_command("acme", "k", &attempt("entry-2", 1), 2);
    if let Command::Claim { body, .. } = &mut command {
        *body = Blob::from(&b"other"[..]);
    }
    let answer = verdict(machine.apply(command).reply);
    assert_eq!(answer.code(), Some(Code::KeyReused));
    // The same key of another organisation is another key.
    let other = claim_command("rival", "k", &attempt("entry-2", 1), 2);
    assert_eq!(verdict(machine.apply(other).reply), Verdict::Granted);
}

/// Guards against a claim that nobody settles: the upstream refuses the first attempt, which
/// therefore frees its claim, and a delayed duplicate of its claim arrives afterwards.
#[test]
fn freed_claim() {
    let mut machine = Machine::new();
    let (first, second) = (attempt("entry-1", 1), attempt("entry-2", 1));
    claim(&mut machine, "k", &first, 1);
    assert_eq!(
        code(&settle(&mut machine, "k", (&first, Ran::No, ""), 2)),
        None
    );
    assert!(matches!(
        claim(&mut machine, "k", &first, 3),
        Verdict::Refused(_)
    ));
    assert_eq!(claim(&mut machine, "k", &second, 4), Verdict::Granted);
    // The first attempt's `no` arrives again and must not free the second's claim.
    let late = settle(&mut machine, "k", (&first, Ran::No, ""), 5);
    assert_eq!(code(&late), Some(Code::Conflict));
    assert_eq!(
        claim(&mut machine, "k", &attempt("entry-3", 1), 6),
        Verdict::Running
    );
}

/// A copy of a request whose outcome was too large to keep is told that the request ran. A
/// copy that arrives after the claim's retention is granted.
#[test]
fn bounded_keep() {
    let mut machine = Machine::new();
    let holder = attempt("entry-1", 1);
    pass_time(&mut machine, MINUTE);
    claim(&mut machine, "k", &holder, MINUTE);
    let large = "x".repeat(limit::MAX_OUTCOME_BYTES + 1);
    settle(&mut machine, "k", (&holder, Ran::Yes, &large), MINUTE);
    let second = attempt("entry-2", 1);
    assert_eq!(
        claim(&mut machine, "k", &second, 2 * MINUTE),
        Verdict::Dropped
    );
    pass_time(&mut machine, 10 * MINUTE);
    assert_eq!(
        claim(&mut machine, "k", &second, 10 * MINUTE),
        Verdict::Dropped
    );
    pass_time(&mut machine, 12 * MINUTE);
    assert_eq!(
        claim(&mut machine, "k", &second, 12 * MINUTE),
        Verdict::Granted
    );
}

/// Guards against a leader whose clock is a day ahead: it must not expire all claims at once,
/// because copies of their requests would run a second time.
#[test]
fn wrong_clock() {
    let mut machine = Machine::new();
    let holder = attempt("entry-1", 1);
    pass_time(&mut machine, MINUTE);
    claim(&mut machine, "k", &holder, MINUTE);
    settle(&mut machine, "k", (&holder, Ran::Yes, "bought"), MINUTE);
    let day = 24 * 60 * MINUTE;
    machine.apply(Command::Expire {
        at: common::wall(day),
    });
    let second = claim(&mut machine, "k", &attempt("entry-2", 1), 2 * MINUTE);
    assert!(matches!(second, Verdict::Done(_)), "{second:?}");
    // The next leader's clock is right, and therefore behind the machine's.
    let clock = machine.clock();
    machine.apply(Command::Expire {
        at: common::wall(MINUTE),
    });
    assert_eq!(machine.clock(), clock);
}
