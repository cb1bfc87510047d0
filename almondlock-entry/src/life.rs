//! A request's life on the entry host: admission, claim, attempts, end.
//!
//! Whether something may be sent again is decided by [`retry`]: a request goes
//! to a second upstream only when the first one provably did not run it, or
//! when it may be repeated and its caller has seen nothing of an answer, or
//! when the rest of a deterministic answer can be asked for at the token where
//! it broke.

use std::{cell::RefCell, sync::Arc, time::Duration};

use almondlock_base::{
    Code, Ran,
    id::{Fingerprint, Incarnation, Upstream},
    time::Mono,
};
use almondlock_node::{clock, links::Links, replicas::Replicas};
use almondlock_policy::{
    choice::{Ask, Index, Picker, Probing, Report},
    poison::{Start, Treatment},
    retry::{self, Decision},
};
use almondlock_telemetry::{metrics::Length, trace::Context};
use almondlock_wire::answer::Usage;
use almondlock_wire::attempt::{Head, INLINE_BODY, Load, Outcome, Target};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};
use tracing::Instrument;

use crate::{
    attempt::{self, Piece},
    debt::Debts,
    failure::Failure,
    gang::{self, Held},
    request::Request,
    shared::{Pool, Shared},
};

/// Upstreams that may give a request back before it counts as attempts.
const PLACES_LIMIT: u32 = 16;
/// When to come back when no upstream can be had.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(2);
/// How long the configuration that explains a death is waited for.
const NEWS_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a copy that waits looks whether the one before it has ended.
const COPY_PAUSE: Duration = Duration::from_millis(2);
/// What the sidecar gets beyond the deadline to say how a run ended.
const GRACE: Duration = Duration::from_millis(500);

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
    rng: RefCell<SmallRng>,
}

/// Where an attempt goes.
struct Place {
    pool: Pool,
    index: Index,
    upstream: Upstream,
    address: std::net::SocketAddr,
    incarnation: Incarnation,
    resumable: bool,
}

/// What the attempts so far have come to.
struct Course {
    excluded: Vec<Index>,
    // Upstreams tried, also such that gave the request back at once.
    places: u32,
    // Attempts that something was spent on.
    attempts: u32,
    offset: u64,
    begun: bool,
    // Where the first tokens came from, once there are any.
    pool: Option<Pool>,
    // The most that is known of any attempt that may have run.
    ran: Ran,
    suspect: bool,
    // Whether the last attempt finished well, or its engine died.
    harmless: Option<bool>,
    // Whether the time to the first token has been told.
    measured: bool,
}

/// How it goes on after an attempt.
enum Next {
    Done,
    /// Another attempt, after a pause. `restart`: from the first token, and
    /// what was gathered is thrown away.
    Again {
        after: Duration,
        restart: bool,
    },
    Fail(Failure),
}

/// A copy of a request under watch, until it has ended.
struct Copy<'a> {
    shared: &'a Shared,
    print: Fingerprint,
    harmless: Option<bool>,
}

impl Copy<'_> {
    fn end(mut self, course: &Course) {
        self.harmless = course.harmless;
    }
}

impl Drop for Copy<'_> {
    fn drop(&mut self) {
        let (print, harmless) = (self.print, self.harmless);
        let now = clock::mono();
        self.shared
            .with_watch(|watch| watch.end(print, harmless, now));
    }
}

impl Worker {
    /// A worker with its own sessions and generator.
    pub fn new(shared: Arc<Shared>, links: Links, replicas: Replicas, seed: u64) -> Worker {
        Worker {
            shared,
            links,
            replicas,
            debts: Debts::default(),
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
        let mut course = Course {
            excluded: Vec::new(),
            places: 0,
            attempts: 0,
            offset: 0,
            begun: false,
            pool: None,
            ran: Ran::No,
            suspect: false,
            harmless: None,
            measured: false,
        };
        loop {
            let copy = self.check(request, &mut course).await?;
            course.places += 1;
            let next = match self.gang_pool(request) {
                None => {
                    let place = self.choose(request, &course)?;
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

    /// What forbids a further attempt, looked at anew before each. A copy of a
    /// request that has never finished waits here until the copy before it has
    /// ended: if it kills engines, one is lost and not one for each copy.
    async fn check(&self, request: &Request, course: &mut Course) -> Result<Copy<'_>, Failure> {
        let print = request.fingerprint;
        loop {
            let now = clock::mono();
            if request.left(now).is_zero() {
                return Err(deadline(course.ran));
            }
            let view = self.shared.handle.view().get();
            let record = view.quarantine(print);
            let start = self
                .shared
                .with_watch(|watch| watch.begin(print, record, clock::wall(), now));
            match start {
                Start::Wait => sleep(COPY_PAUSE).await,
                Start::Run(Treatment::Refuse { retry_after }) => {
                    let failure = Failure::new(Code::Quarantined).ran(course.ran);
                    return Err(failure.retry_after(retry_after));
                }
                Start::Run(treatment) => {
                    course.suspect = treatment.is_charged();
                    let shared = &self.shared;
                    let harmless = None;
                    return Ok(Copy {
                        shared,
                        print,
                        harmless,
                    });
                }
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
            table.sent(index, held.rest);
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

    fn choose(&self, request: &Request, course: &Course) -> Result<Place, Failure> {
        let _hop = tracing::info_span!(
            "choice",
            request = %request.id,
            traceparent = %self.hop(request),
            parent = %request.context.span(),
        )
        .entered();
        let ask = Ask {
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
                let picked = self.with_rng(|rng| Probing.pick(table, &ask, now, rng));
                picked.and_then(|index| {
                    let name = table.name(index)?.clone();
                    table.sent(index, request.prompt);
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

    /// Sends an attempt and sees it to an outcome, also when its session or
    /// its sidecar is lost on the way.
    async fn send(
        &self,
        request: &Request,
        place: &Place,
        head: &Head,
        course: &mut Course,
        pieces: &mpsc::Sender<Piece>,
    ) -> (Outcome, bool) {
        let session = match self.links.get(place.address).await {
            Ok(session) => session,
            // Never connected: nothing was handed on.
            Err(_) => return (Outcome::refused(Code::NoUpstream, None), false),
        };
        let handle = &self.shared.handle;
        let run = attempt::run(
            &session,
            handle,
            &place.upstream,
            head,
            &request.body,
            course.begun,
            pieces.clone(),
        );
        let allowed = request.left(clock::mono()) + GRACE;
        let result = timeout(allowed, run).await;
        let (outcome, whole, left) = match result {
            Ok(result) => {
                course.offset = course.offset.max(result.offset);
                course.begun |= result.begun;
                self.learn(request, result.usage.as_ref());
                self.measure_first(request, result.first, course);
                (result.outcome, result.whole, result.left)
            }
            Err(_) => (None, false, false),
        };
        match outcome {
            // The sidecar's word alone doesn't make an answer whole.
            Some(outcome) if outcome.code.is_none() && !whole => {
                let mut broken = Outcome::refused(Code::StreamBroken, None);
                broken.ran = Ran::Yes;
                (broken, left)
            }
            Some(outcome) => (outcome, left),
            None => (self.settle(request, place, head).await, left),
        }
    }

    /// Corrects the estimate of prompt lengths by what the engine counted.
    fn learn(&self, request: &Request, usage: Option<&Usage>) {
        if let (Target::Model(model, _), Some(usage)) = (&request.target, usage) {
            let bytes = request.prompt_bytes;
            self.shared.learn_length(model, bytes, usage.prompt);
        }
    }

    /// Tells the time to the first token, once for each request.
    fn measure_first(&self, request: &Request, first: Option<Mono>, course: &mut Course) {
        if let (Some(first), false) = (first, course.measured) {
            course.measured = true;
            let length = Length::of(request.prompt);
            let took = first.since(request.arrived);
            self.shared.metrics.first_token(length, took);
        }
    }

    /// Nobody knows whether an attempt ran: its sidecar is asked, over a new
    /// session, and leaves a tombstone so that a copy still under way is
    /// dropped. Only its word makes "not run" true.
    async fn settle(&self, request: &Request, place: &Place, head: &Head) -> Outcome {
        self.links.drop(place.address);
        let ran = match self.links.get(place.address).await {
            Ok(session) => {
                attempt::settle(&session, &self.shared.handle, &place.upstream, head).await
            }
            Err(_) => Ran::Unknown,
        };
        let code = if request.left(clock::mono()).is_zero() {
            Code::DeadlinePassed
        } else {
            Code::UpstreamLost
        };
        self.note(
            request,
            format!("session lost; settled as ran: {}", ran.as_str()),
        );
        let mut outcome = Outcome::refused(code, None);
        outcome.ran = ran;
        outcome
    }

    fn head(&self, request: &Request, place: &Place, held: Option<&Held>, course: &Course) -> Head {
        let inline = request.body.len() <= INLINE_BODY as u64;
        let body = if inline {
            request.body.read(0, INLINE_BODY)
        } else {
            Vec::new()
        };
        Head {
            attempt: self.shared.attempt(),
            incarnation: place.incarnation,
            request: request.id.clone(),
            traceparent: self.hop(request).to_string(),
            organisation: request.organisation.clone(),
            target: request.target.clone(),
            method: request.method.clone(),
            path: request.path.clone(),
            content_type: request.content_type.clone(),
            prompt: held.map_or(request.prompt, |held| held.rest),
            output: request.output,
            budget: request.left(clock::mono()),
            lease: self.shared.config.lease,
            share: request.share,
            repeatable: request.repeatable,
            stream: request.stream,
            suspect: course.suspect,
            resume_at: course.offset,
            fingerprint: request.fingerprint,
            prefix: request.prefix.clone(),
            body_length: request.body.len(),
            body,
            segments: held.map(|held| held.segments.clone()).unwrap_or_default(),
            from: self.shared.handle.peer(),
        }
    }

    /// Takes what an attempt taught into the tables.
    fn account(&self, request: &Request, place: &Place, outcome: &Outcome, course: &Course) {
        let now = clock::mono();
        let answered = course.begun;
        self.shared.with_pool(&place.pool, |table| {
            if answered {
                let ask = Ask {
                    prompt: request.prompt,
                    output: request.output,
                    prefix: &request.prefix,
                    excluded: &[],
                };
                table.answered(place.index, &ask);
            }
            table.ended(place.index, request.prompt, answered);
            if outcome.load.capacity.0 > 0 {
                table.report(place.index, report(&outcome.load), now);
            }
            let unusable = matches!(
                outcome.code,
                Some(Code::NoUpstream | Code::UpstreamLost | Code::StaleIncarnation)
            );
            if unusable || outcome.died || outcome.load.leaving {
                table.failed(place.index, now);
            }
        });
    }

    /// Decides how a request goes on after an attempt.
    fn again(
        &self,
        request: &Request,
        resumable: bool,
        course: &mut Course,
        outcome: Outcome,
        left: bool,
    ) -> Next {
        let Some(code) = outcome.code else {
            return Next::Done;
        };
        course.ran = retry::merge(course.ran, outcome.ran);
        // What was given back at once has cost nothing and counts for nothing,
        // but not without end.
        let free = outcome.ran == Ran::No && !retry::is_charged(code);
        if !free || course.places >= PLACES_LIMIT {
            course.attempts += 1;
        }
        if left {
            return Next::Fail(Failure::new(Code::CallerLeft).ran(course.ran));
        }
        let mut failure = Failure::with_message(code, outcome.message).ran(course.ran);
        failure.retry_after = outcome.retry_after;
        if is_final(code) {
            return Next::Fail(failure);
        }
        // Of a model's answer, the caller has seen nothing before the first
        // token; a service's begins with its status. What goes out in one piece
        // has not gone out yet.
        let is_model = matches!(request.target, Target::Model(..));
        let restart = !request.stream && course.offset > 0 && !resumable;
        let streamed = match course.offset {
            _ if restart => 0,
            0 if course.begun && !is_model => 1,
            offset => offset,
        };
        let failed = retry::Failure {
            code,
            ran: course.ran,
            repeatable: request.repeatable,
            streamed,
            resumable,
        };
        let now = clock::mono();
        let decision = self.shared.with_retries(|retries| {
            let made = course.attempts;
            let left = request.left(now);
            let organisation = &request.organisation;
            self.with_rng(|rng| retries.decide(organisation, &failed, made, left, now, rng))
        });
        match decision {
            Decision::Retry { after, .. } => {
                if restart {
                    course.offset = 0;
                    course.begun = false;
                }
                Next::Again { after, restart }
            }
            Decision::GiveUp {
                code,
                ran,
                retry_after,
            } => {
                if code != failure.code {
                    failure.message = format!("{} Last: {}", code.text(), failure.message);
                }
                failure.code = code;
                failure.ran = ran;
                let wait = failure.retry_after.unwrap_or(retry_after);
                failure.retry_after = (!wait.is_zero()).then_some(wait);
                Next::Fail(failure)
            }
        }
    }
}

/// Whether no other upstream would answer differently, or in time.
fn is_final(code: Code) -> bool {
    matches!(
        code,
        Code::PromptTooLong
            | Code::Quarantined
            | Code::DeadlinePassed
            | Code::DeadlineUnreachable
            | Code::QueueTimeout
            | Code::CallerLeft
            | Code::SlowReader
    )
}

/// The form of a load that choices are made by.
pub fn report(load: &Load) -> Report {
    Report {
        in_flight: load.running.saturating_add(load.queued),
        wait: load.wait,
        backlog: load.backlog,
        free: load.free,
        speed: load.speed,
    }
}

fn deadline(ran: Ran) -> Failure {
    let code = match ran {
        Ran::No => Code::QueueTimeout,
        Ran::Yes | Ran::Unknown => Code::DeadlinePassed,
    };
    Failure::new(code).ran(ran)
}
