//! Measures the time that decisions take on this machine.
//!
//! Each operation is timed by itself, so that the times include the cost of
//! reading the clock (some 20 ns). The whole run takes a few seconds.
//!
//! `cargo run --release -p almondlock-policy --example decisions [SEED]`

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use almondlock_base::{
    Ran,
    id::{Attempt, Domain, Fingerprint, Host, Incarnation, Organisation, Region, Upstream},
    time::{Mono, Wall},
    unit::Tokens,
};
use almondlock_policy::{
    choice::{
        self, LeastReported, Locality, Origin, Picker, Query, Random, Report, Sampling, Table,
    },
    gate::{self, Gate},
    ledger::{self, Item, Kind, Ledger, Owner},
    limit::{self, Limit, Limiter},
    poison::{self, Watch},
    prefix,
    queue::{self, Job, Queue, Room},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Number of rounds of most measurements.
const ROUNDS: usize = 20_000;

/// Prints the median, the 99th and the 99.9th percentile of some times.
fn print_percentiles(what: &str, mut times: Vec<Duration>) {
    times.sort();
    let at = |permille: usize| times[(times.len() * permille / 1_000).min(times.len() - 1)];
    let micros = |time: Duration| time.as_nanos() as f64 / 1_000.0;
    println!(
        "{what:<52} {:>9.2} {:>9.2} {:>9.2}",
        micros(at(500)),
        micros(at(990)),
        micros(at(999))
    );
}

/// Runs an operation and records the time it takes.
fn timed<F, T>(times: &mut Vec<Duration>, work: F) -> T
where
    F: FnOnce() -> T,
{
    let start = Instant::now();
    let result = black_box(work());
    times.push(start.elapsed());
    result
}

fn name(i: usize) -> Upstream {
    Upstream::new(&format!("engine-{i}")).expect("a plain name")
}

fn locality(i: usize) -> Locality {
    Locality {
        domain: Domain::new(&format!("domain-{}", i % 6)).expect("a plain name"),
        region: Region::new(&format!("region-{}", i % 2)).expect("a plain name"),
    }
}

fn table(upstreams: usize, rng: &mut SmallRng) -> Table {
    let origin = Origin {
        host: Host::new("entry-1").expect("a plain name"),
        domain: locality(0).domain,
        region: locality(0).region,
    };
    let mut table = Table::new(choice::Config::default(), origin);
    for i in 0..upstreams {
        let index = table.insert(&name(i), locality(i));
        let report = Report {
            in_flight: rng.random_range(0..30),
            wait: Duration::from_millis(rng.random_range(0..500)),
            backlog: Tokens(rng.random_range(0..100_000)),
            free_memory: Tokens(rng.random_range(0..400_000)),
            prefill_speed: 8_000,
        };
        table.record_report(index, report, Mono::ZERO);
    }
    table
}

/// Measures the selection of an upstream by one strategy.
fn measure_picker<P>(what: &str, picker: P, upstreams: usize, prefix: &[u64], rng: &mut SmallRng)
where
    P: Picker,
{
    let mut table = table(upstreams, rng);
    let mut times = Vec::with_capacity(ROUNDS);
    let mut open = std::collections::VecDeque::new();
    for round in 0..ROUNDS {
        let now = Mono::from_micros(round as u64 * 100);
        let query = Query {
            prompt: Tokens(rng.random_range(1_000..5_000)),
            output: Tokens(200),
            prefix,
            excluded: &[],
        };
        let picked = timed(&mut times, || {
            let index = picker.pick(&table, &query, now, rng)?;
            table.record_sent(index, query.prompt);
            Some(index)
        });
        open.extend(picked.map(|index| (index, query.prompt)));
        if open.len() > 10 * upstreams
            && let Some((index, prompt)) = open.pop_front()
        {
            table.record_end(index, prompt, false);
        }
    }
    print_percentiles(&format!("choice: {what}, {upstreams} upstreams"), times);
}

/// Measures the selection of upstreams and changes of their table.
fn measure_choice(rng: &mut SmallRng) {
    let prompt: Vec<u8> = (0..200_000).map(|_| rng.random()).collect();
    let prefix = prefix::hashes(&prompt);
    for upstreams in [18, 100, 880] {
        measure_picker("probing", Sampling, upstreams, &[], rng);
        measure_picker("probing, with a prefix", Sampling, upstreams, &prefix, rng);
        measure_picker("least reported", LeastReported, upstreams, &[], rng);
        measure_picker("random", Random, upstreams, &[], rng);
    }
    for upstreams in [18, 100, 880] {
        let mut table = table(upstreams, rng);
        let mut times = Vec::new();
        for round in 0..2_000 {
            let i = round % upstreams;
            table.remove(&name(i));
            timed(&mut times, || table.insert(&name(i), locality(i)));
        }
        print_percentiles(&format!("choice: one upstream added to {upstreams}"), times);
    }
}

fn organisation(i: usize) -> Organisation {
    Organisation::new(&format!("organisation-{i}")).expect("a plain name")
}

fn job(organisation: &Organisation, now: Mono, rng: &mut SmallRng) -> Job {
    Job {
        organisation: organisation.clone(),
        weight: 1,
        prompt: Tokens(rng.random_range(500..40_000)),
        cached: Tokens::ZERO,
        max_output: Tokens(200),
        deadline: now + Duration::from_secs(3_600),
        suspect: false,
    }
}

/// Measures a sidecar's queue.
fn measure_queue(rng: &mut SmallRng) {
    for (organisations, waiting) in [(10, 20), (10, 1_000), (100, 1_000), (1_500, 4_000)] {
        let names: Vec<Organisation> = (0..organisations).map(organisation).collect();
        let room = Room::idle(Tokens(1_000_000), 256);
        let mut queue = Queue::new(queue::Config::short());
        let (mut pushes, mut grants) = (Vec::new(), Vec::new());
        for round in 0..ROUNDS as u64 {
            let now = Mono::from_micros(round * 100);
            let job = job(&names[rng.random_range(0..names.len())], now, rng);
            // A refused job is missing among the grants, which doesn't matter here.
            let _ = timed(&mut pushes, || queue.push(round, job, &room, now));
            if queue.len() < waiting {
                continue;
            }
            if let Some(grant) = timed(&mut grants, || queue.grant(now, &room)) {
                queue.end_prefill(&grant.id, now + Duration::from_millis(200));
                queue.finish(&grant.id, Tokens(100));
            }
        }
        let what = format!("{waiting} waiting, {organisations} organisations");
        print_percentiles(&format!("queue: push, {what}"), pushes);
        print_percentiles(&format!("queue: grant, {what}"), grants);
    }
}

/// Measures the gate that admits attempts.
fn measure_gate() {
    let mut gate = Gate::new(gate::Config::default(), Incarnation(1));
    let host = Host::new("entry-1").expect("a plain name");
    let (mut lives, mut settles) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS as u64 * 5 {
        let now = Mono::from_millis(round);
        let attempt = Attempt {
            host: host.clone(),
            incarnation: Incarnation(2),
            counter: round,
        };
        timed(&mut lives, || {
            let admitted = gate.admit(&attempt, Incarnation(1), now, now).is_ok();
            let started = gate.start(&attempt).is_ok();
            gate.finish(&attempt, Ran::Yes, now);
            admitted && started
        });
        timed(&mut settles, || gate.settle(&attempt, Incarnation(1), now));
    }
    let records = gate.len();
    print_percentiles(
        &format!("gate: admit, start, finish, {records} records"),
        lives,
    );
    print_percentiles(&format!("gate: settle, {records} records"), settles);
}

/// Measures the limits of organisations.
fn measure_limiter(rng: &mut SmallRng) {
    let names: Vec<Organisation> = (0..1_500).map(organisation).collect();
    let mut limiter = Limiter::new(limit::Config::default());
    for name in &names {
        let limit = Limit {
            rate: 1_000,
            tokens: Tokens(1_000_000),
        };
        limiter.set(name, limit);
    }
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        let name = &names[rng.random_range(0..names.len())];
        let now = Mono::from_micros(round as u64 * 200);
        timed(&mut times, || {
            limiter.admit(name, Tokens(3_000), now).is_ok()
        });
    }
    print_percentiles("limit: admit, 1500 organisations", times);
}

/// Measures the watch for prompts that kill engines.
fn measure_watch() {
    let name = organisation(0);
    let mut watch = Watch::new(poison::Config::default());
    let mut times = Vec::new();
    for round in 0..ROUNDS as u64 {
        let print = Fingerprint::new(&name, "/", &(round % 5_000).to_le_bytes());
        let now = Mono::from_millis(round);
        timed(&mut times, || {
            let start = watch.begin(print, None, Wall::from_millis(round), now);
            watch.end(print, Some(true), now);
            start
        });
    }
    print_percentiles("poison: begin and end a run", times);
}

/// Measures the ledger of engine memory.
fn measure_ledger() {
    let mut ledger = Ledger::new(ledger::Config::default());
    let owner = Owner {
        host: Host::new("entry-1").expect("a plain name"),
        incarnation: Incarnation(1),
    };
    let item = Item {
        kind: Kind::Stream,
        tokens: Tokens(1_000),
    };
    let lease = Duration::from_secs(3_600);
    for id in 0..1_000u64 {
        ledger.open(id, item, &owner, lease, Mono::ZERO);
    }
    let mut times = Vec::new();
    for round in 0..ROUNDS as u64 {
        let now = Mono::from_millis(round);
        timed(&mut times, || {
            ledger.open(10_000 + round, item, &owner, lease, now);
            ledger.confirm_open(&(10_000 + round), now);
            ledger.remove(&(10_000 + round));
        });
    }
    print_percentiles("ledger: open, opened, ended, 1000 held", times);
}

/// Measures the hashing of prompt prefixes.
fn measure_prefix(rng: &mut SmallRng) {
    for bytes in [4_000, 400_000, 4_000_000] {
        let prompt: Vec<u8> = (0..bytes).map(|_| rng.random()).collect();
        let mut times = Vec::new();
        for _ in 0..200 {
            timed(&mut times, || prefix::hashes(&prompt));
        }
        print_percentiles(&format!("prefix: hashes of {bytes} bytes"), times);
    }
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(1);
    println!("seed {seed}, microseconds");
    println!(
        "{:<52} {:>9} {:>9} {:>9}",
        "operation", "p50", "p99", "p99.9"
    );
    let mut rng = SmallRng::seed_from_u64(seed);
    measure_choice(&mut rng);
    measure_queue(&mut rng);
    measure_gate();
    measure_limiter(&mut rng);
    measure_watch();
    measure_ledger();
    measure_prefix(&mut rng);
}
