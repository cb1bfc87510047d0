//! Guards against serving nearly all prompts of a burst slightly late. Short prompts arrive
//! for five seconds at 1.0 to 1.3 times the rate that the engines' slots sustain, at hosts
//! that learn of each other's requests 40 ms late.

mod burst;

use burst::{Outcome, Setup, run};
use yare::parameterized;

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

fn mean<F>(outcomes: &[Outcome], figure: F) -> f64
where
    F: Fn(&Outcome) -> f64,
{
    outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
}

#[parameterized(
    nine_full = { 9, 78, 1.0 },
    nine_above = { 9, 78, 1.1 },
    nine_far_above = { 9, 78, 1.3 },
    many_full = { 27, 54, 1.0 },
    many_above = { 27, 54, 1.1 },
    many_far_above = { 27, 54, 1.3 },
)]
fn short_burst(hosts: usize, engines: usize, ratio: f64) {
    let all = |places: bool| {
        SEEDS.map(|seed| {
            run(&Setup {
                hosts,
                engines,
                ratio,
                places,
                seed,
            })
        })
    };
    let (first, desk) = (all(false), all(true));
    for (name, outcomes) in [("first come", &first), ("desk", &desk)] {
        println!(
            "{hosts} hosts, ratio {ratio}, {name}: in time {:.3}, served {:.3}, refusals {:.3}, \
             value {:.3}, longest wait {:.0} ms",
            mean(outcomes, |o| o.in_time),
            mean(outcomes, |o| o.served),
            mean(outcomes, |o| o.refusals),
            mean(outcomes, |o| o.value()),
            mean(outcomes, |o| o.longest),
        );
    }
    let sustained = (1.0 / ratio).min(1.0);
    for (first, desk) in first.iter().zip(&desk) {
        assert!(desk.in_time >= first.in_time);
        assert!(desk.value() >= first.value());
        assert!(desk.served >= 0.97);
    }
    assert!(mean(&desk, |o| o.in_time) >= sustained - 0.1);
}

/// While there are enough slots, no prompt waits and none is refused.
#[test]
fn free_slots() {
    for seed in SEEDS {
        let outcome = run(&Setup {
            hosts: 9,
            engines: 78,
            ratio: 0.7,
            places: true,
            seed,
        });
        assert_eq!(outcome.waited, 0);
        assert_eq!(outcome.refusals, 0.0);
    }
}
