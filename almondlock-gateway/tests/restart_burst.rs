//! Guards against late answers after a restart of all entry hosts. The callers that were
//! cut off return together, so as many short prompts arrive in a moment as otherwise in
//! seconds. If they are packed onto the engines that have slots for them, each waits until
//! those before it are read, and the last ones are late.

mod engines;

use std::time::Duration;

use almondlock_gateway::{
    load::Total,
    pick::{self, Candidate, Demand},
};
use engines::{engine, speed};
use rand::{SeedableRng, rngs::SmallRng};
use yare::parameterized;

const ENGINES: usize = 14;
const PROMPT: u64 = 5_000;

fn demand() -> Demand {
    Demand {
        prompt: PROMPT,
        output: 1_000,
        objective: Duration::from_millis(300),
    }
}

/// Returns engines of which the first two have short streams in half of their slots and
/// `reading` milliseconds left to read. The others have `other` milliseconds left.
fn engines(reading: f32, other: f32) -> Vec<Candidate> {
    let candidate = |reading, short| {
        engine(Total {
            reading,
            waiting: short,
            short,
            ..Total::default()
        })
    };
    let mut engines = vec![candidate(other, 0); ENGINES];
    engines[..2].fill(candidate(reading, 8));
    engines
}

/// Returns how many of a hundred choices are other engines than the first two.
fn elsewhere(known: &[Candidate]) -> usize {
    let mut rng = SmallRng::seed_from_u64(1);
    let choices =
        (0..100).map(|_| pick::choose_engine(&speed(), demand(), known, &mut rng).unwrap());
    choices.filter(|choice| choice.primary >= 2).count()
}

/// Guards against packing short prompts onto two engines with a large backlog: other
/// engines join, but only those with less to read.
#[parameterized(
    calm = { 10.0, 0.0, false },
    burst = { 160.0, 0.0, true },
    others_read_less = { 160.0, 120.0, true },
    others_read_more = { 160.0, 200.0, false },
)]
fn others_join(reading: f32, other: f32, join: bool) {
    let elsewhere = elsewhere(&engines(reading, other));
    assert!(
        if join { elsewhere > 60 } else { elsewhere == 0 },
        "{elsewhere}"
    );
}
