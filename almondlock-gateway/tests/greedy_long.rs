//! Guards against an organisation that crowds out others with long prompts. One of 24
//! organisations sends them at three times its usual rate over all hosts, and repeats
//! refused ones at once. Whoever repeats fastest finds the moments in which the engines
//! accept a prompt, and the others are refused. Runs without a network; an engine is only
//! the time that it has left to read.

mod organisations;

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_gateway::share::Claim;
use almondlock_policy::{
    admission::{Backlog, Candidate, check_with_share},
    engine::Speed,
    share::{Capacity, Standing},
};
use organisations::{
    Fleet, HOSTS, ORGANISATIONS, Outcome, SERVICE, mean, rates, served, worst_tenth,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

const ENGINES: usize = 30;
const CAPACITY: Capacity = Capacity {
    engines: ENGINES as u32,
    slots: ENGINES as u32 * 12,
};
/// Number of engines that read a prompt together.
const READERS: usize = 8;
const PROMPT: u64 = 300_000;
const OBJECTIVE: Duration = Duration::from_secs(4);
/// Time after which callers give up.
const PATIENCE: Duration = Duration::from_secs(8);
/// Time after which the greedy organisation repeats a request, whatever it was told.
const REPEAT: Duration = Duration::from_millis(50);
const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(600);

struct Attempt {
    at: Mono,
    organisation: usize,
    arrived: Mono,
}

struct World {
    fleet: Fleet,
    /// Time at which each engine has read all of its prompts.
    free: Vec<Mono>,
    backlog: Backlog,
    /// Claims of prompts that are being read or were refused, with the time at which they
    /// end.
    claims: Vec<(Mono, Claim)>,
    returns: Vec<Attempt>,
    outcomes: Vec<Outcome>,
    refused_early: u32,
}

fn speed() -> Speed {
    Speed {
        slots: 12,
        memory: 382_500,
        step_ms: 0.925,
        step_ms_per_stream: 0.00483,
        step_ms_per_context: 0.00254,
        tokens_per_ms: 256.0,
        ms_per_megapair: 0.0917,
        chunk_tokens: 2048.0,
        steps_per_pass: 52.0,
    }
}

impl World {
    fn new() -> World {
        World {
            fleet: Fleet::new(CAPACITY),
            free: vec![Mono::ZERO; ENGINES],
            backlog: Backlog::default(),
            claims: Vec::new(),
            returns: Vec::new(),
            outcomes: vec![Outcome::default(); ORGANISATIONS],
            refused_early: 0,
        }
    }

    /// Places a prompt, or refuses it and returns when to repeat it.
    fn send(
        &mut self,
        now: Mono,
        host: usize,
        attempt: &Attempt,
        shares: bool,
    ) -> Option<Duration> {
        let speed = speed();
        let (part, pass) = (
            speed.part_reading_time(PROMPT, READERS),
            speed.pass_time(1, PROMPT),
        );
        let left: Duration = self.free.iter().map(|free| free.since(now)).sum();
        let mut order: Vec<usize> = (0..ENGINES).collect();
        order.sort_by_key(|engine| self.free[*engine]);
        let readers = &order[..READERS];
        let wait = self.free[readers[READERS - 1]].since(now);
        let case = Candidate {
            prompt: PROMPT,
            objective: OBJECTIVE,
            elapsed: now.since(attempt.arrived),
            expected_delay: wait + part + pass,
            backlog: self.backlog.observe(now, left / ENGINES as u32),
            engine_ratio: READERS as f64 / ENGINES as f64,
        };
        let host = &self.fleet.hosts[host];
        let name = &self.fleet.names[attempt.organisation];
        let standing = match host.finding(now, name).filter(|_| shares) {
            Some(finding) => Standing::Over {
                by: finding.excess.ratio(),
            },
            None => Standing::Within,
        };
        let reading = speed.reading_time(PROMPT);
        if let Some(returns) = check_with_share(&speed, &case, standing, part + pass) {
            let usual = check_with_share(&speed, &case, Standing::Within, part + pass);
            self.refused_early += u32::from(usual.is_none());
            let until = now + returns.min(Duration::from_secs(1));
            self.claims.push((
                until,
                host.ledger.claim_reading_wait(SERVICE, name, reading),
            ));
            return Some(returns);
        }
        for engine in readers {
            self.free[*engine] = self.free[*engine].max(now) + part;
        }
        let ends = now + case.expected_delay;
        self.claims
            .push((ends, host.ledger.claim_sent(SERVICE, name, reading)));
        let outcome = &mut self.outcomes[attempt.organisation];
        match ends.since(attempt.arrived) <= OBJECTIVE {
            true => outcome.in_time += 1,
            false => outcome.late += 1,
        }
        None
    }
}

fn play(load: f64, greedy: Option<usize>, shares: bool, seed: u64) -> World {
    let mut world = World::new();
    let mut rng = SmallRng::seed_from_u64(seed);
    // A separate generator, so that the same requests arrive with shares and without.
    let mut arrivals = SmallRng::seed_from_u64(seed + 1_000);
    let sustained = ENGINES as f64 / speed().reading_time(PROMPT).as_secs_f64();
    let rates = rates(sustained * load, greedy);
    let start = Mono::from_millis(1_000);
    let mut now = start;
    while now.since(start) < LENGTH {
        world.claims.retain(|(until, _)| now < *until);
        for (organisation, rate) in rates.iter().enumerate() {
            if arrivals.random::<f64>() < rate * STEP.as_secs_f64() {
                world.outcomes[organisation].sent += 1;
                world.returns.push(Attempt {
                    at: now,
                    organisation,
                    arrived: now,
                });
            }
        }
        let (due, later) = std::mem::take(&mut world.returns)
            .into_iter()
            .partition(|attempt| attempt.at <= now);
        world.returns = later;
        for attempt in due {
            let host = rng.random_range(0..HOSTS);
            let Some(returns) = world.send(now, host, &attempt, shares) else {
                continue;
            };
            let left = (attempt.arrived + PATIENCE).since(now);
            let wait = match greedy == Some(attempt.organisation) {
                true => REPEAT,
                false => returns.max(Duration::from_millis(150)).min(left / 3),
            };
            if left > Duration::from_millis(100) {
                world.returns.push(Attempt {
                    at: now + wait,
                    ..attempt
                });
            }
        }
        world.fleet.exchange(now);
        now = now + STEP;
    }
    world
}

/// The worst-served tenth of the other organisations has a higher utility with shares.
#[parameterized(
    largest = { 0.8, 0, 1 },
    largest_again = { 0.8, 0, 2 },
    second = { 0.9, 1, 3 },
)]
fn greedy(load: f64, greedy: usize, seed: u64) {
    let [without, with] = [false, true].map(|shares| play(load, Some(greedy), shares, seed));
    let worst = [&without, &with].map(|world| worst_tenth(&world.outcomes, greedy));
    let total = [&without, &with].map(|world| served(&world.outcomes));
    println!(
        "worst tenth {worst:.3?}, mean of others {:.3?}, served {total:.0?}, greedy {:.3?}, \
         refused early {}",
        [&without, &with].map(|world| mean(&world.outcomes, greedy)),
        [&without, &with].map(|world| world.outcomes[greedy].utility()),
        with.refused_early,
    );
    assert!(worst[1] > worst[0], "{worst:?}");
}

/// With few long prompts, shares cause no additional refusal.
#[test]
fn no_contention() {
    let [without, with] = [false, true].map(|shares| play(0.3, None, shares, 1));
    assert_eq!(with.refused_early, 0);
    assert_eq!(without.outcomes, with.outcomes);
}
