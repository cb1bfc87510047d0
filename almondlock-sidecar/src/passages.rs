//! Blames the passages that prompts begin with for deaths of the engine, and
//! clears those of prompts that were answered; see
//! [`almondlock_policy::poison::passage`].

use std::{rc::Rc, time::Duration};

use almondlock_base::{Code, id::Fingerprint, time::Mono};
use almondlock_node::{clock, replicas::Blame};
use almondlock_policy::poison::passage::{self, MAX_SUSPECTED, Standing};
use almondlock_wire::attempt::Head;

use crate::{protocol::Protocol, sidecar::Inner, table::Request};

/// Time within which the replicas must accept that a passage is cleared.
const CLEAR_TIMEOUT: Duration = Duration::from_secs(3);

impl<P> Inner<P>
where
    P: Protocol,
{
    /// Returns what the configuration in force says of a prompt's passages.
    ///
    /// # Errors
    ///
    /// The prompt is refused because of one of them.
    pub(crate) fn passage_standing(&self, head: &Head) -> Result<Standing, Code> {
        if head.prefix.is_empty() {
            return Ok(Standing::Clear);
        }
        let config = self.handle.view().get();
        let prints = passage::prints(&head.organisation, &head.prefix);
        let record = |print| config.quarantine(print);
        match passage::standing(&prints, record, clock::wall()) {
            Standing::Refused(print, _) => {
                tracing::info!(
                    request = %head.request, fingerprint = %print,
                    "refused, engines were lost with a passage of its prompt"
                );
                Err(Code::Quarantined)
            }
            standing => Ok(standing),
        }
    }

    /// Returns the deaths to record for the passages of requests that ran when
    /// the engine died.
    pub(crate) fn blamed_passages(&self, present: &[Request], now: Mono) -> Vec<Blame> {
        let mut answered = self.answered.borrow_mut();
        let mut blames: Vec<Blame> = Vec::new();
        for request in present {
            let prints = passage::prints(&request.organisation, &request.prefix);
            for (print, (upstream, incarnation)) in passage::blamed(&prints, request.standing) {
                if blames.len() >= MAX_SUSPECTED || answered.contains(now, &print) {
                    continue;
                }
                let blame = Blame {
                    fingerprint: print,
                    organisation: request.organisation.clone(),
                    upstream,
                    incarnation,
                };
                if !blames.contains(&blame) {
                    blames.push(blame);
                }
            }
        }
        blames
    }

    /// Clears the passages of a prompt that was answered from its first token.
    pub(crate) fn clear_passages(self: &Rc<Self>, head: &Head) {
        if head.resume_at > 0 {
            return;
        }
        let prints = passage::prints(&head.organisation, &head.prefix);
        let now = clock::mono();
        let config = self.handle.view().get();
        for print in prints {
            self.answered.borrow_mut().insert(now, print);
            if config.quarantine(print).is_some_and(|known| !known.refused) {
                let blame = self.passage_blame(head, print);
                let clearing = Rc::clone(self).clear_passage(blame);
                self.handle.owner().spawn_part("passage-clearing", clearing);
            }
        }
    }

    fn passage_blame(&self, head: &Head, fingerprint: Fingerprint) -> Blame {
        Blame {
            fingerprint,
            organisation: head.organisation.clone(),
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
        }
    }

    async fn clear_passage(self: Rc<Self>, blame: Blame) {
        let result = self.replicas.clear(&blame, true, CLEAR_TIMEOUT).await;
        if let Err(code) = result {
            tracing::warn!(%code, fingerprint = %blame.fingerprint, "passage not cleared");
        }
    }
}
