//! The number of hosts that share what is meant for all of them, as far as one host has
//! heard.
//!
//! Each host divides a common limit by this number, so a number that is too small exceeds
//! the limit. Whoever tells the number may itself have just started or be cut off from a
//! part of the hosts. So the largest one lately heard counts.

use std::time::Duration;

use almondlock_base::time::Mono;

/// Time for which a number counts at least. Longer than most network partitions last.
pub const RETENTION: Duration = Duration::from_secs(600);

/// The number of hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Size {
    /// Largest number of the current period, which begins at `begun`.
    current: u32,
    /// Largest number of the period before.
    earlier: u32,
    begun: Mono,
}

impl Size {
    /// Takes in a number of hosts that was heard.
    pub fn observe(&mut self, hosts: u32, now: Mono) {
        if now.since(self.begun) >= RETENTION {
            self.earlier = self.current;
            self.current = 0;
            self.begun = now;
        }
        self.current = self.current.max(hosts);
    }

    /// Returns the number of hosts, or `None` if none was heard yet.
    pub fn get(&self) -> Option<u32> {
        let hosts = self.current.max(self.earlier);
        (hosts > 0).then_some(hosts)
    }
}
