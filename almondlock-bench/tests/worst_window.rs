//! Retries are judged in the worst window, wherever it begins, by the requests of the window
//! that has most.

use almondlock_bench::retries::{Bound, worst};
use yare::parameterized;

const BOUND: Bound = Bound {
    ratio: 0.2,
    slack: 3,
};

#[parameterized(
    none = { 0, 0, None },
    slack_only = { 0, 20_000, Some((3, 3)) },
    same_window = { 50, 20_000, Some((3, 13)) },
    window_before = { 50, 11_000, Some((3, 13)) },
    long_before = { 50, 30_000, Some((3, 3)) },
)]
fn allowed(requests: u64, at: u64, expected: Option<(usize, usize)>) {
    let asked = (0..requests).map(|n| at.min(20_000) - 9_000 + n).collect();
    let retries = match expected {
        Some(_) => vec![at + 2, at, at + 1],
        None => Vec::new(),
    };
    let worst = worst(asked, retries, &BOUND);
    assert_eq!(worst.map(|worst| (worst.made, worst.allowed)), expected);
    assert!(!worst.is_some_and(|worst| worst.is_over()));
}

// Two bursts that no fixed window has together.
#[test]
fn across_windows() {
    let retries = vec![9_900, 9_950, 10_050, 10_100];
    let worst = worst(Vec::new(), retries, &BOUND).unwrap();
    assert_eq!((worst.from, worst.made), (9_900, 4));
    assert!(worst.is_over());
}

#[parameterized(
    number = { "x,1" },
    one = { "0.2" },
    negative = { "-1,2" },
    slack = { "0.2,1.5" },
)]
fn refused(text: &str) {
    assert_eq!(Bound::parse(text), None);
}
