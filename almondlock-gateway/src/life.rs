//! One request: attempts, one after another, until one is answered or nothing
//! more may be tried.

use std::{rc::Rc, sync::Arc, time::Duration};

use almondlock_base::{
    Code, Ran,
    id::{Service, Upstream},
    time::Mono,
};
use almondlock_node::clock;
use almondlock_policy::backoff::Reason;
use bytes::Bytes;
use ntex::http::{
    Method,
    header::{HeaderName, HeaderValue},
};
use rand::Rng;
use tokio::time::timeout;

use crate::{
    attempt::{Broken, Run, WHOLE_LIMIT, attempt, keep, patient},
    dialect::Dialect,
    event::Cutter,
    pick::Demand,
    reply::Stream,
    rules::{Organisation, Route},
    shared::SPREAD,
    upstream::{self, Connection, Head},
    verdict::{self, Failure},
    worker::Worker,
};

/// Attempts in all, also of those that provably did not run.
const TRIES: usize = 4;
/// Callers leave a stream that pauses this long in any case.
const CALLERS_PATIENCE: Duration = Duration::from_secs(2);
/// Of a caller's patience, the part after which a silent upstream is given up,
/// so that another one can still answer in time.
const GIVE_UP_SHARE: f64 = 0.6;
/// The last rank at an engine.
pub(crate) const LAST: u32 = 9;
/// When to come back after a refusal at the least: a few passes of an engine.
const RETRY_LEAST: Duration = Duration::from_millis(150);

/// The part of its time after which a caller comes back at the latest. What is left
/// has to do for the answer.
const RETRY_SHARE: f64 = 1.0 / 3.0;

/// A request as it is handed on.
pub(crate) struct Request {
    pub(crate) id: Arc<str>,
    pub(crate) method: Method,
    /// Path and query, as they came.
    pub(crate) target: String,
    pub(crate) host: String,
    /// The headers that are handed on unchanged.
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    pub(crate) body: ntex::util::Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Service,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) arrived: Mono,
    /// When its time is over: the caller's, or the route's.
    pub(crate) until: Mono,
    pub(crate) demand: Option<Demand>,
    /// The last event that the caller has.
    pub(crate) after: Option<u64>,
}

impl Request {
    pub(crate) fn left(&self, now: Mono) -> Duration {
        self.until.since(now)
    }

    /// How long an upstream may be silent before another one is tried. Callers
    /// leave after a gap of a few objectives or pauses.
    pub(crate) fn patience(&self) -> Duration {
        let pause = match self.route.kind {
            crate::rules::Kind::Stream { pause, .. } => pause,
            _ => Duration::ZERO,
        };
        let gap = CALLERS_PATIENCE
            .max(self.route.objective * 4)
            .max(pause * 8);
        gap.mul_f64(GIVE_UP_SHARE)
    }

    /// Its rank at an engine, 0 to 9: each doubling of the objective is one
    /// place further back.
    pub(crate) fn priority(&self) -> u32 {
        let own = self.organisation.as_ref().and_then(|o| o.priority);
        self.rank(own.unwrap_or(self.route.priority))
    }

    /// The rank of its kind: its own without regard to its organisation.
    pub(crate) fn kind_rank(&self) -> u32 {
        self.rank(self.route.priority)
    }

    fn rank(&self, priority: u32) -> u32 {
        let hundreds = u32::try_from(self.route.objective.as_millis() / 100).unwrap_or(u32::MAX);
        let rank = hundreds.checked_ilog2().unwrap_or(0);
        (rank + priority.saturating_sub(1)).min(LAST)
    }
}

/// A whole answer.
pub(crate) struct Whole {
    pub(crate) head: Head,
    pub(crate) body: Bytes,
}

/// How a request came out.
pub(crate) enum Answer<D>
where
    D: Dialect,
{
    Whole(Whole),
    Stream(Box<Stream<D>>),
}

/// A request that ends without an upstream's answer.
#[derive(Debug)]
pub(crate) struct End {
    pub(crate) code: Code,
    pub(crate) retry_after: Option<Duration>,
}

/// What is known of a request's attempts so far.
#[derive(Default)]
pub(crate) struct Course {
    pub(crate) tried: Vec<Upstream>,
    /// Those of them that state that they did not run it.
    pub(crate) refused: Vec<Upstream>,
    // The last whole answer that told of a failure.
    answer: Option<Whole>,
    // Invariant: `Ran::No` as long as every attempt provably did not run.
    ran: Option<Ran>,
    pub(crate) runs: u32,
}

impl Course {
    pub(crate) fn ran(&self) -> Ran {
        self.ran.unwrap_or(Ran::No)
    }

    fn note(&mut self, broken: &mut Broken) {
        self.ran = Some(verdict::merge(self.ran(), broken.failure));
        self.runs += u32::from(broken.failure.ran() != Ran::No);
        self.tried.extend(broken.upstream.clone());
        if matches!(broken.failure, Failure::Rejected | Failure::Misdirected) {
            self.refused.extend(broken.upstream.clone());
        }
        if let Some(answer) = broken.answer.take() {
            self.answer = Some(answer);
        }
    }
}

/// Runs a request until its answer begins.
pub(crate) async fn run<D>(worker: Rc<Worker<D>>, request: Rc<Request>) -> Result<Answer<D>, End>
where
    D: Dialect,
{
    let mut course = Course::default();
    worker.request(request.arrived, &request.service);
    if let Some(end) = worker.refuse_suspect(&request, clock::mono()) {
        return Err(end);
    }
    loop {
        let begun = clock::mono();
        let mut broken = match attempt(&worker, &request, &course, request.after).await {
            Ok(run) if request.route.kind.is_stream() => {
                match begin(&worker, &request, run).await {
                    Ok(mut stream) => {
                        course.runs += 1;
                        stream.course = course;
                        return Ok(Answer::Stream(Box::new(stream)));
                    }
                    Err(broken) => broken,
                }
            }
            Ok(run) => match whole(&worker, &request, run).await {
                Ok(whole) => {
                    worker.clear_suspect(&request);
                    return Ok(Answer::Whole(whole));
                }
                Err(broken) => broken,
            },
            Err(broken) => broken,
        };
        worker.report_loss(&request, &broken, begun);
        worker.observe_failure(&request, &broken, begun);
        course.note(&mut broken);
        let now = clock::mono();
        note(&worker, &request, &broken, course.tried.len());
        if broken.upstream.is_none() || !again(&worker, &request, &course, &broken, now) {
            return finish(&worker, &request, course, &broken, now);
        }
    }
}

/// Logs a failed attempt, and passes its upstream over from now on if it is to
/// blame.
pub(crate) fn note<D>(worker: &Worker<D>, request: &Request, broken: &Broken, attempt: usize)
where
    D: Dialect,
{
    if let Some(upstream) = &broken.upstream
        && broken.failure.blames_upstream()
    {
        worker.suspect(clock::mono(), upstream);
    }
    let upstream = broken.upstream.as_ref().map_or("none", Upstream::as_str);
    let failure = broken.failure.as_str();
    worker.shared.metrics.count("attempts_failed", failure);
    tracing::info!(
        request = %request.id, %upstream, attempt, failure, reason = %broken.reason,
        spent_ms = clock::mono().since(request.arrived).as_millis(),
        left_ms = request.left(clock::mono()).as_millis(),
        "attempt failed"
    );
}

/// Whether one more attempt is safe, of use and affordable.
fn again<D>(
    worker: &Worker<D>,
    request: &Request,
    course: &Course,
    broken: &Broken,
    now: Mono,
) -> bool
where
    D: Dialect,
{
    let answered = broken.failure == Failure::Answered;
    let refused = answered && course.answer.as_ref().is_some_and(|a| a.head.status < 500);
    let kind = request.route.kind;
    !refused
        && course.tried.len() < TRIES
        && !request.left(now).is_zero()
        && verdict::may_repeat(kind, course.ran(), course.runs, request.route.attempts)
        && (is_paid(broken.failure) || worker.afford(now, &request.service))
}

/// Whether another attempt costs nothing more: nothing has reached an upstream,
/// or it was paid for when a silent one was given up.
const fn is_paid(failure: Failure) -> bool {
    matches!(
        failure,
        Failure::Unsent | Failure::Limited | Failure::Silent
    )
}

fn finish<D>(
    worker: &Worker<D>,
    request: &Request,
    course: Course,
    broken: &Broken,
    now: Mono,
) -> Result<Answer<D>, End>
where
    D: Dialect,
{
    let ran = course.ran();
    if let Some(whole) = course.answer {
        return Ok(Answer::Whole(whole));
    }
    let mut code = verdict::code(ran, broken.failure);
    if ran == Ran::No && request.left(now).is_zero() {
        code = Code::DeadlineUnreachable;
    }
    let retry_after = (ran == Ran::No).then(|| worker.retry_after(request, broken.returns, now));
    Err(End { code, retry_after })
}

impl<D> Worker<D>
where
    D: Dialect,
{
    /// When a refused caller finds a place: when what keeps it out is read, if that
    /// is known as `returns`, else when the first upstream takes requests and has read
    /// what it has now. Spread, so that those refused together don't return together.
    pub(crate) fn retry_after(
        &self,
        request: &Request,
        returns: Option<Duration>,
        now: Mono,
    ) -> Duration {
        let wait = returns.unwrap_or_else(|| self.shortest_wait(request, now));
        let spread = 1.0 + self.rng.borrow_mut().random::<f64>() * SPREAD;
        let wait = wait.max(RETRY_LEAST).mul_f64(spread);
        wait.min(request.left(now).mul_f64(RETRY_SHARE))
    }

    fn shortest_wait(&self, request: &Request, now: Mono) -> Duration {
        let known = self.known();
        let targets = known.instances.get(&request.service);
        let waits = targets.into_iter().flatten().filter_map(|target| {
            let pause = match self.backoff(now, &target.name) {
                Some(Reason::Leaving) => return None,
                Some(Reason::Backoff(left)) => left,
                None => Duration::ZERO,
            };
            let total = self.load.borrow().total(now, &target.name);
            Some(total.backlog().max(pause))
        });
        waits.min().unwrap_or_default()
    }
}

/// Reads the whole body of an answer that is no stream.
async fn whole<D>(worker: &Worker<D>, request: &Request, mut run: Run<D>) -> Result<Whole, Broken>
where
    D: Dialect,
{
    let left = request.left(clock::mono());
    let body = match timeout(left, run.connection.whole(WHOLE_LIMIT)).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return Err(Broken::of(&error, &run.upstream)),
        Err(_) => {
            return Err(Broken::new(
                Failure::Silent,
                Some(&run.upstream),
                "its body stopped",
            ));
        }
    };
    worker.clear(&run.upstream);
    worker.observe_answer(request, &run.upstream, &run.sent);
    keep(worker, &run.upstream, run.connection, &run.head);
    Ok(Whole {
        head: run.head,
        body,
    })
}

/// Waits for the first whole event of a stream: until then a failure can still
/// be answered with a status, or be made good elsewhere.
async fn begin<D>(
    worker: &Rc<Worker<D>>,
    request: &Rc<Request>,
    mut run: Run<D>,
) -> Result<Stream<D>, Broken>
where
    D: Dialect,
{
    let mut cutter = Cutter::new();
    let left = request.left(clock::mono());
    let first = first_event(&mut run.connection, &mut cutter);
    let first = match timeout(left, patient(worker, request, &run.held, first)).await {
        Ok(Some(Ok(first))) => first,
        Ok(Some(Err(error))) => return Err(Broken::of(&error, &run.upstream)),
        Ok(None) | Err(_) => {
            return Err(Broken::new(
                Failure::Silent,
                Some(&run.upstream),
                "no first event in time",
            ));
        }
    };
    worker.clear(&run.upstream);
    worker.observe_answer(request, &run.upstream, &run.sent);
    run.held.read();
    Ok(Stream::new(worker, request, run, cutter, first))
}

/// The first whole event of an answer.
pub(crate) async fn first_event(
    connection: &mut Connection,
    cutter: &mut Cutter,
) -> Result<Bytes, upstream::Error> {
    while let Some(bytes) = connection.chunk().await? {
        if let Some(events) = cutter.push(&bytes) {
            return Ok(events);
        }
    }
    Err(upstream::Error::Answer(
        "the stream ended before its first event",
    ))
}
