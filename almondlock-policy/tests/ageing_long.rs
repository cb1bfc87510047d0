//! Guards against a long prompt that never starts because short prompts keep coming, as
//! many as the engine can take, and each freed piece of memory goes to one of them. The
//! long prompt must start about when it is due, and short ones must go on meanwhile.

#![cfg(test)]

use std::{collections::VecDeque, time::Duration};

use almondlock_base::{id::Organisation, time::Mono, unit::Tokens};
use almondlock_policy::queue::{Config, Job, Queue, Room};
use yare::parameterized;

const CAPACITY: Tokens = Tokens(200_000);
const LONG: u64 = 0;
const STEP: u64 = 100;
const PREFILL: Duration = Duration::from_millis(150);

fn job(organisation: &str, prompt: u64) -> Job {
    Job {
        organisation: Organisation::new(organisation).unwrap(),
        weight: 1,
        prompt: Tokens(prompt),
        cached: Tokens::ZERO,
        max_output: Tokens(1_000),
        deadline: Mono::from_millis(3_600_000),
        suspect: false,
    }
}

/// What was observed in a run.
struct Seen {
    long_start: Option<u64>,
    shorts_after_due: u32,
}

/// In every step four short jobs arrive, each of which holds its memory for 20 steps, so
/// that together they would take all memory.
fn run(config: Config, due: u64) -> Seen {
    let mut queue = Queue::new(config);
    let mut room = Room::idle(CAPACITY, 64);
    let mut ends: VecDeque<(u64, u64, Tokens)> = VecDeque::new();
    let mut seen = Seen {
        long_start: None,
        shorts_after_due: 0,
    };
    for step in 0..3_000 {
        let now = Mono::from_millis(step * STEP);
        while let Some((end, id, need)) = ends.front().copied()
            && end <= step
        {
            ends.pop_front();
            queue.finish(&id, Tokens(1_000));
            room.free_memory += need;
            room.free_slots += 1;
        }
        for i in 0..4 {
            let id = 1 + step * 4 + i;
            let _ = queue.push(id, job(&format!("short-{i}"), 3_000), &room, now);
        }
        if step == 50 {
            queue.push(LONG, job("long", 100_000), &room, now).unwrap();
        }
        while let Some(grant) = queue.grant(now, &room) {
            // At the assumed speed, so that the estimated speed does not change.
            queue.end_prefill(&grant.id, now + PREFILL);
            let need = Tokens(if grant.id == LONG { 101_000 } else { 4_000 });
            room.free_memory = room.free_memory.saturating_sub(need);
            room.free_slots -= 1;
            if grant.id == LONG {
                seen.long_start = Some(step * STEP);
                return seen;
            }
            seen.shorts_after_due += u32::from(step * STEP > due);
            ends.push_back((step + 20, grant.id, need));
        }
    }
    seen
}

#[parameterized(
    short = { Config::short(), 4 },
    even = { Config::even(), 1 },
)]
fn overdue_long_starts(config: Config, stretch: u64) {
    let config = Config {
        initial_speed: 20_000.0,
        ..config
    };
    // 100,000 tokens take 5 s, and memory becomes free within 20 steps.
    let due = 50 * STEP + stretch * 5_020;
    let seen = run(config, due);
    let start = seen.long_start.expect("the long job starts");
    assert!(
        start <= due + 2 * 20 * STEP,
        "started at {start}, due at {due}"
    );
    assert!(
        seen.shorts_after_due > 0,
        "short jobs go on in the reserved room"
    );
}

/// On the engine, too: one that has waited past its due time rises, where the
/// setting says so, but never to the level of short ones.
#[parameterized(
    short = { Config::short(), 0, 4 },
    short_overdue = { Config::short(), 300_000, 4 },
    even = { Config::even(), 0, 4 },
    even_overdue = { Config::even(), 300_000, 2 },
)]
/// A job that is overdue gets a higher engine priority if the configuration says so, but
/// never that of short jobs.
fn overdue_priority(config: Config, wait: u64, expected: u8) {
    let room = Room::idle(CAPACITY, 64);
    let mut queue = Queue::new(config);
    queue
        .push(LONG, job("long", 100_000), &room, Mono::ZERO)
        .unwrap();
    let grant = queue.grant(Mono::from_millis(wait), &room).unwrap();
    // The odd priority of each class is for an organisation that has much running.
    assert_eq!(grant.priority & !1, expected);
}
