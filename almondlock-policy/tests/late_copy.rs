//! Guards against a request that runs twice although it may not be repeated. An entry host
//! sends an attempt, gets no answer and asks the sidecar to settle it. The caller is told
//! "not run" and the request goes elsewhere. Then the first copy, held up in a buffer,
//! arrives after all. The gate must refuse it, however late it comes.

#![cfg(test)]

use std::{collections::HashMap, time::Duration};

use almondlock_base::{
    Code, Ran,
    id::{Attempt, Host, Incarnation},
    time::Mono,
};
use almondlock_policy::gate::{Action, Config, Gate, Refusal, Settlement};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const LIFE: Incarnation = Incarnation(9);

fn attempt(counter: u64) -> Attempt {
    Attempt {
        host: Host::new("entry-1").unwrap(),
        incarnation: Incarnation(1),
        counter,
    }
}

fn at(seconds: u64) -> Mono {
    Mono::from_millis(seconds * 1_000)
}

#[test]
fn settled_copy_refused() {
    let mut gate = Gate::new(Config::default(), LIFE);
    let settled = gate.settle(&attempt(1), LIFE, at(1));
    assert_eq!(
        settled,
        Settlement {
            ran: Ran::No,
            action: Action::None
        }
    );
    let refusal = gate.admit(&attempt(1), LIFE, at(30), at(2));
    assert_eq!(
        refusal,
        Err(Refusal {
            code: Code::Tombstoned,
            ran: Ran::No
        })
    );
}

#[test]
fn settle_actions() {
    let mut gate = Gate::new(Config::default(), LIFE);
    gate.admit(&attempt(1), LIFE, at(30), at(1)).unwrap();
    gate.admit(&attempt(2), LIFE, at(30), at(1)).unwrap();
    gate.start(&attempt(2)).unwrap();
    let queued = gate.settle(&attempt(1), LIFE, at(2));
    assert_eq!(
        queued,
        Settlement {
            ran: Ran::No,
            action: Action::Dequeue
        }
    );
    assert!(gate.start(&attempt(1)).is_err());
    let running = gate.settle(&attempt(2), LIFE, at(2));
    assert_eq!(
        running,
        Settlement {
            ran: Ran::Yes,
            action: Action::Cancel
        }
    );
}

#[test]
fn copy_below_floor() {
    let config = Config {
        retention: Duration::from_secs(10),
        ..Config::default()
    };
    let mut gate = Gate::new(config, LIFE);
    assert_eq!(gate.settle(&attempt(5), LIFE, at(1)).ran, Ran::No);
    gate.sweep(at(1_000));
    assert!(gate.is_empty());
    let late = gate.admit(&attempt(5), LIFE, at(1_030), at(1_000));
    assert_eq!(late.map_err(|refusal| refusal.code), Err(Code::OutcomeLost));
    // Newer attempts of the same life are not affected.
    assert_eq!(gate.admit(&attempt(6), LIFE, at(1_030), at(1_000)), Ok(()));
}

#[test]
fn forgotten_run_unknown() {
    let config = Config {
        retention: Duration::from_secs(10),
        ..Config::default()
    };
    let mut gate = Gate::new(config, LIFE);
    gate.admit(&attempt(5), LIFE, at(30), at(1)).unwrap();
    gate.start(&attempt(5)).unwrap();
    gate.finish(&attempt(5), Ran::Yes, at(3));
    assert_eq!(gate.settle(&attempt(5), LIFE, at(4)).ran, Ran::Yes);
    gate.sweep(at(1_000));
    assert_eq!(gate.settle(&attempt(5), LIFE, at(1_001)).ran, Ran::Unknown);
}

#[test]
fn records_bounded() {
    let config = Config {
        max_records: 100,
        ..Config::default()
    };
    let mut gate = Gate::new(config, LIFE);
    for counter in 0..10_000 {
        gate.settle(&attempt(counter), LIFE, at(counter));
    }
    assert_eq!(gate.len(), 100);
}

/// What the fleet may believe of one attempt.
#[derive(Default)]
struct Belief {
    started: bool,
    denied: bool,
}

/// Copies, settles, starts and sweeps come in any order, with room for few records: an
/// attempt must start at most once, and never after a caller was told "not run".
#[test]
fn never_runs_twice() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let config = Config {
            max_records: 4,
            retention: Duration::from_secs(5),
            ..Config::default()
        };
        let mut gate = Gate::new(config, LIFE);
        let mut beliefs: HashMap<u64, Belief> = HashMap::new();
        for step in 0..400 {
            let now = at(step);
            let counter = (step / 8).saturating_sub(rng.random_range(0..12));
            let belief = beliefs.entry(counter).or_default();
            let id = attempt(counter);
            let told = match rng.random_range(0..5) {
                0 => gate
                    .admit(&id, LIFE, now + Duration::from_secs(3), now)
                    .map_or_else(|refusal| refusal.ran, |()| Ran::Unknown),
                1 => {
                    let begins = gate.start(&id).is_ok();
                    assert!(!(begins && belief.started), "seed {seed}: ran twice");
                    assert!(!(begins && belief.denied), "seed {seed}: ran after no");
                    belief.started |= begins;
                    Ran::Unknown
                }
                2 => {
                    gate.finish(&id, Ran::Yes, now);
                    Ran::Unknown
                }
                3 => gate.settle(&id, LIFE, now).ran,
                _ => {
                    gate.sweep(now);
                    Ran::Unknown
                }
            };
            assert!(
                !(told == Ran::No && belief.started),
                "seed {seed}: no, but it ran"
            );
            belief.denied |= told == Ran::No;
        }
    }
}
