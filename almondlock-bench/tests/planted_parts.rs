//! The soak's checks of a part of prompts that crashes upstreams find what they are there for.

use almondlock_bench::soak::{
    check::{self, BOUNDS},
    history::{Arrival, History, Kind, Outcome, Request},
    plan::{Act, Fault},
};
use yare::parameterized;

/// When the first upstream crashes.
const FIRST: u64 = 5_000;
/// Between two requests of a kind.
const PAUSE: u64 = 100;
/// When the last request with the part is sent.
const LAST: u64 = 25_000;

fn request(id: &str, kind: Kind, sent: u64, outcome: Outcome) -> Request {
    Request {
        id: id.to_owned(),
        host: 0,
        life: 1,
        kind,
        key: "kept".to_owned(),
        sent,
        ended: sent + 20,
        outcome,
        code: None,
    }
}

fn arrival(id: &str, at: u64, crashed: Option<u64>) -> Arrival {
    Arrival {
        id: id.to_owned(),
        upstream: 1,
        service: "engines",
        at,
        ran: true,
        domain: 0,
        cold: false,
        resumes: false,
        answered: None,
        pause: None,
        leaving: false,
        is_broken: crashed.is_some(),
        crashed,
    }
}

/// A part crashes this many upstreams, one each 100 ms, and later requests with it don't reach
/// any but for the last `late` of them. `served` tells whether a sound stream of that time is.
fn history(crashes: u64, late: u64, served: impl Fn(u64) -> bool) -> History {
    let mut history = History::default();
    for n in 0.. {
        let at = n * PAUSE;
        if at > LAST {
            return history;
        }
        let sound = match served(at) {
            true => Outcome::Status(200),
            false => Outcome::Status(502),
        };
        let id = format!("sound-{n}");
        history.requests.push(request(&id, Kind::Short, at, sound));
        if at < FIRST {
            continue;
        }
        let id = format!("part-{n}");
        let place = (at - FIRST) / PAUSE;
        let crashed = place < crashes;
        if crashed || LAST - at < late * PAUSE {
            history.arrivals.push(arrival(&id, at, Some(at + 50)));
        }
        let outcome = match crashed {
            true => Outcome::Status(502),
            false => Outcome::Status(429),
        };
        history.requests.push(request(&id, Kind::Part, at, outcome));
    }
    history
}

fn checks(history: &History) -> Vec<&'static str> {
    let findings = check::all(history, &BOUNDS).into_iter();
    let checks = findings.map(|finding| finding.check);
    let of_parts = ["part", "beside", "innocent"];
    checks.filter(|check| of_parts.contains(check)).collect()
}

#[parameterized(
    few = { 4, 0, &[] },
    allowed = { 7, 3, &[] },
    many = { 7, 4, &["part"] },
    all = { 300, 0, &["part"] },
)]
fn late_arrivals(crashes: u64, late: u64, found: &[&str]) {
    assert_eq!(checks(&history(crashes, late, |_| true)), found);
}

/// Streams that are lost while hosts may still react don't count, nor does half of them later.
#[parameterized(
    at_first = { 0, 1, &[] },
    half = { LAST, 2, &[] },
    fewer = { LAST, 3, &["beside"] },
)]
fn sound_streams(until: u64, one_in: u64, found: &[&str]) {
    let later = FIRST + 500 + 2 * BOUNDS.contact;
    let history = history(7, 0, |at| match at {
        ..FIRST => true,
        at if at < later => false,
        at => at >= until || (at / PAUSE + 1).is_multiple_of(one_in),
    });
    assert_eq!(checks(&history), found);
}

/// What hosts that are disturbed send isn't counted.
#[test]
fn disturbed() {
    let mut history = history(7, 4, |_| true);
    history.faults.push(Fault {
        number: 0,
        at: LAST - 1_000,
        length: 500,
        act: Act::KillHost(0),
    });
    assert!(checks(&history).is_empty());
}

/// A usual request that is refused because upstreams were lost with it.
#[test]
fn refused_innocent() {
    let mut history = history(7, 0, |_| true);
    history.requests[3].code = Some(2018);
    assert_eq!(checks(&history), ["innocent"]);
}
