//! Some engines name limits on the requests of all hosts. An engine that is sent requests
//! beyond its limit, or orders for memory on top of them, gets more than it named; one that
//! is left out altogether wastes what it could still read.

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

/// Idle engines, of which the first ones stand with their limits like this.
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

/// Guards against requests to engines at their limits, and orders to any that name one.
#[parameterized(
    short = { SHORT },
    middling = { MIDDLING },
    long = { LONG },
    huge = { HUGE },
)]
fn spared(prompt: u64) {
    let limited = [[Quota::Exhausted; 5], [Quota::Available; 5]].concat();
    let candidates = engines(&limited);
    for seed in 0..50 {
        let choice = choose(prompt, &candidates, seed).unwrap();
        assert_ne!(candidates[choice.primary].quota, Quota::Exhausted);
        let mut holders = choice.shares.iter().map(|share| share.place);
        assert!(holders.all(|place| candidates[place].quota == Quota::Unlimited));
    }
}

/// Guards against short streams that are spread over the readers because the engines that
/// are theirs by order are at their limits.
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

/// Guards against answers to long prompts that nobody may write, because the writers by order
/// name limits.
#[test]
fn writers_beside() {
    let mut limited = [Quota::Unlimited; 18];
    limited[12..].fill(Quota::Available);
    let candidates = engines(&limited);
    for seed in 0..50 {
        let choice = choose(LONG, &candidates, seed).unwrap();
        assert!(choice.helpers.len() > 4, "{choice:?}");
        assert_eq!(candidates[choice.primary].quota, Quota::Unlimited);
    }
}

/// Parts that are read for another engine are no requests of hosts.
#[test]
fn still_read() {
    let candidates = engines(&[Quota::Exhausted; 10]);
    let choice = choose(LONG, &candidates, 1).unwrap();
    let mut helpers = choice.helpers.iter();
    assert!(helpers.any(|place| candidates[*place].quota == Quota::Exhausted));
}

/// Where every engine is at its limit the request is refused and not sent all the same.
#[parameterized(
    short = { SHORT },
    middling = { MIDDLING },
    long = { LONG },
)]
fn refused(prompt: u64) {
    let candidates = engines(&[Quota::Exhausted; 18]);
    assert_eq!(choose(prompt, &candidates, 1), Err(Shortage::Limit));
}

/// A prompt that fits into one engine is served where all of them name limits.
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

/// An engine that failed lately is taken before one at its limit.
#[test]
fn suspect_first() {
    let mut candidates = engines(&[Quota::Exhausted; 18]);
    candidates[3].quota = Quota::Unlimited;
    candidates[3].suspect = true;
    assert_eq!(choose(SHORT, &candidates, 1).unwrap().primary, 3);
}

/// Plain upstreams at their limits are passed over as well.
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
