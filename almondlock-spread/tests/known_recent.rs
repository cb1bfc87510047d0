//! When a configuration counts as recent.

use almondlock_base::{time::Mono, unit::Revision};
use almondlock_spread::recency::Recency;

const fn at(millis: u64) -> Mono {
    Mono::from_millis(millis)
}

#[test]
fn not_before_it_is_reached() {
    let mut recency = Recency::new();
    assert_eq!(recency.record_own(Revision(9)), None);
    recency.record_source(Revision(5), at(10));
    assert_eq!(recency.record_own(Revision(4)), None);
    assert_eq!(recency.record_own(Revision(5)), Some(at(10)));
}

/// Changes come faster than this process takes them in, so that it always lacks
/// the last one. It is recent all the same: what it has was the newest a moment
/// ago. Compared with the newest only, it would never be ready for traffic.
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

/// An old answer arrives after a newer one, as over two parents.
#[test]
fn never_older() {
    let mut recency = Recency::new();
    recency.record_source(Revision(5), at(50));
    assert_eq!(recency.record_own(Revision(5)), Some(at(50)));
    recency.record_source(Revision(3), at(10));
    assert_eq!(recency.record_own(Revision(5)), Some(at(50)));
}
