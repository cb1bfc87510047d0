//! What callers make this host hold: the worker's side of `almondlock_intake`.

use crate::{dialect::Dialect, worker::Worker};

/// Bytes of a refused body that are read and dropped, where no configuration says how large
/// a body may be.
const DISCARD_LIMIT: usize = 256 * 1024;

impl<D> Worker<D>
where
    D: Dialect,
{
    /// Returns how many bytes of a refused body are read and dropped: a body of a size that
    /// is allowed, so that its sender gets to read the refusal.
    pub(crate) fn discard_limit(&self) -> usize {
        let snapshot = self.snapshot();
        let rules = snapshot.rules.as_ref();
        rules.map_or(DISCARD_LIMIT, |rules| rules.limits.body)
    }

    /// Sets the figures of what callers make this host hold.
    pub(crate) fn report_intake(&self) {
        for (what, level) in self.bodies.usage().levels() {
            self.report("caller_bodies", what, level);
        }
        for (what, level) in self.connections.usage().levels() {
            self.report("caller_connections", what, level);
        }
    }

    fn report(&self, name: &str, what: &str, level: u64) {
        let level = i64::try_from(level).unwrap_or(i64::MAX);
        let label = format!("what=\"{what}\"");
        self.shared.metrics.set(name, &label, level);
    }
}
