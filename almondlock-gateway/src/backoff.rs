//! Pauses and departures that upstreams announce in their answers: to receive nothing for a
//! while or, because they are leaving, nothing more.

use almondlock_base::{id::Upstream, time::Mono};
use almondlock_node::clock;
use almondlock_policy::backoff::{Reason, parse_delay};

use crate::{
    dialect::Dialect,
    pick::Shortage,
    request::{History, Request},
    upstream::Head,
    worker::{Target, Worker},
};

impl<D> Worker<D>
where
    D: Dialect,
{
    /// Applies the pause or departure that an answer announces.
    pub(crate) fn apply_backoff_headers(&self, upstream: &Upstream, head: &Head) {
        let names = self.dialect.names();
        // Another instance answered, which can't speak for this one.
        if head.status == 421 {
            return;
        }
        let leaves = head.text(names.leaving.as_str()) == Some("1");
        if leaves && self.backoffs.borrow_mut().mark_leaving(upstream) {
            self.shared.metrics.count("backoffs", "leaving");
            tracing::info!(%upstream, source = "answer", "upstream leaves");
        }
        let asked = head.text(names.backoff.as_str());
        let Some(text) = asked.filter(|_| head.status == 503) else {
            return;
        };
        let Some(pause) = parse_delay(text) else {
            tracing::warn!(%upstream, pause = text, "unreadable pause");
            return;
        };
        let until = clock::mono() + pause;
        if self.backoffs.borrow_mut().pause(upstream, until) {
            self.shared.metrics.count("backoffs", "pause");
            tracing::info!(%upstream, for_ms = pause.as_millis(), "upstream asks for a pause");
        }
    }

    /// Returns the upstreams that a request may be sent to. Leaves out those that refused
    /// it, since they would refuse it again, and those that asked for a pause or are
    /// leaving.
    pub(crate) fn open_targets(
        &self,
        request: &Request,
        history: &History,
        now: Mono,
    ) -> Result<Vec<Target>, Shortage> {
        let snapshot = self.snapshot();
        let targets = snapshot
            .instances
            .get(&request.service)
            .into_iter()
            .flatten();
        let targets: Vec<&Target> = targets
            .filter(|target| !history.refused.contains(&target.name))
            .collect();
        let open = targets.iter();
        let open = open.filter(|target| self.backoff(now, &target.name).is_none());
        let open: Vec<Target> = open.map(|target| Target::clone(target)).collect();
        match open.is_empty() && !targets.is_empty() {
            true => Err(Shortage::Backoff),
            false => Ok(open),
        }
    }

    /// Forgets pauses that are over, and leaving upstreams that are gone.
    pub(crate) fn sweep_backoffs(&self, now: Mono) {
        let known = self.upstreams();
        let mut backoffs = self.backoffs.borrow_mut();
        backoffs.sweep(now, |name| known.contains(name));
    }

    /// Returns why nothing may be sent to an upstream, or `None` if it accepts requests.
    pub(crate) fn backoff(&self, now: Mono, upstream: &Upstream) -> Option<Reason> {
        self.backoffs.borrow().reason(now, upstream)
    }
}
