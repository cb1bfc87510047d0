//! Detects that the upstream died, blames the requests that were running on it,
//! and charges a suspect request with a death before it runs.

use std::time::Duration;

use almondlock_base::{Code, id::Incarnation};
use almondlock_node::{clock, replicas::Blame};
use almondlock_wire::attempt::Head;

use crate::{protocol::Protocol, sidecar::Inner, table::Request};

/// Time within which the replicas must accept a blame, a charge or its
/// withdrawal. After that, outcomes are sent without the blame.
const BLAME_TIMEOUT: Duration = Duration::from_secs(3);

/// Deaths of the engine since the sidecar started.
#[derive(Default)]
pub(crate) struct Record {
    count: u64,
    // Requests that ran when the engine died. `None` once it answers again.
    present: Option<Vec<Request>>,
}

impl<P> Inner<P>
where
    P: Protocol,
{
    /// Checks whether the engine died, after a run broke. Returns the requests
    /// that were running on it if so.
    ///
    /// The first caller to notice keeps the list, since the other attempts
    /// leave the table one by one. Every request on it is blamed before any
    /// outcome is sent: a copy that is sent at once must find the suspicion
    /// known.
    pub(crate) async fn check_for_death(&self) -> Option<Vec<Request>> {
        let seen = self.table.borrow().running_requests();
        let alive = self.protocol.is_alive().await;
        self.set_down(!alive);
        if alive {
            self.death.borrow_mut().present = None;
            return None;
        }
        let (first, present, count) = {
            let mut death = self.death.borrow_mut();
            let first = death.present.is_none();
            if first {
                death.count += 1;
                death.present = Some(seen);
            }
            let present = death.present.clone().unwrap_or_default();
            (first, present, death.count)
        };
        if first {
            tracing::warn!(upstream = %self.upstream, present = present.len(), "the upstream died");
        }
        self.blame(&present, count).await;
        Some(present)
    }

    /// Charges a suspect request with the death that it may cause, before it
    /// runs. Otherwise copies that reach several sidecars at once would all
    /// run.
    pub(crate) async fn charge(&self, blame: &Blame) -> Result<(), Code> {
        match self.replicas.charge(blame, BLAME_TIMEOUT).await {
            Ok(revision) => {
                self.handle.heard_revision(revision);
                Ok(())
            }
            Err(Code::NoQuorum) => Err(Code::ClaimUnavailable),
            Err(code) => Err(code),
        }
    }

    /// Returns the death that a run starting now would cause.
    pub(crate) fn next_death(&self, head: &Head) -> Blame {
        let next = self.death.borrow().count + 1;
        Blame {
            fingerprint: head.fingerprint,
            organisation: head.organisation.clone(),
            upstream: self.upstream.clone(),
            incarnation: Incarnation(self.incarnation.0.wrapping_add(next)),
        }
    }

    /// Reports a death to the replicas, with all requests that were present.
    /// Every run that broke reports it again; the replicas count a death once
    /// for each request.
    async fn blame(&self, present: &[Request], count: u64) {
        let life = Incarnation(self.incarnation.0.wrapping_add(count));
        let whole = present.iter().map(|one| Blame {
            fingerprint: one.fingerprint,
            organisation: one.organisation.clone(),
            upstream: self.upstream.clone(),
            incarnation: life,
        });
        let passages = self.blamed_passages(present, clock::mono());
        let all = whole.chain(passages);
        let all = all.map(async |blame| self.replicas.blame(&blame, BLAME_TIMEOUT).await);
        for result in futures::future::join_all(all).await {
            match result {
                Ok(revision) => self.handle.heard_revision(revision),
                Err(code) => tracing::warn!(%code, "blame for a death could not be told"),
            }
        }
        // The outcome carries the revision of this process, from which its
        // reader learns that there is a suspicion to fetch.
        self.handle.catch_up(BLAME_TIMEOUT).await;
    }

    /// Withdraws a charge after the run. With `harmless`, the request is no
    /// longer suspected.
    pub(crate) async fn withdraw_charge(&self, charge: &Blame, harmless: bool) {
        let result = self.replicas.clear(charge, harmless, BLAME_TIMEOUT).await;
        if let Err(code) = result {
            tracing::warn!(%code, "could not withdraw a charge");
        }
    }
}
