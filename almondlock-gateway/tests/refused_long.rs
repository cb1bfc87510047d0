//! Many long prompts come at once. What can't be in time any more is refused at
//! once, so that the others are; short and middling ones are never refused.

use std::time::Duration;

use almondlock_gateway::{admission, pick::Choice};
use yare::parameterized;

const OBJECTIVE: Duration = Duration::from_secs(3);

fn choice(part: u64, helpers: usize, expected: u64) -> Choice {
    Choice {
        first: 0,
        helpers: (1..=helpers).collect(),
        shares: Vec::new(),
        expected: Duration::from_millis(expected),
        part: Duration::from_millis(part),
        backlog: Duration::ZERO,
    }
}

#[parameterized(
    in_time = { 250, 10, 900, 0, false },
    late = { 250, 10, 1_900, 0, true },
    waited_already = { 250, 10, 900, 1_000, true },
    short = { 20, 0, 5_000, 0, false },
    middling = { 30, 9, 5_000, 0, false },
    largest_middling = { 49, 16, 5_000, 0, false },
)]
fn by_expectation(part: u64, helpers: usize, expected: u64, spent: u64, refused: bool) {
    let spent = Duration::from_millis(spent);
    let choice = choice(part, helpers, expected);
    assert_eq!(admission::refuses(&choice, OBJECTIVE, spent), refused);
}

/// A large prompt that the engines read in time is served, however much they
/// have to read for others.
#[test]
fn large_in_time() {
    let large = Choice {
        backlog: Duration::from_millis(400),
        ..choice(1_200, 3, 1_500)
    };
    assert!(!admission::refuses(&large, OBJECTIVE, Duration::ZERO));
    let late = Choice {
        expected: Duration::from_millis(1_900),
        ..large
    };
    assert!(admission::refuses(&late, OBJECTIVE, Duration::ZERO));
}
