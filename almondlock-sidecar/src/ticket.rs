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
    memory::owner_of,
    output::{Pusher, Watch},
    protocol::{Failure, Job, Output, Protocol, feed},
    pull::pull,
    service::{DEFAULT_RETRY, Inner, refused},
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
        table.pump(now);
        drop(table);
        if let Some(charge) = self.charge.take() {
            let inner = Rc::clone(&self.inner);
            spawn_local(async move {
                if inner.protocol.alive().await {
                    inner.clear(&charge, false).await;
                }
            });
        }
        let id = self.attempt.to_string();
        if self.started {
            self.inner.memory.release(&id, now);
        } else {
            self.inner.memory.ended(&id);
        }
    }
}

impl<P> Watch for Ticket<P>
where
    P: Protocol,
{
    fn prefilled(&self) {
        let now = clock::mono();
        let mut table = self.inner.table.borrow_mut();
        table.prefilled(&self.attempt, now);
        table.pump(now);
    }
}

/// Why a run ended.
pub(crate) enum End {
    Result(Result<Usage, Failure>),
    Deadline,
    GivenUp,
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
    pub(crate) fn granted(&mut self, grant: &Grant<Attempt>) {
        self.priority = grant.priority;
        self.queued = grant.waited;
    }

    /// It was taken out of the table already.
    pub(crate) fn left(&mut self) {
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
            Err(refusal) => return refused(refusal),
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
        let drive = ticket.drive(head, &hop, source, cancelled, &mut pusher);
        let end = drive.instrument(span).await;
        let began = pusher.has_begun();
        let flushed = match &end {
            // The last frames must be there before the outcome says so.
            End::Result(Ok(_)) => pusher.flush().await.is_ok(),
            _ => {
                drop(pusher);
                true
            }
        };
        let inner = Rc::clone(&ticket.inner);
        let mut outcome = inner.judge(end, began, flushed).await;
        outcome.queued = queued;
        if let Ok(mut ticket) = Rc::try_unwrap(ticket) {
            ticket.close(&outcome);
        }
        if let Some(charge) = charge
            && !outcome.died
        {
            inner.clear(&charge, outcome.code.is_none()).await;
        }
        outcome
    }

    async fn drive(
        &self,
        head: &Head,
        traceparent: &str,
        source: source::Client,
        cancelled: oneshot::Receiver<()>,
        pusher: &mut Pusher<Ticket<P>>,
    ) -> End {
        let id = self.attempt.to_string();
        let job = Job {
            head,
            traceparent,
            id: &id,
            priority: self.priority,
        };
        let (feeder, body) = feed();
        let protocol = &self.inner.protocol;
        let work = async {
            let run = async {
                let usage = protocol.run(job, body, pusher).await?;
                let end = Part::End(usage.clone());
                pusher.put(0, end).await.map_err(|_| Failure::Gone)?;
                Ok(usage)
            };
            // The body may be left unread: the answer alone ends the run.
            let feeding = async {
                pull(head, &source, feeder).await;
                std::future::pending::<()>().await;
            };
            tokio::select! {
                result = run => result,
                () = feeding => Err(Failure::Broken),
            }
        };
        let left = self.deadline.since(clock::mono());
        tokio::select! {
            result = timeout(left, work) => result.map_or(End::Deadline, End::Result),
            Ok(()) = cancelled => End::GivenUp,
        }
    }

    /// Leaves the table in the way the outcome says.
    fn close(&mut self, outcome: &Outcome) {
        self.charge = None;
        if let Some(ending) = &mut self.ending {
            ending.ran = outcome.ran;
        }
        // A whole answer has left nothing on the engine to cancel.
        self.started = outcome.code.is_some();
    }
}
