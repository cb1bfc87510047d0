//! The plan of a soak depends on its seed alone, and asks for nothing that the deployment
//! isn't made to bear.

use almondlock_bench::soak::{
    arguments::Arguments,
    plan::{self, Act, Size, replacement},
};
use gumdrop::Options;
use yare::parameterized;

const SIZE: Size = Size {
    hosts: 3,
    replicas: 3,
    upstreams: 9,
};

#[test]
fn same_again() {
    let first = plan::draw(7, 60_000, SIZE, false);
    assert_eq!(first, plan::draw(7, 60_000, SIZE, false));
    assert_ne!(first, plan::draw(8, 60_000, SIZE, false));
    assert!(first.len() > 40, "{}", first.len());
}

/// A replica is away only when no other one was for a while.
#[test]
fn one_replica() {
    for seed in 0..200 {
        let faults = plan::draw(seed, 60_000, SIZE, false);
        let away = faults.iter().filter(|fault| {
            matches!(
                fault.act,
                Act::KillReplica(_)
                    | Act::FreezeReplica(_)
                    | Act::StopReplica(_)
                    | Act::WipeReplica(_)
                    | Act::TearReplica(_)
                    | Act::KillReplicas
            )
        });
        let away: Vec<_> = away.collect();
        for pair in away.windows(2) {
            assert!(pair[1].at >= pair[0].end() + 5_000, "seed {seed}");
        }
    }
}

/// A disk is lost no sooner than others have had their time, and one at a time.
#[test]
fn replacement_bearable() {
    for seed in 0..200 {
        let mut faults = plan::draw(seed, 60_000, SIZE, true);
        replacement::draw(seed, 60_000, SIZE, &mut faults);
        let mut settled = 0;
        let mut replaced = 0;
        for fault in &faults {
            let started = match fault.act {
                Act::MoveReplica(_) => fault.at,
                Act::ReplaceReplica(_) | Act::WipeReplica(_) | Act::WipeAmongKilled(_) => {
                    fault.end()
                }
                _ => continue,
            };
            assert!(fault.at >= settled, "seed {seed}: {fault}");
            settled = started + 4_000;
            replaced += usize::from(!matches!(
                fault.act,
                Act::WipeReplica(_) | Act::WipeAmongKilled(_)
            ));
        }
        assert!(replaced >= 2, "seed {seed}");
    }
}

/// A newcomer can catch up: others that are away one at a time leave it half of its time.
#[test]
fn newcomer_has_time() {
    for seed in 0..200 {
        let mut faults = plan::draw(seed, 60_000, SIZE, true);
        replacement::draw(seed, 60_000, SIZE, &mut faults);
        let mut away = 0;
        for fault in &faults {
            match fault.act {
                Act::MoveReplica(_) | Act::ReplaceReplica(_) => away = 0,
                Act::KillReplica(_) | Act::FreezeReplica(_) => away += fault.length,
                _ => continue,
            }
            assert!(away <= 2_000, "seed {seed}: {fault}");
        }
    }
}

/// What is left out is named by number.
#[test]
fn replacement_numbered() {
    let mut faults = plan::draw(5, 60_000, SIZE, false);
    replacement::draw(5, 60_000, SIZE, &mut faults);
    let mut numbers: Vec<usize> = faults.iter().map(|fault| fault.number).collect();
    numbers.sort_unstable();
    numbers.dedup();
    assert_eq!(numbers.len(), faults.len());
}

#[test]
fn planned_only() {
    let faults = plan::draw(3, 60_000, SIZE, true);
    assert!(faults.iter().all(|fault| fault.act.is_planned()));
}

#[parameterized(
    replicas = { &["--replicas", "4"], "3 or 5" },
    hosts = { &["--hosts", "0"], "from 1 to 100" },
    seconds = { &["--seconds", "1"], "from 5 to 3600" },
    without = { &["--without", "1,x"], "no number of a fault" },
    plant = { &["--plant", "rain"], "unknown fault" },
    program = { &["--program", "/no/such"], "no such program" },
)]
fn refused(arguments: &[&str], message: &str) {
    let arguments = Arguments::parse_args_default(arguments).unwrap();
    let error = arguments.options().unwrap_err();
    assert!(error.contains(message), "{error}");
}
