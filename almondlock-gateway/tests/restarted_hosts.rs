//! Hosts are restarted again and again while upstreams fail. A host that starts knows
//! nothing of the retries of its earlier lives, and each life made its free ones anew.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_gateway::budget::{Budget, Config};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const WINDOW: Duration = Duration::from_secs(10);
/// Retries per request that all hosts together may make.
const RATIO: f64 = 0.2;
const STEP: Duration = Duration::from_millis(20);

/// A course of failures and restarts.
#[derive(Clone, Copy)]
struct Course {
    hosts: usize,
    /// Retries of all hosts in a window, whatever the number of requests.
    slack: f64,
    /// Requests per second that callers send to all hosts.
    rate: f64,
    /// Probability that a host restarts within a second while upstreams fail.
    restarts: f64,
}

const GROWN: Course = Course {
    hosts: 22,
    slack: 120.0,
    rate: 130.0,
    restarts: 0.6,
};

fn budget() -> Budget {
    Budget::new(Config {
        window: WINDOW,
        ratio: 0.15,
        min_retries: 3,
    })
}

fn count_within(times: &[Mono], from: Mono) -> usize {
    let begin = times.partition_point(|at| *at < from);
    let end = times.partition_point(|at| *at < from + WINDOW);
    end - begin
}

/// Returns how far the retries of the worst window exceed the bound of that window.
fn excess(course: Course, seed: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budgets: Vec<Budget> = (0..course.hosts).map(|_| budget()).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let start = Mono::from_millis(100_000);
    for step in 0..2_000 {
        let now = start + STEP * step;
        // Upstreams fail from 12 s on, and hosts are restarted from 15 s to 25 s.
        let seconds = now.since(start).as_secs_f64();
        let restarts = (15.0..25.0).contains(&seconds);
        for budget in &mut budgets {
            if restarts && rng.random_bool(course.restarts * STEP.as_secs_f64()) {
                *budget = self::budget();
            }
        }
        let mean = course.rate * STEP.as_secs_f64();
        let arriving = mean as usize + usize::from(rng.random_bool(mean.fract()));
        for _ in 0..arriving {
            let budget = &mut budgets[rng.random_range(0..course.hosts)];
            budget.record_request(now);
            requests.push(now);
            let mut attempts = 0;
            while seconds >= 12.0 && attempts < 3 && budget.try_take(now) {
                retries.push(now);
                attempts += 1;
            }
        }
    }
    let allowed = |from: Mono| {
        let windows = [from, from - WINDOW / 2, from - WINDOW];
        let most = windows
            .map(|at| count_within(&requests, at))
            .into_iter()
            .max();
        most.unwrap_or(0) as f64 * RATIO + course.slack
    };
    let excess = retries
        .iter()
        .map(|from| count_within(&retries, *from) as f64 - allowed(*from));
    excess.fold(f64::MIN, f64::max)
}

#[test]
fn restarted_in_series() {
    for seed in 0..20 {
        let excess = excess(GROWN, seed);
        assert!(
            excess <= 0.0,
            "seed {seed}: {excess:.1} retries over the bound"
        );
    }
}
