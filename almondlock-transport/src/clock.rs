//! The process's clocks, read at the edge and handed to deciding code.

use std::{
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use almondlock_base::time::{Mono, Wall};

static START: OnceLock<Instant> = OnceLock::new();

/// The present time on the process's monotonic clock.
pub fn mono() -> Mono {
    let spent = START.get_or_init(Instant::now).elapsed();
    Mono::from_micros(u64::try_from(spent.as_micros()).unwrap_or(u64::MAX))
}

/// The present time by the host's own, possibly wrong clock.
pub fn wall() -> Wall {
    let spent = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Wall::from_millis(u64::try_from(spent.as_millis()).unwrap_or(u64::MAX))
}
