//! Many long prompts come at once. What can't be in time any more is refused at
//! once, the largest first, so that the others are; short and middling ones are
//! never refused.

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
        large: false,
        backlog: Duration::ZERO,
    }
}

#[parameterized(
    in_time = { 250, 10, 900, 0, false },
    late = { 250, 10, 1_900, 0, true },
    waited_already = { 250, 10, 900, 1_000, true },
    short = { 20, 0, 5_000, 0, false },
    middling = { 30, 9, 5_000, 0, false },
)]
fn by_expectation(part: u64, helpers: usize, expected: u64, spent: u64, refused: bool) {
    let spent = Duration::from_millis(spent);
    let choice = choice(part, helpers, expected);
    assert_eq!(admission::refuses(&choice, OBJECTIVE, spent), refused);
}

#[parameterized(
    calm = { 20, false },
    loaded = { 400, true },
)]
fn largest_under_load(backlog: u64, refused: bool) {
    let large = Choice {
        large: true,
        backlog: Duration::from_millis(backlog),
        ..choice(1_200, 3, 1_500)
    };
    let usual = Choice {
        large: false,
        ..large.clone()
    };
    let spent = Duration::ZERO;
    assert_eq!(admission::refuses(&large, OBJECTIVE, spent), refused);
    assert!(!admission::refuses(&usual, OBJECTIVE, spent));
}
