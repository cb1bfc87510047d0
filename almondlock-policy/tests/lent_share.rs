//! Guards against a divided limit that is too small for one host or is exceeded by all
//! together. Callers of one organisation may all come through one entry host; they must get
//! nearly the whole limit there, and within seconds at another host when they move. All
//! hosts together must never let more through than the limit, also with hosts cut off, the
//! lender restarted and answers lost.

#![cfg(test)]

use std::time::Duration;

use almondlock_base::{
    id::{Host, Organisation},
    time::Mono,
    unit::Tokens,
};
use almondlock_policy::limit::{
    Allotment, Config, Demand, Lease, Lender, Limit, Limiter, Permit, Terms,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const LIMIT: Limit = Limit {
    rate: 0,
    tokens: Tokens(120_000),
};

/// Longest time that a request runs.
const LINGER: Duration = Duration::from_secs(5);

fn bank() -> Organisation {
    Organisation::new("bank").unwrap()
}

fn host(i: usize) -> Host {
    Host::new(&format!("entry-{i}")).unwrap()
}

fn limiter() -> Limiter {
    let mut limiter = Limiter::new(Config {
        hosts: 3,
        floor_percent: 50,
        ..Config::default()
    });
    limiter.set(&bank(), LIMIT);
    limiter
}

fn lender(now: Mono) -> Lender {
    let terms = Terms {
        linger: LINGER,
        ..Terms::default()
    };
    let mut lender = Lender::new(terms, now);
    lender.set(&bank(), LIMIT);
    lender
}

/// Asks the lender. The caller may drop the answer, as if it were lost.
fn request_allotment(limiter: &mut Limiter, i: usize, lender: &mut Lender, now: Mono) -> Allotment {
    let used = limiter.tokens_over_floor(&bank());
    let mut demand = limiter.take_demand(&bank());
    demand.tokens += used;
    lender.allot(&host(i), &bank(), demand, used, now)
}

/// Asks the lender for what was refused and for what is used over the floor, and takes the
/// lease.
fn renew_lease(limiter: &mut Limiter, i: usize, lender: &mut Lender, now: Mono) {
    let part = request_allotment(limiter, i, lender, now);
    let lease = Lease {
        rate_thousandths: part.rate_thousandths,
        tokens: part.tokens,
        until: now + lender.lease_time(),
    };
    limiter.set_lease(&bank(), lease);
}

#[test]
fn one_host_gets_what_the_others_do_not_use() {
    let mut limiters = [limiter(), limiter(), limiter()];
    let mut lender = lender(Mono::ZERO);
    let mut most = [0, 0];
    for step in 0..100 {
        let now = Mono::from_millis(7_000 + step * 200);
        let busy = usize::from(step >= 50);
        let mut permits = Vec::new();
        for _ in 0..200 {
            permits.extend(limiters[busy].admit(&bank(), Tokens(1_000), now));
        }
        // The host of the second half has all of it within 4 seconds.
        if !(50..70).contains(&step) {
            most[busy] = permits.len();
        }
        for (i, limiter) in limiters.iter_mut().enumerate() {
            renew_lease(limiter, i, &mut lender, now);
        }
    }
    // Its floor of 20,000, and the 60,000 that are lent.
    assert_eq!(most, [80, 80]);
}

#[test]
fn never_more_than_the_limit() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut limiters = [limiter(), limiter(), limiter()];
        let mut lender = self::lender(Mono::ZERO);
        let mut permits: Vec<(Permit, Mono)> = Vec::new();
        let mut now = Mono::ZERO;
        let mut most = Tokens::ZERO;
        for _ in 0..3_000 {
            now = now + Duration::from_millis(rng.random_range(0..100));
            permits.retain(|(_, end)| now < *end);
            let i = rng.random_range(0..3);
            match rng.random_range(0..20) {
                0 if rng.random_bool(0.02) => lender = self::lender(now),
                // Every second answer of the lender is lost.
                1..=4 if rng.random_bool(0.5) => renew_lease(&mut limiters[i], i, &mut lender, now),
                1..=4 => {
                    request_allotment(&mut limiters[i], i, &mut lender, now);
                }
                5..=7 if !permits.is_empty() => {
                    let at = rng.random_range(0..permits.len());
                    permits.swap_remove(at);
                }
                _ => {
                    let tokens = Tokens(rng.random_range(1_000..15_000));
                    let permit = limiters[i].admit(&bank(), tokens, now);
                    permits.extend(permit.map(|permit| (permit, now + LINGER)));
                }
            }
            let in_flight: Tokens = permits.iter().map(|(permit, _)| permit.tokens()).sum();
            assert!(in_flight <= LIMIT.tokens, "seed {seed}: {in_flight}");
            most = most.max(in_flight);
        }
        // The floors alone are half of the limit.
        assert!(most > Tokens(90_000), "seed {seed}: {most}");
    }
}

#[test]
fn allotments_follow_demand() {
    for seed in 0..100 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut lender = lender(Mono::ZERO);
        let mut parts = [(Tokens::ZERO, Mono::ZERO); 5];
        let mut now = Mono::from_millis(7_000);
        for _ in 0..500 {
            now = now + Duration::from_millis(rng.random_range(0..300));
            let i = rng.random_range(0..parts.len());
            let demand = Demand {
                requests: 0,
                tokens: Tokens(rng.random_range(0..100_000)),
            };
            let part = lender.allot(&host(i), &bank(), demand, Tokens::ZERO, now);
            assert!(part.tokens <= demand.tokens);
            parts[i] = (part.tokens, now + lender.lease_time());
            let live = parts.iter().filter(|(_, until)| now < *until);
            let sum: Tokens = live.map(|(tokens, _)| *tokens).sum();
            assert!(sum <= Tokens(60_000), "seed {seed}: {sum}");
        }
    }
}

/// A host's requests outlast the lease under which they were admitted. The tokens that they
/// hold must not be lent to another host, whether the first host reports them or is cut
/// off, and whether the lender remembers them or has restarted.
#[test]
fn in_flight_not_relent() {
    let want = |tokens| Demand {
        requests: 0,
        tokens: Tokens(tokens),
    };
    let start = Mono::from_millis(7_000);
    let mut lender = lender(Mono::ZERO);
    let first = lender.allot(&host(0), &bank(), want(60_000), Tokens::ZERO, start);
    assert_eq!(first.tokens, Tokens(60_000));
    // The first host reports what it uses.
    let later = start + Duration::from_secs(3);
    lender.allot(&host(0), &bank(), want(0), Tokens(55_000), later);
    let second = lender.allot(&host(1), &bank(), want(60_000), Tokens::ZERO, later);
    assert_eq!(second.tokens, Tokens(5_000));
    // The first host is cut off.
    let cut = later + Duration::from_secs(6);
    let second = lender.allot(&host(1), &bank(), want(60_000), Tokens::ZERO, cut);
    assert_eq!(second.tokens, Tokens(5_000));
    let over = later + Duration::from_secs(7);
    let second = lender.allot(&host(1), &bank(), want(60_000), Tokens::ZERO, over);
    assert_eq!(second.tokens, Tokens(60_000));
    // The next lender knows of no leases.
    let mut lender = self::lender(over);
    let early = over + Duration::from_millis(6_999);
    let third = lender.allot(&host(2), &bank(), want(60_000), Tokens::ZERO, early);
    assert_eq!(third.tokens, Tokens::ZERO);
    let late = over + Duration::from_secs(7);
    let third = lender.allot(&host(2), &bank(), want(60_000), Tokens::ZERO, late);
    assert_eq!(third.tokens, Tokens(60_000));
}
