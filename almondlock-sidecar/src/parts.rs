//! Handles one part of a prompt that is larger than one engine, on one member
//! of the group that shares the prompt. Memory is reserved on all members
//! before any of them starts to process its part.

use std::rc::Rc;

use almondlock_base::{Code, Ran, id::Attempt};
use almondlock_node::clock;
use almondlock_policy::{
    ledger::{Item, Kind},
    length::Class,
};
use almondlock_wire::{
    almondlock_capnp::source,
    attempt::{Outcome, Part, Segment},
};
use tokio::time::timeout;

use crate::{
    body,
    memory::owner_of,
    protocol::{Failure, Piece, Protocol},
    sidecar::{Inner, Sidecar, failed_outcome, refused_outcome},
};

/// A reservation that waits for memory. Dropping it withdraws the reservation.
struct Pending<P>
where
    P: Protocol,
{
    inner: Rc<Inner<P>>,
    attempt: Option<Attempt>,
}

impl<P> Drop for Pending<P>
where
    P: Protocol,
{
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            let now = clock::mono();
            let mut table = self.inner.table.borrow_mut();
            table.release(&attempt, now);
            table.grant_waiting(now);
        }
    }
}

impl<P> Sidecar<P>
where
    P: Protocol,
{
    /// Reserves memory for a part, and waits until there is room.
    pub async fn reserve(&self, part: &Part) -> Outcome {
        let inner = &self.inner;
        inner.handle.heard(&part.from);
        inner.update_leaving(clock::mono());
        if inner.down.get() {
            return Outcome::refused(Code::NoUpstream, None);
        }
        let reserved = {
            let now = clock::mono();
            let mut table = inner.table.borrow_mut();
            let reserved = table.reserve(part, now);
            table.grant_waiting(now);
            reserved
        };
        let verdict = match reserved {
            Ok(verdict) => verdict,
            Err(refusal) => return refused_outcome(refusal),
        };
        let mut pending = Pending {
            inner: Rc::clone(inner),
            attempt: Some(part.attempt.clone()),
        };
        match verdict.await {
            Ok(Ok(())) => {}
            Ok(Err(refusal)) => {
                pending.attempt = None;
                return refused_outcome(refusal);
            }
            Err(_) => return Outcome::refused(Code::HostStopping, None),
        }
        pending.attempt = None;
        let item = Item {
            kind: Kind::Reservation,
            tokens: part.tokens,
        };
        let owner = owner_of(&part.attempt);
        let id = part.attempt.to_string();
        inner
            .memory
            .open(id, item, &owner, part.lease, clock::mono());
        success()
    }

    /// Processes a reserved part and keeps the result on the engine.
    pub async fn process(&self, part: &Part, source: source::Client) -> (Outcome, Option<Segment>) {
        let inner = &self.inner;
        let id = part.attempt.to_string();
        let text = match part.text {
            (_, 0) => None,
            (offset, length) => match body::read_range(&source, offset, length).await {
                Ok(text) => Some(text),
                Err(error) => {
                    let text = error.to_string();
                    return (failed_outcome(Code::CallerLeft, Ran::No, text), None);
                }
            },
        };
        let piece = Piece {
            id: &id,
            tokens: part.tokens,
            text,
            priority: Class::Huge.index() as u8,
        };
        let work = timeout(part.budget, inner.protocol.process_segment(piece)).await;
        match work {
            Ok(Ok(segment)) => (success(), Some(segment)),
            Ok(Err(failure)) => {
                let broken = matches!(failure, Failure::Broken | Failure::Unreachable);
                let died = broken && inner.check_for_death().await.is_some();
                let mut outcome =
                    failed_outcome(Code::UpstreamLost, Ran::Unknown, failure.to_string());
                outcome.died = died;
                (outcome, None)
            }
            Err(_) => {
                let text = Code::DeadlinePassed.text().to_owned();
                (failed_outcome(Code::DeadlinePassed, Ran::Yes, text), None)
            }
        }
    }

    /// Frees a part's memory, on the engine too. Idempotent.
    pub fn release(&self, attempt: &Attempt) {
        let now = clock::mono();
        let inner = &self.inner;
        inner.memory.release(&attempt.to_string(), now);
        let mut table = inner.table.borrow_mut();
        table.release(attempt, now);
        table.grant_waiting(now);
    }
}

/// Returns the outcome of a step that succeeded.
fn success() -> Outcome {
    Outcome {
        code: None,
        ran: Ran::Yes,
        message: String::new(),
        retry_after: None,
        ..Outcome::refused(Code::CallerLeft, None)
    }
}
