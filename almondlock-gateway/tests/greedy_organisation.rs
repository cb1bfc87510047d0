//! Guards against an organisation that crowds out others with short prompts. One of 24
//! organisations sends them at three times its usual rate over all hosts, and repeats at
//! once what isn't served. If prompts are served in the order of arrival, those of the
//! others wait behind its own. Runs without a network: the hosts' ledgers, a relay's tally
//! and the hosts' findings run on a simulated clock, and engines are queues.

mod organisations;

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_gateway::share::Claim;
use almondlock_policy::share::{Capacity, demoted_rank};
use organisations::{
    Fleet, HOSTS, ORGANISATIONS, Outcome, SERVICE, mean, rates, served, worst_tenth,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

const ENGINES: usize = 10;
const SLOTS: usize = 12;
const CAPACITY: Capacity = Capacity {
    engines: ENGINES as u32,
    slots: (ENGINES * SLOTS) as u32,
};
/// Time for which a stream occupies its slot.
const STREAM: Duration = Duration::from_millis(2_200);
/// Time from getting a slot to the first event.
const FIRST: Duration = Duration::from_millis(90);
const READING: Duration = Duration::from_millis(32);
const OBJECTIVE: Duration = Duration::from_millis(250);
/// Time after which callers give up.
const PATIENCE: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(60);
/// Rank of short prompts, and the bits of the ranks of the service's kinds of requests.
const SHORT: u32 = 1;
const KINDS: u16 = 1 << SHORT | 1 << 3;

struct Case {
    /// Usual load as a fraction of what the slots sustain.
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

struct World {
    fleet: Fleet,
    engines: Vec<Engine>,
    outcomes: Vec<Outcome>,
    deprioritised: u32,
}

impl World {
    fn new() -> World {
        World {
            fleet: Fleet::new(CAPACITY),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            outcomes: vec![Outcome::default(); ORGANISATIONS],
            deprioritised: 0,
        }
    }

    fn send(&mut self, now: Mono, host: usize, organisation: usize, shares: bool) {
        let host = &self.fleet.hosts[host];
        let name = &self.fleet.names[organisation];
        let is_over = shares && host.finding(now, name).is_some();
        let rank = match is_over {
            true => demoted_rank(SHORT, SHORT, KINDS, 9),
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
            claim: host.ledger.claim_sent(SERVICE, name, READING),
        });
    }

    /// Gives free slots to prompts, and returns the organisations whose callers gave up.
    fn step(&mut self, now: Mono) -> Vec<usize> {
        let mut left = Vec::new();
        for engine in &mut self.engines {
            engine.streams.retain(|stream| now < stream.ends);
            for stream in &engine.streams {
                if stream.begins <= now {
                    stream.claim.finish_reading();
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
}

fn play(case: &Case) -> World {
    let mut world = World::new();
    let mut rng = SmallRng::seed_from_u64(case.seed);
    // A separate generator, so that the same requests arrive with shares and without.
    let mut arrivals = SmallRng::seed_from_u64(case.seed + 1_000);
    let sustained = (ENGINES * SLOTS) as f64 / STREAM.as_secs_f64();
    let rates = rates(sustained * case.load, case.greedy);
    let start = Mono::from_millis(1_000);
    let mut now = start;
    while now.since(start) < LENGTH {
        for organisation in world.step(now) {
            if case.greedy == Some(organisation) {
                let host = rng.random_range(0..HOSTS);
                world.send(now, host, organisation, case.shares);
            }
        }
        for (organisation, rate) in rates.iter().enumerate() {
            if arrivals.random::<f64>() < rate * STEP.as_secs_f64() {
                let host = rng.random_range(0..HOSTS);
                world.send(now, host, organisation, case.shares);
            }
        }
        world.fleet.exchange(now);
        now = now + STEP;
    }
    world
}

/// With shares, the utility of the worst-served tenth is half as much again, and that of
/// all organisations together isn't lower.
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
    let worst = [&without, &with].map(|world| worst_tenth(&world.outcomes, greedy));
    let total = [&without, &with].map(|world| served(&world.outcomes));
    println!(
        "worst tenth {worst:.3?}, mean of others {:.3?}, served {total:.0?}, greedy {:.3?}, \
         deprioritised {}, greedy sent {}",
        [&without, &with].map(|world| mean(&world.outcomes, greedy)),
        [&without, &with].map(|world| world.outcomes[greedy].utility()),
        with.deprioritised,
        with.outcomes[greedy].sent,
    );
    assert!(worst[1] > worst[0] * 1.5, "{worst:?}");
    assert!(total[1] > total[0], "{total:?}");
}

/// While there are enough slots, no request is deprioritised, and each has the same outcome
/// as without shares.
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
    assert!(with.outcomes.iter().all(|outcome| outcome.sent > 0));
}
