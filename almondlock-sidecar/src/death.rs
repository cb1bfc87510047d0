//! Deaths of the upstream: noticing them, blaming for them, and entering in
//! advance those that a suspect may cause.

use std::time::Duration;

use almondlock_base::{Code, id::Incarnation};
use almondlock_node::replicas::Blame;
use almondlock_wire::attempt::Head;

use crate::{protocol::Protocol, sidecar::Inner, table::Request};

/// How long blame for a death may take before the outcomes go out without it.
const BLAME_TIMEOUT: Duration = Duration::from_secs(3);

/// Deaths of the engine in the sidecar's life.
#[derive(Default)]
pub(crate) struct Record {
    count: u64,
    // What ran when the engine died, until it lives again.
    present: Option<Vec<Request>>,
}

impl<P> Inner<P>
where
    P: Protocol,
{
    /// Called when a run broke: tells whether the engine died, and with what
    /// on it. Whoever notices first keeps the list, since the others leave the
    /// table one by one, and blames all of them before any outcome goes out:
    /// a copy sent at once must find its suspicion known.
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

    /// Has the death that a suspect may cause entered before it runs. Without
    /// this, copies that reach several sidecars at once would all run.
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

    /// The death that a run starting now would cause.
    pub(crate) fn next_death(&self, head: &Head) -> Blame {
        let next = self.death.borrow().count + 1;
        Blame {
            fingerprint: head.fingerprint,
            organisation: head.organisation.clone(),
            upstream: self.upstream.clone(),
            incarnation: Incarnation(self.incarnation.0.wrapping_add(next)),
        }
    }

    /// Blame is told again by every run that broke: the replicas count a death
    /// once for each request.
    async fn blame(&self, present: &[Request], count: u64) {
        let life = Incarnation(self.incarnation.0.wrapping_add(count));
        let all = present.iter().map(|one| {
            let blame = Blame {
                fingerprint: one.fingerprint,
                organisation: one.organisation.clone(),
                upstream: self.upstream.clone(),
                incarnation: life,
            };
            async move { self.replicas.blame(&blame, BLAME_TIMEOUT).await }
        });
        for told in futures::future::join_all(all).await {
            match told {
                Ok(revision) => self.handle.heard_revision(revision),
                Err(code) => tracing::warn!(%code, "blame for a death could not be told"),
            }
        }
        // The outcome carries our revision; whoever reads it learns that there
        // is a suspicion to fetch.
        self.handle.catch_up(BLAME_TIMEOUT).await;
    }

    /// Takes a charge back after the run. A harmless one clears the suspect.
    pub(crate) async fn withdraw_charge(&self, charge: &Blame, harmless: bool) {
        let told = self.replicas.clear(charge, harmless, BLAME_TIMEOUT).await;
        if let Err(code) = told {
            tracing::warn!(%code, "a charge could not be taken back");
        }
    }
}
