//! The process's clocks, read at the edge and handed to deciding code.

use std::{
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use almondlock_base::time::{Mono, Wall};

static START: OnceLock<Instant> = OnceLock::new();

/// What the monotonic clock shows when the process starts.
///
/// Not zero: a process that has just started hears of things that were so some
/// seconds ago, and those moments must lie on its clock too. At zero they would
/// all fall on the start, and a process below a relay would not hold itself for
/// recent in its first seconds though it is.
const FIRST: Mono = Mono::from_millis(24 * 3_600_000);

/// The present time on the process's monotonic clock.
pub fn mono() -> Mono {
    FIRST + START.get_or_init(Instant::now).elapsed()
}

/// The present time by the host's own, possibly wrong clock.
pub fn wall() -> Wall {
    let spent = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Wall::from_millis(u64::try_from(spent.as_millis()).unwrap_or(u64::MAX))
}
