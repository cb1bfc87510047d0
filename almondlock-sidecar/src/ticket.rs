//! An attempt's place in the table, from its grant to its outcome.

use std::{rc::Rc, time::Duration};

use almondlock_base::{Ran, id::Attempt, time::Mono, unit::Tokens};
use almondlock_node::{clock, replicas::Blame};
use almondlock_policy::{
    ledger::{Item, Kind},
    queue::Grant,
};
use almondlock_telemetry::trace::Context;
use almondlock_wire::{
    almondlock_capnp::{sink, source},
    answer::{Part, Usage},
    attempt::{Head, Outcome},
};
use tokio::{sync::oneshot, task::spawn_local, time::timeout};
use tracing::Instrument;

use crate::{
    body::feed_body,
    memory::owner_of,
    output::{Observer, Pusher},
    protocol::{Failure, Output, Protocol, Run, feed_channel},
    sidecar::{DEFAULT_RETRY, Inner, refused_outcome},
};

/// How a ticket leaves the table when nothing more is said.
struct Ending {
    ran: Ran,
    output: Tokens,
}

/// An attempt's place in the table. Dropping it, at whatever point its entry
/// host is lost, takes the attempt out and ends its run.
pub(crate) struct Ticket<P>
where
    P: Protocol,
{
    inner: Rc<Inner<P>>,
    attempt: Attempt,
    suspect: bool,
    deadline: Mono,
    priority: u8,
    queued: Duration,
    ending: Option<Ending>,
    started: bool,
    // The death entered in advance, for a suspect.
    charge: Option<Blame>,
}

impl<P> Drop for Ticket<P>
where
    P: Protocol,
{
    fn drop(&mut self) {
        let Some(ending) = self.ending.take() else {
            return;
        };
        let now = clock::mono();
        let mut table = self.inner.table.borrow_mut();
        table.finish(&self.attempt, ending.output, ending.ran, now);
        table.grant_waiting(now);
        drop(table);
        if let Some(charge) = self.charge.take() {
            let inner = Rc::clone(&self.inner);
            spawn_local(async move {
                if inner.protocol.is_alive().await {
                    inner.withdraw_charge(&charge, false).await;
                }
            });
        }
        let id = self.attempt.to_string();
        if self.started {
            self.inner.memory.release(&id, now);
        } else {
            self.inner.memory.remove(&id);
        }
    }
}

impl<P> Observer for Ticket<P>
where
    P: Protocol,
{
    fn on_prefill_end(&self) {
        let now = clock::mono();
        let mut table = self.inner.table.borrow_mut();
        table.end_prefill(&self.attempt, now);
        table.grant_waiting(now);
    }
}

/// Why a run ended.
pub(crate) enum Completion {
    Result(Result<Usage, Failure>),
    Deadline,
    Cancelled,
}

impl<P> Ticket<P>
where
    P: Protocol,
{
    /// The place of an attempt that waits.
    pub(crate) fn new(
        inner: Rc<Inner<P>>,
        attempt: &Attempt,
        suspect: bool,
        deadline: Mono,
    ) -> Ticket<P> {
        Ticket {
            inner,
            attempt: attempt.clone(),
            suspect,
            deadline,
            priority: 0,
            queued: Duration::ZERO,
            ending: Some(Ending {
                ran: Ran::No,
                output: Tokens::ZERO,
            }),
            started: false,
            charge: None,
        }
    }

    /// Its turn has come.
    pub(crate) fn record_grant(&mut self, grant: &Grant<Attempt>) {
        self.priority = grant.priority;
        self.queued = grant.waited;
    }

    /// It was taken out of the table already.
    pub(crate) fn mark_removed(&mut self) {
        self.ending = None;
    }

    /// Runs the attempt to its outcome.
    pub(crate) async fn run(
        mut self,
        head: &Head,
        context: &Context,
        source: source::Client,
        sink: sink::Client,
    ) -> Outcome {
        let charge = self.suspect.then(|| self.inner.next_death(head));
        if let Some(charge) = &charge {
            if let Err(code) = self.inner.charge(charge).await {
                return Outcome::refused(code, Some(DEFAULT_RETRY));
            }
            // Taken back also when the entry host leaves in the middle.
            self.charge = Some(charge.clone());
        }
        let started = self.inner.table.borrow_mut().start(&self.attempt);
        let cancelled = match started {
            Ok(cancelled) => cancelled,
            Err(refusal) => return refused_outcome(refusal),
        };
        self.started = true;
        let owner = owner_of(&head.attempt);
        let item = Item {
            kind: Kind::Stream,
            tokens: head.prompt + head.output,
        };
        let now = clock::mono();
        let id = self.attempt.to_string();
        self.inner.memory.open(id, item, &owner, head.lease, now);
        // Until something better is known: it was handed on.
        self.ending = Some(Ending {
            ran: Ran::Yes,
            output: head.output,
        });
        let queued = self.queued;
        let ticket = Rc::new(self);
        let mut pusher = Pusher::new(
            head.attempt.clone(),
            head.resume_at,
            sink,
            Rc::clone(&ticket),
        );
        let hop = ticket.inner.with_rng(|rng| context.child(rng));
        let span = tracing::info_span!(
            "upstream",
            request = %head.request,
            upstream = %ticket.inner.upstream,
            traceparent = %hop,
            parent = %context.span(),
        );
        let hop = hop.to_string();
        let drive = ticket.run_on_upstream(head, &hop, source, cancelled, &mut pusher);
        let end = drive.instrument(span).await;
        let began = pusher.has_begun();
        let flushed = match &end {
            // The last frames must be there before the outcome says so.
            Completion::Result(Ok(_)) => pusher.flush().await.is_ok(),
            _ => {
                drop(pusher);
                true
            }
        };
        let inner = Rc::clone(&ticket.inner);
        let mut outcome = inner.resolve_outcome(end, began, flushed).await;
        outcome.queued = queued;
        if let Ok(mut ticket) = Rc::try_unwrap(ticket) {
            ticket.record_outcome(&outcome);
        }
        if let Some(charge) = charge
            && !outcome.died
        {
            inner.withdraw_charge(&charge, outcome.code.is_none()).await;
        }
        outcome
    }

    async fn run_on_upstream(
        &self,
        head: &Head,
        traceparent: &str,
        source: source::Client,
        cancelled: oneshot::Receiver<()>,
        pusher: &mut Pusher<Ticket<P>>,
    ) -> Completion {
        let id = self.attempt.to_string();
        let job = Run {
            head,
            traceparent,
            id: &id,
            priority: self.priority,
        };
        let (feeder, body) = feed_channel();
        let protocol = &self.inner.protocol;
        let work = async {
            let run = async {
                let usage = protocol.run(job, body, pusher).await?;
                let end = Part::End(usage.clone());
                pusher
                    .put(0, end)
                    .await
                    .map_err(|_| Failure::OutputClosed)?;
                Ok(usage)
            };
            // The body may be left unread: the answer alone ends the run.
            let feeding = async {
                feed_body(head, &source, feeder).await;
                std::future::pending::<()>().await;
            };
            tokio::select! {
                result = run => result,
                () = feeding => Err(Failure::Broken),
            }
        };
        let left = self.deadline.since(clock::mono());
        tokio::select! {
            result = timeout(left, work) => result.map_or(Completion::Deadline, Completion::Result),
            Ok(()) = cancelled => Completion::Cancelled,
        }
    }

    /// Leaves the table in the way the outcome says.
    fn record_outcome(&mut self, outcome: &Outcome) {
        self.charge = None;
        if let Some(ending) = &mut self.ending {
            ending.ran = outcome.ran;
        }
        // A whole answer has left nothing on the engine to cancel.
        self.started = outcome.code.is_some();
    }
}
