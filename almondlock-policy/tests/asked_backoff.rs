//! Guards against requests to an upstream that asked for a pause or is leaving: what it
//! asked for must hold until it is over, whatever comes later.

use std::time::Duration;

use almondlock_base::{id::Upstream, time::Mono};
use almondlock_policy::backoff::{Reason, Table, parse_delay};
use yare::parameterized;

const START: Mono = Mono::from_millis(1_000);

fn upstream() -> Upstream {
    Upstream::new("u").unwrap()
}

fn at(millis: u64) -> Mono {
    START + Duration::from_millis(millis)
}

/// Guards against a shorter pause that ends a longer one.
#[test]
fn longest_holds() {
    let mut table = Table::default();
    assert!(table.pause(&upstream(), at(3_000)));
    assert!(!table.pause(&upstream(), at(1_000)));
    let left = Duration::from_millis(1_000);
    let reason = table.reason(at(2_000), &upstream());
    assert_eq!(reason, Some(Reason::Backoff(left)));
    assert_eq!(table.reason(at(3_000), &upstream()), None);
}

/// Guards against a leaving upstream that counts as available once its pause is over.
#[test]
fn leaving_stays() {
    let mut table = Table::default();
    assert!(table.mark_leaving(&upstream()));
    assert!(!table.mark_leaving(&upstream()));
    table.pause(&upstream(), at(1_000));
    table.sweep(at(60_000), |_| true);
    let reason = table.reason(at(60_000), &upstream());
    assert_eq!(reason, Some(Reason::Leaving));
    table.sweep(at(61_000), |_| false);
    assert_eq!(table.reason(at(61_000), &upstream()), None);
}

/// A new life of an upstream has asked for nothing.
#[test]
fn new_life() {
    let mut table = Table::default();
    table.mark_leaving(&upstream());
    table.pause(&upstream(), at(1_000));
    table.reset(&upstream());
    assert_eq!(table.reason(START, &upstream()), None);
}

/// A pause is kept while its upstream isn't known.
#[test]
fn unknown_upstream_swept() {
    let mut table = Table::default();
    table.pause(&upstream(), at(1_000));
    table.sweep(at(500), |_| false);
    assert!(table.reason(at(500), &upstream()).is_some());
}

#[parameterized(
    whole = { "3", Some(3_000) },
    fraction = { " 0.25", Some(250) },
    none = { "0", Some(0) },
    long = { "86400", Some(86_400_000) },
    negative = { "-1", None },
    infinite = { "inf", None },
    no_number = { "NaN", None },
    beyond = { "1e300", None },
    empty = { "", None },
    date = { "Thu, 03 Dec 2026 12:00:00 GMT", None },
)]
fn retry_after_parsed(text: &str, millis: Option<u64>) {
    assert_eq!(parse_delay(text), millis.map(Duration::from_millis));
}
