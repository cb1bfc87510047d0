//! Guards against a sidecar that takes the speed of one prompt for that of the engine. An
//! engine processes several prompts at once, each at a part of its speed, so the sidecar
//! would believe it to be several times slower than it is, and refuse long prompts for
//! which there is enough time.

#![cfg(test)]

use std::time::Duration;

use almondlock_base::{id::Organisation, time::Mono, unit::Tokens};
use almondlock_policy::queue::{Config, Job, Queue, Room};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

const SPEED: u64 = 20_000;

fn job(id: u64, prompt: u64, now: Mono) -> Job {
    Job {
        organisation: Organisation::new(&format!("org-{}", id % 8)).unwrap(),
        weight: 1,
        prompt: Tokens(prompt),
        cached: Tokens::ZERO,
        max_output: Tokens(10),
        deadline: now + Duration::from_secs(600),
        suspect: false,
    }
}

/// Returns the speed learned from an engine with steps of 50 ms, which processes prompts
/// side by side, or shorter ones first if `ordered`. In each step up to `most` prompts of
/// 800 tokens arrive; one in `long` has 150,000.
fn learn(ordered: bool, most: u64, long: u32) -> f64 {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut queue = Queue::new(Config::short());
    let room = Room::idle(Tokens(10_000_000), 1_000);
    let mut active: Vec<(u64, u64)> = Vec::new();
    let mut next = 0;
    for step in 0..8_000 {
        let now = Mono::from_millis(step * 50);
        for _ in 0..rng.random_range(0..=most) {
            let is_long = rng.random_range(0..long) == 0;
            let prompt = if is_long { 150_000 } else { 800 };
            queue
                .push(next, job(next, prompt, now), &room, now)
                .unwrap();
            next += 1;
        }
        while let Some(grant) = queue.grant(now, &room) {
            let tokens = if grant.priority < 2 { 800 } else { 150_000 };
            active.push((tokens, grant.id));
        }
        process(&mut active, ordered);
        let end = now + Duration::from_millis(50);
        active.retain(|(left, id)| {
            if *left == 0 {
                queue.end_prefill(id, end);
                queue.finish(id, Tokens(10));
            }
            *left > 0
        });
    }
    queue.prefill_speed()
}

fn process(active: &mut [(u64, u64)], ordered: bool) {
    let mut budget = SPEED / 20;
    if ordered {
        active.sort_unstable();
    }
    let share = if ordered {
        budget
    } else {
        budget / (active.len() as u64).max(1)
    };
    for (left, _) in active {
        let part = share.min(*left).min(budget);
        *left -= part;
        budget -= part;
    }
}

#[parameterized(
    side_by_side = { false, 2, 1_000_000 },
    busier_side_by_side = { false, 3, 1_000_000 },
    with_long = { true, 1, 200 },
    with_long_side_by_side = { false, 1, 400 },
)]
fn engine_speed_learned(ordered: bool, most: u64, long: u32) {
    let speed = learn(ordered, most, long);
    let right = SPEED as f64;
    // Steps that are not full make it look slower, partly processed prompts faster.
    assert!((0.7 * right..1.25 * right).contains(&speed), "{speed}");
}
