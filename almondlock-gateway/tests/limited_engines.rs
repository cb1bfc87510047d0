//! Choice of engines while some name limits on the requests of all hosts. An engine that is
//! sent requests beyond its limit, or orders for memory in addition, gets more than it
//! allows. One that is avoided altogether wastes its capacity to read.

mod engines;

use std::time::Duration;

use almondlock_gateway::{
    load::Total,
    pick::{self, Candidate, Demand, Quota, Shortage},
};
use engines::{engine, speed};
use rand::{SeedableRng, rngs::SmallRng};
use yare::parameterized;

const SHORT: u64 = 5_000;
const MIDDLING: u64 = 45_000;
const LONG: u64 = 210_000;
const HUGE: u64 = 700_000;

/// Returns idle engines, of which the first ones have these states of their limits.
fn engines(limited: &[Quota]) -> Vec<Candidate> {
    let mut engines = vec![engine(Total::default()); 18];
    for (engine, limited) in engines.iter_mut().zip(limited) {
        engine.quota = *limited;
    }
    engines
}

fn choose(prompt: u64, candidates: &[Candidate], seed: u64) -> Result<pick::Choice, Shortage> {
    let demand = Demand {
        prompt,
        output: 500,
        objective: Duration::from_secs(3),
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    pick::choose_engine(&speed(), demand, candidates, &mut rng)
}

/// Guards against requests to engines at their limits, and against orders for memory to any
/// engine that names a limit.
#[parameterized(
    short = { SHORT },
    middling = { MIDDLING },
    long = { LONG },
    huge = { HUGE },
)]
fn limits_kept(prompt: u64) {
    let limited = [[Quota::Exhausted; 5], [Quota::Available; 5]].concat();
    let candidates = engines(&limited);
    for seed in 0..50 {
        let choice = choose(prompt, &candidates, seed).unwrap();
        assert_ne!(candidates[choice.primary].quota, Quota::Exhausted);
        let mut holders = choice.shares.iter().map(|share| share.place);
        assert!(holders.all(|place| candidates[place].quota == Quota::Unlimited));
    }
}

/// Guards against short streams that are spread over the readers because the engines for
/// short streams are at their limits.
#[parameterized(
    first = { 0 },
    amid = { 3 },
    last = { 13 },
)]
fn packed_beside(from: usize) {
    let mut limited = [Quota::Unlimited; 18];
    limited[from..from + 5].fill(Quota::Exhausted);
    let mut candidates = engines(&limited);
    let mut free: Vec<usize> = (0..18)
        .filter(|i| limited[*i] == Quota::Unlimited)
        .collect();
    for place in &free[..4] {
        candidates[*place].total.streams = 10;
        candidates[*place].total.short = 10;
    }
    free.truncate(5);
    for seed in 0..50 {
        let choice = choose(SHORT, &candidates, seed).unwrap();
        assert!(free.contains(&choice.primary), "engine {}", choice.primary);
    }
}

/// Guards against long prompts without a writer because the last engines, which would be
/// writers, name limits.
#[test]
fn unlimited_writers() {
    let mut limited = [Quota::Unlimited; 18];
    limited[12..].fill(Quota::Available);
    let candidates = engines(&limited);
    for seed in 0..50 {
        let choice = choose(LONG, &candidates, seed).unwrap();
        assert!(choice.helpers.len() > 4, "{choice:?}");
        assert_eq!(candidates[choice.primary].quota, Quota::Unlimited);
    }
}

/// Engines at their limits still read parts for other engines, since these are not requests
/// of hosts.
#[test]
fn parts_still_read() {
    let candidates = engines(&[Quota::Exhausted; 10]);
    let choice = choose(LONG, &candidates, 1).unwrap();
    let mut helpers = choice.helpers.iter();
    assert!(helpers.any(|place| candidates[*place].quota == Quota::Exhausted));
}

/// Guards against a request that is sent although every engine is at its limit.
#[parameterized(
    short = { SHORT },
    middling = { MIDDLING },
    long = { LONG },
)]
fn refused(prompt: u64) {
    let candidates = engines(&[Quota::Exhausted; 18]);
    assert_eq!(choose(prompt, &candidates, 1), Err(Shortage::Limit));
}

/// Guards against refusing a prompt that fits into one engine because all engines name
/// limits.
#[parameterized(
    short = { SHORT },
    middling = { MIDDLING },
    long = { LONG },
)]
fn all_limited(prompt: u64) {
    let mut limited = [Quota::Exhausted; 18];
    limited[7] = Quota::Available;
    let candidates = engines(&limited);
    let choice = choose(prompt, &candidates, 1).unwrap();
    assert_eq!(choice.primary, 7);
    assert!(choice.shares.is_empty());
}

/// An engine that failed recently is taken before one at its limit.
#[test]
fn suspect_first() {
    let mut candidates = engines(&[Quota::Exhausted; 18]);
    candidates[3].quota = Quota::Unlimited;
    candidates[3].suspect = true;
    assert_eq!(choose(SHORT, &candidates, 1).unwrap().primary, 3);
}

/// Upstreams that are not engines are passed over too if they are at their limits.
#[test]
fn plain_spared() {
    let mut candidates = engines(&[Quota::Exhausted; 17]);
    candidates[17].total.streams = 15;
    let mut rng = SmallRng::seed_from_u64(1);
    let choice = pick::choose_plain(&candidates, &mut rng).unwrap();
    assert_eq!(choice.primary, 17);
    candidates[17].quota = Quota::Exhausted;
    assert_eq!(
        pick::choose_plain(&candidates, &mut rng),
        Err(Shortage::Limit)
    );
}
