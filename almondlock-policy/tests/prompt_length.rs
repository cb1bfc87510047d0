//! The entry knows only a prompt's length in bytes. Guards against wrong estimates
//! in tokens, which put a prompt into the wrong class: if it is too short, the
//! prompt delays short ones; if it is too long, the prompt is refused. Token counts
//! from engines correct the estimate, and a single absurd one has little effect.

#![cfg(test)]

use almondlock_base::{id::Model, unit::Tokens};
use almondlock_policy::{
    length::{Class, Estimator},
    prefix,
};
use yare::parameterized;

fn model() -> Model {
    Model::new("large").unwrap()
}

#[test]
fn estimate_follows_counts() {
    let mut estimator = Estimator::default();
    for _ in 0..300 {
        estimator.observe(&model(), 30_000, Tokens(10_000));
    }
    let tokens = estimator.estimate_tokens(&model(), 30_000).0;
    assert!((9_900..=10_100).contains(&tokens), "{tokens}");
    // The ratios of other models don't change.
    let other = Model::new("small").unwrap();
    assert_eq!(estimator.estimate_tokens(&other, 40_000), Tokens(10_000));
}

#[parameterized(
    nothing = { 1_000_000, 0 },
    all = { 2_000, u64::MAX },
    one = { u64::MAX, 1 },
)]
fn absurd_counts(bytes: u64, tokens: u64) {
    let mut estimator = Estimator::default();
    estimator.observe(&model(), bytes, Tokens(tokens));
    let estimate = estimator.estimate_tokens(&model(), 40_000).0;
    assert!((9_000..=11_000).contains(&estimate), "{estimate}");
}

#[parameterized(
    short = { 4_096, Class::Short },
    medium = { 4_097, Class::Medium },
    long = { 32_769, Class::Long },
    huge = { 262_145, Class::Huge },
)]
fn class(tokens: u64, expected: Class) {
    assert_eq!(Class::of(Tokens(tokens)), expected);
}

#[test]
fn common_prefix_found() {
    let long = "word ".repeat(1_000_000);
    assert_eq!(prefix::hashes(long.as_bytes()).len(), prefix::MAX_HASHES);
    assert!(prefix::covered_tokens(prefix::MAX_HASHES) >= Tokens(1_000_000));
    assert!(prefix::hashes(b"short").is_empty());
    let mut other = long.clone().into_bytes();
    other[400_000] = b'!';
    let (a, b) = (prefix::hashes(long.as_bytes()), prefix::hashes(&other));
    let shared = a.iter().zip(&b).take_while(|(a, b)| a == b).count();
    let covered = prefix::covered_tokens(shared).0 * 4;
    assert!(
        (300_000..=400_000).contains(&covered),
        "{covered} of 400,000 bytes"
    );
    assert!(a[shared..].iter().zip(&b[shared..]).all(|(a, b)| a != b));
}
