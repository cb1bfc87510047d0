//! The plan of a soak depends on its seed alone, and asks for nothing that the deployment
//! isn't made to bear.

use almondlock_bench::soak::{
    arguments::Arguments,
    plan::{self, Act, Size},
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
