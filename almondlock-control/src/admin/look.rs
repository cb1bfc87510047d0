//! Requests that change nothing.

use std::time::Duration;

use almondlock_base::{Code, unit::Revision};
use almondlock_state::{
    api::{History, Models, Operators, Organisations, Problem, Replicas, Status, Upstreams, Watch},
    machine::Machine,
    operator::Role,
};
use ntex::web::{
    HttpRequest, HttpResponse,
    types::{Query, State},
};
use serde::{Deserialize, Serialize};

use super::{Backend, access, answer::respond};

/// Records given when none are asked for, and at most.
const RECORDS: usize = 50;
const RECORDS_MOST: usize = 1_000;

/// The longest that a watch is held.
const WATCH_MOST: Duration = Duration::from_secs(60);

/// Looks at the confirmed state for an operator with this role.
pub(super) async fn read<B, F, R>(
    request: &HttpRequest,
    backend: &B,
    least: Role,
    look: F,
) -> Result<R, Problem>
where
    B: Backend,
    F: FnOnce(&Machine, String) -> Result<R, Problem> + Send + 'static,
    R: Send + 'static,
{
    let key = access::key(request)?;
    let read = backend.read(move |machine| {
        let operator = access::check(machine, &key, least)?;
        look(machine, operator)
    });
    read.await?
}

async fn table<B, R>(request: HttpRequest, backend: State<B>) -> HttpResponse
where
    B: Backend,
    R: for<'a> From<&'a Machine> + Serialize + Send + 'static,
{
    let look = |machine: &Machine, _| Ok(R::from(machine));
    respond(read(&request, backend.get_ref(), Role::Viewer, look).await)
}

pub(super) async fn organisations<B>(request: HttpRequest, backend: State<B>) -> HttpResponse
where
    B: Backend,
{
    table::<B, Organisations>(request, backend).await
}

pub(super) async fn models<B>(request: HttpRequest, backend: State<B>) -> HttpResponse
where
    B: Backend,
{
    table::<B, Models>(request, backend).await
}

pub(super) async fn upstreams<B>(request: HttpRequest, backend: State<B>) -> HttpResponse
where
    B: Backend,
{
    table::<B, Upstreams>(request, backend).await
}

pub(super) async fn operators<B>(request: HttpRequest, backend: State<B>) -> HttpResponse
where
    B: Backend,
{
    table::<B, Operators>(request, backend).await
}

pub(super) async fn replicas<B>(request: HttpRequest, backend: State<B>) -> HttpResponse
where
    B: Backend,
{
    let standing = backend.standing().await;
    let look = |machine: &Machine, _| {
        Ok(Replicas {
            replicas: machine.tables().replicas.clone(),
            observation: standing,
        })
    };
    respond(read(&request, backend.get_ref(), Role::Viewer, look).await)
}

/// The status: confirmed if possible, else as this replica knows it.
pub(super) async fn status<B>(request: HttpRequest, backend: State<B>) -> HttpResponse
where
    B: Backend,
{
    let standing = backend.standing().await;
    let known = standing.clone();
    let look = |machine: &Machine, _| Ok(Status::new(machine, known, true));
    let confirmed = read(&request, backend.get_ref(), Role::Viewer, look).await;
    let cut_off = [Code::NotLeader, Code::NoQuorum, Code::StorageFailed].map(Code::number);
    match confirmed {
        Err(problem) if cut_off.contains(&problem.code) => {}
        other => return respond(other),
    }
    let key = match access::key(&request) {
        Ok(key) => key,
        Err(problem) => return respond::<Status>(Err(problem)),
    };
    let peek = backend.peek(move |machine| {
        access::check(machine, &key, Role::Viewer)?;
        Ok(Status::new(machine, standing, false))
    });
    respond(peek.await)
}

#[derive(Deserialize)]
pub(super) struct Page {
    limit: Option<usize>,
}

pub(super) async fn history<B>(
    request: HttpRequest,
    backend: State<B>,
    page: Query<Page>,
) -> HttpResponse
where
    B: Backend,
{
    let limit = page.limit.unwrap_or(RECORDS).min(RECORDS_MOST);
    let look = move |machine: &Machine, _| {
        let records = machine.history().iter().take(limit).cloned().collect();
        Ok(History { records })
    };
    respond(read(&request, backend.get_ref(), Role::Viewer, look).await)
}

#[derive(Deserialize)]
pub(super) struct Wish {
    #[serde(default)]
    after: Revision,
    #[serde(default)]
    wait: u64,
}

/// Answers at once when there is news, else when the wait is over.
pub(super) async fn watch<B>(
    request: HttpRequest,
    backend: State<B>,
    wish: Query<Wish>,
) -> HttpResponse
where
    B: Backend,
{
    // Before the wait too: it must not hold connections for strangers.
    let known = read(&request, backend.get_ref(), Role::Viewer, |_, _| Ok(())).await;
    if let Err(problem) = known {
        return respond::<Watch>(Err(problem));
    }
    let wait = Duration::from_millis(wish.wait).min(WATCH_MOST);
    backend.changed(wish.after, wait).await;
    let standing = backend.standing().await;
    let look = move |machine: &Machine, _| Ok(Watch::new(machine, &standing));
    respond(read(&request, backend.get_ref(), Role::Viewer, look).await)
}
