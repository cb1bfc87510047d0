//! Engines' slots are all in use, and short prompts wait at a host. Guards against an order
//! that makes prompts late which could be in time, lines without bound, hosts that take the
//! same slot, and prompts that wait for what is gone.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_policy::{
    share::Standing,
    slots::{Allocator, Engine, Prompt, STATE_AGE, Ticket, Verdict},
};
use rand::{SeedableRng, rngs::SmallRng};
use yare::parameterized;

const START: Mono = Mono::from_millis(10_000);
const HOLD: Duration = Duration::from_millis(2_100);
const ENGINES: usize = 10;
const SLOTS: u32 = 12;

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

fn after(millis: u64) -> Mono {
    START + Duration::from_millis(millis)
}

fn case(arrived: Mono) -> Prompt {
    Prompt {
        arrived,
        until: arrived + Duration::from_secs(10),
        objective: Duration::from_millis(300),
        expected: Duration::from_millis(100),
        priority: 1,
        standing: Standing::Within,
    }
}

/// All engines with so many streams each.
fn see(desk: &mut Allocator, now: Mono, streams: u32, hosts: usize) {
    let engine = Engine {
        slots: SLOTS,
        streams,
        ..Engine::default()
    };
    desk.update(now, [engine; ENGINES], HOLD, hosts);
}

/// A lone host without a free slot.
fn full() -> Allocator {
    let mut desk = Allocator::default();
    for _ in 0..ENGINES * SLOTS as usize {
        desk.commit(START + HOLD);
    }
    see(&mut desk, START, SLOTS, 0);
    desk
}

fn wait(desk: &mut Allocator, now: Mono, case: &Prompt) -> Ticket {
    match desk.decide(now, case, false, &mut rng()) {
        Verdict::Wait(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

/// Ends one of the host's requests.
fn end(desk: &mut Allocator, now: Mono) -> Option<Ticket> {
    let commitment = desk.commit(now + HOLD);
    desk.release(now, commitment, true)
}

#[test]
fn free_slots_at_once() {
    let mut desk = Allocator::default();
    see(&mut desk, START, SLOTS / 2, 26);
    for _ in 0..20 {
        assert_eq!(
            desk.decide(START, &case(START), true, &mut rng()),
            Verdict::Send
        );
    }
    assert_eq!(desk.waiting(), 0);
}

#[test]
fn in_time_before_late() {
    let mut desk = full();
    let late = wait(&mut desk, START, &case(START));
    let now = after(250);
    let (first, second) = (
        wait(&mut desk, now, &case(now)),
        wait(&mut desk, now, &case(now)),
    );
    assert_eq!(end(&mut desk, now), Some(first));
    assert_eq!(end(&mut desk, now), Some(second));
    // A late one leaves the slot to prompts at other hosts that are still in time.
    assert_eq!(end(&mut desk, now), None);
    // Until it has waited for long.
    assert_eq!(end(&mut desk, after(1_200)), Some(late));
}

#[parameterized(
    share = { Standing::Over { by: 0.5 }, 1, 1 },
    urgency = { Standing::Within, 2, 1 },
    urgency_before_share = { Standing::Over { by: 0.5 }, 1, 2 },
)]
fn order(standing: Standing, priority: u32, other: u32) {
    let mut desk = full();
    let one = Prompt {
        standing,
        priority,
        ..case(START)
    };
    let two = Prompt {
        priority: other,
        ..case(START)
    };
    let (one, two) = (wait(&mut desk, START, &one), wait(&mut desk, START, &two));
    let expected = if priority < other { one } else { two };
    assert_eq!(end(&mut desk, after(10)), Some(expected));
}

/// Refused ones are told of times one after the other, and the line is bounded.
#[test]
fn full_line() {
    let mut desk = full();
    let mut returns = Vec::new();
    for _ in 0..200 {
        if let Verdict::Refuse { retry_after: at } =
            desk.decide(START, &case(START), false, &mut rng())
        {
            returns.push(at);
        }
    }
    assert!(desk.waiting() < 30, "{}", desk.waiting());
    assert!(returns.len() > 150);
    assert!(returns.is_sorted());
    assert!(returns[0] >= Duration::from_millis(500));
}

/// Without a bound, a prompt waits as long as the overload lasts.
#[test]
fn longest_wait() {
    let mut desk = full();
    let ticket = wait(&mut desk, START, &case(START));
    assert!(desk.grant(after(1_300), &mut rng()).is_empty());
    assert_eq!(desk.grant(after(1_400), &mut rng()), [ticket]);
}

/// Guards against the longest wait counted from when a prompt asks: one that was held before,
/// as after its host's start, would wait beyond its caller's patience.
#[test]
fn wait_since_arrival() {
    let mut desk = full();
    let ticket = wait(&mut desk, after(600), &case(START));
    assert_eq!(desk.grant(after(1_400), &mut rng()), [ticket]);
    let verdict = desk.decide(after(1_400), &case(START), false, &mut rng());
    assert_eq!(verdict, Verdict::Send);
}

/// A prompt whose deadline leaves no time to wait is sent, not held until it is over.
#[test]
fn near_deadline() {
    let mut desk = full();
    let near = Prompt {
        until: START + HOLD,
        ..case(START)
    };
    let verdict = desk.decide(START, &near, false, &mut rng());
    assert_eq!(verdict, Verdict::Send);
}

/// Engines with much to read have free slots: prompts that are late in any case aren't held
/// for others, nor refused.
#[test]
fn backlogged_engines() {
    let backlogged = Engine {
        slots: SLOTS,
        is_backlogged: true,
        ..Engine::default()
    };
    let mut desk = full();
    let ticket = wait(&mut desk, START, &case(START));
    let busy = Engine {
        streams: SLOTS,
        is_backlogged: false,
        ..backlogged
    };
    desk.update(after(50), [busy, backlogged], HOLD, 0);
    assert!(desk.grant(after(50), &mut rng()).is_empty());
    assert_eq!(desk.grant(after(250), &mut rng()), [ticket]);
    desk.update(after(250), [backlogged; ENGINES], HOLD, 0);
    let verdict = desk.decide(after(250), &case(after(250)), true, &mut rng());
    assert_eq!(verdict, Verdict::Send);
}

/// The caller has left: its turn goes to the next one.
#[test]
fn left_line() {
    let mut desk = full();
    let first = wait(&mut desk, START, &case(START));
    let second = wait(&mut desk, START, &case(START));
    desk.cancel(first);
    assert_eq!(end(&mut desk, after(10)), Some(second));
    assert_eq!(desk.waiting(), 0);
}

/// The engines are lost: what waits for their slots is placed anew, and finds out.
#[test]
fn lost_engines() {
    let mut desk = full();
    let ticket = wait(&mut desk, START, &case(START));
    desk.update(after(50), [], HOLD, 0);
    assert_eq!(desk.grant(after(50), &mut rng()), [ticket]);
}

/// A lost engine's slots don't count: prompts aren't sent for them.
#[test]
fn lost_slots() {
    let mut desk = full();
    wait(&mut desk, START, &case(START));
    let engine = Engine {
        slots: SLOTS,
        streams: SLOTS,
        ..Engine::default()
    };
    desk.update(after(50), [engine; ENGINES - 1], HOLD, 0);
    assert!(desk.grant(after(50), &mut rng()).is_empty());
}

/// Guards against an overflow by what an upstream reports of itself: any number of requests.
#[test]
fn absurd_reports() {
    let absurd = Engine {
        slots: SLOTS,
        streams: u32::MAX,
        waiting: 1,
        is_backlogged: false,
    };
    let mut desk = Allocator::default();
    desk.update(START, [absurd; ENGINES], HOLD, 0);
    assert_eq!(desk.occupancy().free, 0);
    assert_eq!(desk.occupancy().in_use, u32::MAX);
}

/// A host is lost with its requests: the slots that it had go to those that wait elsewhere.
#[test]
fn lost_host() {
    let mut desk = Allocator::default();
    for _ in 0..60 {
        desk.commit(START + HOLD);
    }
    see(&mut desk, START, SLOTS, 1);
    let ticket = wait(&mut desk, START, &case(START));
    assert!(desk.grant(START, &mut rng()).is_empty());
    see(&mut desk, after(100), SLOTS / 2, 0);
    assert_eq!(desk.grant(after(100), &mut rng()), [ticket]);
}

/// Hosts that see the same few free slots don't all take them before they hear of each
/// other.
#[test]
fn no_herd() {
    let hosts: u32 = 20;
    let mut rng = rng();
    let mut taken = 0;
    for _ in 0..hosts {
        let mut desk = Allocator::default();
        for _ in 0..ENGINES as u32 * SLOTS / hosts {
            desk.commit(START + HOLD);
        }
        see(&mut desk, START, SLOTS, hosts as usize - 1);
        wait(&mut desk, START, &case(START));
        let engine = Engine {
            slots: SLOTS,
            streams: SLOTS,
            ..Engine::default()
        };
        let mut engines = [engine; ENGINES];
        engines[0].streams -= 4;
        desk.update(after(20), engines, HOLD, hosts as usize - 1);
        desk.grant(after(20), &mut rng);
        desk.grant(START + STATE_AGE, &mut rng);
        taken += 1 - desk.waiting();
    }
    assert!(taken <= 4, "{taken}");
}
