//! How fast a source tells the whole configuration to processes that it doesn't serve.
//!
//! **Load pattern.** All processes of a fleet start at the same moment, and a thousand of
//! them ask the same three sources. Told at once, all of them get the last byte at the end;
//! told one after the other, the first are ready, and serve others, while the rest wait. Who
//! would wait for too long is sent to another source.

use std::time::Duration;

use almondlock_base::time::Mono;

/// Bytes a second: a part of a source's link, which also carries the log.
const RATE: f64 = 16e6;

/// Lets messages pass one after the other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    // When the messages that were let through are out.
    free: Mono,
}

impl Pacer {
    /// When a message of so many bytes may be sent. None: not within `patience`; then it
    /// takes no time from others.
    pub fn reserve(&mut self, now: Mono, bytes: usize, patience: Duration) -> Option<Duration> {
        let start = self.free.max(now);
        let wait = start.since(now);
        if wait > patience {
            return None;
        }
        // Byte counts are far below the precision of an `f64`.
        self.free = start + Duration::from_secs_f64(bytes as f64 / RATE);
        Some(wait)
    }
}
