//! Many long prompts arrive at the same time. Guards against admitting those that can't
//! be in time or, while the engines are busy, those that take the time of several
//! others, and against refusing short or medium ones.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_policy::{
    admission::{Backlog, Candidate, check},
    engine::Speed,
};
use yare::parameterized;

const OBJECTIVE: Duration = Duration::from_secs(3);
const BUSY: u64 = 300;
const IDLE: u64 = 50;

/// An engine that reads 256 tokens per millisecond, and a prompt of 218,000 tokens alone within the
/// objective.
fn speed() -> Speed {
    Speed {
        slots: 16,
        memory: 450_000,
        step_ms: 0.925,
        step_ms_per_stream: 0.00483,
        step_ms_per_context: 0.00254,
        tokens_per_ms: 256.0,
        ms_per_megapair: 0.0917,
        chunk_tokens: 2048.0,
        steps_per_pass: 46.0,
    }
}

fn refuses(speed: &Speed, case: &Candidate) -> bool {
    check(speed, case).is_some()
}

fn case(prompt: u64, expected: u64, backlog: u64) -> Candidate {
    Candidate {
        prompt,
        objective: OBJECTIVE,
        elapsed: Duration::ZERO,
        expected_delay: Duration::from_millis(expected),
        backlog: Duration::from_millis(backlog),
        engine_ratio: 1.0,
    }
}

#[parameterized(
    in_time = { 200_000, 900, BUSY, false },
    late = { 200_000, 1_700, BUSY, true },
    late_though_idle = { 200_000, 1_700, IDLE, true },
    largest_in_time = { 200_000, 1_600, BUSY, false },
    short = { 5_000, 5_000, BUSY, false },
    middling = { 45_000, 5_000, BUSY, false },
    largest_middling = { 110_000, 5_000, BUSY, false },
    twice_as_dear = { 490_000, 900, BUSY, true },
    twice_as_dear_soon = { 490_000, 750, BUSY, false },
    twice_as_dear_idle = { 490_000, 1_600, IDLE, false },
    dearest = { 900_000, 600, BUSY, true },
    dearest_idle = { 900_000, 1_600, IDLE, false },
)]
fn by_expectation(prompt: u64, expected: u64, backlog: u64, refused: bool) {
    assert_eq!(refuses(&speed(), &case(prompt, expected, backlog)), refused);
}

#[parameterized(
    few_of_many = { 3_000, 0, 16.0 / 513.0, false },
    too_late = { 3_800, 0, 16.0 / 513.0, true },
    behind_others = { 3_000, 119, 16.0 / 513.0, true },
    most_of_a_small_fleet = { 3_000, 0, 16.0 / 18.0, true },
    a_third = { 2_300, 0, 16.0 / 48.0, true },
    twice_as_many = { 3_000, 0, 16.0 / 1_026.0, false },
)]
/// Guards against an idle fleet that refuses the longest prompts, although they take few of its
/// engines.
fn by_fleet(expected: u64, backlog: u64, taken: f64, refused: bool) {
    let case = Candidate {
        objective: Duration::from_secs(4),
        engine_ratio: taken,
        ..case(1_000_000, expected, backlog)
    };
    assert_eq!(refuses(&speed(), &case), refused);
}

/// The time that a caller has already waited counts as well.
#[test]
fn already_waited() {
    let soon = case(200_000, 900, BUSY);
    let late = Candidate {
        elapsed: Duration::from_secs(1),
        ..soon
    };
    assert!(!refuses(&speed(), &soon) && refuses(&speed(), &late));
}

/// If pairs of tokens take no reading time, long prompts yield as many tokens per time as others,
/// and only their lateness counts.
#[test]
fn even_rate() {
    let even = Speed {
        ms_per_megapair: 0.0,
        ..speed()
    };
    assert!(!refuses(&even, &case(900_000, 1_600, BUSY)));
    assert!(refuses(&even, &case(900_000, 1_700, BUSY)));
}

/// One large prompt that keeps the engines busy for a moment hardly changes the smoothed backlog.
/// After a second, it does.
#[test]
fn smoothed_backlog() {
    let mut backlog = Backlog::default();
    let (at, millis) = (Mono::from_millis, Duration::from_millis);
    assert_eq!(backlog.observe(at(1_000), millis(0)), millis(0));
    let soon = backlog.observe(at(1_100), millis(600));
    assert!(soon < millis(60), "{soon:?}");
    let then = backlog.observe(at(2_100), millis(600));
    assert!(then > millis(350) && then < millis(450), "{then:?}");
}

/// A refused caller is told to return once the backlog that caused the refusal has been read: not
/// at once, when it would be refused again, and not too late to be in time.
#[parameterized(
    just_late = { 200_000, 1_700, 0..=100 },
    late = { 200_000, 2_300, 600..=700 },
    dearest = { 900_000, 4_000, 3_400..=3_600 },
)]
fn returns_then(prompt: u64, expected: u64, millis: std::ops::RangeInclusive<u128>) {
    let wait = check(&speed(), &case(prompt, expected, BUSY)).unwrap();
    assert!(millis.contains(&wait.as_millis()), "{wait:?}");
}
