//! Tests when a configuration is known to be recent.

use almondlock_base::{time::Mono, unit::Revision};
use almondlock_spread::recency::Recency;

const fn at(millis: u64) -> Mono {
    Mono::from_millis(millis)
}

/// Guards against a process that counts as recent before it has a source's revision.
#[test]
fn not_before_it_is_reached() {
    let mut recency = Recency::new();
    assert_eq!(recency.record_own(Revision(9)), None);
    recency.record_source(Revision(5), at(10));
    assert_eq!(recency.record_own(Revision(4)), None);
    assert_eq!(recency.record_own(Revision(5)), Some(at(10)));
}

/// Guards against a process that is never ready for traffic because changes come faster
/// than it applies them. It always lacks the last change, but its revision was the newest
/// a moment ago, so it is recent.
#[test]
fn always_one_behind() {
    let mut recency = Recency::new();
    for n in 1..100 {
        recency.record_source(Revision(n), at(n * 10));
        let reached = recency.record_own(Revision(n - 1));
        if n > 2 {
            assert!(reached >= Some(at((n - 2) * 10)), "{n}: {reached:?}");
        }
    }
}

/// Guards against a process that counts as less recent because an old answer arrives
/// after a newer one, as from two parents.
#[test]
fn never_older() {
    let mut recency = Recency::new();
    recency.record_source(Revision(5), at(50));
    assert_eq!(recency.record_own(Revision(5)), Some(at(50)));
    recency.record_source(Revision(3), at(10));
    assert_eq!(recency.record_own(Revision(5)), Some(at(50)));
}
