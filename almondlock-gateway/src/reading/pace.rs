//! How long a version is read between requests.

use std::time::Duration;

use almondlock_base::time::Mono;

/// The shortest slice. Pauses cost some microseconds each.
const SHORTEST: Duration = Duration::from_millis(1);
/// The longest one: a tenth of the shortest gap that callers allow between two events.
const LONGEST: Duration = Duration::from_millis(20);
/// The longest one of a version that is late: half of that gap.
const LONGEST_LATE: Duration = Duration::from_millis(100);
/// After this time a version is late. It has to be in force after 2.5 s, of which its way to
/// the host takes some tenths.
const LATE: Duration = Duration::from_secs(1);

/// Gives slices of time to the reading of one version.
///
/// A slice is half as long as the others took since the last one, so that reading has a
/// third of the time until slices have their bound of 20 ms; once it is late it has half. 1,300 routes
/// that are all read anew take 0.3 s of a host with 0.09 of a core by themselves. Slices of a
/// fixed millisecond would stretch them to 15 s where requests leave 50 ms between two.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    began: Option<Mono>,
    ended: Option<Mono>,
    /// How many slices have begun.
    pub slices: u32,
}

impl Pacer {
    /// Begins a slice; gives when it ends.
    pub fn begin(&mut self, now: Mono) -> Mono {
        self.slices += 1;
        let began = *self.began.get_or_insert(now);
        let others = self.ended.map_or(Duration::ZERO, |ended| now.since(ended));
        let slice = match now.since(began) > LATE {
            false => (others / 2).clamp(SHORTEST, LONGEST),
            true => others.clamp(SHORTEST, LONGEST_LATE),
        };
        now + slice
    }

    /// The slice is over.
    pub fn end(&mut self, now: Mono) {
        self.ended = Some(now);
    }
}
