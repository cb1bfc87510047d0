//! Choice of engines while short prompts arrive steadily and long ones in bursts. A short
//! stream stands still while a part of a long prompt is read on its engine.

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

/// Returns engines of which the first ones write short streams.
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
    // Tokens, and pairs of a token and an earlier one, have separate rates.
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

/// Guards against short prompts for engines without a free slot, whatever is drawn.
#[test]
fn short_overflow() {
    let candidates = writing(3, 16);
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let choice = pick::choose_engine(&speed(), demand(4_000), &candidates, &mut rng).unwrap();
        assert!(choice.primary >= 3, "{choice:?}");
    }
}

/// Guards against parts of long prompts on engines that write short streams.
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

/// Guards against readers with many short streams or a large backlog, while an engine is
/// left that writes only one. The mix has changed to long prompts, and some engines that
/// were packed with short streams still write the last of them.
#[test]
fn full_engines_last() {
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

/// Guards against parts of long prompts that stop short streams when the mix changes. Five
/// engines write the last short streams; the others are readers with a backlog of some
/// tenths of a second. Twenty prompts follow each other, each with parts that take longer
/// than a short stream may pause: they must wait for the readers.
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

/// Guards against delaying further streams after the same change of the mix, when the
/// readers have large backlogs. One engine with streams already reads a large part, so its
/// streams will pause for too long in any case: it is taken before those whose streams are
/// in time.
#[test]
fn late_streams_first() {
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

/// Guards against parts of a prompt that stop other streams than those of its own writer.
/// Readers write nothing, and writers read no parts of prompts that others answer.
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

/// The number of writers grows with the streams of long prompts, up to a third of the
/// engines for long prompts.
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

/// Guards against a part of a second beside a writer's streams, which would make all of
/// them late: a reader without streams answers.
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

/// A medium prompt is read by engines of both groups in parts that no stream notices, and
/// answered by an engine for short streams.
#[test]
fn middling_on_short_side() {
    let candidates = writing(3, 8);
    let choice = choose(45_000, &candidates);
    assert!(choice.primary < 3);
    assert!(choice.part <= Duration::from_millis(35));
}

/// Guards against entry hosts that all choose the same engine. All see the same idle
/// engines at the same moment, so their draws among writers and among readers must differ.
#[test]
fn draws_differ() {
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
