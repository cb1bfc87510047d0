//! The soak's check of times in which all new connections go to one host finds what it is
//! there for.

use almondlock_bench::soak::{
    check::{self, BOUNDS},
    history::{History, Kind, Outcome, Request},
    plan::{Act, Fault},
};
use yare::parameterized;

/// When all connections go to one host, and for how long.
const AIMED: (u64, u64) = (5_000, 7_000);

/// One request each 20 ms. While the host has had time to react, this part of ten is served.
fn history(served: u64) -> History {
    let mut history = History::default();
    for n in 0..1_000 {
        let sent = n * 20;
        let (at, length) = AIMED;
        let is_judged = (at + BOUNDS.contact..at + length).contains(&sent);
        let outcome = match is_judged && n % 10 >= served {
            true => Outcome::Status(503),
            false => Outcome::Status(200),
        };
        history.requests.push(Request {
            id: n.to_string(),
            host: 0,
            life: 1,
            kind: Kind::Safe,
            key: "kept".to_owned(),
            sent,
            ended: sent + 10,
            outcome,
            code: None,
        });
    }
    history.faults.push(fault(AIMED, Act::Aim(0)));
    history
}

fn fault((at, length): (u64, u64), act: Act) -> Fault {
    Fault {
        number: 0,
        at,
        length,
        act,
    }
}

fn is_found(history: &History) -> bool {
    let findings = check::all(history, &BOUNDS);
    findings.iter().any(|finding| finding.check == "aimed")
}

#[parameterized(
    all = { 10, false },
    four_fifths = { 8, false },
    seven_tenths = { 7, true },
    none = { 0, true },
)]
fn served(part: u64, found: bool) {
    assert_eq!(is_found(&history(part)), found);
}

/// A host that is killed meanwhile serves less.
#[test]
fn disturbed() {
    let mut history = history(0);
    history.faults.push(fault((9_000, 500), Act::KillHost(0)));
    assert!(!is_found(&history));
}
