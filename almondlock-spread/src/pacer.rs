//! Limits the rate at which a source sends whole configurations to processes that are
//! not its children.
//!
//! **Load pattern.** All processes of a fleet start at the same moment, and a thousand of
//! them ask the same three sources. If all were answered at once, all would receive the last
//! byte only at the end. If they are answered one after the other, the first are ready, and
//! serve others, while the rest wait. A process that would wait too long is redirected to
//! another source.

use std::time::Duration;

use almondlock_base::time::Mono;

/// Sending rate, only part of a source's link, since the link also carries the log.
const RATE_BYTES_PER_SECOND: f64 = 16e6;

/// Schedules messages one after the other at a fixed rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    // When all scheduled messages will have been sent.
    idle_at: Mono,
}

impl Pacer {
    /// Schedules a message of `bytes` bytes, and returns how long to wait before sending it.
    /// Returns `None`, and schedules nothing, if the wait would exceed `max_wait`.
    pub fn reserve(&mut self, now: Mono, bytes: usize, max_wait: Duration) -> Option<Duration> {
        let start = self.idle_at.max(now);
        let wait = start.since(now);
        if wait > max_wait {
            return None;
        }
        // Byte counts are far below the precision of an `f64`.
        self.idle_at = start + Duration::from_secs_f64(bytes as f64 / RATE_BYTES_PER_SECOND);
        Some(wait)
    }
}
