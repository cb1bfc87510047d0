//! One budget for all bodies: what it grants, who gives way, and that it is given back.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_policy::intake::{Config, Key, Ledger, SMALL};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const CAPACITY: u64 = 1 << 20;
const LARGE: u64 = 300 * 1024;

fn ledger() -> Ledger {
    Ledger::new(Config {
        capacity: CAPACITY,
        grace: Duration::from_secs(1),
    })
}

fn at(millis: u64) -> Mono {
    Mono::from_millis(millis)
}

/// Fills the ledger with large bodies as far as they may go.
fn crowd(ledger: &mut Ledger, now: Mono) -> Vec<Key> {
    let mut keys = Vec::new();
    loop {
        let key = ledger.enter(now);
        if !ledger.grow(key, LARGE, now).granted {
            ledger.leave(key);
            return keys;
        }
        keys.push(key);
    }
}

/// Guards against a single body of the largest size that is refused in calm.
#[test]
fn alone() {
    let mut ledger = ledger();
    let key = ledger.enter(at(0));
    assert!(ledger.grow(key, 4 * CAPACITY, at(0)).granted);
    assert!(ledger.complete(key));
    ledger.leave(key);
    assert_eq!(ledger.held(), 0);
}

/// Guards against small bodies that find no room beside large ones which wait for answers.
#[test]
fn reserve_for_small() {
    let mut ledger = ledger();
    let keys = crowd(&mut ledger, at(0));
    keys.iter().for_each(|key| assert!(ledger.complete(*key)));
    let small = ledger.enter(at(10));
    let decision = ledger.grow(small, SMALL, at(10));
    assert!(decision.granted && decision.cut.is_empty());
    let large = ledger.enter(at(5_000));
    assert!(!ledger.grow(large, LARGE, at(5_000)).granted);
}

/// Guards against bodies that stop half-way and keep others out.
#[test]
fn late_gives_way() {
    let mut ledger = ledger();
    let keys = crowd(&mut ledger, at(0));
    let key = ledger.enter(at(999));
    assert!(!ledger.grow(key, LARGE, at(999)).granted);
    let decision = ledger.grow(key, LARGE, at(1_000));
    assert!(decision.granted);
    assert_eq!(decision.cut, &keys[..1]);
    // What was cut gets no more, can't be used, and is not counted twice.
    assert!(!ledger.grow(keys[0], LARGE + 1, at(1_000)).granted);
    assert!(!ledger.complete(keys[0]));
    let held = ledger.held();
    ledger.leave(keys[0]);
    assert_eq!(ledger.held(), held);
}

/// Guards against a fast crowd of large bodies that keeps ordinary requests out.
#[test]
fn large_gives_way_to_small() {
    let mut ledger = ledger();
    crowd(&mut ledger, at(0));
    let mut cut = Vec::new();
    for _ in 0..2 * CAPACITY / SMALL {
        let small = ledger.enter(at(1));
        let decision = ledger.grow(small, SMALL, at(1));
        cut.extend(decision.cut);
        ledger.complete(small);
    }
    assert_eq!(cut.len(), 2);
    assert_eq!(ledger.held(), CAPACITY);
}

/// Guards against memory that is taken and not given back, over random orders of events.
#[test]
fn given_back() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut ledger = ledger();
        let mut open: Vec<(Key, u64)> = Vec::new();
        for step in 0..400 {
            let now = at(step * 20);
            match rng.random_range(0..4) {
                0 => open.push((ledger.enter(now), 0)),
                1 if !open.is_empty() => {
                    let n = rng.random_range(0..open.len());
                    ledger.leave(open.swap_remove(n).0);
                }
                2 if !open.is_empty() => {
                    let n = rng.random_range(0..open.len());
                    ledger.complete(open[n].0);
                }
                _ if !open.is_empty() => {
                    let n = rng.random_range(0..open.len());
                    let (key, bytes) = open[n];
                    let bytes = bytes + rng.random_range(0..LARGE);
                    let before = ledger.held();
                    if ledger.grow(key, bytes, now).granted {
                        open[n].1 = bytes;
                        let is_alone = ledger.held() == bytes;
                        assert!(ledger.held() <= CAPACITY || is_alone, "seed {seed}");
                    } else {
                        assert_eq!(ledger.held(), before, "seed {seed}");
                    }
                }
                _ => {}
            }
        }
        open.iter().for_each(|(key, _)| ledger.leave(*key));
        assert_eq!((ledger.held(), ledger.len()), (0, 0), "seed {seed}");
    }
}
