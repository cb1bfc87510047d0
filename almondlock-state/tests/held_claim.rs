//! A claim is given to one attempt, and what its end means to later copies.

#![allow(clippy::unwrap_used)]

use almondlock_base::{
    Ran,
    id::{Attempt, Host, Incarnation, Organisation},
    time::Wall,
};
use almondlock_state::{
    blob::Blob,
    claim::Verdict,
    command::{Command, Reply},
    machine::Machine,
};

const MINUTE: u64 = 60_000;

fn attempt(host: &str, counter: u64) -> Attempt {
    let host = Host::new(host).unwrap();
    Attempt {
        host,
        incarnation: Incarnation(7),
        counter,
    }
}

fn claim(machine: &mut Machine, holder: &Attempt, body: &str, at: u64) -> Verdict {
    let command = Command::Claim {
        organisation: Organisation::new("acme").unwrap(),
        key: "tender-1".to_owned(),
        body: Blob::from(body.as_bytes()),
        holder: holder.clone(),
        keep: 10 * MINUTE,
        at: Wall::from_millis(at),
    };
    match machine.apply(command).reply {
        Reply::Claimed { verdict } => verdict,
        other => panic!("{other:?}"),
    }
}

fn settle(machine: &mut Machine, holder: &Attempt, ran: Ran, outcome: &str, at: u64) -> Reply {
    let command = Command::SettleClaim {
        organisation: Organisation::new("acme").unwrap(),
        key: "tender-1".to_owned(),
        holder: holder.clone(),
        ran,
        outcome: Blob::from(outcome.as_bytes()),
        at: Wall::from_millis(at),
    };
    machine.apply(command).reply
}

/// The caller sends the same tender twice, and the balancer gives the copies to
/// two entry hosts. The second waits or is answered; it never runs. After the
/// first ended, the second gets the first one's outcome.
#[test]
fn second_copy() {
    let mut machine = Machine::new();
    let (first, second) = (attempt("entry-1", 1), attempt("entry-2", 1));
    assert_eq!(claim(&mut machine, &first, "body", 0), Verdict::Granted);
    assert_eq!(claim(&mut machine, &first, "body", 0), Verdict::Granted);
    assert_eq!(claim(&mut machine, &second, "body", 1), Verdict::Running);
    assert_eq!(claim(&mut machine, &second, "other", 1), Verdict::Mismatch);
    assert!(
        settle(&mut machine, &first, Ran::Yes, "bought", 2)
            .code()
            .is_none()
    );
    let outcome = Blob::from(&b"bought"[..]);
    assert_eq!(
        claim(&mut machine, &second, "body", 3),
        Verdict::Done(outcome)
    );
}

/// The first attempt is refused by the upstream, so that it provably did not
/// run, and another attempt may. A delayed copy of the first one's claim arrives
/// after that: granted, it would stay open for ever.
#[test]
fn freed_claim() {
    let mut machine = Machine::new();
    let (first, second) = (attempt("entry-1", 1), attempt("entry-2", 1));
    assert_eq!(claim(&mut machine, &first, "body", 0), Verdict::Granted);
    assert!(
        settle(&mut machine, &first, Ran::No, "", 1)
            .code()
            .is_none()
    );
    assert!(matches!(
        claim(&mut machine, &first, "body", 2),
        Verdict::Refused(_)
    ));
    assert_eq!(claim(&mut machine, &second, "body", 3), Verdict::Granted);
    assert!(
        settle(&mut machine, &first, Ran::No, "", 4)
            .code()
            .is_some()
    );
    assert_eq!(claim(&mut machine, &first, "body", 5), Verdict::Running);
}
