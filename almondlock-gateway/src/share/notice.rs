//! Bounds what is logged and counted of deprioritised requests.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use almondlock_base::time::Mono;

/// What metrics call organisations that they don't name.
pub const OTHERS: &str = "others";
/// Lines in a second.
const LINES: u32 = 5;
/// Organisations that metrics name at one time: those with the most in flight.
const LARGEST: usize = 8;
/// Organisations that metrics name in a process's life.
const NAMED: usize = 64;

/// What was logged and counted lately.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    since: Mono,
    // Lines since then, and those left out since the last one.
    lines: u32,
    suppressed: u64,
    // Organisations that metrics name. Invariant: at most [`NAMED`].
    named: BTreeSet<Arc<str>>,
}

impl Notices {
    /// Whether a line is logged now: if it is, how many weren't since the last one.
    pub fn allow_line(&mut self, now: Mono) -> Option<u64> {
        if now.since(self.since) >= Duration::from_secs(1) {
            (self.since, self.lines) = (now, 0);
        }
        if self.lines >= LINES {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }

    /// What metrics call an organisation, given how many have more in flight.
    pub fn label<'a>(&mut self, name: &'a Arc<str>, place: usize) -> &'a str {
        if place >= LARGEST {
            return OTHERS;
        }
        if !self.named.contains(name) {
            if self.named.len() >= NAMED {
                return OTHERS;
            }
            self.named.insert(Arc::clone(name));
        }
        name
    }
}
