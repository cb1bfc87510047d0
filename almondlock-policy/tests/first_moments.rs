//! All hosts start at the same time, and two seconds' worth of requests arrive as soon as the first
//! one listens. Guards against prompts that are placed too early in this situation, or held back
//! until they are late.

use std::time::Duration;

use almondlock_policy::startup::{Prompt, hold_time};
use yare::parameterized;

const SETTLING: u64 = 1_100;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn prompt(age: u64, spent: u64, objective: u64, reading: u64, knows_loads: bool) -> Prompt {
    Prompt {
        host_age: ms(age),
        waited: ms(spent),
        objective: ms(objective),
        reading_time: ms(reading),
        knows_loads,
    }
}

/// Guards against long prompts that occupy all engines before short ones are placed, against
/// prompts that are placed before loads are known, and against prompts that wait until they are
/// late.
#[parameterized(
    short_informed = { prompt(400, 0, 250, 35, true), None },
    short_uninformed = { prompt(400, 0, 250, 35, false), Some(31) },
    short_waited = { prompt(440, 40, 250, 35, false), None },
    middling_uninformed = { prompt(400, 0, 1_500, 450, false), Some(50) },
    middling_informed = { prompt(400, 0, 1_500, 450, true), None },
    long = { prompt(400, 0, 8_000, 9_000, true), Some(700) },
    long_tight = { prompt(400, 0, 4_000, 5_000, true), Some(500) },
    long_waited = { prompt(700, 300, 8_000, 9_000, true), Some(400) },
    long_settled = { prompt(1_100, 0, 8_000, 9_000, true), None },
    uninformed_settled = { prompt(1_200, 0, 250, 35, false), None },
)]
fn held(prompt: Prompt, expected: Option<u64>) {
    let held = hold_time(ms(SETTLING), &prompt);
    assert_eq!(held.map(|left| left.as_millis()), expected.map(u128::from));
}

/// Guards against a host that holds prompts back although no settling time is configured.
#[test]
fn no_settling() {
    assert_eq!(
        hold_time(Duration::ZERO, &prompt(0, 0, 8_000, 9_000, false)),
        None
    );
}
