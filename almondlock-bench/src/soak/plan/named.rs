//! Upstreams that name limits, pauses and that they leave, while they crash, start again and
//! move to the other service, in series and together. A configuration follows each series.

use std::ops::Range;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{Act, CALM, Fault, PAUSE, Size, push};

/// Upstreams whose series overlap, at the most.
const TOGETHER: usize = 3;
/// How often an upstream starts again in a series.
const STARTS: Range<usize> = 1..4;
/// Milliseconds between two steps of a series.
const STEP: Range<u64> = 200..1_200;
/// Milliseconds for which an upstream names something.
const NAMING: Range<u64> = 300..1_500;
/// Milliseconds from the last series to the configuration, and from that to the next series.
const BETWEEN: Range<u64> = 100..2_500;
/// Limits, in thousandths of requests a second.
const LIMIT: Range<u32> = 1_000..20_000;

/// Adds to a plan, from the same seed.
pub fn draw(seed: u64, millis: u64, size: Size, faults: &mut Vec<Fault>) {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(24));
    let mut at = CALM;
    while at < millis {
        let count = rng.random_range(1..=TOGETHER);
        let ends = (0..count).map(|_| {
            let upstream = rng.random_range(0..size.upstreams);
            series(&mut rng, at, upstream, faults)
        });
        at = ends.max().unwrap_or(at) + rng.random_range(BETWEEN);
        push(faults, at, 0, Act::Publish);
        at += rng.random_range(BETWEEN);
    }
    faults.sort_by_key(|fault| fault.at);
}

/// One upstream names something before each of its starts. Returns when the last step begins.
fn series(rng: &mut SmallRng, mut at: u64, upstream: usize, faults: &mut Vec<Fault>) -> u64 {
    for _ in 0..rng.random_range(STARTS) {
        let named = match rng.random_range(0..6) {
            0..3 => Act::Limit(upstream, rng.random_range(LIMIT)),
            3 => Act::Garble(upstream),
            4 => Act::Pause(upstream, rng.random_range(PAUSE)),
            _ => Act::Release(upstream),
        };
        push(faults, at, rng.random_range(NAMING), named);
        at += rng.random_range(STEP);
        let start = match rng.random_range(0..4) {
            0 => Act::Move(upstream),
            _ => Act::Restart(upstream),
        };
        push(faults, at, 0, start);
        at += rng.random_range(STEP);
    }
    at
}
