//! One attempt at one upstream: choosing the upstream, sending the request, and checking
//! the head of the answer.

use std::{iter, rc::Rc, time::Duration};

use almondlock_base::id::Upstream;
use almondlock_node::clock;
use almondlock_policy::backoff::Reason;
use tokio::time::timeout;

use crate::{
    dialect::Dialect,
    failure::Failure,
    outgoing,
    pace::Sent,
    pick::{Choice, Shortage},
    placement::{self, Placement, lack_fault},
    request::{History, Request, Response},
    resources::Resources,
    slots::Grant,
    upstream::{self, Connection, Framing, Head},
    worker::{Target, Worker},
};

/// Time allowed for connecting: several round trips, far below the objective of short
/// requests.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of the body of an answer that is not a stream, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 8 << 20;
/// An attempt whose answer has begun.
pub(crate) struct Run<D>
where
    D: Dialect,
{
    /// The upstream that answers.
    pub(crate) upstream: Upstream,
    pub(crate) connection: Connection,
    pub(crate) head: Head,
    pub(crate) resources: Resources<D>,
    pub(crate) sent: Sent,
}

/// A failed attempt, or the reason why no attempt could be made.
pub(crate) struct Fault {
    /// How the attempt failed.
    pub(crate) failure: Failure,
    /// The upstream that was tried. `None` if none could be chosen.
    pub(crate) upstream: Option<Upstream>,
    /// The upstream's answer, if it reported the failure itself.
    pub(crate) answer: Option<Response>,
    /// Explanation for the log.
    pub(crate) reason: String,
    /// Whether the connection broke, as it does when the upstream crashes.
    pub(crate) is_connection_lost: bool,
    /// Whether another participating upstream is at fault.
    pub(crate) is_other_upstream: bool,
    /// Time after which the caller may find what was missing, if known.
    pub(crate) retry_after: Option<Duration>,
}

impl Fault {
    /// Creates a fault without details beyond its reason.
    pub(crate) fn new<R>(failure: Failure, upstream: Option<&Upstream>, reason: R) -> Fault
    where
        R: ToString,
    {
        Fault {
            failure,
            upstream: upstream.cloned(),
            answer: None,
            reason: reason.to_string(),
            is_connection_lost: false,
            is_other_upstream: false,
            retry_after: None,
        }
    }

    /// Converts an error of the connection to `upstream`.
    pub(crate) fn from_error(error: &upstream::Error, upstream: &Upstream) -> Fault {
        let failure = match error {
            upstream::Error::Connect(_) | upstream::Error::Unwritable(_) => Failure::Unsent,
            upstream::Error::Broken(_)
            | upstream::Error::Closed(_)
            | upstream::Error::Incomplete(_)
            | upstream::Error::Invalid(_) => Failure::Lost,
        };
        Fault {
            is_connection_lost: matches!(
                error,
                upstream::Error::Broken(_) | upstream::Error::Closed(_)
            ),
            ..Fault::new(failure, Some(upstream), error)
        }
    }
}

/// A placed request, ready to be sent.
struct Prepared<D>
where
    D: Dialect,
{
    targets: Vec<Target>,
    choice: Choice,
    resources: Resources<D>,
    /// Connection to the upstream that answers.
    connection: Connection,
}

/// Places a request and connects to the upstream that answers. Starts again if a
/// participating upstream has asked for a pause or announced that it is leaving meanwhile.
async fn prepare<D>(
    worker: &Rc<Worker<D>>,
    request: &Request,
    history: &History,
    after: Option<u64>,
) -> Result<Prepared<D>, Fault>
where
    D: Dialect,
{
    let mut grant: Option<Grant> = None;
    loop {
        let targets = worker.open_targets(request, history, clock::mono());
        let targets = targets.map_err(lack_fault)?;
        let found = (after, grant.as_ref());
        let placement = placement::place(worker, request, history, &targets, found).await?;
        let (choice, resources) = match placement {
            Placement::Send(choice, resources) => (choice, *resources),
            Placement::Wait(waiter) => {
                grant = Some(waiter.granted(request).await);
                continue;
            }
        };
        // The request may have waited while it became suspected.
        if let Some(refusal) = worker.refuse_suspect(request, clock::mono()) {
            let reason = "upstreams were lost with it";
            let mut fault = Fault::new(Failure::Suspected, None, reason);
            fault.retry_after = refusal.retry_after;
            return Err(fault);
        }
        let target = answering_target(&targets, &choice).map_err(lack_fault)?;
        let connection = connect(worker, request, target).await;
        let connection = connection.map_err(|error| Fault::from_error(&error, &target.name))?;
        let now = clock::mono();
        let participants = iter::once(&choice.primary).chain(&choice.helpers);
        let mut participating = participants.filter_map(|place| targets.get(*place));
        let Some(closed) = participating.find(|target| worker.backoff(now, &target.name).is_some())
        else {
            return Ok(Prepared {
                targets,
                choice,
                resources,
                connection,
            });
        };
        tracing::info!(
            request = %request.id, upstream = %closed.name,
            backoff = worker.backoff(now, &closed.name).map(Reason::as_str), "request placed again"
        );
    }
}

/// Returns the upstream that answers.
fn answering_target<'a>(targets: &'a [Target], choice: &Choice) -> Result<&'a Target, Shortage> {
    targets.get(choice.primary).ok_or(Shortage::Upstream)
}

/// Sends a request to one upstream and waits for the head of the answer.
pub(crate) async fn attempt<D>(
    worker: &Rc<Worker<D>>,
    request: &Request,
    history: &History,
    after: Option<u64>,
) -> Result<Run<D>, Fault>
where
    D: Dialect,
{
    let Prepared {
        targets,
        choice,
        resources,
        connection,
    } = prepare(worker, request, history, after).await?;
    let targets = &targets[..];
    let target = answering_target(targets, &choice).map_err(lack_fault)?;
    if !worker.spend_retry(request, history) {
        let reason = "what was to pay for the retry has expired";
        return Err(Fault::new(Failure::Unaffordable, None, reason));
    }
    log_sent(worker, request, history, (targets, &choice, target));
    let destination = outgoing::Destination {
        targets,
        choice: &choice,
        memory: &resources.memory_ids(),
    };
    let now = clock::mono();
    let head = outgoing::write_head(worker, request, &destination, after, now);
    let left = request.time_left(now);
    let sent = Sent::new(worker, request, (&choice, &target.name), after);
    let exchange = exchange(worker, request, connection, &head);
    let is_last = !history.has_attempt_left(request, false);
    let exchange = wait_or_give_up(worker, (request, history), &resources, is_last, exchange);
    let result = match timeout(left, exchange).await {
        Ok(Some(result)) => result,
        Ok(None) | Err(_) => {
            return Err(Fault::new(
                Failure::Silent,
                Some(&target.name),
                "no answer in time",
            ));
        }
    };
    let (connection, head) = result.map_err(|error| Fault::from_error(&error, &target.name))?;
    worker.apply_limit_header(&target.name, now, &head);
    worker.apply_backoff_headers(&target.name, &head);
    let run = Run {
        upstream: target.name.clone(),
        connection,
        head,
        resources,
        sent,
    };
    let name = run.upstream.clone();
    let judged = timeout(
        request.time_left(clock::mono()),
        check_head(worker, run, targets),
    );
    // The body of a failure may stop half-way, like any other body.
    match judged.await {
        Ok(judged) => judged,
        Err(_) => {
            let reason = "the body of the failure stopped";
            Err(Fault::new(Failure::Silent, Some(&name), reason))
        }
    }
}

fn log_sent<D>(
    worker: &Worker<D>,
    request: &Request,
    history: &History,
    (targets, choice, target): (&[Target], &Choice, &Target),
) where
    D: Dialect,
{
    let now = clock::mono();
    let snapshot = worker.snapshot();
    tracing::info!(
        request = %request.id, route = %request.route.name, upstream = %target.name,
        prompt = request.demand.map_or(0, |demand| demand.prompt),
        helpers = choice.helpers.len(), shares = choice.shares.len(),
        part_ms = choice.part.as_millis(), read_by = %helper_names(targets, choice),
        expected_ms = choice.expected.as_millis(),
        backlog_ms = worker.load.borrow().total(now, &target.name).reading,
        hosts = worker.load.borrow().other_hosts(now),
        revision = snapshot.revision.0, age_ms = worker.node.known_age(now).map(|age| age.as_millis()),
        attempt = history.tried.len() + 1, reached = history.reached,
        backoff = worker.backoff(now, &target.name).map(Reason::as_str), "sent"
    );
}

/// Returns the names of the engines that read parts of the prompt besides the answering
/// one.
fn helper_names(targets: &[Target], choice: &Choice) -> String {
    let readers = choice.helpers.iter().filter_map(|i| targets.get(*i));
    let names: Vec<&str> = readers.map(|target| target.name.as_str()).collect();
    names.join(",")
}

/// Waits for an upstream that may be silent.
///
/// Returns `None` if the upstream was silent for too long and is given up. That requires
/// that the request may be repeated, that this isn't its last attempt, and that the retry
/// budget allows it. Otherwise waiting on is the best option left, but the memory on helpers
/// is released.
pub(crate) async fn wait_or_give_up<D, F, T>(
    worker: &Worker<D>,
    (request, history): (&Request, &History),
    resources: &Resources<D>,
    is_last: bool,
    work: F,
) -> Option<T>
where
    D: Dialect,
    F: Future<Output = T>,
{
    tokio::pin!(work);
    let patience = resources.silence_timeout(clock::mono(), request.silence_timeout());
    if let Ok(done) = timeout(patience, &mut work).await {
        return Some(done);
    }
    let repeatable = request.route.kind.is_idempotent() && !is_last;
    if repeatable && worker.reserve_retry(request, history) {
        return None;
    }
    resources.release_helper_memory();
    Some(work.await)
}

/// Takes a pooled connection to the target, or opens one.
async fn connect<D>(
    worker: &Worker<D>,
    request: &Request,
    target: &Target,
) -> Result<Connection, upstream::Error>
where
    D: Dialect,
{
    let now = clock::mono();
    let once = !request.route.kind.is_idempotent();
    let pooled = worker.pool.borrow_mut().take(now, &target.name, once);
    match pooled {
        Some(connection) => Ok(connection),
        None => Connection::open(target.address, CONNECT_TIMEOUT.min(request.time_left(now))).await,
    }
}

/// Sends the request and returns the connection with the head of the answer.
async fn exchange<D>(
    worker: &Worker<D>,
    request: &Request,
    mut connection: Connection,
    head: &[u8],
) -> Result<(Connection, Head), upstream::Error>
where
    D: Dialect,
{
    let outgoing = upstream::Request {
        head,
        body: &request.body,
        id: (
            worker.dialect.names().request_id.as_str(),
            request.sent_id.as_bytes(),
        ),
    };
    let answered = connection.exchange(&outgoing).await?;
    Ok((connection, answered))
}

/// Decides from the head of an answer whether the attempt succeeded.
async fn check_head<D>(
    worker: &Worker<D>,
    mut run: Run<D>,
    targets: &[Target],
) -> Result<Run<D>, Fault>
where
    D: Dialect,
{
    let names = worker.dialect.names();
    let status = run.head.status;
    if let Some(requests) = run.head.text(names.load.as_str()).and_then(parse_load) {
        let mut load = worker.load.borrow_mut();
        load.record_reported(clock::mono(), &run.upstream, requests);
    }
    let fault = |failure, reason: &str| Fault::new(failure, Some(&run.upstream), reason);
    if run.head.get(names.not_run.as_str()).is_some() || status == 421 {
        // A helper may be at fault rather than the answering engine.
        let at = run.head.text(names.at_fault.as_str());
        let at = at.and_then(|at| targets.iter().find(|t| t.address.to_string() == at));
        let failure = match status {
            421 => Failure::Misdirected,
            _ => Failure::Rejected,
        };
        let mut fault = fault(failure, &format!("status {status}, not run"));
        if let Some(at) = at.filter(|at| at.name != run.upstream) {
            worker.mark_suspect(clock::mono(), &at.name);
            fault.failure = Failure::Rejected;
            fault.is_other_upstream = true;
        }
        recycle(worker, &run.upstream, run.connection, &run.head).await;
        return Err(fault);
    }
    let encoded = run.head.get("content-encoding").is_some();
    let sealed = run.head.get(names.seal.as_str()).is_some();
    if (200..300).contains(&status) {
        if !sealed || encoded {
            return Err(fault(
                Failure::Lost,
                "a success status without the upstream's seal",
            ));
        }
        return Ok(run);
    }
    if matches!(status, 408 | 421 | 429 | 503) || encoded {
        // To callers these statuses promise that the request has not run, which this
        // upstream did not state.
        return Err(fault(
            Failure::Lost,
            &format!("status {status} without the statement that the request did not run"),
        ));
    }
    let answer = worker.read_answer(&mut run.connection, &run.head, MAX_BODY_BYTES);
    let answer = answer.await;
    let answer = answer.map_err(|error| Fault::from_error(&error, &run.upstream))?;
    let mut fault = fault(Failure::Answered, &format!("status {status}"));
    fault.answer = Some(answer);
    recycle(worker, &run.upstream, run.connection, &run.head).await;
    Err(fault)
}

/// Returns the sum of running and waiting requests from `running,waiting,slots`.
fn parse_load(load: &str) -> Option<u32> {
    let mut parts = load.split(',').map(|part| part.trim().parse::<u32>());
    let (running, waiting) = (parts.next()?.ok()?, parts.next()?.ok()?);
    Some(running.saturating_add(waiting))
}

/// Reads the rest of a short answer and returns its connection to the pool. An answer that
/// ends with its connection has no rest that would be worth waiting for.
pub(crate) async fn recycle<D>(
    worker: &Worker<D>,
    upstream: &Upstream,
    mut connection: Connection,
    head: &Head,
) where
    D: Dialect,
{
    if head.framing != Framing::Close && connection.skip_body(MAX_BODY_BYTES).await.is_ok() {
        return_to_pool(worker, upstream, connection, head);
    }
}

/// Returns a connection to the pool if its answer was read to the end.
pub(crate) fn return_to_pool<D>(
    worker: &Worker<D>,
    upstream: &Upstream,
    mut connection: Connection,
    head: &Head,
) where
    D: Dialect,
{
    if connection.is_reusable(head) {
        connection.idle_timeout = head.idle_timeout;
        let mut pool = worker.pool.borrow_mut();
        pool.put(clock::mono(), upstream, connection);
    }
}
