//! Guards against more requests to an upstream than the limit that it names. Limits come
//! with answers, which arrive late, twice and out of order. The upstream would get too many
//! requests if a limit were wrongly taken for ended, or if all callers came back for the
//! same permit.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_policy::throttle::{Limits, Notice, Rate, Selector, Stagger};
use yare::parameterized;

const fn at(millis: u64) -> Mono {
    Mono::from_millis(millis)
}

fn rate(text: &str) -> Rate {
    Rate::parse(text).unwrap()
}

#[parameterized(
    decimal = { "1.9", Some(1_900) },
    whole = { " 20 ", Some(20_000) },
    none = { "0", Some(0) },
    huge = { "1e30", Some(u32::MAX) },
    negative = { "-1", None },
    not_finite = { "inf", None },
    not_a_number = { "NaN", None },
    with_unit = { "2/s", None },
    empty = { "", None },
)]
fn rate_parsed(text: &str, thousandths: Option<u32>) {
    assert_eq!(Rate::parse(text).map(Rate::thousandths), thousandths);
}

/// An answer without a limit ends it only if its request was sent after the limit was heard:
/// else it may be the older one.
#[parameterized(
    sent_after = { 110, 120, false },
    sent_with_it = { 100, 120, true },
    overtaken = { 50, 120, true },
)]
/// An answer without a limit ends the limit only if its request was sent after the limit
/// was received: else the answer may be the older one.
fn limit_end_ordered(sent: u64, came: u64, stays: bool) {
    let mut limits = Limits::default();
    assert!(limits.learn(&"i-1", Notice::of(Some(rate("2")), at(90), at(100))));
    limits.learn(&"i-1", Notice::of(None, at(sent), at(came)));
    assert_eq!(limits.rate(&"i-1").is_some(), stays);
}

/// News of a limit that is older than its end doesn't bring it back; newer news does.
#[test]
fn older_notice_ignored() {
    let mut limits = Limits::default();
    let named = |came| Notice::of(Some(rate("2")), at(0), at(came));
    limits.learn(&"i-1", named(100));
    assert!(limits.learn(&"i-1", Notice::of(None, at(200), at(250))));
    assert!(!limits.learn(&"i-1", named(150)));
    assert_eq!(limits.rate(&"i-1"), None);
    assert!(limits.learn(&"i-1", named(300)));
    assert_eq!(limits.rate(&"i-1"), Some(rate("2")));
}

/// The same news again is no change; another rate is.
#[test]
fn change_reported_once() {
    let mut limits = Limits::default();
    let named = |text: &str, came| Notice::of(Some(rate(text)), at(0), at(came));
    assert!(limits.learn(&"i-1", named("2", 100)));
    assert!(!limits.learn(&"i-1", named("2", 200)));
    assert!(limits.learn(&"i-1", named("1.5", 300)));
    assert!(!limits.learn(&"i-1", named("2", 250)));
    assert_eq!(limits.limited_keys(), ["i-1"]);
    limits.retain(|key| *key != "i-1");
    assert!(limits.is_empty());
}

/// Relays are asked in turn, and each is asked again only when it may have a permit. A
/// relay that doesn't answer is left alone for all upstreams.
#[test]
fn relay_selected() {
    let mut selector: Selector<&str, u8> = Selector::default();
    let relays = [1, 2];
    assert_eq!(selector.next_relay(at(0), &"a", &relays), Some(1));
    selector.note_refusal(at(0), &"a", 1, Duration::from_millis(300));
    assert_eq!(selector.next_relay(at(0), &"a", &relays), Some(2));
    assert_eq!(selector.next_relay(at(0), &"b", &relays), Some(1));
    selector.note_no_answer(at(0), 2);
    assert_eq!(selector.next_relay(at(0), &"a", &relays), None);
    assert_eq!(
        selector.time_to_permit(at(100), &"a", &relays),
        Duration::from_millis(200)
    );
    assert_eq!(selector.next_relay(at(300), &"a", &relays), Some(1));
    assert_eq!(selector.next_relay(at(0), &"b", &[2]), None);
}

/// Callers refused together come back one after the other, at this host's part of the rate.
/// A caller that can't wait that long reserves no turn.
#[test]
fn retries_staggered() {
    let mut stagger = Stagger::default();
    let opens = Duration::from_millis(200);
    let mut next = |now, patience| {
        let patience = Duration::from_millis(patience);
        let wait = stagger.next_retry(at(now), opens, (rate("4"), 2), patience);
        wait.as_millis()
    };
    assert_eq!(next(0, 5_000), 200);
    assert_eq!(next(0, 5_000), 700);
    assert_eq!(next(0, 1_000), 1_200);
    assert_eq!(next(0, 5_000), 1_200);
    assert_eq!(next(9_000, 5_000), 200);
}
