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
    attempt::{Fault, MAX_BODY_BYTES, Run, attempt, return_to_pool, wait_or_give_up},
    dialect::Dialect,
    event::Splitter,
    failure::{self, Failure},
    pick::Demand,
    rules::{Organisation, Route},
    shared::RETRY_SPREAD_FRACTION,
    stream::Stream,
    upstream::{self, Connection, Head},
    worker::Worker,
};

/// Attempts in all, also of those that provably did not run.
const MAX_ATTEMPTS: usize = 4;
/// Callers leave a stream that pauses this long in any case.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);
/// Of a caller's patience, the part after which a silent upstream is given up,
/// so that another one can still answer in time.
const GIVE_UP_FRACTION: f64 = 0.6;
/// The last rank at an engine.
pub(crate) const LAST_RANK: u32 = 9;
/// When to come back after a refusal at the least: a few passes of an engine.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// The part of its time after which a caller comes back at the latest. What is left
/// has to do for the answer.
const MAX_RETRY_FRACTION: f64 = 1.0 / 3.0;

/// A request as it is handed on.
pub(crate) struct Request {
    pub(crate) id: Arc<str>,
    pub(crate) method: Method,
    /// Path and query, as they came.
    pub(crate) path_and_query: String,
    pub(crate) host: String,
    /// The headers that are handed on unchanged.
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    pub(crate) body: ntex::util::Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Service,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) arrived: Mono,
    /// When its time is over: the caller's, or the route's.
    pub(crate) deadline: Mono,
    pub(crate) demand: Option<Demand>,
    /// The last event that the caller has.
    pub(crate) last_event: Option<u64>,
}

impl Request {
    pub(crate) fn time_left(&self, now: Mono) -> Duration {
        self.deadline.since(now)
    }

    /// How long an upstream may be silent before another one is tried. Callers
    /// leave after a gap of a few objectives or pauses.
    pub(crate) fn silence_timeout(&self) -> Duration {
        let pause = match self.route.kind {
            crate::rules::Kind::Stream { pause, .. } => pause,
            _ => Duration::ZERO,
        };
        let gap = CALLER_PATIENCE.max(self.route.objective * 4).max(pause * 8);
        gap.mul_f64(GIVE_UP_FRACTION)
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
        (rank + priority.saturating_sub(1)).min(LAST_RANK)
    }
}

/// A whole answer.
pub(crate) struct Response {
    pub(crate) head: Head,
    pub(crate) body: Bytes,
}

/// How a request came out.
pub(crate) enum Answer<D>
where
    D: Dialect,
{
    Complete(Response),
    Stream(Box<Stream<D>>),
}

/// A request that ends without an upstream's answer.
#[derive(Debug)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    pub(crate) retry_after: Option<Duration>,
}

/// What is known of a request's attempts so far.
#[derive(Default)]
pub(crate) struct History {
    pub(crate) tried: Vec<Upstream>,
    /// Those of them that state that they did not run it.
    pub(crate) refused: Vec<Upstream>,
    // The last whole answer that told of a failure.
    answer: Option<Response>,
    // Invariant: `Ran::No` as long as every attempt provably did not run.
    ran: Option<Ran>,
    pub(crate) runs: u32,
}

impl History {
    pub(crate) fn ran(&self) -> Ran {
        self.ran.unwrap_or(Ran::No)
    }

    fn record(&mut self, fault: &mut Fault) {
        self.ran = Some(failure::merge_ran(self.ran(), fault.failure));
        self.runs += u32::from(fault.failure.ran() != Ran::No);
        self.tried.extend(fault.upstream.clone());
        if matches!(fault.failure, Failure::Rejected | Failure::Misdirected) {
            self.refused.extend(fault.upstream.clone());
        }
        if let Some(answer) = fault.answer.take() {
            self.answer = Some(answer);
        }
    }
}

/// Runs a request until its answer begins.
pub(crate) async fn run<D>(
    worker: Rc<Worker<D>>,
    request: Rc<Request>,
) -> Result<Answer<D>, Refusal>
where
    D: Dialect,
{
    let mut history = History::default();
    worker.count_request(request.arrived, &request.service);
    if let Some(end) = worker.refuse_suspect(&request, clock::mono()) {
        return Err(end);
    }
    loop {
        let begun = clock::mono();
        let mut fault = match attempt(&worker, &request, &history, request.last_event).await {
            Ok(run) if request.route.kind.is_stream() => {
                match begin_stream(&worker, &request, run).await {
                    Ok(mut stream) => {
                        history.runs += 1;
                        stream.history = history;
                        return Ok(Answer::Stream(Box::new(stream)));
                    }
                    Err(fault) => fault,
                }
            }
            Ok(run) => match read_response(&worker, &request, run).await {
                Ok(whole) => {
                    worker.clear_suspect(&request);
                    return Ok(Answer::Complete(whole));
                }
                Err(fault) => fault,
            },
            Err(fault) => fault,
        };
        worker.report_loss(&request, &fault, begun);
        worker.observe_failure(&request, &fault, begun);
        history.record(&mut fault);
        let now = clock::mono();
        record_failure(&worker, &request, &fault, history.tried.len());
        if fault.upstream.is_none() || !may_try_again(&worker, &request, &history, &fault, now) {
            return finish(&worker, &request, history, &fault, now);
        }
    }
}

/// Logs a failed attempt, and passes its upstream over from now on if it is to
/// blame.
pub(crate) fn record_failure<D>(
    worker: &Worker<D>,
    request: &Request,
    fault: &Fault,
    attempt: usize,
) where
    D: Dialect,
{
    if let Some(upstream) = &fault.upstream
        && fault.failure.blames_upstream()
    {
        worker.mark_suspect(clock::mono(), upstream);
    }
    let upstream = fault.upstream.as_ref().map_or("none", Upstream::as_str);
    let failure = fault.failure.as_str();
    worker.shared.metrics.count("attempts_failed", failure);
    tracing::info!(
        request = %request.id, %upstream, attempt, failure, reason = %fault.reason,
        spent_ms = clock::mono().since(request.arrived).as_millis(),
        left_ms = request.time_left(clock::mono()).as_millis(),
        "attempt failed"
    );
}

/// Whether one more attempt is safe, of use and affordable.
fn may_try_again<D>(
    worker: &Worker<D>,
    request: &Request,
    history: &History,
    fault: &Fault,
    now: Mono,
) -> bool
where
    D: Dialect,
{
    let answered = fault.failure == Failure::Answered;
    let refused = answered && history.answer.as_ref().is_some_and(|a| a.head.status < 500);
    let kind = request.route.kind;
    !refused
        && history.tried.len() < MAX_ATTEMPTS
        && !request.time_left(now).is_zero()
        && failure::may_retry(kind, history.ran(), history.runs, request.route.attempts)
        && (is_paid(fault.failure) || worker.try_take_retry(now, &request.service))
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
    history: History,
    fault: &Fault,
    now: Mono,
) -> Result<Answer<D>, Refusal>
where
    D: Dialect,
{
    let ran = history.ran();
    if let Some(whole) = history.answer {
        return Ok(Answer::Complete(whole));
    }
    let mut code = failure::result_code(ran, fault.failure);
    if ran == Ran::No && request.time_left(now).is_zero() {
        code = Code::DeadlineUnreachable;
    }
    let retry_after = (ran == Ran::No).then(|| worker.retry_after(request, fault.retry_after, now));
    Err(Refusal { code, retry_after })
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
        let spread = 1.0 + self.rng.borrow_mut().random::<f64>() * RETRY_SPREAD_FRACTION;
        let wait = wait.max(MIN_RETRY_AFTER).mul_f64(spread);
        wait.min(request.time_left(now).mul_f64(MAX_RETRY_FRACTION))
    }

    fn shortest_wait(&self, request: &Request, now: Mono) -> Duration {
        let known = self.snapshot();
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
async fn read_response<D>(
    worker: &Worker<D>,
    request: &Request,
    mut run: Run<D>,
) -> Result<Response, Fault>
where
    D: Dialect,
{
    let left = request.time_left(clock::mono());
    let body = match timeout(left, run.connection.read_body(MAX_BODY_BYTES)).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return Err(Fault::from_error(&error, &run.upstream)),
        Err(_) => {
            return Err(Fault::new(
                Failure::Silent,
                Some(&run.upstream),
                "its body stopped",
            ));
        }
    };
    worker.mark_answering(&run.upstream);
    worker.observe_answer(request, &run.upstream, &run.sent);
    return_to_pool(worker, &run.upstream, run.connection, &run.head);
    Ok(Response {
        head: run.head,
        body,
    })
}

/// Waits for the first whole event of a stream: until then a failure can still
/// be answered with a status, or be made good elsewhere.
async fn begin_stream<D>(
    worker: &Rc<Worker<D>>,
    request: &Rc<Request>,
    mut run: Run<D>,
) -> Result<Stream<D>, Fault>
where
    D: Dialect,
{
    let mut splitter = Splitter::new();
    let left = request.time_left(clock::mono());
    let first = read_first_event(&mut run.connection, &mut splitter);
    let first = match timeout(
        left,
        wait_or_give_up(worker, request, &run.resources, first),
    )
    .await
    {
        Ok(Some(Ok(first))) => first,
        Ok(Some(Err(error))) => return Err(Fault::from_error(&error, &run.upstream)),
        Ok(None) | Err(_) => {
            return Err(Fault::new(
                Failure::Silent,
                Some(&run.upstream),
                "no first event in time",
            ));
        }
    };
    worker.mark_answering(&run.upstream);
    worker.observe_answer(request, &run.upstream, &run.sent);
    run.resources.mark_prompt_read();
    Ok(Stream::new(worker, request, run, splitter, first))
}

/// The first whole event of an answer.
pub(crate) async fn read_first_event(
    connection: &mut Connection,
    splitter: &mut Splitter,
) -> Result<Bytes, upstream::Error> {
    while let Some(bytes) = connection.next_chunk().await? {
        if let Some(events) = splitter.push(&bytes) {
            return Ok(events);
        }
    }
    Err(upstream::Error::Invalid(
        "the stream ended before its first event",
    ))
}
