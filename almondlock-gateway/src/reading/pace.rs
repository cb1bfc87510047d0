//! How long a version is read between requests.

use std::time::Duration;

use almondlock_base::time::Mono;

/// The shortest slice. Pauses cost some microseconds each.
const SHORTEST: Duration = Duration::from_millis(1);
/// The longest one: a tenth of the shortest gap between two events of a stream.
const LONGEST: Duration = Duration::from_millis(20);

/// Gives slices of time to the reading of one version.
///
/// A slice is half as long as the others took since the last one. So under any load up to
/// three slices' worth of [`LONGEST`], reading has a third of the time: a version that takes
/// 0.3 s of a host by itself, as 1,300 routes do at 0.09 of a core, is in force within a
/// second. Slices of a fixed millisecond would take 15 s where requests leave 50 ms between
/// two of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    ended: Option<Mono>,
    /// How many slices have begun.
    pub slices: u32,
}

impl Pace {
    /// Begins a slice; gives when it ends.
    pub fn begin(&mut self, now: Mono) -> Mono {
        self.slices += 1;
        let others = self.ended.map_or(Duration::ZERO, |ended| now.since(ended));
        now + (others / 2).clamp(SHORTEST, LONGEST)
    }

    /// The slice is over.
    pub fn end(&mut self, now: Mono) {
        self.ended = Some(now);
    }
}
