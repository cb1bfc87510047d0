//! The promises, judged by what was seen. Each check gives its findings; none means that
//! the promise was kept.

mod aimed;
mod asked;
pub mod crashes;
mod in_force;
mod limits;
mod orders;
pub mod retries;

use std::collections::{HashMap, HashSet};

use super::{
    history::{Arrival, History, Kind, Outcome, Request},
    plan::Act,
};

/// The times and figures that the deployment promises, in milliseconds where they are times.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Until a host that is undisturbed acts on what others know.
    pub contact: u64,
    /// After an answer that named its upstream leaving, until requests sent to its host reach
    /// it no more.
    pub drain: u64,
    /// Until a configuration that was acknowledged is in force at every host.
    pub apply: u64,
    /// Until a key that was taken away stops working.
    pub revocation: u64,
    /// Until everything is served after the last fault.
    pub recovery: u64,
    /// From a stop to the end of the process.
    pub grace: u64,
    /// How long after it was sent a request that no upstream got may be cut off.
    pub slack: u64,
    /// Further attempts for each request, and in any case, within ten seconds.
    pub retries: (f64, usize),
    /// Until nothing reaches a failure domain that is evacuated.
    pub evacuation: u64,
    /// Until every host serves after all processes were started again.
    pub start: u64,
    /// What a cold upstream may get in a second, of what it bears, and in any case.
    pub cold: (f64, usize),
    /// The most resident memory of a process, in kilobytes.
    pub memory_kb: u64,
    /// The most descriptors of a process.
    pub descriptors: usize,
}

/// Those of the users' platform.
pub const BOUNDS: Bounds = Bounds {
    contact: 3_000,
    drain: 2_000,
    apply: 2_000,
    revocation: 5_000,
    recovery: 12_000,
    grace: 8_000,
    slack: 200,
    retries: (0.2, 100),
    evacuation: 5_000,
    start: 3_000,
    cold: (1.5, 5),
    memory_kb: 160 * 1024,
    descriptors: 3_900,
};

/// Upstreams that a request may crash, and as many again.
const CRASHES: usize = 3;

/// A promise that was not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The check.
    pub check: &'static str,
    /// What was seen.
    pub text: String,
}

/// All checks.
pub fn all(history: &History, bounds: &Bounds) -> Vec<Finding> {
    let checks: [(&'static str, Vec<String>); 24] = [
        ("once", once(history)),
        ("not-run", not_run(history)),
        ("whole", whole(history)),
        ("kept", kept(history, bounds)),
        ("forward", forward(history)),
        ("in-force", in_force::in_force(history, bounds)),
        ("sound", history.faulty_lines.clone()),
        ("revoked", revoked(history, bounds)),
        ("uncut", uncut(history, bounds)),
        ("memory", memory(history)),
        ("retries", retries::retries(history, bounds)),
        ("recovery", recovery(history, bounds)),
        ("footprint", footprint(history, bounds)),
        ("limit", limits::limit(history, bounds)),
        ("pause", asked::pause(history, bounds)),
        ("leaving", asked::leaving(history, bounds)),
        ("crash", crash(history, bounds)),
        ("part", crashes::part(history, bounds)),
        ("beside", crashes::beside(history, bounds)),
        ("innocent", crashes::innocent(history)),
        ("aimed", aimed::aimed(history, bounds)),
        ("evacuated", orders::evacuated(history, bounds)),
        ("cold", orders::cold(history, bounds)),
        ("start", orders::start(history, bounds)),
    ];
    let found = checks.into_iter().flat_map(|(check, texts)| {
        let texts = texts.into_iter();
        texts.map(move |text| Finding { check, text })
    });
    found.collect()
}

fn runs(history: &History) -> HashMap<&str, Vec<&Arrival>> {
    let mut runs: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in history.arrivals.iter().filter(|arrival| arrival.ran) {
        runs.entry(&arrival.id).or_default().push(arrival);
    }
    runs
}

/// A request that is not idempotent runs at most once.
fn once(history: &History) -> Vec<String> {
    let runs = runs(history);
    let asked = history.requests.iter();
    let asked = asked.filter(|request| request.kind == Kind::Unsafe);
    let twice = asked.filter(|request| runs.get(&*request.id).is_some_and(|runs| runs.len() > 1));
    twice
        .map(|request| format!("request {} ran more than once", request.id))
        .collect()
}

/// What was answered 408, 421, 429 or 503 has not run.
fn not_run(history: &History) -> Vec<String> {
    let runs = runs(history);
    let refused = history.requests.iter().filter(|request| {
        let promises = matches!(request.outcome, Outcome::Status(408 | 421 | 429 | 503));
        promises && request.kind == Kind::Unsafe
    });
    let ran = refused.filter(|request| runs.contains_key(&*request.id));
    ran.map(|request| format!("request {} was refused and has run", request.id))
        .collect()
}

/// A success is the whole answer to its own request.
fn whole(history: &History) -> Vec<String> {
    let wrong = history.requests.iter();
    let wrong = wrong.filter(|request| request.outcome == Outcome::Wrong);
    wrong
        .map(|request| format!("request {} got another answer than its own", request.id))
        .collect()
}

/// What was acknowledged to the operator is read back, then and at the end.
fn kept(history: &History, bounds: &Bounds) -> Vec<String> {
    let old = history.reads.iter().filter_map(|read| {
        let before = history.publications.iter().filter(|publication| {
            let at = publication.acknowledged;
            at.is_some_and(|at| at < read.sent)
        });
        let newest = before.map(|publication| publication.version).max()?;
        (read.version < newest).then(|| {
            format!(
                "version {} was read at {} ms, {newest} was acknowledged before",
                read.version, read.sent
            )
        })
    });
    let mut found: Vec<String> = old.collect();
    let from = history.healed + bounds.recovery;
    if !history.reads.iter().any(|read| read.sent > from) {
        found.push("no configuration could be read after the recovery".to_owned());
    }
    found
}

/// No process acts on an older configuration after a newer one.
fn forward(history: &History) -> Vec<String> {
    let mut found = Vec::new();
    let served: Vec<(&Request, u64)> = history
        .requests
        .iter()
        .filter(|request| request.outcome == Outcome::Status(200))
        .filter_map(|request| match request.kind {
            Kind::Version(version) => Some((request, version)),
            _ => None,
        })
        .collect();
    for (later, version) in &served {
        let mut earlier = served.iter().filter(|(earlier, _)| {
            let same = (earlier.host, earlier.life) == (later.host, later.life);
            same && earlier.ended < later.sent
        });
        if let Some((_, newer)) = earlier.find(|(_, other)| other > version) {
            found.push(format!(
                "host {} served version {version} at {} ms after version {newer}",
                later.host, later.sent
            ));
        }
    }
    found
}

/// A key that was taken away stops working in its time, at every host.
fn revoked(history: &History, bounds: &Bounds) -> Vec<String> {
    let mut ends: HashMap<&str, u64> = HashMap::new();
    let mut known: HashSet<&str> = HashSet::new();
    for publication in &history.publications {
        let keys: HashSet<&str> = publication.keys.iter().map(String::as_str).collect();
        if let Some(at) = publication.acknowledged {
            for key in known.difference(&keys) {
                ends.entry(key).or_insert(at);
            }
        }
        known.extend(keys);
    }
    let runs = runs(history);
    let late = history.requests.iter().filter(|request| {
        let end = ends.get(&*request.key);
        let is_late = end.is_some_and(|end| request.sent > end + bounds.revocation);
        // Routes of single versions are public.
        let is_keyed = !matches!(request.kind, Kind::Version(_));
        is_late && is_keyed && runs.contains_key(&*request.id)
    });
    late.map(|request| {
        format!(
            "request {} of {} ms ran with a key that was taken away",
            request.id, request.sent
        )
    })
    .collect()
}

/// A host that is told to stop cuts nothing that it took. Counts where nothing but planned
/// work went on, and no upstream broke an answer off.
fn uncut(history: &History, bounds: &Bounds) -> Vec<String> {
    let stops: Vec<(usize, u64)> = history
        .faults
        .iter()
        .filter_map(|fault| match fault.act {
            Act::StopHost(host) => Some((host, fault.at)),
            _ => None,
        })
        .collect();
    let arrived: HashSet<&str> = history.arrivals.iter().map(|a| &*a.id).collect();
    let broken = history.arrivals.iter().filter(|a| a.is_broken);
    let broken: HashSet<&str> = broken.map(|a| &*a.id).collect();
    let is_calm = |request: &Request| {
        let mut unplanned = history.faults.iter().filter(|f| !f.act.is_planned());
        !unplanned
            .any(|fault| request.sent < fault.end() + bounds.contact && fault.at <= request.ended)
    };
    let cut = history.requests.iter().filter(|request| {
        let stopped = stops.iter().any(|(host, at)| {
            let near = request.ended >= *at && request.sent <= at + bounds.grace;
            *host == request.host && near
        });
        // A request that crosses the close was never taken.
        let taken = arrived.contains(&*request.id) || request.ended > request.sent + bounds.slack;
        let is_cut = request.outcome == Outcome::Broken && !broken.contains(&*request.id);
        stopped && taken && is_cut && is_calm(request)
    });
    cut.map(|request| {
        format!(
            "request {} of {} ms was cut off at {} ms by host {} that stopped",
            request.id, request.sent, request.ended, request.host
        )
    })
    .collect()
}

/// No memory is left on engines when nothing uses it.
fn memory(history: &History) -> Vec<String> {
    let held = history.held;
    let found = (held > 0).then(|| format!("{held} tokens of memory are still set aside"));
    found.into_iter().collect()
}

/// Everything is served again in its time once the last fault is over. What ran on an upstream
/// as a part of a prompt crashed it is judged by `part` and `beside`.
fn recovery(history: &History, bounds: &Bounds) -> Vec<String> {
    let from = history.healed + bounds.recovery;
    let late: Vec<&Request> = history.requests.iter().filter(|r| r.sent > from).collect();
    let crashed = crashes::lost(history);
    let mut found: Vec<String> = late
        .iter()
        .filter(|request| !is_served(request) && !crashed.contains(&*request.id))
        .map(|request| {
            format!(
                "request {} of {} ms, {} ms after the last fault: {:?}",
                request.id,
                request.sent,
                request.sent - history.healed,
                request.outcome
            )
        })
        .collect();
    if late.is_empty() {
        found.push("nothing was asked after the recovery".to_owned());
    }
    let publications = history.publications.iter();
    let refused = publications.filter(|publication| publication.acknowledged.is_none());
    found.extend(refused.map(|publication| {
        let (version, sent) = (publication.version, publication.sent);
        format!("version {version}, first sent at {sent} ms, was never acknowledged")
    }));
    let unstopped = history.unstopped.iter();
    found.extend(unstopped.map(|name| format!("{name} did not stop in time")));
    found
}

/// Whether nothing unplanned was going on, up to `bounds.contact` before.
fn is_calm(history: &History, (from, to): (u64, u64), bounds: &Bounds) -> bool {
    let mut unplanned = history.faults.iter().filter(|f| !f.act.is_planned());
    !unplanned.any(|fault| from < fault.end() + bounds.contact && fault.at <= to)
}

/// Whether a request got what it is owed. One that crashes upstreams is owed a refusal, and
/// nothing else.
fn is_served(request: &Request) -> bool {
    match request.kind {
        Kind::Crash | Kind::Part => request.outcome == Outcome::Status(429),
        _ => request.outcome == Outcome::Status(200),
    }
}

/// No process takes more than its bound.
fn footprint(history: &History, bounds: &Bounds) -> Vec<String> {
    let over = history.footprints.iter().filter(|print| {
        print.memory_kb > bounds.memory_kb || print.descriptors > bounds.descriptors
    });
    over.map(|print| format!("{print:?}")).collect()
}

/// Once a request has crashed three upstreams and hosts have had time to hear of it, it
/// reaches at most three more, whoever sends it.
fn crash(history: &History, bounds: &Bounds) -> Vec<String> {
    let asked = history.requests.iter();
    let asked = asked.filter(|request| request.kind == Kind::Crash);
    let asked: HashSet<&str> = asked.map(|request| &*request.id).collect();
    let crashed = history.arrivals.iter().filter(|a| asked.contains(&*a.id));
    let crashed: Vec<u64> = crashed.map(|arrival| arrival.at).collect();
    let Some(third) = crashed.get(CRASHES - 1) else {
        return Vec::new();
    };
    let later = crashed.iter().filter(|at| **at > third + bounds.contact);
    let later = later.count();
    let found = (later > CRASHES)
        .then(|| format!("a request that had crashed {CRASHES} upstreams reached {later} more"));
    found.into_iter().collect()
}

/// The host that each request was sent to.
fn hosts(history: &History) -> HashMap<&str, usize> {
    let requests = history.requests.iter();
    requests
        .map(|request| (&*request.id, request.host))
        .collect()
}
