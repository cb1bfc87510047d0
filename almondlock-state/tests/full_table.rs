//! Limits of the replicated tables.

#![allow(clippy::unwrap_used)]

mod common;

use almondlock_base::{
    Code, Ran,
    id::{Fingerprint, Incarnation},
};
use almondlock_state::{claim::Verdict, command::Command, limit, machine::Machine};
use common::{
    add, attempt, change, claim, claim_command, code, organisation, propose, settle, upstream,
    verdict, wall,
};

/// Guards against one organisation that fills the table of claims for all: beyond its own
/// part it is refused, and claims of others are still granted.
#[test]
fn greedy_organisation() {
    let mut machine = Machine::new();
    let holder = attempt("entry-1", 1);
    for number in 0..limit::MAX_CLAIMS_PER_ORGANISATION {
        assert_eq!(
            claim(&mut machine, &number.to_string(), &holder, 1),
            Verdict::Granted
        );
    }
    let refused = claim(&mut machine, "one-more", &holder, 1);
    assert_eq!(refused.code(), Some(Code::LimitReached));
    let other = machine.apply(claim_command("rival", "k", &holder, 1)).reply;
    assert_eq!(verdict(other), Verdict::Granted);
    // Claims on known keys are still answered.
    assert_eq!(
        claim(&mut machine, "0", &attempt("entry-2", 1), 1),
        Verdict::Running
    );
}

/// When the kept outcomes reach their limit, the oldest is evicted. Its claim stays, and a
/// copy is told that the request ran.
#[test]
fn oldest_outcome() {
    let mut machine = Machine::new();
    let holder = attempt("entry-1", 1);
    let outcome = "x".repeat(limit::MAX_OUTCOME_BYTES);
    let room = limit::MAX_TOTAL_OUTCOME_BYTES / limit::MAX_OUTCOME_BYTES;
    for number in 0..=room {
        claim(&mut machine, &number.to_string(), &holder, 1);
        settle(
            &mut machine,
            &number.to_string(),
            (&holder, Ran::Yes, &outcome),
            1,
        );
    }
    assert!(machine.claims().outcome_bytes() <= limit::MAX_TOTAL_OUTCOME_BYTES);
    let second = attempt("entry-2", 1);
    assert_eq!(claim(&mut machine, "0", &second, 2), Verdict::Dropped);
    assert!(matches!(
        claim(&mut machine, "1", &second, 2),
        Verdict::Done(_)
    ));
}

/// When too many plans wait for confirmation, the next proposal is refused.
#[test]
fn open_plans() {
    let mut machine = Machine::new();
    for number in 0..limit::MAX_OPEN_PLANS {
        let name = format!("o{number}");
        assert_eq!(code(&propose(&mut machine, &name, add(&name), 1)), None);
    }
    let refused = propose(&mut machine, "more", add("more"), 1);
    assert_eq!(code(&refused), Some(Code::LimitReached));
}

/// When an organisation has too many suspects, its own oldest one is evicted, and those of
/// other organisations stay.
#[test]
fn many_suspects() {
    let mut machine = Machine::new();
    let blame = |machine: &mut Machine, owner: &str, number: u64| {
        let organisation = organisation(owner);
        let fingerprint = Fingerprint::new(&organisation, "/", &number.to_le_bytes());
        let (upstream, incarnation) = (upstream("u"), Incarnation(number));
        let at = wall(number);
        let command = Command::Blame {
            fingerprint,
            organisation,
            upstream,
            incarnation,
            at,
        };
        assert_eq!(machine.apply(command).reply.code(), None);
        fingerprint
    };
    let rival = blame(&mut machine, "rival", 1);
    let first = blame(&mut machine, "acme", 2);
    for number in 0..limit::MAX_QUARANTINES_PER_ORGANISATION {
        blame(&mut machine, "acme", 3 + u64::try_from(number).unwrap());
    }
    assert!(machine.config().quarantine(rival).is_some());
    assert!(machine.config().quarantine(first).is_none());
    assert_eq!(
        machine.config().quarantines.len(),
        limit::MAX_QUARANTINES_PER_ORGANISATION + 1
    );
}

/// The history and the table of plans keep only their newest entries.
#[test]
fn bounded_history() {
    let mut machine = Machine::new();
    change(&mut machine, "start", add("acme"), 1);
    for number in 0..limit::MAX_HISTORY_RECORDS {
        let share = common::share("acme", u32::try_from(number % 7).unwrap() + 1);
        change(&mut machine, &number.to_string(), share, 1);
    }
    assert_eq!(machine.history().iter().count(), limit::MAX_HISTORY_RECORDS);
    assert!(machine.plans().iter().count() <= limit::MAX_ENDED_PLANS + 1);
}
