//! Placement of prompts while engines are ejected, or slower than their figures say.

mod engines;

use std::time::Duration;

use almondlock_gateway::{
    load::Total,
    pick::{self, Candidate, Demand},
};
use engines::{engine, speed};
use rand::{SeedableRng, rngs::SmallRng};
use yare::parameterized;

const ENGINES: usize = 12;

fn demand(prompt: u64) -> Demand {
    Demand {
        prompt,
        output: 2_000,
        objective: Duration::from_millis(300),
    }
}

/// Returns idle engines, except that the first is as given.
fn candidates(first: Candidate) -> Vec<Candidate> {
    let idle = engine(Total::default());
    (0..ENGINES)
        .map(|i| if i == 0 { first } else { idle })
        .collect()
}

/// Guards against prompts or parts for an ejected engine while others are left.
#[parameterized(
    short = { 5_000 },
    middling = { 45_000 },
    long = { 300_000 },
)]
fn ejected(prompt: u64) {
    let mut rng = SmallRng::seed_from_u64(1);
    let candidates = candidates(Candidate {
        ejected: true,
        ..engine(Total::default())
    });
    for _ in 0..200 {
        let choice = pick::choose_engine(&speed(), demand(prompt), &candidates, &mut rng).unwrap();
        assert!(choice.primary != 0 && !choice.helpers.contains(&0));
        let choice = pick::choose_plain(&candidates, &mut rng).unwrap();
        assert_ne!(choice.primary, 0);
    }
}

/// Guards against a refusal if only ejected engines are left, and against an ejected engine
/// that is taken before one that merely failed recently.
#[test]
fn nothing_else() {
    let mut rng = SmallRng::seed_from_u64(1);
    let gone = Candidate {
        ejected: true,
        ..engine(Total::default())
    };
    let failed = Candidate {
        suspect: true,
        ..engine(Total::default())
    };
    let choice = pick::choose_engine(&speed(), demand(5_000), &[gone], &mut rng).unwrap();
    assert_eq!(choice.primary, 0);
    let both = [gone, failed];
    let choice = pick::choose_engine(&speed(), demand(5_000), &both, &mut rng).unwrap();
    assert_eq!(choice.primary, 1);
    assert_eq!(pick::choose_plain(&both, &mut rng).unwrap().primary, 1);
}

/// Guards against an idle slow engine that gets as many prompts as others, and against an
/// expected time of the first event as if it were as fast as others.
#[test]
fn slower() {
    let mut rng = SmallRng::seed_from_u64(1);
    let slow = Candidate {
        rate: 0.25,
        ..engine(Total::default())
    };
    let all = candidates(slow);
    let places = (0..300).map(|_| {
        let choice = pick::choose_engine(&speed(), demand(5_000), &all, &mut rng).unwrap();
        choice.primary
    });
    assert_eq!(places.filter(|place| *place == 0).count(), 0);
    let usual = engine(Total::default());
    let mut expected = |only| {
        let choice = pick::choose_engine(&speed(), demand(5_000), &[only], &mut rng).unwrap();
        choice.expected.as_secs_f64()
    };
    let times = expected(slow) / expected(usual);
    assert!((3.5..4.5).contains(&times), "{times}");
}

/// Guards against an expected time of the first event that is still the one of the engine
/// chosen first, after another one with a free slot was drawn: that one would be judged by
/// it.
#[test]
fn redirected() {
    let mut rng = SmallRng::seed_from_u64(1);
    let slow = Candidate {
        rate: 0.25,
        ..engine(Total::default())
    };
    let all = candidates(slow);
    let chosen = pick::choose_engine(&speed(), demand(5_000), &all, &mut rng).unwrap();
    assert_ne!(chosen.primary, 0);
    let mut moved = chosen.clone();
    pick::redirect(&speed(), demand(5_000), &all, &mut moved, 0);
    let alone = pick::choose_engine(&speed(), demand(5_000), &[slow], &mut rng).unwrap();
    let times = moved.expected.as_secs_f64() / alone.expected.as_secs_f64();
    assert_eq!(moved.primary, 0);
    assert!((0.9..1.1).contains(&times), "{times}");
}

/// Guards against drawing slots without regard to the engines' rates: while slots are
/// scarce, a slow engine would get as many prompts as any other.
#[test]
fn slow_slots() {
    let mut rng = SmallRng::seed_from_u64(1);
    let slow = Candidate {
        rate: 0.25,
        ..engine(Total::default())
    };
    let all = candidates(slow);
    let drawn =
        (0..1_200).map(|_| pick::draw_engine_with_slot(&speed(), demand(5_000), &all, 1, &mut rng));
    // The expected number is 100 if all rates are equal, and 27 with these rates.
    let count = drawn.filter(|place| *place == 0).count();
    assert!((10..50).contains(&count), "{count}");
}
