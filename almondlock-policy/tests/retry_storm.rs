//! Guards against retries that overload what still works. When half the upstreams fail,
//! every second attempt fails. If each were repeated until it succeeds, the other half
//! would get twice the work and fail too. Retries must stay a fraction of the fresh
//! requests and be spread in time, and the remaining callers must be answered at once.

#![cfg(test)]

use std::time::Duration;

use almondlock_base::{Code, Ran, id::Organisation, time::Mono};
use almondlock_policy::{
    budget::Bound,
    retry::{Config, Decision, Failure, Policy, Safety, assess_safety, merge_ran},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

fn bank() -> Organisation {
    Organisation::new("bank").unwrap()
}

fn lost() -> Failure {
    Failure {
        code: Code::UpstreamLost,
        ran: Ran::Unknown,
        repeatable: true,
        streamed: 0,
        resumable: true,
    }
}

const LEFT: Duration = Duration::from_secs(30);

#[test]
fn retries_bounded() {
    let mut policy = Policy::new(Config::default(), Mono::ZERO);
    let mut rng = SmallRng::seed_from_u64(4);
    let (mut retries, mut gone) = (0, 0);
    let fresh = 6_000;
    for i in 0..fresh {
        // 600 requests per second for ten seconds.
        let now = Mono::from_micros(i * 1_667);
        policy.count_request(&bank(), now);
        let mut made = 1;
        while rng.random_bool(0.5) {
            match policy.decide(&bank(), &lost(), made, LEFT, now, &mut rng) {
                Decision::Retry { .. } => {
                    assert!(policy.spend(&bank(), now));
                    retries += 1;
                }
                Decision::GiveUp { retry_after, .. } => {
                    assert!(!retry_after.is_zero());
                    gone += 1;
                    break;
                }
            }
            made += 1;
        }
    }
    // At most what all hosts together may retry, and at least a tenth.
    assert!(
        (600..=1_200 + 100).contains(&retries),
        "{retries} of {fresh}"
    );
    assert!(gone > 2_000, "{gone}");
}

/// Entry hosts that restart while upstreams fail begin with full budgets, and retry together
/// more than all of them may.
#[test]
fn restarted_entry_hosts() {
    const HOSTS: usize = 8;
    let config = Config::default();
    for seed in 0..10 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = |now| {
            let mut policy = Policy::new(config, now);
            policy.set_hosts(HOSTS as u32);
            policy
        };
        let mut hosts: Vec<Policy> = (0..HOSTS).map(|_| start(Mono::ZERO)).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for i in 0..4_000 {
            // 100 requests per second. All fail from 10 s on, when hosts begin to restart.
            let now = Mono::from_millis(i * 10);
            let host = &mut hosts[rng.random_range(0..HOSTS)];
            let is_failing = i >= 1_000;
            if is_failing && rng.random_bool(0.05) {
                *host = start(now);
            }
            host.count_request(&bank(), now);
            requests.push(now);
            let mut made = 1;
            while is_failing
                && let Decision::Retry { .. } =
                    host.decide(&bank(), &lost(), made, LEFT, now, &mut rng)
            {
                assert!(host.spend(&bank(), now));
                retries.push(now);
                made += 1;
            }
        }
        let window = config.bound.window;
        let count = |times: &[Mono], from: Mono| {
            let begin = times.partition_point(|at| *at < from);
            times.partition_point(|at| *at < from + window) - begin
        };
        for from in &retries {
            let asked = count(&requests, *from).max(count(&requests, *from - window));
            let allowed = asked as f64 * config.bound.ratio + config.bound.slack;
            let made = count(&retries, *from) as f64;
            assert!(made <= allowed, "seed {seed}: {made} of {allowed}");
        }
    }
}

#[test]
fn budgets_kept_apart() {
    let mut policy = Policy::new(Config::default(), Mono::ZERO);
    let mut rng = SmallRng::seed_from_u64(4);
    let now = Mono::ZERO;
    let quiet = Organisation::new("quiet").unwrap();
    for _ in 0..1_000 {
        policy.count_request(&bank(), now);
        policy.count_request(&quiet, now);
        policy.decide(&bank(), &lost(), 1, LEFT, now, &mut rng);
    }
    let decision = policy.decide(&quiet, &lost(), 1, LEFT, now, &mut rng);
    assert!(matches!(decision, Decision::Retry { .. }), "{decision:?}");
}

#[test]
fn backoff_spread() {
    let config = Config {
        bound: Bound {
            window: Duration::from_secs(10),
            ratio: 1e6,
            slack: 0.0,
        },
        max_attempts: 20,
        ..Config::default()
    };
    let mut policy = Policy::new(config, Mono::ZERO);
    let mut rng = SmallRng::seed_from_u64(4);
    policy.count_request(&bank(), Mono::ZERO);
    let mut after = |made| match policy.decide(&bank(), &lost(), made, LEFT, Mono::ZERO, &mut rng) {
        Decision::Retry { after, .. } => after,
        Decision::GiveUp { .. } => panic!("within the budget"),
    };
    let first: Vec<Duration> = (0..100).map(|_| after(1)).collect();
    let distinct: std::collections::BTreeSet<_> = first.iter().collect();
    assert!(distinct.len() > 90);
    assert!(first.iter().all(|d| (10..=20).contains(&d.as_millis())));
    assert!(after(4) >= Duration::from_millis(80));
    assert!(after(15) <= Duration::from_secs(1));
}

#[parameterized(
    fresh = { lost(), Safety::Again },
    once_and_lost = { Failure { repeatable: false, ..lost() }, Safety::Never },
    once_and_refused = {
        Failure { repeatable: false, ran: Ran::No, code: Code::UpstreamLeaving, ..lost() },
        Safety::Again
    },
    in_part = { Failure { streamed: 7, ..lost() }, Safety::Resume(7) },
    in_part_without_resume = {
        Failure { streamed: 7, resumable: false, ..lost() },
        Safety::Never
    },
    once_in_part = { Failure { streamed: 7, repeatable: false, ..lost() }, Safety::Never },
    hopeless = { Failure { code: Code::PromptTooLong, ran: Ran::No, ..lost() }, Safety::Never },
    quarantined = { Failure { code: Code::Quarantined, ran: Ran::No, ..lost() }, Safety::Never },
)]
fn safe_continuation(failure: Failure, expected: Safety) {
    assert_eq!(assess_safety(&failure), expected);
}

#[test]
fn planned_stop_free() {
    let mut policy = Policy::new(Config::default(), Mono::ZERO);
    let mut rng = SmallRng::seed_from_u64(4);
    policy.count_request(&bank(), Mono::ZERO);
    let moved = Failure {
        code: Code::UpstreamLeaving,
        ran: Ran::No,
        repeatable: false,
        ..lost()
    };
    for _ in 0..500 {
        let decision = policy.decide(&bank(), &moved, 1, LEFT, Mono::ZERO, &mut rng);
        let now = Decision::Retry {
            after: Duration::ZERO,
            offset: 0,
            is_charged: false,
        };
        assert_eq!(decision, now);
    }
}

#[test]
fn no_time_left() {
    let mut policy = Policy::new(Config::default(), Mono::ZERO);
    let mut rng = SmallRng::seed_from_u64(4);
    policy.count_request(&bank(), Mono::ZERO);
    let left = Duration::from_millis(1);
    let decision = policy.decide(&bank(), &lost(), 1, left, Mono::ZERO, &mut rng);
    let Decision::GiveUp { code, ran, .. } = decision else {
        panic!("{decision:?}");
    };
    assert_eq!((code, ran), (Code::UpstreamLost, Ran::Unknown));
}

#[parameterized(
    none = { Ran::No, Ran::No, Ran::No },
    earlier = { Ran::Yes, Ran::No, Ran::Yes },
    doubt = { Ran::Unknown, Ran::No, Ran::Unknown },
    both = { Ran::Unknown, Ran::Yes, Ran::Yes },
)]
fn outcomes_merged(before: Ran, attempt: Ran, expected: Ran) {
    assert_eq!(merge_ran(before, attempt), expected);
}
