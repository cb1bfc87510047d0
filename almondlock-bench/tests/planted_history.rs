//! Each check of the soak finds what it is there for: a history that keeps every promise is
//! broken in one place, as a faulty system would break it.

use almondlock_bench::soak::{
    check::{self, BOUNDS},
    history::{Arrival, Evacuation, Footprint, History, Kind, Outcome, Publication, Read, Request},
    plan::{Act, Fault},
};
use yare::parameterized;

/// When the last fault was over.
const HEALED: u64 = 30_000;

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

fn arrival(id: &str, at: u64) -> Arrival {
    Arrival {
        id: id.to_owned(),
        upstream: 1,
        service: "plain",
        at,
        ran: true,
        domain: 0,
        cold: false,
        resumes: false,
        answered: Some((at + 5, None)),
        pause: None,
        leaving: false,
        is_broken: false,
        crashed: None,
    }
}

fn publication(version: u64, acknowledged: u64, keys: &[&str]) -> Publication {
    Publication {
        version,
        sent: acknowledged - 10,
        acknowledged: Some(acknowledged),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
    }
}

fn fault(at: u64, length: u64, act: Act) -> Fault {
    Fault {
        number: 0,
        at,
        length,
        act,
    }
}

/// A history in which every promise is kept.
fn clean() -> History {
    let served = Outcome::Status(200);
    History {
        requests: vec![
            request("a", Kind::Unsafe, 1_000, served),
            request("b", Kind::Unsafe, 2_000, Outcome::Status(503)),
            request("v1", Kind::Version(1), 3_000, served),
            request("v2", Kind::Version(2), 6_000, served),
            request("end", Kind::Safe, HEALED + BOUNDS.recovery + 500, served),
        ],
        arrivals: vec![
            arrival("a", 1_005),
            arrival("v1", 3_005),
            arrival("v2", 6_005),
            arrival("end", HEALED + BOUNDS.recovery + 505),
        ],
        publications: vec![
            publication(1, 100, &["kept", "taken"]),
            publication(2, 5_000, &["kept"]),
        ],
        reads: vec![
            Read {
                sent: 4_000,
                version: 1,
            },
            Read {
                sent: HEALED + BOUNDS.recovery + 600,
                version: 2,
            },
        ],
        footprints: vec![Footprint {
            process: "host-0".to_owned(),
            memory_kb: 9_000,
            descriptors: 90,
        }],
        healed: HEALED,
        ..History::default()
    }
}

fn ran_twice(history: &mut History) {
    history.arrivals.push(arrival("a", 1_100));
}

fn ran_though_refused(history: &mut History) {
    history.arrivals.push(arrival("b", 2_005));
}

fn answered_wrong(history: &mut History) {
    history.requests[0].outcome = Outcome::Wrong;
}

fn change_lost(history: &mut History) {
    history.reads.push(Read {
        sent: 41_000,
        version: 1,
    });
}

fn never_read(history: &mut History) {
    history.reads.clear();
}

fn unreadable_at_end(history: &mut History) {
    history.reads[1].sent = HEALED + BOUNDS.recovery;
}

fn never_acknowledged(history: &mut History) {
    let mut late = publication(3, HEALED - 1_000, &["kept"]);
    late.acknowledged = None;
    history.publications.push(late);
}

fn went_back(history: &mut History) {
    let late = request("back", Kind::Version(1), 7_000, Outcome::Status(200));
    history.requests.push(late);
}

/// A request to the route of a version, so long after the second one was acknowledged.
fn asked_version(history: &mut History, version: u64, after: u64, status: u16) {
    let kind = Kind::Version(version);
    let asked = request("asked", kind, 5_000 + after, Outcome::Status(status));
    history.requests.push(asked);
}

fn stayed_old(history: &mut History) {
    // By another host than the one that has served the second version.
    asked_version(history, 1, BOUNDS.apply + 1, 200);
    history.requests.iter_mut().last().unwrap().host = 1;
}

fn new_unknown(history: &mut History) {
    asked_version(history, 2, BOUNDS.apply + 1, 404);
}

fn new_not_ready(history: &mut History) {
    asked_version(history, 2, BOUNDS.apply + 1, 503);
    history.requests.iter_mut().last().unwrap().code = Some(2009);
}

fn panicked(history: &mut History) {
    let line = "host-0: {\"message\":\"panic\"}".to_owned();
    history.faulty_lines.push(line);
}

fn key_honoured(history: &mut History) {
    let sent = 5_000 + BOUNDS.revocation + 1;
    let mut late = request("late", Kind::Safe, sent, Outcome::Status(200));
    late.key = "taken".to_owned();
    history.requests.push(late);
    history.arrivals.push(arrival("late", sent + 5));
}

fn cut_at_stop(history: &mut History) {
    history.faults.push(fault(10_000, 3_000, Act::StopHost(0)));
    let cut = request("cut", Kind::Short, 11_000, Outcome::Broken);
    history.requests.push(cut);
    history.arrivals.push(arrival("cut", 11_005));
}

fn memory_left(history: &mut History) {
    history.held = 10;
}

fn retried_often(history: &mut History) {
    let safe = request("often", Kind::Safe, 8_000, Outcome::Status(200));
    history.requests.push(safe);
    let again = (0..110).map(|n| arrival("often", 8_000 + n));
    history.arrivals.extend(again);
}

/// The other service's requests don't pay for these.
fn retried_for_one_service(history: &mut History) {
    let others = (0..900).map(|n| {
        let id = format!("other-{n}");
        request(&id, Kind::Short, 8_000, Outcome::Status(200))
    });
    history.requests.extend(others);
    let again = (0..110).map(|n| arrival("often", 8_000 + n));
    history.arrivals.extend(again);
}

fn not_served(history: &mut History) {
    let at = HEALED + BOUNDS.recovery + 1_000;
    let refused = request("refused", Kind::Safe, at, Outcome::Status(503));
    history.requests.push(refused);
}

fn never_asked(history: &mut History) {
    history.requests.pop();
}

fn did_not_stop(history: &mut History) {
    history.unstopped.push("host-1".to_owned());
}

fn grew(history: &mut History) {
    history.footprints[0].memory_kb = BOUNDS.memory_kb + 1;
}

fn leaked_descriptors(history: &mut History) {
    history.footprints[0].descriptors = BOUNDS.descriptors + 1;
}

fn reached_evacuated(history: &mut History) {
    history.evacuations.push(Evacuation {
        domain: 0,
        acknowledged: 7_000,
        withdrawn: None,
    });
    let late = arrival("a", 7_000 + BOUNDS.evacuation + 1);
    history.arrivals.push(Arrival { ran: false, ..late });
}

fn cold_overrun(history: &mut History) {
    let rejected = |n: u64| Arrival {
        ran: false,
        cold: true,
        ..arrival(&format!("cold-{n}"), 8_000 + 80 * n)
    };
    history.arrivals.extend((0..13).map(rejected));
}

fn started_late(history: &mut History) {
    history.faults.push(fault(10_000, 300, Act::KillAll));
}

/// So many requests in each second at a limit of 1.9 a second, from 8 s to 16 s.
fn limited(history: &mut History, per_second: u64) {
    for at in (8_000..16_000).step_by(1_000 / per_second as usize) {
        let id = format!("limited-{at}");
        history
            .requests
            .push(request(&id, Kind::Short, at, Outcome::Status(200)));
        let mut arrival = arrival(&id, at);
        arrival.answered = Some((at + 5, Some(1_900)));
        history.arrivals.push(arrival);
    }
}

fn over_limit(history: &mut History) {
    limited(history, 5);
}

/// A request that an upstream turns away at 10 s with a pause of 3 s, and so many after it.
fn pausing(history: &mut History, more: u64) {
    for n in 0..=more {
        let (id, at) = (format!("pausing-{n}"), 10_000 + n * 600);
        history
            .requests
            .push(request(&id, Kind::Safe, at, Outcome::Status(200)));
        let mut arrival = arrival(&id, at);
        arrival.upstream = 2;
        arrival.pause = (n == 0).then_some(at + 3_000);
        arrival.ran = n > 0;
        history.arrivals.push(arrival);
    }
}

fn pause_broken(history: &mut History) {
    pausing(history, 3);
}

/// An answer at 10 s says that its upstream leaves, and a request is sent to it so much
/// later.
fn left(history: &mut History, after: u64) {
    for (id, at) in [("left", 10_000), ("late", 10_000 + after)] {
        history
            .requests
            .push(request(id, Kind::Safe, at, Outcome::Status(200)));
        let mut arrival = arrival(id, at);
        arrival.upstream = 3;
        arrival.leaving = true;
        history.arrivals.push(arrival);
    }
}

fn leaving_reached(history: &mut History) {
    left(history, BOUNDS.drain + 100);
}

fn crashed_on(history: &mut History) {
    for n in 0..12 {
        let (id, at) = (format!("crash-{n}"), 1_000 + n * 1_000);
        history
            .requests
            .push(request(&id, Kind::Crash, at, Outcome::Status(502)));
        history.arrivals.push(arrival(&id, at + 5));
    }
}

/// A request that crashes upstreams, sent long after the last fault.
fn crashing_late(history: &mut History, outcome: Outcome) {
    let sent = HEALED + BOUNDS.recovery + 600;
    history
        .requests
        .push(request("late", Kind::Crash, sent, outcome));
}

fn crash_not_refused(history: &mut History) {
    crashing_late(history, Outcome::Status(502));
}

#[parameterized(
    crash = { crashed_on, "crash" },
    twice = { ran_twice, "once" },
    run_refused = { ran_though_refused, "not-run" },
    wrong = { answered_wrong, "whole" },
    lost_change = { change_lost, "kept" },
    unreadable = { never_read, "kept" },
    unreadable_late = { unreadable_at_end, "kept" },
    unacknowledged = { never_acknowledged, "recovery" },
    backwards = { went_back, "forward" },
    old_version = { stayed_old, "in-force" },
    unknown_version = { new_unknown, "in-force" },
    unready_version = { new_not_ready, "in-force" },
    panic = { panicked, "sound" },
    taken_key = { key_honoured, "revoked" },
    cut_off = { cut_at_stop, "uncut" },
    leaked = { memory_left, "memory" },
    retry_storm = { retried_often, "retries" },
    retry_storm_of_one_service = { retried_for_one_service, "retries" },
    unrecovered = { not_served, "recovery" },
    unasked = { never_asked, "recovery" },
    crashing = { crash_not_refused, "recovery" },
    unstopped = { did_not_stop, "recovery" },
    memory = { grew, "footprint" },
    descriptors = { leaked_descriptors, "footprint" },
    unlimited = { over_limit, "limit" },
    pause = { pause_broken, "pause" },
    leaving = { leaving_reached, "leaving" },
    evacuated = { reached_evacuated, "evacuated" },
    cold = { cold_overrun, "cold" },
    start = { started_late, "start" },
)]
fn found(plant: fn(&mut History), check: &str) {
    let mut history = clean();
    plant(&mut history);
    let findings = check::all(&history, &BOUNDS);
    let found: Vec<&str> = findings.iter().map(|finding| finding.check).collect();
    assert!(!found.is_empty());
    assert!(found.iter().all(|name| *name == check), "{findings:?}");
}

/// Nothing is found where every promise is kept.
#[test]
fn clean_history() {
    assert_eq!(check::all(&clean(), &BOUNDS), []);
}

/// Four a second are allowed at a limit of 1.9: half as many again, and five in four seconds.
#[test]
fn limit_kept() {
    let mut history = clean();
    limited(&mut history, 4);
    assert_eq!(check::all(&history, &BOUNDS), []);
}

/// A request that crashes upstreams is refused, also once all is well.
#[test]
fn crash_refused() {
    let mut history = clean();
    crashing_late(&mut history, Outcome::Status(429));
    assert_eq!(check::all(&history, &BOUNDS), []);
}

/// Two requests within a pause are allowed, and one that is sent to a host while the upstream
/// may still be draining.
#[test]
fn asked_kept() {
    let mut history = clean();
    pausing(&mut history, 2);
    left(&mut history, BOUNDS.drain);
    assert_eq!(check::all(&history, &BOUNDS), []);
}

/// A host that was killed since doesn't know what upstreams asked before.
#[test]
fn asked_excused() {
    let mut history = clean();
    pause_broken(&mut history);
    leaving_reached(&mut history);
    history.faults.push(fault(10_100, 500, Act::KillHost(0)));
    assert_eq!(check::all(&history, &BOUNDS), []);
}

/// A host that was killed meanwhile may have sent more.
#[test]
fn limit_excused() {
    let mut history = clean();
    over_limit(&mut history);
    history.faults.push(fault(9_000, 500, Act::KillHost(0)));
    assert_eq!(check::all(&history, &BOUNDS), []);
}

/// An unplanned fault at the same time excuses what a stop cut off; planned work doesn't.
#[parameterized(
    unplanned = { Act::Crash(1), false },
    planned = { Act::Release(1), true },
)]
fn cut_excused(act: Act, is_found: bool) {
    let mut history = clean();
    cut_at_stop(&mut history);
    history.faults.push(fault(10_500, 1_000, act));
    assert_eq!(!check::all(&history, &BOUNDS).is_empty(), is_found);
}

/// An answer that its upstream broke off was not cut by the host that stops.
#[test]
fn broken_upstream() {
    let mut history = clean();
    cut_at_stop(&mut history);
    let cut = history.arrivals.iter_mut().find(|a| a.id == "cut");
    cut.unwrap().is_broken = true;
    assert_eq!(check::all(&history, &BOUNDS), []);
}
