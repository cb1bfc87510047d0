//! Half of the upstreams fail. If each entry host retried every failed request, all hosts
//! together would make the other half fail too. So retries are limited in any window,
//! wherever it begins.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_gateway::budget::{Budget, Config};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const WINDOW: Duration = Duration::from_secs(10);

fn budget() -> Budget {
    Budget::new(Config {
        window: WINDOW,
        ratio: 0.15,
        min_retries: 3,
    })
}

#[test]
fn quiet_service() {
    let mut budget = budget();
    let now = Mono::from_millis(1);
    let taken = (0..10).filter(|_| budget.try_take(now)).count();
    assert_eq!(taken, 3);
    assert!(budget.try_take(now + WINDOW));
}

#[test]
fn any_window() {
    let mut rng = SmallRng::seed_from_u64(4);
    let mut budget = budget();
    let (mut requests, mut attempts) = (Vec::new(), Vec::new());
    let mut now = Mono::from_millis(0);
    for _ in 0..5_000 {
        now = now + Duration::from_millis(rng.random_range(0..20));
        budget.record_request(now);
        requests.push(now);
        if rng.random_bool(0.5) && budget.try_take(now) {
            attempts.push(now);
        }
    }
    let within = |times: &[Mono], end: Mono| {
        let recent = times.iter().filter(|at| **at <= end);
        recent.filter(|at| end.since(**at) < WINDOW).count()
    };
    for end in &attempts {
        let allowed = within(&requests, *end) as f64 * 0.15 + 3.0;
        assert!(within(&attempts, *end) as f64 <= allowed);
    }
    assert!(attempts.len() > 500);
}
