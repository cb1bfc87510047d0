//! The process's monotonic clock.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_transport::clock::mono;

/// A process that has just started is told that a source had a revision some
/// seconds ago, before the process was there. That moment must lie on its
/// clock, or it would not hold itself for recent for as many seconds.
#[test]
fn moments_before_the_start_exist() {
    let before = mono() - Duration::from_secs(60);
    assert!(before > Mono::ZERO);
    assert!(mono().since(before) >= Duration::from_secs(60));
}
