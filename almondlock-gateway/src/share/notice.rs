//! Bounds how many log lines and metric labels deprioritised requests produce.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use almondlock_base::time::Mono;

/// Label of organisations that metrics don't name.
pub const OTHERS: &str = "others";
/// Maximum number of log lines in a second.
const MAX_LINES_PER_SECOND: u32 = 5;
/// Number of organisations that metrics name at one time: those with the most in flight.
const MAX_LARGEST: usize = 8;
/// Maximum number of organisations that metrics name while the process runs.
const MAX_NAMED: usize = 64;

/// The recent log lines, and the organisations that metrics name.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    since: Mono,
    // Number of lines since then, and of those suppressed since the last line.
    lines: u32,
    suppressed: u64,
    // Organisations that metrics name. Invariant: at most [`MAX_NAMED`].
    named: BTreeSet<Arc<str>>,
}

impl Notices {
    /// Returns the number of lines suppressed since the last one if a line may be logged
    /// now, or `None` if this one is suppressed too.
    pub fn allow_line(&mut self, now: Mono) -> Option<u64> {
        if now.since(self.since) >= Duration::from_secs(1) {
            (self.since, self.lines) = (now, 0);
        }
        if self.lines >= MAX_LINES_PER_SECOND {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }

    /// Returns the metric label of an organisation, given how many have more in flight.
    pub fn label<'a>(&mut self, name: &'a Arc<str>, place: usize) -> &'a str {
        if place >= MAX_LARGEST {
            return OTHERS;
        }
        if !self.named.contains(name) {
            if self.named.len() >= MAX_NAMED {
                return OTHERS;
            }
            self.named.insert(Arc::clone(name));
        }
        name
    }
}
