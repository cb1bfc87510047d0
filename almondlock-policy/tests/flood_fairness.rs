//! Guards against an organisation that floods an engine with short requests and so delays
//! those of another, which sends a single short request now and then. That request must
//! start before the flood's backlog and find a batch slot, as if there were no flood. An
//! organisation alone may use everything.

#![cfg(test)]

use std::collections::HashMap;

use almondlock_base::{id::Organisation, time::Mono, unit::Tokens};
use almondlock_policy::queue::{Config, Job, Queue, Room};
use yare::parameterized;

const CAPACITY: Tokens = Tokens(1_000_000);

fn job(organisation: &str, weight: u32, prompt: u64) -> Job {
    Job {
        organisation: Organisation::new(organisation).unwrap(),
        weight,
        prompt: Tokens(prompt),
        cached: Tokens::ZERO,
        max_output: Tokens(100),
        deadline: Mono::from_millis(3_600_000),
        suspect: false,
    }
}

/// Starts and ends one job after the other. Returns who was served, in order.
fn serve(queue: &mut Queue<(&'static str, u32)>, count: usize, now: Mono) -> Vec<&'static str> {
    let room = Room::idle(CAPACITY, 16);
    let mut served = Vec::new();
    for _ in 0..count {
        let Some(grant) = queue.grant(now, &room) else {
            break;
        };
        queue.finish(&grant.id, Tokens(100));
        served.push(grant.id.0);
    }
    served
}

#[test]
fn flood_passed() {
    let room = Room::idle(CAPACITY, 16);
    let mut queue = Queue::new(Config::short());
    for i in 0..2_000 {
        queue
            .push(("flood", i), job("flood", 1, 2_000), &room, Mono::ZERO)
            .unwrap();
    }
    let now = Mono::from_millis(10_000);
    serve(&mut queue, 500, now);
    queue
        .push(("short", 0), job("short", 1, 2_000), &room, now)
        .unwrap();
    let served = serve(&mut queue, 20, now);
    assert_eq!(served[0], "short");
}

#[test]
fn slot_left_free() {
    let mut room = Room::idle(CAPACITY, 16);
    let mut queue = Queue::new(Config::short());
    let now = Mono::ZERO;
    for i in 0..100 {
        queue
            .push(("flood", i), job("flood", 1, 2_000), &room, now)
            .unwrap();
    }
    while let Some(grant) = queue.grant(now, &room) {
        queue.end_prefill(&grant.id, now);
        room.free_slots -= 1;
    }
    assert!(room.free_slots > 0, "the flood took every slot");
    queue
        .push(("short", 0), job("short", 1, 2_000), &room, now)
        .unwrap();
    assert_eq!(
        queue.grant(now, &room).map(|grant| grant.id.0),
        Some("short")
    );
}

#[test]
fn weighted_token_shares() {
    let room = Room::idle(CAPACITY, 16);
    let mut queue = Queue::new(Config::short());
    let now = Mono::ZERO;
    for i in 0..1_500 {
        // The heavier organisation's requests are half as long: shares count tokens, not
        // requests.
        queue
            .push(("heavy", i), job("heavy", 3, 900), &room, now)
            .unwrap();
        queue
            .push(("light", i), job("light", 1, 1_900), &room, now)
            .unwrap();
    }
    let mut tokens: HashMap<&str, u64> = HashMap::new();
    for name in serve(&mut queue, 1_000, now) {
        *tokens.entry(name).or_default() += if name == "heavy" { 1_000 } else { 2_000 };
    }
    let ratio = tokens["heavy"] as f64 / tokens["light"] as f64;
    assert!(
        (2.7..3.4).contains(&ratio),
        "heavy got {ratio} times as much"
    );
}

#[parameterized(new = { false }, known = { true })]
fn unused_share_returned(known: bool) {
    let room = Room::idle(CAPACITY, 16);
    let mut queue = Queue::new(Config::short());
    let now = Mono::ZERO;
    if known {
        // A job of long ago that still runs, so that the queue remembers its organisation.
        queue
            .push(("back", 9_999), job("back", 1, 2_000), &room, now)
            .unwrap();
        queue.grant(now, &room).unwrap();
        queue.end_prefill(&("back", 9_999), now);
    }
    for i in 0..1_000 {
        queue
            .push(("alone", i), job("alone", 1, 2_000), &room, now)
            .unwrap();
    }
    assert_eq!(serve(&mut queue, 400, now).len(), 400);
    for i in 0..400 {
        queue
            .push(("back", i), job("back", 1, 2_000), &room, now)
            .unwrap();
    }
    let served = serve(&mut queue, 100, now);
    let back = served.iter().filter(|name| **name == "back").count();
    // Half from its first job on: the organisation neither owes for the pause nor profits
    // from it.
    assert!((40..=60).contains(&back), "{back} of 100");
}

/// What the engine was given can't be passed in the queue any more. The short job is handed
/// over at once all the same, with a priority before the flood's.
#[test]
fn engine_priority_first() {
    let mut room = Room::idle(CAPACITY, 16);
    let mut queue = Queue::new(Config::short());
    let now = Mono::ZERO;
    for i in 0..100 {
        let flood = job("flood", 1, 2_000);
        queue.push(("flood", i), flood, &room, now).unwrap();
    }
    let mut first = u8::MAX;
    let mut prefilling = 0;
    while let Some(grant) = queue.grant(now, &room) {
        room.free_slots -= 1;
        // The first few have had their first token, the last two have not.
        if prefilling < 6 {
            queue.end_prefill(&grant.id, now);
        } else {
            first = first.min(grant.priority);
        }
        prefilling += 1;
    }
    assert_eq!(prefilling, 8, "the limit keeps the rest of the flood here");
    queue
        .push(("short", 0), job("short", 1, 2_000), &room, now)
        .unwrap();
    let grant = queue.grant(now, &room).unwrap();
    assert_eq!(grant.id.0, "short");
    assert!(grant.priority < first);
}
