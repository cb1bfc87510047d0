//! Short prompts come all the time, long ones in bursts, on the same engines. A
//! short stream stands still while a part of a long prompt is read beside it.

mod engines;

use std::{collections::BTreeSet, time::Duration};

use almondlock_gateway::{
    load::Total,
    pick::{self, Candidate, Choice, Demand, MAX_READERS, Shortage},
};
use engines::{engine, speed};
use rand::{SeedableRng, rngs::SmallRng};
use yare::parameterized;

const ENGINES: usize = 14;

fn idle() -> Vec<Candidate> {
    vec![engine(Total::default()); ENGINES]
}

/// The first engines write short streams.
fn writing(engines: usize, streams: u32) -> Vec<Candidate> {
    let mut candidates = idle();
    for candidate in &mut candidates[..engines] {
        candidate.total.streams = streams;
        candidate.total.short = streams;
    }
    candidates
}

fn demand(prompt: u64) -> Demand {
    Demand {
        prompt,
        output: 2_000,
        objective: Duration::from_secs(3),
    }
}

fn choose(prompt: u64, candidates: &[Candidate]) -> Choice {
    let mut rng = SmallRng::seed_from_u64(1);
    pick::choose_engine(&speed(), demand(prompt), candidates, &mut rng).unwrap()
}

fn members(choice: &Choice) -> Vec<usize> {
    let mut all = choice.helpers.clone();
    all.push(choice.primary);
    all.sort_unstable();
    all
}

#[test]
fn reading_time() {
    let speed = speed();
    let millis = |tokens| speed.reading_time(tokens).as_millis();
    // Tokens, and pairs of a token and any earlier one, by their own rates.
    assert_eq!(millis(5_000), 20);
    assert_eq!(millis(45_000), 268);
    assert_eq!(millis(210_000), 2_842);
    assert_eq!(speed.part_reading_time(210_000, 10).as_millis(), 284);
}

#[test]
fn short_are_packed() {
    let candidates = writing(2, 9);
    for _ in 0..20 {
        let choice = choose(4_000, &candidates);
        assert!(choice.primary < 2 && choice.helpers.is_empty());
    }
}

/// Engines without a free place are left alone, however the lot falls.
#[test]
fn short_overflow() {
    let candidates = writing(3, 16);
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let choice = pick::choose_engine(&speed(), demand(4_000), &candidates, &mut rng).unwrap();
        assert!(choice.primary >= 3, "{choice:?}");
    }
}

/// The parts of a long prompt leave the short streams alone.
#[parameterized(
    usual = { 210_000 },
    large = { 420_000 },
)]
fn long_apart(prompt: u64) {
    let candidates = writing(3, 10);
    let choice = choose(prompt, &candidates);
    assert!(members(&choice).iter().all(|i| *i >= 3), "{choice:?}");
    assert!(!choice.helpers.is_empty());
    assert!(choice.expected < Duration::from_secs(3));
}

/// The mix has turned to long prompts, and some engines that were packed with short
/// streams still write the last ones. One that writes a single stream is a better
/// reader than a full one, and than those that have much to read already.
#[test]
fn full_ones_last() {
    let mut candidates = writing(2, 10);
    for candidate in &mut candidates[4..] {
        candidate.total.reading = 600.0;
    }
    candidates[4].total = candidates[0].total;
    candidates[5].total = Total {
        streams: 1,
        short: 1,
        ..Total::default()
    };
    let helpers = choose(210_000, &candidates).helpers;
    assert!(helpers.contains(&5) && !helpers.contains(&4), "{helpers:?}");
}

/// The mix turns from short prompts to long ones. Five engines write the last short
/// streams, the others are readers and have some tenths of a second to read. Twenty
/// prompts of which each part takes longer than such a stream may pause come after
/// each other: they must wait for the readers, not stop streams that can be spared.
#[test]
fn turn_spares_streams() {
    let mut candidates = writing(2, 10);
    for draining in &mut candidates[2..7] {
        draining.total.streams = 2;
        draining.total.short = 2;
    }
    for reader in &mut candidates[7..12] {
        reader.total.reading = 300.0;
    }
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let choice = pick::choose_engine(&speed(), demand(210_000), &candidates, &mut rng).unwrap();
        let all = members(&choice);
        assert!(!all.iter().any(|i| *i < 7), "{choice:?}");
        assert!(choice.expected < Duration::from_millis(1_500), "{choice:?}");
    }
}

/// The same turn, and the readers have much to read. One engine with streams reads a
/// large part already, so its streams will pause for too long whatever comes: it is
/// taken before those whose streams are in time.
#[test]
fn stopped_ones_first() {
    let mut candidates = writing(2, 10);
    for reader in &mut candidates[2..12] {
        reader.total.reading = 900.0;
    }
    for draining in &mut candidates[2..7] {
        draining.total.streams = 3;
        draining.total.short = 3;
        draining.total.reading = 0.0;
    }
    candidates[4].total.reading = 250.0;
    let choice = choose(210_000, &candidates);
    assert!(choice.helpers.contains(&4), "{choice:?}");
    let spared = |i: &usize| matches!(i, 2 | 3 | 5 | 6);
    assert!(!choice.helpers.iter().any(spared), "{choice:?}");
}

/// Parts of a prompt stop no stream but those of its own writer: readers write
/// nothing, and the last engines write for long prompts and read no other's parts.
#[test]
fn readers_write_nothing() {
    let mut candidates = writing(2, 10);
    candidates[13].total.streams = 2;
    let usual = choose(210_000, &candidates);
    assert_eq!(usual.primary, 12);
    assert!(
        usual.helpers.iter().all(|i| (2..12).contains(i)),
        "{usual:?}"
    );
    assert!(usual.part < Duration::from_millis(320));
}

/// More streams of long prompts take more writers, and at most a third of the
/// engines for them.
#[parameterized(
    none = { 0, 2 },
    some = { 8, 3 },
    many = { 40, 4 },
)]
fn writers_by_streams(streams: u32, writers: usize) {
    let mut candidates = writing(2, 10);
    candidates[13].total.streams = streams;
    let readers = choose(210_000, &candidates).helpers;
    assert!(
        readers.iter().all(|i| *i < ENGINES - writers),
        "{readers:?}"
    );
}

/// A part of a second beside a writer's streams would make all of them late: a
/// reader without streams answers.
#[test]
fn largest_written_apart() {
    let mut candidates = writing(2, 10);
    for writer in &mut candidates[11..] {
        writer.total.streams = 3;
    }
    let choice = choose(440_000, &candidates);
    assert!(
        members(&choice).iter().all(|i| (2..11).contains(i)),
        "{choice:?}"
    );
    assert!(choice.part > Duration::from_millis(600));
}

/// A middling prompt is read by both sides in parts that no stream notices, and
/// written where the short ones are.
#[test]
fn middling_on_short_side() {
    let candidates = writing(3, 8);
    let choice = choose(45_000, &candidates);
    assert!(choice.primary < 3);
    assert!(choice.part <= Duration::from_millis(35));
}

/// All entry hosts see the same idle engines at the same moment; their lots
/// differ, among the writers and among the readers.
#[test]
fn no_herd() {
    let mut candidates = vec![idle()[0]; 60];
    for writer in &mut candidates[56..] {
        writer.total.streams = 3;
    }
    let (mut first, mut readers) = (BTreeSet::new(), BTreeSet::new());
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let choice = pick::choose_engine(&speed(), demand(210_000), &candidates, &mut rng).unwrap();
        first.insert(choice.primary);
        readers.extend(choice.helpers);
    }
    assert!(first.len() >= 4, "{first:?}");
    assert!(readers.len() > 40, "{readers:?}");
}

#[test]
fn suspects_last() {
    let mut candidates = idle();
    candidates.iter_mut().for_each(|c| c.suspect = true);
    candidates[5].suspect = false;
    assert_eq!(choose(4_000, &candidates).primary, 5);
    assert_eq!(members(&choose(210_000, &candidates)), [5]);
    candidates[5].suspect = true;
    candidates[5].total.waiting = 30;
    assert_ne!(choose(4_000, &candidates).primary, 5);
}

#[test]
fn bounded_helpers() {
    let candidates = vec![idle()[0]; 60];
    for prompt in [30_000, 100_000, 300_000, 1_000_000] {
        let choice = choose(prompt, &candidates);
        assert!(choice.helpers.len() < MAX_READERS);
        assert!(!choice.helpers.contains(&choice.primary));
    }
}

#[test]
fn nobody_enrolled() {
    let mut rng = SmallRng::seed_from_u64(1);
    let chosen = pick::choose_engine(&speed(), demand(5_000), &[], &mut rng);
    assert_eq!(chosen, Err(Shortage::Upstream));
    assert_eq!(pick::choose_plain(&[], &mut rng), Err(Shortage::Upstream));
}

#[test]
fn plain_by_places() {
    let mut candidates = idle();
    candidates.iter_mut().for_each(|c| c.total.streams = 3);
    candidates[4].total.streams = 1;
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(
        pick::choose_plain(&candidates, &mut rng).unwrap().primary,
        4
    );
}
