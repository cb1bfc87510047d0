//! Reads a caller's request and checks it against the configuration in force.

use std::{cell::OnceCell, collections::HashSet, sync::Arc, time::Duration};

use almondlock_base::{Code, time::Mono};
use almondlock_intake::bodies::{self, Hold};
use almondlock_node::clock;
use ntex::{
    http::header::HeaderName,
    util::Bytes,
    web::{HttpRequest, types::Payload},
};
use rand::Rng;
use tokio::time::sleep;

use crate::{
    dialect::Dialect,
    pick::Demand,
    request::Request,
    response::HOP_BY_HOP,
    rules::{Organisation, Route, Rules},
    worker::Worker,
};

/// Time allowed for a request without a deadline of its own. In practice the route's
/// timeout limits it.
const NO_DEADLINE: Duration = Duration::from_secs(3600);

/// How long a request waits for the first configuration of a process: most of a cold start.
/// A longer wait would be too late for most callers.
const COLD_WAIT: Duration = Duration::from_millis(900);

/// How often a waiting request checks for a configuration: a fraction of the time that the
/// shortest objectives leave.
const COLD_POLL: Duration = Duration::from_millis(15);

/// Length of the part of a request's id that is logged.
const MAX_LOGGED_ID_BYTES: usize = 128;

/// Maximum number of a prompt's parts that are looked at.
const MAX_SHARED_PARTS: usize = 64;

/// Reads and checks a request.
///
/// What can be refused by its head is refused before its body is read: a caller without a
/// route or a key costs no memory.
pub(crate) async fn accept<D>(
    worker: &Worker<D>,
    incoming: &HttpRequest,
    payload: &mut Payload,
    arrived: Mono,
) -> Result<Request, Code>
where
    D: Dialect,
{
    let (rules, current) = wait_for_rules(worker).await;
    let rules = rules.ok_or(Code::NotReady)?;
    let admitted = admit(worker, &rules, incoming, current)?;
    let deadline = deadline(worker, incoming, &admitted.route, arrived);
    let bounds = bodies::Bounds {
        largest: rules.limits.body,
        time: deadline.since(clock::mono()),
    };
    let received = worker.bodies.receive(incoming.headers(), payload, bounds);
    let body = received.await.map_err(bodies::Error::code)?;
    // The body may have taken long, so the configuration is read again.
    let (newer, current) = wait_for_rules(worker).await;
    let newer = newer.ok_or(Code::NotReady)?;
    let admitted = match current && Arc::ptr_eq(&rules, &newer) {
        true => admitted,
        false => admit(worker, &newer, incoming, current)?,
    };
    build_request(worker, incoming, admitted, body, arrived)
}

/// Returns the rules in force, and whether they are current. Shortly after the start, waits
/// until they are.
///
/// **Failure.** When all processes were lost together, callers that were cut off are back
/// as soon as a listener is, some tenths of a second before this process has a
/// configuration that it may act on. If they were refused, they would come back to a queue
/// or not at all: of a hundred requests in the two seconds around the loss, 40 were
/// refused. They wait here instead, no longer than a refusal would ask them to.
async fn wait_for_rules<D>(worker: &Worker<D>) -> (Option<Arc<Rules>>, bool)
where
    D: Dialect,
{
    let until = clock::mono() + COLD_WAIT;
    loop {
        let now = clock::mono();
        let rules = worker.snapshot().rules.clone();
        let current = worker.node.age(now) < worker.bounds.max_config_age;
        let over = worker.shared.cold_start_left(now).is_zero() || now >= until;
        if over || rules.is_some() && current {
            return (rules, current);
        }
        sleep(COLD_POLL).await;
    }
}

/// A request's route, and who sends it.
struct Admitted {
    route: Arc<Route>,
    /// Owner of the key, if the route needs one.
    organisation: Option<Arc<Organisation>>,
}

/// Finds the route and checks the key.
fn admit<D>(
    worker: &Worker<D>,
    rules: &Rules,
    incoming: &HttpRequest,
    current: bool,
) -> Result<Admitted, Code>
where
    D: Dialect,
{
    let names = worker.dialect.names();
    let host = header_text(incoming, &ntex::http::header::HOST).unwrap_or_default();
    let path = incoming.uri().path();
    // A host that was cut off may not know a route or key that has been added, or that one
    // was removed. The same holds for a host that is still parsing a version.
    let versions = worker.versions.borrow();
    let unsure = |code| match current && !versions.is_waiting() {
        true => code,
        false => Code::NotReady,
    };
    let route = rules.route(host, path);
    let route = Arc::clone(route.ok_or_else(|| unsure(Code::UnknownRoute))?);
    let mut organisation = None;
    if rules.needs_key(&route) {
        if !current {
            return Err(Code::NotReady);
        }
        let key = header_text(incoming, &names.key).unwrap_or_default();
        let unknown = || match versions.awaits_key(key) {
            true => Code::NotReady,
            false => Code::Unauthenticated,
        };
        let found = rules.organisation(key).ok_or_else(unknown)?;
        organisation = Some(Arc::clone(found));
    }
    Ok(Admitted {
        route,
        organisation,
    })
}

/// Returns the deadline of a request: the caller's or the route's, whichever is earlier.
fn deadline<D>(worker: &Worker<D>, incoming: &HttpRequest, route: &Route, arrived: Mono) -> Mono
where
    D: Dialect,
{
    let name = &worker.dialect.names().deadline;
    let millis = header_text(incoming, name).and_then(|text| text.trim().parse().ok());
    let time = millis.map_or(NO_DEADLINE, Duration::from_millis);
    arrived + time.min(route.timeout)
}

/// Builds the request to forward.
fn build_request<D>(
    worker: &Worker<D>,
    incoming: &HttpRequest,
    admitted: Admitted,
    (body, hold): (Bytes, Option<Hold>),
    arrived: Mono,
) -> Result<Request, Code>
where
    D: Dialect,
{
    let names = worker.dialect.names();
    let Admitted {
        route,
        organisation,
    } = admitted;
    let host = header_text(incoming, &ntex::http::header::HOST).unwrap_or_default();
    let target = incoming
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let drawn = worker.rng.borrow_mut().random();
    let service = route.service(drawn).ok_or(Code::UnknownRoute)?.clone();
    let dropped = [
        &names.key,
        &names.organisation,
        &names.deadline,
        &names.instance,
        &names.priority,
        &names.helpers,
    ];
    let kept = |name: &HeaderName| !HOP_BY_HOP.contains(&name.as_str()) && !dropped.contains(&name);
    let headers = incoming.headers().iter().filter(|(name, _)| kept(name));
    Ok(Request {
        sent_id: Arc::from(header_text(incoming, &names.request_id).unwrap_or_default()),
        id: Arc::from(log_id(worker, incoming)),
        method: incoming.method().clone(),
        path_and_query: target.to_owned(),
        host: host.to_owned(),
        headers: headers
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect(),
        body,
        _hold: hold,
        service,
        organisation,
        arrived,
        deadline: deadline(worker, incoming, &route, arrived),
        demand: header_text(incoming, &names.usage)
            .and_then(|usage| parse_demand(usage, route.objective)),
        parts: shared_parts(worker, incoming),
        profile: OnceCell::new(),
        last_event: header_text(incoming, &names.last_event)
            .and_then(|text| text.trim().parse().ok()),
        route,
    })
}

/// Returns a header as text.
pub(crate) fn header_text<'a>(incoming: &'a HttpRequest, name: &HeaderName) -> Option<&'a str> {
    incoming.headers().get(name)?.to_str().ok()
}

/// Returns the beginning of the id that a request was sent with, for logs. A head may be
/// tens of kilobytes long, and thousands of log lines may wait.
pub(crate) fn log_id<'a, D>(worker: &Worker<D>, incoming: &'a HttpRequest) -> &'a str
where
    D: Dialect,
{
    let id = header_text(incoming, &worker.dialect.names().request_id).unwrap_or_default();
    // A header's text is ASCII, so this is no part of a character.
    id.get(..MAX_LOGGED_ID_BYTES).unwrap_or(id)
}

/// Returns the parts of the prompt that other prompts may share, the first
/// [`MAX_SHARED_PARTS`] of them.
fn shared_parts<D>(worker: &Worker<D>, incoming: &HttpRequest) -> Vec<Arc<str>>
where
    D: Dialect,
{
    let name = &worker.dialect.names().parts;
    let lines = incoming.headers().get_all(name);
    let lines: Vec<&str> = lines.filter_map(|line| line.to_str().ok()).collect();
    let text = lines.join(",");
    let mut known: HashSet<&str> = HashSet::new();
    let parts = worker.dialect.shared_parts(&text).into_iter();
    let parts = parts.filter(|part| known.insert(part));
    parts.take(MAX_SHARED_PARTS).map(Arc::from).collect()
}

/// Parses `prompt tokens,output tokens`.
fn parse_demand(usage: &str, objective: Duration) -> Option<Demand> {
    let (prompt, output) = usage.split_once(',')?;
    Some(Demand {
        prompt: prompt.trim().parse().ok()?,
        output: output.trim().parse().ok()?,
        objective,
    })
}
