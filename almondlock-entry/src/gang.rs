//! Prompts larger than one engine.
//!
//! Memory for the parts is reserved member by member in the order of their
//! names, as [`almondlock_policy::gang`] says; nothing is processed before all
//! of it is held. Then the members process their parts side by side, and the
//! last one, which runs the request itself, is given the others' segments. The
//! last member's own part is not reserved but waits in its queue like any
//! other request: it is the last in the order, so nobody that holds it waits
//! for another.

use std::time::Duration;

use almondlock_base::{Code, Ran, id::Upstream, unit::Tokens};
use almondlock_node::{clock, links::Session};
use almondlock_policy::gang::{self, Gang, Member, Step};
use almondlock_task::guard;
use almondlock_wire::{
    almondlock_capnp::sidecar,
    attempt::{self, Outcome, Part, Segment, Target},
    peer::Peer,
};
use capnp::capability::{Promise, Response};
use futures::future::join_all;
use tokio::time::timeout;

use crate::{
    attempt::{Source, sidecar_of},
    debt::Debt,
    failure::Failure,
    life::Worker,
    request::Request,
    send::GRACE,
    shared::Pool,
};

/// When to come back for memory that can't be had now.
const MEMORY_RETRY: Duration = Duration::from_secs(5);
/// Percent of an engine's memory that is left to others.
const RESERVE: u64 = 20;

/// A member that holds, or is asked for, a part.
struct Holder {
    upstream: Upstream,
    part: Part,
    client: sidecar::Client,
    session: Session,
    // The lease is renewed while this lives.
    _debt: Debt,
}

/// Parts held on engines for one prompt. Dropping it gives them back.
pub struct Held {
    holders: Vec<Holder>,
    /// Where the rest of the prompt runs.
    pub last: Upstream,
    /// How much of the prompt runs there.
    pub rest: Tokens,
    /// What the others hold.
    pub segments: Vec<Segment>,
    worker_peer: Peer,
}

impl Drop for Held {
    fn drop(&mut self) {
        for holder in &self.holders {
            let mut request = holder.client.release_request();
            let mut params = request.get();
            attempt::write_id(&holder.part.attempt, params.reborrow().init_attempt());
            self.worker_peer.write(params.init_from());
            let sent = request.send().promise;
            let session = holder.session.clone();
            // If it is lost, the lease ends what it would have ended.
            tokio::task::spawn_local(guard("memory-release", async move {
                tokio::select! {
                    _ = sent => {}
                    () = session.lost() => {}
                }
            }));
        }
    }
}

/// Whether no engine of a pool can hold a request by itself.
pub fn is_needed(worker: &Worker, pool: &Pool, request: &Request) -> bool {
    let largest = worker.shared.directory().largest(pool);
    let is_model = matches!(request.target, Target::Model(..));
    is_model && largest > Tokens::ZERO && request.prompt + request.output > room_of(largest)
}

/// What an engine can give to a long prompt, the short ones' part left out.
fn room_of(capacity: Tokens) -> Tokens {
    Tokens(capacity.0 / 100 * (100 - RESERVE))
}

fn members(worker: &Worker, pool: &Pool) -> Vec<Member> {
    let view = worker.shared.handle.view().get();
    let names = worker.shared.with_pool(pool, |table| table.names());
    let names: Vec<Upstream> = names.unwrap_or_default();
    let now = clock::mono();
    let members = names.into_iter().filter_map(|upstream| {
        let capacity = view.upstreams.get(&upstream)?.capacity;
        let known = worker.shared.with_pool(pool, |table| {
            let free = table.free_memory(&upstream).unwrap_or(capacity);
            let avoided = table.is_avoided(&upstream, now);
            table.may_take_work(&upstream).then_some((free, avoided))
        });
        let (free, avoided) = known.flatten()?;
        if view.is_drained(&upstream) {
            return None;
        }
        Some(Member {
            upstream,
            max_tokens: room_of(capacity),
            free_tokens: free,
            failed_recently: avoided,
        })
    });
    members.collect()
}

impl Worker {
    /// Reserves and processes all parts of a prompt but the last.
    pub async fn gather(&self, pool: &Pool, request: &Request) -> Result<Held, Failure> {
        let need = request.prompt + request.output;
        let parts = gang::plan_reservations(&members(self, pool), need);
        let parts = parts.ok_or_else(|| self.too_long(pool, need))?;
        let now = clock::mono();
        let mut gang = Gang::new(parts, now + request.left(now));
        let mut held = self.empty(&gang, request);
        let rest = gang.reservations().len().saturating_sub(1);
        loop {
            match gang.step(clock::mono()) {
                Step::Reserve(index) if index == rest => gang.note_grant(index),
                Step::Reserve(index) => {
                    let share = gang.reservations()[index].clone();
                    let text = text_of(request, index, gang.reservations().len());
                    if let Err(failure) = self.reserve(request, &share, text, &mut held).await {
                        self.passed_over(pool, &share.upstream);
                        return Err(failure);
                    }
                    gang.note_grant(index);
                }
                Step::Run => break,
                Step::Wait | Step::Release(_) | Step::Done => {
                    let failure = Failure::new(Code::MemoryUnavailable);
                    return Err(failure.retry_after(MEMORY_RETRY));
                }
            }
        }
        self.note(request, format!("memory on {} engines", rest + 1));
        self.process(pool, request, &mut held).await?;
        Ok(held)
    }

    /// Why the engines that take work can't hold it together: because some are
    /// leaving, for now, or because even all of them never could.
    fn too_long(&self, pool: &Pool, need: Tokens) -> Failure {
        let directory = self.shared.directory();
        let most = room_of(directory.total(pool));
        if need > most {
            Failure::new(Code::PromptTooLong)
        } else {
            Failure::new(Code::MemoryUnavailable).retry_after(MEMORY_RETRY)
        }
    }

    /// A member that could not take part is left out of the next tries, as far
    /// as the others will do.
    fn passed_over(&self, pool: &Pool, upstream: &Upstream) {
        let now = clock::mono();
        self.shared.with_pool(pool, |table| {
            if let Some(index) = table.find(upstream) {
                table.record_failure(index, now);
            }
        });
    }

    fn empty(&self, gang: &Gang, request: &Request) -> Held {
        let shares = gang.reservations();
        let others: Tokens = shares.iter().rev().skip(1).map(|part| part.tokens).sum();
        let last = shares.last().map(|part| part.upstream.clone());
        Held {
            holders: Vec::new(),
            // A gang has two parts at least.
            last: last.unwrap_or_else(|| shares[0].upstream.clone()),
            rest: request.prompt.saturating_sub(others).max(Tokens(1)),
            segments: Vec::new(),
            worker_peer: self.shared.handle.peer(),
        }
    }

    async fn reserve(
        &self,
        request: &Request,
        share: &gang::Reservation,
        text: (u64, u64),
        held: &mut Held,
    ) -> Result<(), Failure> {
        let view = self.shared.handle.view().get();
        let registration = view.upstreams.get(&share.upstream).ok_or_else(lost)?;
        let session = self.links.get(registration.address).await;
        let session = session.map_err(|_| lost())?;
        let debt = self.debts.owe(registration.address, &share.upstream);
        let part = Part {
            attempt: self.shared.attempt(),
            incarnation: registration.incarnation,
            organisation: request.organisation.clone(),
            tokens: share.tokens,
            budget: request.left(clock::mono()),
            lease: self.shared.config.lease,
            text,
            fingerprint: request.fingerprint,
            from: self.shared.handle.peer(),
        };
        let client = sidecar_of(&session, &share.upstream);
        let mut ask = client.reserve_request();
        attempt::write_part(&part, ask.get().init_part());
        // Noted before it is asked for: a lost answer is released too.
        held.holders.push(Holder {
            upstream: share.upstream.clone(),
            part,
            client,
            session: session.clone(),
            _debt: debt,
        });
        let answer = answer_of(ask.send().promise, &session, request).await?;
        let outcome = answer
            .get()
            .and_then(|a| a.get_outcome())
            .map_err(|_| lost())?;
        let outcome = attempt::read_outcome(outcome).map_err(|_| lost())?;
        refusal(outcome)
    }

    /// All members process their parts side by side. Whatever fails, the request
    /// as such has not run, and what was processed goes with the release.
    async fn process(
        &self,
        pool: &Pool,
        request: &Request,
        held: &mut Held,
    ) -> Result<(), Failure> {
        let all = held.holders.iter().map(|holder| async {
            let mut ask = holder.client.process_request();
            let mut params = ask.get();
            let part = Part {
                budget: request.left(clock::mono()),
                ..holder.part.clone()
            };
            attempt::write_part(&part, params.reborrow().init_part());
            let rope = request.body.original();
            params.set_source(capnp_rpc::new_client(Source { rope }));
            let answer = answer_of(ask.send().promise, &holder.session, request).await?;
            let read = || {
                let answer = answer.get()?;
                let outcome = attempt::read_outcome(answer.get_outcome()?)?;
                let segment = attempt::read_segment(answer.get_segment()?)?;
                Ok::<_, capnp::Error>((outcome, segment))
            };
            let (outcome, segment) = read().map_err(|_| lost())?;
            refusal(outcome)?;
            Ok::<Segment, Failure>(segment)
        });
        let results = join_all(all).await;
        let mut failed = None;
        for (holder, result) in held.holders.iter().zip(results) {
            match result {
                Ok(segment) => held.segments.push(segment),
                Err(failure) => {
                    self.passed_over(pool, &holder.upstream);
                    failed = Some(failure);
                }
            }
        }
        failed.map_or(Ok(()), Err)
    }
}

/// A member that can't be reached any more.
fn lost() -> Failure {
    Failure::new(Code::UpstreamLost).ran(Ran::No)
}

/// A member's answer, waited for while its session lives and the request has
/// time left.
async fn answer_of<T>(
    answer: Promise<Response<T>, capnp::Error>,
    session: &Session,
    request: &Request,
) -> Result<Response<T>, Failure>
where
    T: capnp::traits::Pipelined + capnp::traits::Owned + Unpin + 'static,
{
    let allowed = request.left(clock::mono()) + GRACE;
    tokio::select! {
        answer = timeout(allowed, answer) => match answer {
            Ok(answer) => answer.map_err(|_| lost()),
            Err(_) => Err(Failure::new(Code::QueueTimeout).ran(Ran::No)),
        },
        () = session.lost() => Err(lost()),
    }
}

fn refusal(outcome: Outcome) -> Result<(), Failure> {
    match outcome.code {
        None => Ok(()),
        Some(code) => {
            let mut failure = Failure::with_message(code, outcome.message).ran(Ran::No);
            failure.retry_after = outcome.retry_after;
            Err(failure)
        }
    }
}

/// Where the text of a member's part stands in the body. The parts of a text
/// prompt are cut in equal lengths, at places where the JSON string may be cut.
fn text_of(request: &Request, index: usize, count: usize) -> (u64, u64) {
    let Some((start, end)) = request.prompt_span else {
        return (0, 0);
    };
    let body = request.body.original();
    let step = (end - start) / count;
    let from = body.cut(start + step * index, start, end);
    let to = body.cut(start + step * (index + 1), start, end);
    (from as u64, to.saturating_sub(from) as u64)
}
