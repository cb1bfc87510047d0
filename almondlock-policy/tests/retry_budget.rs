//! Half of the upstreams fail. If each entry host retried every failed request, all hosts
//! together would make the other half fail too. So retries are limited in any window,
//! wherever it begins.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_policy::{
    budget::{Bound, Budget, LASTING_FRACTION, PROMPT_FRACTION},
    fleet::{RETENTION, Size},
    suspension::{CATCH_UP, MIN_GAP, TICK, Watch},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

const WINDOW: Duration = Duration::from_secs(10);
const START: Mono = Mono::from_millis(100_000);
const BOUND: Bound = Bound {
    window: WINDOW,
    ratio: 0.2,
    slack: 20.0,
};

fn try_take(budget: &mut Budget, hosts: Option<u32>, now: Mono) -> bool {
    budget.reserve(hosts, now) && budget.spend(hosts, now)
}

#[test]
fn fractions_bounded() {
    const { assert!(2.0 * LASTING_FRACTION + PROMPT_FRACTION <= 1.0) }
}

/// A service without requests retries by its share of the slack, but not right after a
/// start.
#[parameterized(
    alone = { Some(1), 4 },
    two = { Some(2), 2 },
    many = { Some(1_000), 0 },
    unknown = { None, 0 },
)]
fn quiet_service(hosts: Option<u32>, retries: usize) {
    let mut budget = Budget::new(BOUND, START);
    assert!(!try_take(&mut budget, hosts, START));
    // A service that is first asked for after a while has earned as much.
    let later = START + WINDOW;
    let mut first = Budget::new(BOUND, START);
    let made = (0..10).filter(|_| try_take(&mut first, hosts, later));
    assert_eq!(made.count(), retries);
    let taken = (0..10).filter(|_| try_take(&mut budget, hosts, later));
    assert_eq!(taken.count(), retries);
}

#[test]
fn any_window() {
    let mut rng = SmallRng::seed_from_u64(4);
    let bound = Bound {
        slack: 3.0,
        ..BOUND
    };
    let mut budget = Budget::new(bound, START);
    let (mut requests, mut attempts) = (Vec::new(), Vec::new());
    let mut now = START;
    for _ in 0..5_000 {
        now = now + Duration::from_millis(rng.random_range(0..20));
        budget.record_request(Some(1), now);
        requests.push(now);
        if rng.random_bool(0.5) && try_take(&mut budget, Some(1), now) {
            attempts.push(now);
        }
    }
    let within = |times: &[Mono], end: Mono| {
        let recent = times.iter().filter(|at| **at <= end);
        recent.filter(|at| end.since(**at) < WINDOW).count()
    };
    for end in &attempts {
        let asked = within(&requests, *end).max(within(&requests, *end - WINDOW));
        let allowed = asked as f64 * 0.2 + 3.0;
        assert!(within(&attempts, *end) as f64 <= allowed);
    }
    assert!(attempts.len() > 500);
}

/// A retry that waits for a place and is sent in a later window adds to that window.
#[test]
fn late_retry() {
    let mut budget = Budget::new(BOUND, START);
    for _ in 0..1_000 {
        budget.record_request(None, START);
    }
    let reserved = (0..1_000).filter(|_| budget.reserve(None, START)).count();
    assert!(reserved > 40, "{reserved}");
    let later = START + WINDOW;
    let sent = (0..reserved).filter(|_| budget.spend(None, later)).count();
    assert_eq!(sent, 0);
    assert_eq!(budget.account(None, later).reserved, 0);
}

/// A retry that is not sent after all is lost to other callers.
#[test]
fn unused_retry() {
    let mut budget = Budget::new(BOUND, START);
    for _ in 0..10 {
        budget.record_request(Some(1), START);
    }
    assert!(budget.reserve(Some(1), START));
    assert!(!budget.reserve(Some(1), START));
    budget.release();
    assert!(try_take(&mut budget, Some(1), START));
    assert!(!try_take(&mut budget, Some(1), START));
}

/// A host is told of fewer hosts by a relay that has just started, and takes a larger share.
#[test]
fn fewer_hosts() {
    let mut size = Size::default();
    assert_eq!(size.get(), None);
    size.observe(20, START);
    size.observe(3, START + WINDOW);
    assert_eq!(size.get(), Some(20));
    size.observe(3, START + RETENTION);
    size.observe(3, START + RETENTION * 2);
    size.observe(3, START + RETENTION * 3);
    assert_eq!(size.get(), Some(3));
}

/// A process reads requests after a suspension that callers sent long before, and they earn
/// retries once more in a window that they don't count in.
#[test]
fn suspended_process() {
    let mut watch = Watch::default();
    assert!(!watch.is_catching_up(START));
    assert_eq!(watch.tick(START), None);
    assert_eq!(watch.tick(START + TICK), None);
    let woken = START + TICK + MIN_GAP;
    assert!(watch.is_catching_up(woken), "before the next tick");
    assert_eq!(watch.tick(woken), Some(MIN_GAP));
    assert!(watch.is_catching_up(woken));
    assert_eq!(watch.tick(woken + CATCH_UP / 2), None);
    assert!(watch.is_catching_up(woken + CATCH_UP / 2));
    assert!(!watch.is_catching_up(woken + CATCH_UP));
}
