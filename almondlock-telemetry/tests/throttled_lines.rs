//! Somebody sends what can't be read a thousand times a second. The log shows
//! that, and how often, but no line for each.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_telemetry::throttle::Throttle;

#[test]
fn one_a_period() {
    let mut throttle = Throttle::new(Duration::from_secs(1));
    let passed: Vec<(u64, u64)> = (0..2_500)
        .filter_map(|millis| {
            let suppressed = throttle.pass(Mono::from_millis(millis))?;
            Some((millis, suppressed))
        })
        .collect();
    assert_eq!(passed, [(0, 0), (1_000, 999), (2_000, 999)]);
}
