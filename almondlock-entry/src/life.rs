//! A request's life on the entry host: admission, claim, attempts, end.
//!
//! `course` decides how it goes on after an attempt, and
//! `send` carries one out.

use std::{cell::RefCell, sync::Arc, time::Duration};

use almondlock_base::{
    Code,
    id::{Incarnation, Upstream},
};
use almondlock_intake::connections::Connections;
use almondlock_node::{clock, links::Links, replicas::Replicas};
use almondlock_policy::{
    choice::{Index, Picker, Query, Report, Sampling},
    retry,
};
use almondlock_telemetry::{metrics::Length, trace::Context};
use almondlock_wire::attempt::{Load, Outcome};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::{sync::mpsc, time::sleep};
use tracing::Instrument;

use crate::{
    attempt::Piece,
    course::{Course, Next},
    debt::Debts,
    failure::Failure,
    gang::{self, Held},
    request::Request,
    reservation,
    shared::{Pool, Shared},
};

/// When to come back when no upstream can be had.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(2);
/// How long the configuration that explains a death, or has another upstream in
/// place of one that leaves, is waited for.
const NEWS_TIMEOUT: Duration = Duration::from_secs(2);
/// How often it is looked at.
const NEWS_PAUSE: Duration = Duration::from_millis(10);

/// One worker thread of an entry host.
pub struct Worker {
    /// The tables of the host.
    pub shared: Arc<Shared>,
    /// This thread's sessions.
    pub links: Links,
    /// The control replicas.
    pub replicas: Replicas,
    /// Where this thread holds engine memory.
    pub debts: Debts,
    /// Connections of callers to this thread.
    pub connections: Connections,
    rng: RefCell<SmallRng>,
}

/// Where an attempt goes.
pub(crate) struct Place {
    pub(crate) pool: Pool,
    pub(crate) index: Index,
    pub(crate) upstream: Upstream,
    pub(crate) address: std::net::SocketAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) resumable: bool,
}

impl Worker {
    /// A worker with its own sessions and generator.
    pub fn new(
        shared: Arc<Shared>,
        links: Links,
        replicas: Replicas,
        connections: Connections,
        seed: u64,
    ) -> Worker {
        Worker {
            shared,
            links,
            replicas,
            debts: Debts::default(),
            connections,
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Draws from the worker's generator.
    pub fn with_rng<T, F>(&self, draw: F) -> T
    where
        F: FnOnce(&mut SmallRng) -> T,
    {
        draw(&mut self.rng.borrow_mut())
    }

    /// Tells what callers make the host hold.
    pub fn tell_intake(&self) {
        let metrics = &self.shared.metrics;
        for (what, level) in self.shared.bodies.usage().levels() {
            metrics.caller_bodies(what, level);
        }
        for (what, level) in self.shared.answers.usage().levels() {
            metrics.answer_bodies(what, level);
        }
        for (what, level) in self.connections.usage().levels() {
            metrics.caller_connections(what, level);
        }
    }

    /// The context of a new hop below the request's own.
    pub fn hop(&self, request: &Request) -> Context {
        self.with_rng(|rng| request.context.child(rng))
    }

    /// Notes something for `explain`.
    pub fn note(&self, request: &Request, what: String) {
        let mut journal = self.shared.journal();
        journal.note(&request.id, what, clock::mono());
    }

    /// Attempts a request until it is answered or given up. Pieces of the
    /// answer go out as they come; after the last one, `Ok`.
    pub async fn run(
        &self,
        request: &Request,
        pieces: &mpsc::Sender<Piece>,
    ) -> Result<(), Failure> {
        let mut course = Course::new();
        loop {
            let copy = self.check(request, &mut course).await?;
            course.places += 1;
            let next = match self.gang_pool(request) {
                None => {
                    let place = self.place(request, &course).await?;
                    self.attempt(request, &place, None, &mut course, pieces)
                        .await
                }
                Some(pool) => {
                    self.attempt_on_many(request, &pool, &mut course, pieces)
                        .await
                }
            };
            copy.end(&course);
            match next {
                Next::Done => {
                    let left = request.left(clock::mono());
                    let length = Length::of(request.prompt);
                    self.shared.metrics.deadline_left(length, left);
                    return Ok(());
                }
                Next::Fail(failure) => {
                    self.note(request, format!("no further attempt: {failure}"));
                    return Err(failure);
                }
                Next::Again { after, restart } => {
                    if restart {
                        let _ = pieces.send(Piece::Restart).await;
                    }
                    self.shared.metrics.retry();
                    sleep(after).await;
                }
            }
        }
    }

    /// An attempt of a prompt larger than an engine.
    async fn attempt_on_many(
        &self,
        request: &Request,
        pool: &Pool,
        course: &mut Course,
        pieces: &mpsc::Sender<Piece>,
    ) -> Next {
        let gathered = match self.gather(pool, request).await {
            Ok(held) => self.last_of(pool, &held).map(|place| (place, held)),
            Err(failure) => Err(failure),
        };
        match gathered {
            Ok((place, held)) => {
                self.attempt(request, &place, Some(&held), course, pieces)
                    .await
            }
            Err(failure) => {
                let mut outcome = Outcome::refused(failure.code, failure.retry_after);
                outcome.message = failure.message;
                self.again(request, false, course, outcome, false)
            }
        }
    }

    /// The pool whose engines can hold a request only together.
    fn gang_pool(&self, request: &Request) -> Option<Pool> {
        let pool = self.shared.pools_for(&request.target).into_iter().next()?;
        gang::is_needed(self, &pool, request).then_some(pool)
    }

    /// The place where the rest of a prompt larger than an engine runs.
    fn last_of(&self, pool: &Pool, held: &Held) -> Result<Place, Failure> {
        let view = self.shared.handle.view().get();
        let found = self.shared.with_pool(pool, |table| {
            let index = table.find(&held.last)?;
            table.record_sent(index, held.rest);
            Some(index)
        });
        let gone = || Failure::new(Code::NoUpstream).retry_after(NO_UPSTREAM_RETRY);
        let index = found.flatten().ok_or_else(gone)?;
        let registration = view.upstreams.get(&held.last);
        let registration = registration.ok_or_else(gone)?;
        Ok(Place {
            pool: pool.clone(),
            index,
            address: registration.address,
            incarnation: registration.incarnation,
            resumable: registration.resumable,
            upstream: held.last.clone(),
        })
    }

    /// A place for the next attempt. An upstream that leaves may have been
    /// replaced by one that this host has not heard of yet: what it gave back
    /// is refused only when the configuration has no other, as it was then.
    async fn place(&self, request: &Request, course: &Course) -> Result<Place, Failure> {
        let handle = &self.shared.handle;
        let mut tried = handle.view().revision();
        let mut chosen = self.choose(request, course);
        let Some(since) = course.given_back else {
            return chosen;
        };
        while chosen.is_err() {
            let now = clock::mono();
            let waited = now.since(since);
            let current = handle.age(now) <= waited;
            if handle.view().revision() > tried {
                tried = handle.view().revision();
                // Brings the tables to that revision.
                self.shared.directory();
                chosen = self.choose(request, course);
            } else if current || waited >= NEWS_TIMEOUT || request.left(now).is_zero() {
                break;
            } else {
                sleep(NEWS_PAUSE).await;
            }
        }
        chosen
    }

    fn choose(&self, request: &Request, course: &Course) -> Result<Place, Failure> {
        let _hop = tracing::info_span!(
            "choice",
            request = %request.id,
            traceparent = %self.hop(request),
            parent = %request.context.span(),
        )
        .entered();
        let ask = Query {
            prompt: request.prompt,
            output: request.output,
            prefix: &request.prefix,
            excluded: &course.excluded,
        };
        let now = clock::mono();
        let view = self.shared.handle.view().get();
        // Another version would go on with other words.
        let pools = match &course.pool {
            Some(pool) => vec![pool.clone()],
            None => self.shared.pools_for(&request.target),
        };
        for pool in pools {
            let picked = self.shared.with_pool(&pool, |table| {
                let picked = self.with_rng(|rng| Sampling.pick(table, &ask, now, rng));
                picked.and_then(|index| {
                    let name = table.name(index)?.clone();
                    table.record_sent(index, request.prompt);
                    Some((index, name))
                })
            });
            if let Some((index, upstream)) = picked.flatten()
                && let Some(registration) = view.upstreams.get(&upstream)
            {
                return Ok(Place {
                    pool,
                    index,
                    address: registration.address,
                    incarnation: registration.incarnation,
                    resumable: registration.resumable,
                    upstream,
                });
            }
        }
        let failure = Failure::new(Code::NoUpstream).retry_after(NO_UPSTREAM_RETRY);
        Err(failure.ran(course.ran))
    }

    async fn attempt(
        &self,
        request: &Request,
        place: &Place,
        held: Option<&Held>,
        course: &mut Course,
        pieces: &mpsc::Sender<Piece>,
    ) -> Next {
        if !reservation::spend(&self.shared, request, course) {
            self.shared.with_pool(&place.pool, |table| {
                table.record_end(place.index, request.prompt, false);
            });
            let code = retry::Policy::exhausted_code(course.ran);
            let failure = Failure::new(code).ran(course.ran);
            return Next::Fail(failure.retry_after(NO_UPSTREAM_RETRY));
        }
        let head = self.head(request, place, held, course);
        let _debt = self.debts.owe(place.address, &place.upstream);
        let span = tracing::info_span!(
            "attempt",
            request = %request.id,
            attempt = %head.attempt,
            upstream = %place.upstream,
            traceparent = %head.traceparent,
            parent = %request.context.span(),
        );
        self.note(
            request,
            format!("attempt {} at {}", head.attempt, place.upstream),
        );
        let started = clock::mono();
        let answered = self.send(request, place, &head, course, pieces);
        let (outcome, left) = answered.instrument(span).await;
        self.account(request, place, &outcome, course);
        course.excluded.push(place.index);
        let leaving = outcome.code == Some(Code::UpstreamLeaving);
        course.given_back = leaving.then(clock::mono);
        course.pool = (course.offset > 0).then(|| place.pool.clone());
        let took = clock::mono().since(started);
        let metrics = &self.shared.metrics;
        metrics.queue_time(Length::of(request.prompt), outcome.queued);
        let said = outcome
            .code
            .map_or("whole".to_owned(), |code| code.to_string());
        self.note(
            request,
            format!("{} after {took:?} (ran: {})", said, outcome.ran.as_str()),
        );
        course.harmless = match &outcome {
            outcome if outcome.died => Some(false),
            outcome => outcome.code.is_none().then_some(true),
        };
        if outcome.died {
            // The suspicion raised by a death must be known before the request
            // is sent again, or it would run as if it were innocent.
            self.shared.handle.catch_up(NEWS_TIMEOUT).await;
        }
        self.again(request, place.resumable, course, outcome, left)
    }
}

/// The form of a load that choices are made by.
pub fn report(load: &Load) -> Report {
    Report {
        in_flight: load.running.saturating_add(load.queued),
        wait: load.wait,
        backlog: load.backlog,
        free_memory: load.free,
        prefill_speed: load.speed,
    }
}
