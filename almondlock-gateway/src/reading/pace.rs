//! Time slices in which a new configuration version is read, between requests.

use std::time::Duration;

use almondlock_base::time::Mono;

/// The shortest slice. A pause between slices costs a few microseconds.
const MIN_SLICE: Duration = Duration::from_millis(1);
/// The longest slice: a tenth of the shortest gap that callers allow between two events of
/// an answer.
const MAX_SLICE: Duration = Duration::from_millis(20);
/// The longest slice of a late version: half of that gap.
const MAX_LATE_SLICE: Duration = Duration::from_millis(100);
/// Time since the first slice after which a version is late. It has to be in force after
/// 2.5 s, of which its way to the host takes some tenths of a second.
const LATE_AFTER: Duration = Duration::from_secs(1);

/// Divides the reading of one version into slices of time.
///
/// A slice is half as long as the time that other tasks took since the last slice. So
/// reading gets a third of the time until slices reach their bound of 20 ms; once the
/// version is late, it gets half. Reading 1,300 changed routes takes 0.3 s on a host with
/// 0.09 of a core if nothing else runs. With fixed slices of 1 ms this would take 15 s
/// where requests leave 50 ms between two slices.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    began: Option<Mono>,
    ended: Option<Mono>,
    /// Number of slices that have begun.
    pub slices: u32,
}

impl Pacer {
    /// Begins a slice, and returns when it ends.
    pub fn begin(&mut self, now: Mono) -> Mono {
        self.slices += 1;
        let began = *self.began.get_or_insert(now);
        let others = self.ended.map_or(Duration::ZERO, |ended| now.since(ended));
        let slice = match now.since(began) > LATE_AFTER {
            false => (others / 2).clamp(MIN_SLICE, MAX_SLICE),
            true => others.clamp(MIN_SLICE, MAX_LATE_SLICE),
        };
        now + slice
    }

    /// Ends a slice.
    pub fn end(&mut self, now: Mono) {
        self.ended = Some(now);
    }
}
