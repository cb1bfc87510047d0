//! `traceparent` headers come from strangers.

use almondlock_telemetry::trace::Context;
use rand::{SeedableRng, rngs::SmallRng};
use yare::parameterized;

const GOOD: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

#[parameterized(
    sampled = { GOOD, true },
    unsampled = { "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00", false },
    later_version = { "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more", true },
)]
fn accepted(text: &str, sampled: bool) {
    let context = Context::parse(text).unwrap();
    assert_eq!(context.is_sampled(), sampled);
    assert_eq!(context.to_string()[3..52], text[3..52]);
}

#[parameterized(
    empty = { "" },
    short = { "00-4bf92f35-00f067aa0ba902b7-01" },
    upper_case = { "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01" },
    no_trace = { "00-00000000000000000000000000000000-00f067aa0ba902b7-01" },
    no_span = { "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01" },
    forbidden_version = { "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01" },
    trailing = { "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more" },
    not_ascii = { "00-ébf92f3577b34da6a3ce929d0e0e473-00f067aa0ba902b7-01" },
)]
fn refused(text: &str) {
    assert_eq!(Context::parse(text), None);
}

#[test]
fn a_child_stays_in_its_trace() {
    let mut rng = SmallRng::seed_from_u64(1);
    let root = Context::root(&mut rng);
    let child = root.child(&mut rng);
    assert_eq!(child.trace(), root.trace());
    assert_ne!(child.span(), root.span());
    assert_eq!(Context::parse(&child.to_string()), Some(child));
}
