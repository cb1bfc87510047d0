//! All slots of the engines are in use, and short prompts wait at a host. Guards against an order
//! that makes prompts late which could be in time, unbounded queues, hosts that take the same
//! slot, and prompts that wait for slots of lost engines.

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

fn prompt(arrived: Mono) -> Prompt {
    Prompt {
        arrived,
        deadline: arrived + Duration::from_secs(10),
        objective: Duration::from_millis(300),
        expected_delay: Duration::from_millis(100),
        priority: 1,
        standing: Standing::Within,
    }
}

/// Updates the allocator with this number of streams on every engine.
fn update(allocator: &mut Allocator, now: Mono, streams: u32, hosts: usize) {
    let engine = Engine {
        slots: SLOTS,
        streams,
        ..Engine::default()
    };
    allocator.update(now, [engine; ENGINES], HOLD, hosts);
}

/// Creates the allocator of a single host that uses all slots itself.
fn full() -> Allocator {
    let mut allocator = Allocator::default();
    for _ in 0..ENGINES * SLOTS as usize {
        allocator.commit(START + HOLD);
    }
    update(&mut allocator, START, SLOTS, 0);
    allocator
}

/// Has a prompt wait for a slot.
fn wait(allocator: &mut Allocator, now: Mono, prompt: &Prompt) -> Ticket {
    match allocator.decide(now, prompt, false, &mut rng()) {
        Verdict::Wait(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

/// Ends one of the host's requests.
fn end(allocator: &mut Allocator, now: Mono) -> Option<Ticket> {
    let slot = allocator.commit(now + HOLD);
    allocator.release(now, slot, true)
}

#[test]
fn free_slots_used() {
    let mut allocator = Allocator::default();
    update(&mut allocator, START, SLOTS / 2, 26);
    for _ in 0..20 {
        assert_eq!(
            allocator.decide(START, &prompt(START), true, &mut rng()),
            Verdict::Send
        );
    }
    assert_eq!(allocator.waiting(), 0);
}

#[test]
fn timely_before_late() {
    let mut allocator = full();
    let late = wait(&mut allocator, START, &prompt(START));
    let now = after(250);
    let (first, second) = (
        wait(&mut allocator, now, &prompt(now)),
        wait(&mut allocator, now, &prompt(now)),
    );
    assert_eq!(end(&mut allocator, now), Some(first));
    assert_eq!(end(&mut allocator, now), Some(second));
    // A late prompt leaves the slot to prompts at other hosts that are still in time,
    assert_eq!(end(&mut allocator, now), None);
    // until it has waited for long.
    assert_eq!(end(&mut allocator, after(1_200)), Some(late));
}

#[parameterized(
    share = { Standing::Over { by: 0.5 }, 1, 1 },
    urgency = { Standing::Within, 2, 1 },
    urgency_before_share = { Standing::Over { by: 0.5 }, 1, 2 },
)]
fn order(standing: Standing, priority: u32, other: u32) {
    let mut allocator = full();
    let one = Prompt {
        standing,
        priority,
        ..prompt(START)
    };
    let two = Prompt {
        priority: other,
        ..prompt(START)
    };
    let (one, two) = (
        wait(&mut allocator, START, &one),
        wait(&mut allocator, START, &two),
    );
    let expected = if priority < other { one } else { two };
    assert_eq!(end(&mut allocator, after(10)), Some(expected));
}

/// The queue is bounded, and refused prompts are told successive times at which to return.
#[test]
fn full_queue() {
    let mut allocator = full();
    let mut returns = Vec::new();
    for _ in 0..200 {
        if let Verdict::Refuse { retry_after: at } =
            allocator.decide(START, &prompt(START), false, &mut rng())
        {
            returns.push(at);
        }
    }
    assert!(allocator.waiting() < 30, "{}", allocator.waiting());
    assert!(returns.len() > 150);
    assert!(returns.is_sorted());
    assert!(returns[0] >= Duration::from_millis(500));
}

/// Guards against a prompt that waits as long as the overload lasts.
#[test]
fn longest_wait() {
    let mut allocator = full();
    let ticket = wait(&mut allocator, START, &prompt(START));
    assert!(allocator.grant(after(1_300), &mut rng()).is_empty());
    assert_eq!(allocator.grant(after(1_400), &mut rng()), [ticket]);
}

/// Guards against a longest wait that isn't counted from the prompt's arrival: a prompt that was
/// held back before, as after its host's start, would wait beyond its caller's patience.
#[test]
fn wait_since_arrival() {
    let mut allocator = full();
    let ticket = wait(&mut allocator, after(600), &prompt(START));
    assert_eq!(allocator.grant(after(1_400), &mut rng()), [ticket]);
    let verdict = allocator.decide(after(1_400), &prompt(START), false, &mut rng());
    assert_eq!(verdict, Verdict::Send);
}

/// A prompt whose deadline leaves no time to wait is sent, not held until its deadline has passed.
#[test]
fn near_deadline() {
    let mut allocator = full();
    let near = Prompt {
        deadline: START + HOLD,
        ..prompt(START)
    };
    let verdict = allocator.decide(START, &near, false, &mut rng());
    assert_eq!(verdict, Verdict::Send);
}

/// Only backlogged engines have free slots. Prompts that are late in any case aren't held back for
/// others, and aren't refused.
#[test]
fn backlogged_engines() {
    let backlogged = Engine {
        slots: SLOTS,
        is_backlogged: true,
        ..Engine::default()
    };
    let mut allocator = full();
    let ticket = wait(&mut allocator, START, &prompt(START));
    let busy = Engine {
        streams: SLOTS,
        is_backlogged: false,
        ..backlogged
    };
    allocator.update(after(50), [busy, backlogged], HOLD, 0);
    assert!(allocator.grant(after(50), &mut rng()).is_empty());
    assert_eq!(allocator.grant(after(250), &mut rng()), [ticket]);
    allocator.update(after(250), [backlogged; ENGINES], HOLD, 0);
    let verdict = allocator.decide(after(250), &prompt(after(250)), true, &mut rng());
    assert_eq!(verdict, Verdict::Send);
}

/// After its caller has left, a prompt's turn goes to the next one.
#[test]
fn caller_left() {
    let mut allocator = full();
    let first = wait(&mut allocator, START, &prompt(START));
    let second = wait(&mut allocator, START, &prompt(START));
    allocator.cancel(first);
    assert_eq!(end(&mut allocator, after(10)), Some(second));
    assert_eq!(allocator.waiting(), 0);
}

/// After all engines are lost, waiting prompts are sent, so that they are placed anew.
#[test]
fn lost_engines() {
    let mut allocator = full();
    let ticket = wait(&mut allocator, START, &prompt(START));
    allocator.update(after(50), [], HOLD, 0);
    assert_eq!(allocator.grant(after(50), &mut rng()), [ticket]);
}

/// The slots of a lost engine don't count, and no prompts are sent for them.
#[test]
fn lost_slots() {
    let mut allocator = full();
    wait(&mut allocator, START, &prompt(START));
    let engine = Engine {
        slots: SLOTS,
        streams: SLOTS,
        ..Engine::default()
    };
    allocator.update(after(50), [engine; ENGINES - 1], HOLD, 0);
    assert!(allocator.grant(after(50), &mut rng()).is_empty());
}

/// Guards against an integer overflow through an absurd number of requests in an upstream's
/// report.
#[test]
fn absurd_reports() {
    let absurd = Engine {
        slots: SLOTS,
        streams: u32::MAX,
        waiting: 1,
        is_backlogged: false,
    };
    let mut allocator = Allocator::default();
    allocator.update(START, [absurd; ENGINES], HOLD, 0);
    assert_eq!(allocator.occupancy().free, 0);
    assert_eq!(allocator.occupancy().in_use, u32::MAX);
}

/// After a host is lost with its requests, its slots go to prompts that wait at other hosts.
#[test]
fn lost_host() {
    let mut allocator = Allocator::default();
    for _ in 0..60 {
        allocator.commit(START + HOLD);
    }
    update(&mut allocator, START, SLOTS, 1);
    let ticket = wait(&mut allocator, START, &prompt(START));
    assert!(allocator.grant(START, &mut rng()).is_empty());
    update(&mut allocator, after(100), SLOTS / 2, 0);
    assert_eq!(allocator.grant(after(100), &mut rng()), [ticket]);
}

/// Hosts that see the same few free slots don't all take them before they learn of each other's
/// requests.
#[test]
fn no_herd() {
    let hosts: u32 = 20;
    let mut rng = rng();
    let mut taken = 0;
    for _ in 0..hosts {
        let mut allocator = Allocator::default();
        for _ in 0..ENGINES as u32 * SLOTS / hosts {
            allocator.commit(START + HOLD);
        }
        update(&mut allocator, START, SLOTS, hosts as usize - 1);
        wait(&mut allocator, START, &prompt(START));
        let engine = Engine {
            slots: SLOTS,
            streams: SLOTS,
            ..Engine::default()
        };
        let mut engines = [engine; ENGINES];
        engines[0].streams -= 4;
        allocator.update(after(20), engines, HOLD, hosts as usize - 1);
        allocator.grant(after(20), &mut rng);
        allocator.grant(START + STATE_AGE, &mut rng);
        taken += 1 - allocator.waiting();
    }
    assert!(taken <= 4, "{taken}");
}
