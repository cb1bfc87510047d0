//! The process's clocks, read at the edge and handed to deciding code.

use std::{
    sync::OnceLock,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use almondlock_base::time::{Mono, Wall};
use rustix::time::{ClockId, Timespec, clock_gettime};

static START: OnceLock<Duration> = OnceLock::new();

/// What the monotonic clock shows when the process starts.
///
/// Not zero: a process that has just started hears of things that were so some
/// seconds ago, and those moments must lie on its clock too. At zero they would
/// all fall on the start, and a process below a relay would not hold itself for
/// recent in its first seconds though it is.
const FIRST: Mono = Mono::from_millis(24 * 3_600_000);

/// The present time on the process's monotonic clock.
///
/// It counts the time in which the host was suspended. With a clock that
/// doesn't, a process that wakes would hold a lease or a configuration for
/// fresh that has long run out, and act on a key that was taken away meanwhile.
pub fn mono() -> Mono {
    let now = boot_time();
    FIRST + now.saturating_sub(*START.get_or_init(|| now))
}

fn boot_time() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(tv_sec).unwrap_or_default();
    // Below a billion by the interface.
    Duration::new(seconds, u32::try_from(tv_nsec).unwrap_or_default())
}

/// The present time by the host's own, possibly wrong clock.
pub fn wall() -> Wall {
    let spent = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Wall::from_millis(u64::try_from(spent.as_millis()).unwrap_or(u64::MAX))
}
