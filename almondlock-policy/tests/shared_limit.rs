//! Guards against a fleet-wide limit that each entry host applies in full. An
//! organisation's requests come through several entry hosts, some of which can't reach the
//! others for minutes. The organisation would get several times its share, at the cost of
//! the other organisations' callers.

#![cfg(test)]

use std::time::Duration;

use almondlock_base::{Code, id::Organisation, time::Mono, unit::Tokens};
use almondlock_policy::limit::{Config, Lease, Limit, Limiter};
use yare::parameterized;

fn bank() -> Organisation {
    Organisation::new("bank").unwrap()
}

fn limiter(hosts: u32, limit: Limit) -> Limiter {
    let mut limiter = Limiter::new(Config {
        hosts,
        ..Config::default()
    });
    limiter.set(&bank(), limit);
    limiter
}

#[parameterized(one = { 1 }, three = { 3 }, many = { 30 })]
fn rate_holds_fleetwide(hosts: u32) {
    let limit = Limit {
        rate: 60,
        tokens: Tokens::ZERO,
    };
    let mut limiters: Vec<Limiter> = (0..hosts).map(|_| limiter(hosts, limit)).collect();
    let mut admitted = 0;
    for millis in 0..20_000 {
        for limiter in &mut limiters {
            let now = Mono::from_millis(millis);
            admitted += u32::from(limiter.admit(&bank(), Tokens(1), now).is_ok());
        }
    }
    // 20 s at 60 requests per second, and the burst of 2 s.
    assert!((1_200..=1_320).contains(&admitted), "{admitted}");
}

/// Hosts that restart again and again admit what they had saved up at each start.
#[test]
fn restarted_hosts() {
    let limit = Limit {
        rate: 60,
        tokens: Tokens::ZERO,
    };
    let mut admitted = 0;
    let mut starts = 0;
    let mut limiters = Vec::new();
    for millis in 0..20_000 {
        if millis % 500 == 0 {
            limiters = (0..3).map(|_| limiter(3, limit)).collect();
            starts += 3;
        }
        for limiter in &mut limiters {
            let now = Mono::from_millis(millis);
            admitted += u32::from(limiter.admit(&bank(), Tokens(1), now).is_ok());
        }
    }
    // 20 s at 60 requests per second, and one request for each start.
    assert!((1_000..=1_200 + starts).contains(&admitted), "{admitted}");
}

#[test]
fn tokens_hold_fleetwide() {
    let limit = Limit {
        rate: 0,
        tokens: Tokens(30_000),
    };
    let mut limiters: Vec<Limiter> = (0..3).map(|_| limiter(3, limit)).collect();
    let mut permits = Vec::new();
    for _ in 0..100 {
        for limiter in &mut limiters {
            permits.extend(limiter.admit(&bank(), Tokens(1_000), Mono::ZERO));
        }
    }
    assert_eq!(permits.len(), 30);
    let refusal = limiters[0].admit(&bank(), Tokens(1_000), Mono::ZERO);
    let refusal = refusal.unwrap_err();
    assert_eq!(refusal.code, Code::ShareExceeded);
    assert!(!refusal.retry_after.is_zero());
    permits.clear();
    assert!(
        limiters[0]
            .admit(&bank(), Tokens(10_000), Mono::ZERO)
            .is_ok()
    );
    assert_eq!(limiters[0].in_flight(&bank()), Tokens::ZERO);
}

#[parameterized(slow = { 1, 1 }, shared = { 10, 3 }, fast = { 6_100, 30 })]
fn retry_after_suffices(rate: u32, hosts: u32) {
    let limit = Limit {
        rate,
        tokens: Tokens::ZERO,
    };
    let mut limiter = limiter(hosts, limit);
    let mut now = Mono::from_millis(5);
    for _ in 0..1_000 {
        if let Err(refusal) = limiter.admit(&bank(), Tokens(1), now) {
            assert_eq!(refusal.code, Code::RateLimited);
            now = now + refusal.retry_after + Duration::from_micros(1);
            assert!(limiter.admit(&bank(), Tokens(1), now).is_ok());
        }
    }
}

#[test]
fn lease_ends_alone() {
    let limit = Limit {
        rate: 0,
        tokens: Tokens(30_000),
    };
    let mut limiter = limiter(3, limit);
    let lease = Lease {
        rate_thousandths: 0,
        tokens: Tokens(15_000),
        until: Mono::from_millis(2_000),
    };
    limiter.set_lease(&bank(), lease);
    let permit = limiter.admit(&bank(), Tokens(20_000), Mono::from_millis(1_999));
    drop(permit.unwrap());
    let late = limiter.admit(&bank(), Tokens(20_000), Mono::from_millis(2_000));
    assert_eq!(
        late.map_err(|refusal| refusal.code).err(),
        Some(Code::ShareExceeded)
    );
    assert_eq!(limiter.take_demand(&bank()).tokens, Tokens(20_000));
}

#[test]
fn unknown_organisation_refused() {
    let mut limiter = Limiter::new(Config::default());
    let refusal = limiter.admit(&bank(), Tokens(1), Mono::ZERO).unwrap_err();
    assert_eq!(refusal.code, Code::Forbidden);
}
