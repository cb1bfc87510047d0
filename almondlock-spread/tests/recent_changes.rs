//! What the ring still holds, and what it says when it no longer does.

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

/// A child that is ahead of its parent asks it for what comes after: there is
/// nothing, and the parent must not take it for somebody far behind.
#[test]
fn the_future_is_not_here() {
    assert!(!ring(100, 1000, 10).has_all_after(Revision(11)));
    assert_eq!(
        ring(100, 1000, 10).after(Revision(10), 9, 9).unwrap().len(),
        0
    );
}

#[test]
fn a_reset_forgets() {
    let mut ring = ring(100, 1000, 10);
    ring.reset(Revision(50));
    assert!(ring.has_all_after(Revision(50)) && !ring.has_all_after(Revision(49)));
    assert_eq!(ring.held_bytes(), 0);
}
