//! Slow and failing upstreams under load, with and without ejection.

mod fleet;

use fleet::{Fault, Fleet, Outcome, Setup};
use yare::parameterized;

const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];
/// Seconds between which most faults last.
const FAULT: std::ops::Range<f64> = 2.0..8.5;
const RUN: f64 = 14.0;
/// Seconds after the end of a fault by which all upstreams are reinstated: the window, and
/// a few probes of which the first takes longest.
const BACK: f64 = 14.0;

mod fault {
    use super::{FAULT, Fault};

    pub fn one_slow(upstream: usize, now: f64) -> Fault {
        match upstream == 7 && FAULT.contains(&now) {
            true => Fault::Slow(7.0),
            false => Fault::None,
        }
    }

    pub fn nine_slow(upstream: usize, now: f64) -> Fault {
        match upstream.is_multiple_of(6) && FAULT.contains(&now) {
            true => Fault::Slow(7.0),
            false => Fault::None,
        }
    }

    pub fn domain_errors(upstream: usize, now: f64) -> Fault {
        match upstream < 18 && FAULT.contains(&now) {
            true => Fault::Error(0.45),
            false => Fault::None,
        }
    }

    pub fn spread_errors(upstream: usize, now: f64) -> Fault {
        match upstream.is_multiple_of(7) && FAULT.contains(&now) {
            true => Fault::Error(0.45),
            false => Fault::None,
        }
    }

    pub fn hanging(upstream: usize, now: f64) -> Fault {
        match upstream.is_multiple_of(7) && FAULT.contains(&now) {
            true => Fault::Hang(0.42),
            false => Fault::None,
        }
    }

    pub fn dead_but_listed(upstream: usize, now: f64) -> Fault {
        match upstream.is_multiple_of(18) && FAULT.contains(&now) {
            true => Fault::Error(1.0),
            false => Fault::None,
        }
    }

    pub fn flapping(upstream: usize, now: f64) -> Fault {
        let is_down = (now - FAULT.start) % 2.8 < 1.4;
        match upstream.is_multiple_of(9) && FAULT.contains(&now) && is_down {
            true => Fault::Error(1.0),
            false => Fault::None,
        }
    }
}

/// Returns the outcomes for all seeds, without and with ejection.
fn both(fault: fn(usize, f64) -> Fault, has_relays: bool) -> [Vec<Outcome>; 2] {
    [false, true].map(|is_judging| {
        let runs = SEEDS.map(|seed| {
            let setup = Setup {
                seed,
                is_judging,
                has_relays,
                fault,
                ..Setup::default()
            };
            Fleet::new(setup).run(RUN)
        });
        runs.into()
    })
}

fn share(runs: &[Outcome]) -> f64 {
    runs.iter().map(Outcome::share).sum::<f64>() / runs.len() as f64
}

fn failures(runs: &[Outcome]) -> u32 {
    runs.iter().map(|run| run.failures).sum()
}

/// Guards against ejection that does harm, and against ejection missing where it is needed.
/// The share of requests in time must rise by at least `gain`, and failed attempts must be
/// at most `left` of those without ejection.
#[parameterized(
    one_slow = { fault::one_slow, 0.001, 1.0 },
    nine_slow = { fault::nine_slow, 0.012, 1.0 },
    domain_errors = { fault::domain_errors, -0.003, 0.9 },
    spread_errors = { fault::spread_errors, -0.003, 0.85 },
    hanging = { fault::hanging, 0.001, 0.9 },
    dead_but_listed = { fault::dead_but_listed, -0.003, 0.65 },
    flapping = { fault::flapping, -0.003, 0.85 },
)]
fn told_by_relays(fault: fn(usize, f64) -> Fault, gain: f64, left: f64) {
    let [without, with] = both(fault, true);
    let (before, after) = (share(&without), share(&with));
    let (failed, fails) = (failures(&without), failures(&with));
    let probes: u32 = with.iter().map(|run| run.probes).sum();
    println!("in time {before:.4} {after:.4}, failed {failed} {fails}, probes {probes}");
    assert!(after >= before + gain, "{before} {after}");
    assert!(
        f64::from(fails) <= f64::from(failed) * left,
        "{failed} {fails}"
    );
    for run in with {
        assert!(run.most_ejected <= 18, "more than a third");
    }
}

/// Guards against hosts that fare worse with ejection than without it while no relay
/// answers.
#[parameterized(
    one_slow = { fault::one_slow },
    nine_slow = { fault::nine_slow },
    domain_errors = { fault::domain_errors },
    hanging = { fault::hanging },
    flapping = { fault::flapping },
)]
fn relays_gone(fault: fn(usize, f64) -> Fault) {
    let [without, with] = both(fault, false);
    let (before, after) = (share(&without), share(&with));
    println!("in time {before:.4} {after:.4}");
    assert!(after >= before - 0.005, "{before} {after}");
    assert!(failures(&with) <= failures(&without) * 21 / 20);
}

/// Guards against upstreams that stay ejected after they have recovered.
#[parameterized(
    slow = { fault::nine_slow },
    errors = { fault::domain_errors },
    hanging = { fault::hanging },
    dead = { fault::dead_but_listed },
)]
fn reinstated(fault: fn(usize, f64) -> Fault) {
    for seed in SEEDS {
        let setup = Setup {
            seed,
            fault,
            ..Setup::default()
        };
        let run = Fleet::new(setup).run(FAULT.end + BACK);
        assert!(!run.changes.is_empty());
        let left: usize = run.ejected.iter().map(Vec::len).sum();
        let last = run.changes.last().map(|change| change.0);
        println!("the last change {last:?}");
        assert!(left == 0, "{left} left, {:?}", run.ejected);
    }
}

/// Guards against ejections in a fleet that is healthy, busy or slow as a whole.
#[parameterized(
    well = { |_, _| Fault::None, 64.0 },
    busy = { |_, _| Fault::None, 400.0 },
    all_slow = { |_, _| Fault::Slow(4.0), 64.0 },
)]
fn nobody_ejected(fault: fn(usize, f64) -> Fault, per_second: f64) {
    for seed in SEEDS {
        let setup = Setup {
            seed,
            per_second,
            fault,
            ..Setup::default()
        };
        let outcome = Fleet::new(setup).run(RUN);
        assert_eq!(outcome.changes, [], "seed {seed}");
    }
}

/// Guards against ejections in a fleet that fails as a whole. Of 54 upstreams that fail 45
/// % of their requests, a few fail all of them in the first second, before much is known.
#[test]
fn all_failing() {
    for seed in SEEDS {
        let setup = Setup {
            seed,
            fault: |_, _| Fault::Error(0.45),
            ..Setup::default()
        };
        let most = Fleet::new(setup).run(RUN).most_ejected;
        assert!(most <= 4, "seed {seed}: {most}");
    }
}

/// Guards against one host whose wrong reports make others eject upstreams.
#[test]
fn lying_host() {
    for seed in SEEDS {
        let setup = Setup {
            seed,
            liar: Some(3),
            ..Setup::default()
        };
        assert_eq!(Fleet::new(setup).run(RUN).changes, [], "seed {seed}");
    }
}

/// Guards against a slow host that takes its own slowness for that of upstreams, or makes
/// other hosts do so.
#[test]
fn slow_host() {
    for seed in SEEDS {
        let setup = Setup {
            seed,
            late: Some((3, 0.6)),
            ..Setup::default()
        };
        assert_eq!(Fleet::new(setup).run(RUN).changes, [], "seed {seed}");
    }
}

/// Guards against probes that are nearly as many as an upstream's usual requests: all hosts
/// together send four a second.
#[test]
fn few_probes() {
    let setup = Setup {
        fault: fault::one_slow,
        ..Setup::default()
    };
    let outcome = Fleet::new(setup).run(RUN);
    assert!((1..60).contains(&outcome.probes), "{}", outcome.probes);
}
