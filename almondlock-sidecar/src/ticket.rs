//! Runs a granted attempt on the upstream, and takes it out of the table at the
//! end.

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
use tokio::{sync::oneshot, time::timeout};
use tracing::Instrument;

use crate::{
    body::feed_body,
    memory::owner_of,
    output::{Observer, Pusher},
    protocol::{Failure, Output, Protocol, Run, feed_channel},
    sidecar::{DEFAULT_RETRY, Inner, refused_outcome},
};

/// What the table is told when the attempt is taken out.
struct Ending {
    ran: Ran,
    output: Tokens,
}

/// Holds an attempt's entry in the table. Dropping the ticket at any point,
/// such as when the entry host is lost, takes the attempt out of the table and
/// ends its run.
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
    // The death that a suspect request was charged with before its run.
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
            let owner = inner.handle.owner().clone();
            owner.spawn_part("charge-withdrawal", async move {
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

/// The reason why a run ended.
pub(crate) enum Completion {
    /// The upstream answered, or the run failed.
    Result(Result<Usage, Failure>),
    /// The deadline of the attempt passed.
    Deadline,
    /// The entry host cancelled the attempt.
    Cancelled,
}

impl<P> Ticket<P>
where
    P: Protocol,
{
    /// Creates the ticket of an attempt that waits.
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

    /// Records that the queue granted the attempt.
    pub(crate) fn record_grant(&mut self, grant: &Grant<Attempt>) {
        self.priority = grant.priority;
        self.queued = grant.waited;
    }

    /// Records that the attempt was already taken out of the table, so that
    /// dropping the ticket does nothing.
    pub(crate) fn mark_removed(&mut self) {
        self.ending = None;
    }

    /// Runs the attempt on the upstream and returns its outcome.
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
            // Stored so that the charge is also withdrawn if the entry host
            // leaves during the run.
            self.charge = Some(charge.clone());
        }
        let standing = match self.inner.passage_standing(head) {
            Ok(standing) => standing,
            Err(code) => return Outcome::refused(code, Some(DEFAULT_RETRY)),
        };
        let started = self.inner.table.borrow_mut().start(&self.attempt, standing);
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
        // The engine may run the attempt from here on, so count it as run with
        // its full output until the outcome is known.
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
            // The entry host must receive the last frames before the outcome
            // that says so.
            Completion::Result(Ok(_)) => pusher.flush().await.is_ok(),
            _ => {
                drop(pusher);
                true
            }
        };
        let inner = Rc::clone(&ticket.inner);
        let mut outcome = inner.resolve_outcome(end, began, flushed).await;
        if outcome.code.is_none() {
            inner.clear_passages(head);
        }
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

    /// Runs the attempt on the upstream until it ends, its deadline passes or it is
    /// cancelled.
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
            // The answer alone ends the run: the upstream may leave the body
            // unread.
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

    /// Records the outcome that the table is told when the ticket is dropped.
    fn record_outcome(&mut self, outcome: &Outcome) {
        self.charge = None;
        if let Some(ending) = &mut self.ending {
            ending.ran = outcome.ran;
        }
        // After a complete answer nothing is left to cancel on the engine.
        self.started = outcome.code.is_some();
    }
}
