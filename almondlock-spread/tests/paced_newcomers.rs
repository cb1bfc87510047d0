//! A thousand processes ask a source for the whole configuration at the same moment.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_spread::pacer::Pacer;

const START: Mono = Mono::from_millis(100_000);
const WHOLE: usize = 64 * 1024;
const PATIENCE: Duration = Duration::from_millis(200);

/// Guards against a source that begins to answer all of them and ends with none in time.
#[test]
fn one_after_another() {
    let mut pacer = Pacer::default();
    let waits: Vec<Duration> = (0..1_000)
        .map_while(|_| pacer.reserve(START, WHOLE, PATIENCE))
        .collect();
    assert!(waits.is_sorted() && waits[0].is_zero());
    assert!((10..1_000).contains(&waits.len()), "{} passed", waits.len());
    // Those that were sent away take no time: the next may pass once the others are out.
    assert_eq!(pacer.reserve(START, WHOLE, PATIENCE), None);
    let later = START + PATIENCE * 2;
    assert_eq!(pacer.reserve(later, WHOLE, PATIENCE), Some(Duration::ZERO));
}
