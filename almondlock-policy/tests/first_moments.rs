//! All hosts start at once, and two seconds' worth of callers come with the first listener.

use std::time::Duration;

use almondlock_policy::startup::{Prompt, hold_time};
use yare::parameterized;

const SETTLING: u64 = 1_100;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn case(age: u64, spent: u64, objective: u64, reading: u64, knows_loads: bool) -> Prompt {
    Prompt {
        host_age: ms(age),
        waited: ms(spent),
        objective: ms(objective),
        reading_time: ms(reading),
        knows_loads,
    }
}

/// Guards against long prompts that take all engines before short ones are placed, against
/// prompts placed without knowledge, and against either of them waiting until it is late.
#[parameterized(
    short_informed = { case(400, 0, 250, 35, true), None },
    short_uninformed = { case(400, 0, 250, 35, false), Some(31) },
    short_waited = { case(440, 40, 250, 35, false), None },
    middling_uninformed = { case(400, 0, 1_500, 450, false), Some(50) },
    middling_informed = { case(400, 0, 1_500, 450, true), None },
    long = { case(400, 0, 8_000, 9_000, true), Some(700) },
    long_tight = { case(400, 0, 4_000, 5_000, true), Some(500) },
    long_waited = { case(700, 300, 8_000, 9_000, true), Some(400) },
    long_settled = { case(1_100, 0, 8_000, 9_000, true), None },
    uninformed_settled = { case(1_200, 0, 250, 35, false), None },
)]
fn held(case: Prompt, expected: Option<u64>) {
    let held = hold_time(ms(SETTLING), &case);
    assert_eq!(held.map(|left| left.as_millis()), expected.map(u128::from));
}

/// Guards against a host that holds prompts though nobody asked for it.
#[test]
fn nothing_asked() {
    assert_eq!(
        hold_time(Duration::ZERO, &case(0, 0, 8_000, 9_000, false)),
        None
    );
}
