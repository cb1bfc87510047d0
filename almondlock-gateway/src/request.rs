//! One caller's request: its attempts, one after another, until one is answered or no
//! further attempt is allowed.

use std::{
    cell::{OnceCell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use almondlock_base::{
    Code, Ran,
    id::{Service, Upstream},
    time::Mono,
};
use almondlock_intake::bodies::Hold;
use almondlock_node::clock;
use almondlock_policy::{backoff::Reason, poison::profile::Profile};
use bytes::Bytes;
use ntex::http::{
    Method,
    header::{HeaderName, HeaderValue},
};
use rand::Rng;
use tokio::time::timeout;

use crate::{
    attempt::{Fault, MAX_BODY_BYTES, Run, attempt, return_to_pool, wait_or_give_up},
    budget::Reservation,
    dialect::Dialect,
    event::Splitter,
    failure::{self, Failure},
    pick::Demand,
    rules::{Organisation, Route},
    shared::RETRY_SPREAD_FRACTION,
    stream::Stream,
    upstream::{self, Connection, End, Head},
    worker::Worker,
};

/// Maximum number of attempts, including those that provably did not run.
const MAX_ATTEMPTS: usize = 4;
/// Shortest gap in a stream after which callers leave, whatever the route.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);
/// Fraction of the caller's patience after which a silent upstream is given up. What is
/// left lets another upstream answer in time.
const GIVE_UP_FRACTION: f64 = 0.6;
/// The lowest rank that a request can have at an engine. Rank 0 is served first.
pub(crate) const LAST_RANK: u32 = 9;
/// Shortest `retry-after` of a refusal: a few passes of an engine.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Longest `retry-after`, as a fraction of the request's remaining time. The rest has to
/// suffice for the answer.
const MAX_RETRY_FRACTION: f64 = 1.0 / 3.0;

/// A caller's request, as it is forwarded.
pub(crate) struct Request {
    /// Id that the caller sent, passed on to upstreams.
    pub(crate) sent_id: Arc<str>,
    /// The beginning of that id, for logs.
    pub(crate) id: Arc<str>,
    pub(crate) method: Method,
    /// Path and query, unchanged.
    pub(crate) path_and_query: String,
    /// The `host` header.
    pub(crate) host: String,
    /// Headers that are forwarded unchanged.
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    pub(crate) body: ntex::util::Bytes,
    /// The memory that the body takes. Kept for as long as `body`.
    pub(crate) _hold: Option<Hold>,
    pub(crate) route: Arc<Route>,
    /// Service of the route that this request was assigned to.
    pub(crate) service: Service,
    /// Owner of the caller's key, if the route needs one.
    pub(crate) organisation: Option<Arc<Organisation>>,
    /// Time at which the request reached this host.
    pub(crate) arrived: Mono,
    /// Deadline: the caller's or the route's, whichever is earlier.
    pub(crate) deadline: Mono,
    /// Token counts, if the request is a prompt for an engine.
    pub(crate) demand: Option<Demand>,
    /// Ids of the prompt's parts that other prompts may share, in order.
    ///
    /// Invariant: none twice.
    pub(crate) parts: Vec<Arc<str>>,
    /// What the request can be recognised by, once that was worked out.
    pub(crate) profile: OnceCell<Option<Profile>>,
    /// Number of the last event that the caller already has.
    pub(crate) last_event: Option<u64>,
}

impl Request {
    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self, now: Mono) -> Duration {
        self.deadline.since(now)
    }

    /// Returns how long an upstream may be silent before another one is tried. Callers
    /// leave after a gap of a few objectives or pauses.
    pub(crate) fn silence_timeout(&self) -> Duration {
        let pause = match self.route.kind {
            crate::rules::Kind::Stream { pause, .. } => pause,
            _ => Duration::ZERO,
        };
        let gap = CALLER_PATIENCE.max(self.route.objective * 4).max(pause * 8);
        gap.mul_f64(GIVE_UP_FRACTION)
    }

    /// Returns the request's rank at an engine, from 0 to 9. Each doubling of the objective
    /// moves it one rank back.
    pub(crate) fn priority(&self) -> u32 {
        let own = self.organisation.as_ref().and_then(|o| o.priority);
        self.rank(own.unwrap_or(self.route.priority))
    }

    /// Returns the rank by route alone, without the organisation's priority.
    pub(crate) fn kind_rank(&self) -> u32 {
        self.rank(self.route.priority)
    }

    fn rank(&self, priority: u32) -> u32 {
        let hundreds = u32::try_from(self.route.objective.as_millis() / 100).unwrap_or(u32::MAX);
        let rank = hundreds.checked_ilog2().unwrap_or(0);
        (rank + priority.saturating_sub(1)).min(LAST_RANK)
    }
}

/// A complete answer of an upstream.
pub(crate) struct Response {
    pub(crate) head: Head,
    pub(crate) body: ntex::util::Bytes,
    /// The memory that the body takes. Kept for as long as `body`.
    pub(crate) hold: Option<Hold>,
    /// How the end of the body was recognised.
    pub(crate) end: Option<End>,
}

/// The answer that a request received.
pub(crate) enum Answer<D>
where
    D: Dialect,
{
    /// A complete answer.
    Complete(Response),
    /// An event stream that has begun.
    Stream(Box<Stream<D>>),
}

/// A request that ends without an answer of an upstream.
#[derive(Debug)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    /// Time after which the caller may try again. `None` if it may have run.
    pub(crate) retry_after: Option<Duration>,
}

/// The attempts of a request so far.
#[derive(Default)]
pub(crate) struct History {
    /// Upstreams that were tried.
    pub(crate) tried: Vec<Upstream>,
    /// Tried upstreams that stated that they did not run the request.
    pub(crate) refused: Vec<Upstream>,
    /// The last complete answer that reported a failure.
    answer: Option<Response>,
    /// Invariant: `None` or `Ran::No` as long as every attempt provably did not run.
    ran: Option<Ran>,
    /// Number of attempts that may have run.
    pub(crate) runs: u32,
    /// Number of failed attempts that may have reached an upstream.
    pub(crate) reached: u32,
    /// What pays for the next attempt, once that was decided on.
    reservation: RefCell<Option<Reservation>>,
}

impl History {
    /// Returns whether the request ran, as far as is known.
    pub(crate) fn ran(&self) -> Ran {
        self.ran.unwrap_or(Ran::No)
    }

    /// Returns whether another attempt may follow the present one. `counted` tells whether the
    /// present one is in `runs` already.
    pub(crate) fn has_attempt_left(&self, request: &Request, counted: bool) -> bool {
        let runs = self.runs + u32::from(!counted);
        runs < request.route.attempts && self.tried.len() + 1 < MAX_ATTEMPTS
    }

    /// Returns whether the next attempt is paid for.
    pub(crate) fn has_reservation(&self) -> bool {
        self.reservation.borrow().is_some()
    }

    /// Keeps what pays for the next attempt.
    pub(crate) fn set_reservation(&self, reservation: Option<Reservation>) {
        *self.reservation.borrow_mut() = reservation;
    }

    /// Returns what pays for the next attempt.
    pub(crate) fn take_reservation(&self) -> Option<Reservation> {
        self.reservation.take()
    }

    /// Adds a failed attempt, and takes its answer over.
    fn record(&mut self, fault: &mut Fault) {
        self.ran = Some(failure::merge_ran(self.ran(), fault.failure));
        self.runs += u32::from(fault.failure.ran() != Ran::No);
        self.tried.extend(fault.upstream.clone());
        self.reached += u32::from(fault.failure.may_have_reached());
        if matches!(fault.failure, Failure::Rejected | Failure::Misdirected) {
            self.refused.extend(fault.upstream.clone());
        }
        if let Some(answer) = fault.answer.take() {
            self.answer = Some(answer);
        }
    }
}

/// Runs a request until its answer is complete or, for a stream, has begun.
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
                match begin_stream(&worker, &request, &history, run).await {
                    Ok(mut stream) => {
                        history.runs += 1;
                        stream.history = history;
                        return Ok(Answer::Stream(Box::new(stream)));
                    }
                    Err(fault) => fault,
                }
            }
            Ok(run) => match read_response(&worker, &request, run).await {
                Ok(response) => {
                    worker.clear_suspect(&request);
                    return Ok(Answer::Complete(response));
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

/// Logs a failed attempt, and avoids its upstream for a while if the failure is that
/// upstream's.
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

/// Returns whether another attempt is safe, useful and within the retry budget.
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
        && (fault.failure.ran() == Ran::No || worker.may_run_again(request, now))
        && worker.may_afford_retry(request, history)
}

/// Returns the last answer of an upstream if there is one, or else the code for the caller.
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
    if let Some(response) = history.answer {
        return Ok(Answer::Complete(response));
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
    /// Returns when a refused caller should try again. `returns` is the time until the work
    /// that keeps the request out has been read, if known; otherwise the first upstream
    /// that accepts requests and has read its backlog decides. The time is randomised so
    /// that callers refused together don't return together.
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

    /// Returns the time until the first upstream of the service accepts requests and has
    /// read its backlog.
    fn shortest_wait(&self, request: &Request, now: Mono) -> Duration {
        let snapshot = self.snapshot();
        let targets = snapshot.instances.get(&request.service);
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

/// Reads the complete body of an answer that is not a stream.
async fn read_response<D>(
    worker: &Worker<D>,
    request: &Request,
    mut run: Run<D>,
) -> Result<Response, Fault>
where
    D: Dialect,
{
    let left = request.time_left(clock::mono());
    let reading = worker.read_answer(&mut run.connection, &run.head, MAX_BODY_BYTES);
    let response = match timeout(left, reading).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(Fault::from_error(&error, &run.upstream)),
        Err(_) => {
            return Err(Fault::new(
                Failure::Silent,
                Some(&run.upstream),
                "the body of the answer stopped",
            ));
        }
    };
    worker.mark_answering(&run.upstream);
    worker.observe_answer(request, &run.upstream, &run.sent);
    return_to_pool(worker, &run.upstream, run.connection, &run.head);
    Ok(response)
}

/// Waits for the first complete event of a stream. Until it arrives, a failure can still be
/// answered with a status or retried elsewhere.
async fn begin_stream<D>(
    worker: &Rc<Worker<D>>,
    request: &Rc<Request>,
    history: &History,
    mut run: Run<D>,
) -> Result<Stream<D>, Fault>
where
    D: Dialect,
{
    let mut splitter = Splitter::new();
    let left = request.time_left(clock::mono());
    let first = read_first_event(&mut run.connection, &mut splitter);
    let is_last = !history.has_attempt_left(request, false);
    let first = match timeout(
        left,
        wait_or_give_up(worker, (request, history), &run.resources, is_last, first),
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

/// Reads the first complete event of an answer.
pub(crate) async fn read_first_event(
    connection: &mut Connection,
    splitter: &mut Splitter,
) -> Result<Bytes, upstream::Error> {
    while let Some(bytes) = connection.next_chunk().await? {
        if let Some(events) = splitter.push(&bytes) {
            return Ok(events);
        }
        if splitter.is_overlong() {
            return Err(upstream::Error::Invalid("an event is too long"));
        }
    }
    Err(connection.cut_before("the end of the first event"))
}
