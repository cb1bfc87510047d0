//! Tests a source that a thousand processes ask for the whole configuration at once.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_spread::pacer::Pacer;

const START: Mono = Mono::from_millis(100_000);
const SNAPSHOT_BYTES: usize = 64 * 1024;
const MAX_WAIT: Duration = Duration::from_millis(200);

/// Guards against a source that answers all processes at the same time, so that no answer
/// is complete in time.
#[test]
fn one_after_another() {
    let mut pacer = Pacer::default();
    let waits: Vec<Duration> = (0..1_000)
        .map_while(|_| pacer.reserve(START, SNAPSHOT_BYTES, MAX_WAIT))
        .collect();
    assert!(waits.is_sorted() && waits[0].is_zero());
    assert!((10..1_000).contains(&waits.len()), "{} passed", waits.len());
    // Refused messages take no sending time: the next may pass once the others are sent.
    assert_eq!(pacer.reserve(START, SNAPSHOT_BYTES, MAX_WAIT), None);
    let later = START + MAX_WAIT * 2;
    assert_eq!(
        pacer.reserve(later, SNAPSHOT_BYTES, MAX_WAIT),
        Some(Duration::ZERO)
    );
}
