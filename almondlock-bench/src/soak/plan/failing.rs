//! Upstreams that refuse, fail or are silent, while entry hosts are killed, stopped and
//! suspended in series.

use std::ops::Range;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{Act, CALM, Fault, Size, push};

/// Milliseconds for which upstreams fail.
const FAILING: Range<u64> = 5_000..9_000;
/// Milliseconds between two times in which they do.
const BETWEEN: Range<u64> = 1_000..4_000;
/// Which part of the upstreams fails, in hundredths.
const PART: Range<u32> = 60..95;
/// Milliseconds from the first failures to the first disturbance of a host.
const BEFORE: u64 = 1_500;
/// Milliseconds between two disturbances of hosts.
const NEXT: Range<u64> = 50..500;
/// Milliseconds for which a host that was killed is away.
const AWAY: Range<u64> = 50..600;
/// Milliseconds for which a host is suspended.
const SUSPENDED: Range<u64> = 300..5_000;

/// Adds to a plan, from the same seed.
pub fn draw(seed: u64, millis: u64, size: Size, faults: &mut Vec<Fault>) {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(8));
    let mut at = CALM;
    while at < millis {
        let length = rng.random_range(FAILING);
        let part = rng.random_range(PART);
        for upstream in 0..size.upstreams {
            if rng.random_ratio(part, 100) {
                let act = match rng.random_range(0..6) {
                    0..4 => Act::Refuse(upstream),
                    4 => Act::Fail(upstream),
                    _ => Act::Silent(upstream),
                };
                push(faults, at, length, act);
            }
        }
        disturb_hosts(&mut rng, at + BEFORE..at + length, size, faults);
        at += length + rng.random_range(BETWEEN);
    }
    faults.sort_by_key(|fault| fault.at);
}

fn disturb_hosts(rng: &mut SmallRng, span: Range<u64>, size: Size, faults: &mut Vec<Fault>) {
    let mut at = span.start;
    while at < span.end {
        let host = rng.random_range(0..size.hosts);
        let (act, length) = match rng.random_range(0..6) {
            0..4 => (Act::KillHost(host), rng.random_range(AWAY)),
            4 => (Act::FreezeHost(host), rng.random_range(SUSPENDED)),
            _ => (Act::StopHost(host), 0),
        };
        push(faults, at, length, act);
        at += rng.random_range(NEXT);
    }
}
