//! Tests which changes the ring holds, and that it reports missing ones.

use almondlock_base::unit::Revision;
use almondlock_spread::ring::Ring;
use yare::parameterized;

fn ring(count: usize, bytes: usize, pushed: usize) -> Ring {
    let mut ring = Ring::new(count, bytes);
    (0..pushed).for_each(|n| ring.push(format!("{n:04}").as_bytes()));
    ring
}

#[parameterized(
    by_count = { ring(3, 1000, 10), 7 },
    by_bytes = { ring(100, 15, 10), 7 },
    all = { ring(100, 1000, 10), 0 },
)]
fn bounded(ring: Ring, oldest: u64) {
    assert_eq!(ring.newest(), Revision(10));
    assert!(ring.has_all_after(Revision(oldest)));
    assert!(oldest == 0 || !ring.has_all_after(Revision(oldest - 1)));
    let after = ring.after(Revision(oldest), 100, 1000).unwrap();
    assert_eq!(after.len() as u64, 10 - oldest);
    assert_eq!(&*after[0], format!("{oldest:04}").as_bytes());
}

#[parameterized(
    by_count = { 2, 1000, 2 },
    by_bytes = { 100, 9, 2 },
    at_least_one = { 100, 1, 1 },
)]
fn batches(count: usize, bytes: usize, given: usize) {
    let batch = ring(100, 1000, 10).after(Revision(4), count, bytes);
    assert_eq!(batch.unwrap().len(), given);
}

/// Guards against a parent that takes a child ahead of it for one that is far behind. The
/// child asks for the changes after its revision, of which the parent has none.
#[test]
fn newer_revisions_are_missing() {
    assert!(!ring(100, 1000, 10).has_all_after(Revision(11)));
    assert_eq!(
        ring(100, 1000, 10).after(Revision(10), 9, 9).unwrap().len(),
        0
    );
}

/// Guards against changes from before a whole configuration that are sent after it.
#[test]
fn reset_removes_changes() {
    let mut ring = ring(100, 1000, 10);
    ring.reset(Revision(50));
    assert!(ring.has_all_after(Revision(50)) && !ring.has_all_after(Revision(49)));
    assert_eq!(ring.held_bytes(), 0);
}
