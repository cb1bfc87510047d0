//! Versions are read in slices. Requests must not wait long for a slice, and a version must
//! be in force within 2,500 ms, however many requests there are.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_gateway::reading::Pacer;
use yare::parameterized;

/// Guards against reading that is starved by a burst of requests, which take `others`
/// milliseconds between two slices. Reading 1,300 routes without requests takes 0.3 s on a
/// host with 0.09 of a core.
#[parameterized(
    idle = { 0, 400 },
    usual = { 4, 1_000 },
    busy = { 20, 1_000 },
    overloaded = { 60, 1_300 },
    stalled = { 200, 2_000 },
)]
fn in_force_in_time(others: u64, within: u64) {
    let mut pace = Pacer::default();
    let mut now = Mono::from_micros(0);
    let mut left = Duration::from_millis(300);
    while !left.is_zero() {
        let slice = pace.begin(now).since(now);
        let is_late = now > Mono::from_micros(1_000_000);
        let longest = if is_late { 100 } else { 20 };
        assert!(slice <= Duration::from_millis(longest), "{slice:?}");
        now = now + slice.min(left);
        left = left.saturating_sub(slice);
        pace.end(now);
        now = now + Duration::from_millis(others);
    }
    let took = now.since(Mono::from_micros(0));
    assert!(took <= Duration::from_millis(within), "{took:?}");
}
