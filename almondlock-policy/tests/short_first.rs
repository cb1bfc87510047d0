//! Guards against a short prompt that is delayed by long prompts which wait and run on the
//! same engine. It must start at once: it passes the waiting ones, finds the memory and the
//! batch slot that long work leaves free, and the engine is told to process it first.

#![cfg(test)]

use almondlock_base::{Code, id::Organisation, time::Mono, unit::Tokens};
use almondlock_policy::{
    length::Class,
    queue::{Config, Job, Queue, Room},
};
use yare::parameterized;

const CAPACITY: Tokens = Tokens(400_000);

fn job(prompt: u64) -> Job {
    Job {
        organisation: Organisation::new("bank").unwrap(),
        weight: 1,
        prompt: Tokens(prompt),
        cached: Tokens::ZERO,
        max_output: Tokens(200),
        deadline: Mono::from_millis(600_000),
        suspect: false,
    }
}

fn after(room: Room, need: Tokens) -> Room {
    Room {
        free_memory: room.free_memory.saturating_sub(need),
        free_slots: room.free_slots - 1,
        ..room
    }
}

#[parameterized(
    short = { Config::short(), 9 },
    even = { Config::even(), 9 },
    fifo = { Config::fifo(), 1 },
)]
fn first_grant(config: Config, first: u32) {
    let now = Mono::ZERO;
    let room = Room::idle(CAPACITY, 16);
    let mut queue = Queue::new(config);
    queue.push(1, job(150_000), &room, now).unwrap();
    queue.push(2, job(20_000), &room, now).unwrap();
    queue.push(9, job(1_000), &room, now).unwrap();
    let grant = queue.grant(now, &room).unwrap();
    assert_eq!(grant.id, first);
}

#[test]
fn long_leaves_room() {
    let now = Mono::ZERO;
    let mut room = Room::idle(CAPACITY, 16);
    let mut queue = Queue::new(Config::short());
    for id in 0..40 {
        queue.push(id, job(30_000), &room, now).unwrap();
    }
    let mut highest = u8::MAX;
    while let Some(grant) = queue.grant(now, &room) {
        room = after(room, Tokens(30_200));
        highest = highest.min(grant.priority);
        queue.end_prefill(&grant.id, now);
    }
    assert!(
        queue.running() > 5,
        "long work is not held back more than needed"
    );
    assert!(room.free_memory >= Tokens(60_000) && room.free_slots >= 2);
    queue.push(99, job(4_000), &room, now).unwrap();
    let grant = queue.grant(now, &room).unwrap();
    assert_eq!(grant.id, 99);
    assert!(
        grant.priority < highest,
        "the engine is told to process it first"
    );
}

#[test]
fn cached_start_uncounted() {
    let job = Job {
        cached: Tokens(149_000),
        ..job(150_000)
    };
    assert_eq!(job.class(), Class::Short);
    assert_eq!(job.memory_need(), Tokens(150_200));
}

#[test]
fn one_long_prefill() {
    let now = Mono::ZERO;
    let room = Room::idle(CAPACITY, 16);
    let mut queue = Queue::new(Config::short());
    queue.push(1, job(100_000), &room, now).unwrap();
    queue.push(2, job(100_000), &room, now).unwrap();
    assert_eq!(queue.grant(now, &room).map(|grant| grant.id), Some(1));
    let room = after(room, Tokens(100_200));
    assert_eq!(queue.grant(now, &room), None);
    queue.end_prefill(&1, Mono::from_millis(12_000));
    let next = queue.grant(Mono::from_millis(12_000), &room);
    assert_eq!(next.map(|grant| grant.id), Some(2));
}

#[parameterized(
    never_fits = { 500_000, 600_000, Code::PromptTooLong },
    no_time = { 100_000, 100, Code::DeadlineUnreachable },
)]
fn refused_at_once(prompt: u64, deadline: u64, code: Code) {
    let room = Room::idle(CAPACITY, 16);
    let mut queue = Queue::new(Config::short());
    let job = Job {
        deadline: Mono::from_millis(deadline),
        ..job(prompt)
    };
    let refusal = queue.push(1, job, &room, Mono::ZERO).unwrap_err();
    assert_eq!(refusal.code, code);
    assert!(queue.is_empty());
}

#[parameterized(
    nan = { f64::NAN },
    negative = { -1.0 },
    infinite = { f64::INFINITY },
)]
fn absurd_stretch_bounded(stretch: f64) {
    let room = Room::idle(CAPACITY, 16);
    let config = Config {
        stretch,
        ..Config::short()
    };
    let mut queue = Queue::new(config);
    queue.push(1, job(150_000), &room, Mono::ZERO).unwrap();
    assert!(queue.grant(Mono::ZERO, &room).is_some());
}
