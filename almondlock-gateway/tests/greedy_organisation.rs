//! One of 24 organisations sends three times its usual rate over all hosts and repeats at
//! once what isn't served. First come, first served, the others' short prompts wait behind
//! its own. No network: hosts' ledgers, a relay's tally and what hosts know of it run by a
//! clock of the test's; engines are queues.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use almondlock_base::time::Mono;
use almondlock_gateway::{
    exchange::shares::{Envelope, PERIOD, Report, Tag, Tally, Totals},
    share::{Claim, Known, Ledger},
};
use almondlock_policy::share::{Capacity, rank};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

const HOSTS: usize = 8;
const ENGINES: usize = 10;
const SLOTS: usize = 12;
const ORGANISATIONS: usize = 24;
const SKEW: f64 = 1.2;
/// How long a stream holds its slot.
const STREAM: Duration = Duration::from_millis(2_200);
/// From the slot to the first event.
const FIRST: Duration = Duration::from_millis(90);
const READING: Duration = Duration::from_millis(32);
const OBJECTIVE: Duration = Duration::from_millis(250);
/// Callers leave after this.
const PATIENCE: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(60);
/// The rank of short prompts, and of the other kind of the service.
const SHORT: u32 = 1;
const KINDS: u16 = 1 << SHORT | 1 << 3;

struct Case {
    /// The usual load, as a part of what the slots sustain.
    load: f64,
    greedy: Option<usize>,
    shares: bool,
    seed: u64,
}

struct Prompt {
    organisation: usize,
    arrived: Mono,
    rank: u32,
    claim: Claim,
}

struct Stream {
    begins: Mono,
    ends: Mono,
    claim: Claim,
}

#[derive(Default)]
struct Engine {
    streams: Vec<Stream>,
    queue: Vec<Prompt>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Outcome {
    sent: u32,
    in_time: u32,
    late: u32,
}

impl Outcome {
    /// What callers got of what their requests were worth.
    fn utility(&self) -> f64 {
        (f64::from(self.in_time) + 0.25 * f64::from(self.late)) / f64::from(self.sent.max(1))
    }
}

struct Host {
    ledger: Ledger,
    known: Known,
    number: u32,
}

struct World {
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    names: Vec<Arc<str>>,
    relay: Tally,
    outcomes: Vec<Outcome>,
    deprioritised: u32,
}

fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(port).unwrap()))
}

/// What each organisation sends in a second.
fn rates(case: &Case) -> Vec<f64> {
    let weights = (1..=ORGANISATIONS).map(|n| (n as f64).powf(-SKEW));
    let weights: Vec<f64> = weights.collect();
    let total: f64 = weights.iter().sum();
    let sustained = (ENGINES * SLOTS) as f64 / STREAM.as_secs_f64();
    let rate = |(n, weight): (usize, &f64)| {
        let times = if case.greedy == Some(n) { 3.0 } else { 1.0 };
        weight / total * sustained * case.load * times
    };
    weights.iter().enumerate().map(rate).collect()
}

impl World {
    fn new() -> World {
        let host = |_| Host {
            ledger: Ledger::default(),
            known: Known::default(),
            number: 0,
        };
        World {
            hosts: (0..HOSTS).map(host).collect(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            names: (0..ORGANISATIONS)
                .map(|n| format!("o-{n}").into())
                .collect(),
            relay: Tally::default(),
            outcomes: vec![Outcome::default(); ORGANISATIONS],
            deprioritised: 0,
        }
    }

    fn send(&mut self, now: Mono, host: usize, organisation: usize, shares: bool) {
        let host = &self.hosts[host];
        let name = &self.names[organisation];
        let tag = Tag::of("e", name);
        let is_over = shares && host.known.excess(now, address(99), tag).is_some();
        let rank = match is_over {
            true => rank(SHORT, SHORT, KINDS, 9),
            false => SHORT,
        };
        self.deprioritised += u32::from(is_over);
        self.outcomes[organisation].sent += 1;
        let load = |engine: &&mut Engine| engine.streams.len() + engine.queue.len();
        let engine = self.engines.iter_mut().min_by_key(load).unwrap();
        engine.queue.push(Prompt {
            organisation,
            arrived: now,
            rank,
            claim: host.ledger.send("e", name, READING),
        });
    }

    /// Gives free slots to prompts. Gives the organisations whose callers left.
    fn step(&mut self, now: Mono) -> Vec<usize> {
        let mut left = Vec::new();
        for engine in &mut self.engines {
            engine.streams.retain(|stream| now < stream.ends);
            for stream in &engine.streams {
                if stream.begins <= now {
                    stream.claim.read();
                }
            }
            engine.queue.retain(|prompt| {
                let stays = now.since(prompt.arrived) < PATIENCE;
                left.extend((!stays).then_some(prompt.organisation));
                stays
            });
            engine
                .queue
                .sort_by_key(|prompt| (prompt.rank, prompt.arrived));
            let free = SLOTS - engine.streams.len();
            for prompt in engine.queue.drain(..free.min(engine.queue.len())) {
                let begins = now + FIRST;
                let outcome = &mut self.outcomes[prompt.organisation];
                match begins.since(prompt.arrived) <= OBJECTIVE {
                    true => outcome.in_time += 1,
                    false => outcome.late += 1,
                }
                engine.streams.push(Stream {
                    begins,
                    ends: now + STREAM,
                    claim: prompt.claim,
                });
            }
        }
        left
    }

    fn exchange(&mut self, now: Mono) {
        for (n, host) in self.hosts.iter_mut().enumerate() {
            host.number += 1;
            let report = Report {
                host: n as u64,
                number: host.number,
                counts: host.ledger.counts(),
            };
            let envelope = Envelope::of(&report).unwrap();
            self.relay.hear(now, address(n), &envelope);
        }
    }

    fn hear(&mut self, now: Mono, envelope: &Envelope) {
        let totals: Totals = envelope.open(address(99)).unwrap();
        let capacity = Capacity {
            engines: ENGINES as u32,
            slots: (ENGINES * SLOTS) as u32,
        };
        for host in &mut self.hosts {
            host.known.hear(now, address(99), &totals, |_| capacity);
        }
    }
}

fn play(case: &Case) -> World {
    let mut world = World::new();
    let mut rng = SmallRng::seed_from_u64(case.seed);
    let rates = rates(case);
    let start = Mono::from_millis(1_000);
    let mut now = start;
    let mut next_report = start;
    // Totals arrive half a period after the reports that they include.
    let mut under_way: VecDeque<(Mono, Envelope)> = VecDeque::new();
    while now.since(start) < LENGTH {
        for organisation in world.step(now) {
            if case.greedy == Some(organisation) {
                let host = rng.random_range(0..HOSTS);
                world.send(now, host, organisation, case.shares);
            }
        }
        for (organisation, rate) in rates.iter().enumerate() {
            if rng.random::<f64>() < rate * STEP.as_secs_f64() {
                let host = rng.random_range(0..HOSTS);
                world.send(now, host, organisation, case.shares);
            }
        }
        if now >= next_report {
            next_report = now + PERIOD;
            world.exchange(now);
            let sent = world.relay.take(now);
            under_way.extend(sent.map(|(envelope, _)| (now + PERIOD / 2, envelope)));
        }
        while under_way.front().is_some_and(|(at, _)| *at <= now) {
            let (_, envelope) = under_way.pop_front().unwrap();
            world.hear(now, &envelope);
        }
        now = now + STEP;
    }
    world
}

/// The mean utility of the tenth of organisations that are served worst. The greedy one is
/// left out: it can't get what it asks for.
fn worst_tenth(world: &World, greedy: usize) -> f64 {
    let others = world.outcomes.iter().enumerate();
    let others = others.filter(|(n, _)| *n != greedy);
    let mut utilities: Vec<f64> = others.map(|(_, outcome)| outcome.utility()).collect();
    utilities.sort_by(f64::total_cmp);
    utilities[..ORGANISATIONS / 10].iter().sum::<f64>() / (ORGANISATIONS / 10) as f64
}

/// The utility of all responses together. Not relative to what was sent: most of that are
/// the greedy organisation's repetitions.
fn served(world: &World) -> f64 {
    let utilities = world.outcomes.iter();
    let served = utilities.map(|it| f64::from(it.in_time) + 0.25 * f64::from(it.late));
    served.sum()
}

/// The mean utility of all but the greedy organisation.
fn mean(world: &World, greedy: usize) -> f64 {
    let others = world.outcomes.iter().enumerate();
    let others = others.filter(|(n, _)| *n != greedy);
    others.map(|(_, it)| it.utility()).sum::<f64>() / (ORGANISATIONS - 1) as f64
}

/// The worst-served tenth get half as much again of their requests' worth with shares, and
/// all organisations together don't get less.
#[parameterized(
    largest = { 0.8, 0, 1 },
    largest_again = { 0.8, 0, 2 },
    second = { 0.9, 1, 3 },
)]
fn greedy(load: f64, greedy: usize, seed: u64) {
    let case = |shares| Case {
        load,
        greedy: Some(greedy),
        shares,
        seed,
    };
    let (without, with) = (play(&case(false)), play(&case(true)));
    let (before, after) = (worst_tenth(&without, greedy), worst_tenth(&with, greedy));
    let (total_before, total_after) = (served(&without), served(&with));
    println!(
        "worst tenth {before:.3} -> {after:.3}, mean of others {:.3} -> {:.3}, served \
         {total_before:.0} -> {total_after:.0}, greedy {:.3} -> {:.3}, deprioritised {}, greedy sent {}",
        mean(&without, greedy),
        mean(&with, greedy),
        without.outcomes[greedy].utility(),
        with.outcomes[greedy].utility(),
        with.deprioritised,
        with.outcomes[greedy].sent,
    );
    assert!(after > before * 1.5, "{before} {after}");
    assert!(total_after > total_before, "{total_before} {total_after}");
}

/// Slots suffice: nobody is deprioritised, and each request comes out as without shares.
#[parameterized(
    half = { 0.5, 1 },
    most = { 0.6, 2 },
)]
fn no_contention(load: f64, seed: u64) {
    let case = |shares| Case {
        load,
        greedy: None,
        shares,
        seed,
    };
    let (without, with) = (play(&case(false)), play(&case(true)));
    assert_eq!(with.deprioritised, 0);
    assert_eq!(without.outcomes, with.outcomes);
    let sent: BTreeMap<usize, u32> = with.outcomes.iter().map(|it| it.sent).enumerate().collect();
    assert!(sent.values().all(|sent| *sent > 0));
}
