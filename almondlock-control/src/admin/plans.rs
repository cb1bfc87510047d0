//! Plans: proposed, shown, confirmed, stopped, undone.

use almondlock_base::Code;
use almondlock_state::{
    api::{Observation, Planned, Plans, Problem, Proposal, Summary, Undo, mask_hashes},
    command::{Command, Reply},
    intent::Intent,
    machine::Machine,
    operator::Role,
    plan::{self, Plan},
};
use ntex::web::{
    HttpRequest, HttpResponse,
    types::{Path, Payload, State},
};
use serde::de::DeserializeOwned;

use super::{Backend, answer::respond, look::read};

/// The largest body that is taken: an intent is small.
const BODY_BYTES: usize = 64 * 1024;

pub(super) async fn list<B>(request: HttpRequest, backend: State<B>) -> HttpResponse
where
    B: Backend,
{
    let look = |machine: &Machine, _| {
        let plans = machine.plans().iter().rev().map(Summary::from).collect();
        Ok(Plans { plans })
    };
    respond(read(&request, backend.get_ref(), Role::Viewer, look).await)
}

pub(super) async fn show<B>(
    request: HttpRequest,
    backend: State<B>,
    id: Path<String>,
) -> HttpResponse
where
    B: Backend,
{
    let standing = backend.standing().await;
    let shown = async {
        let id = number(&id)?;
        let look = move |machine: &Machine, _| find(machine, id).cloned();
        let plan = read(&request, backend.get_ref(), Role::Viewer, look).await?;
        Ok(planned(plan, &standing))
    };
    respond(shown.await)
}

pub(super) async fn propose<B>(
    request: HttpRequest,
    backend: State<B>,
    body: Payload,
) -> HttpResponse
where
    B: Backend,
{
    let proposed = async {
        let Proposal { number, intent } = parse(body).await?;
        submit(&request, backend.get_ref(), number, intent).await
    };
    respond(proposed.await)
}

async fn submit<B>(
    request: &HttpRequest,
    backend: &B,
    number: String,
    intent: Intent,
) -> Result<Planned, Problem>
where
    B: Backend,
{
    let wanted = intent.clone();
    let look = move |machine: &Machine, operator: String| {
        let least = match wanted {
            Intent::Undo { plan } => find(machine, plan)?.required_role(),
            other => other.required_role(),
        };
        suffices(machine, operator, least)
    };
    let operator = read(request, backend, Role::Operator, look).await?;
    let at = backend.now();
    let command = Command::Propose {
        number,
        intent,
        operator,
        at,
    };
    finish(backend, command).await
}

/// Confirms, stops or undoes the plan of the path.
pub(super) async fn act<B>(
    request: HttpRequest,
    backend: State<B>,
    path: Path<(String, String)>,
    body: Payload,
) -> HttpResponse
where
    B: Backend,
{
    let done = async {
        let plan = number(&path.0)?;
        let backend = backend.get_ref();
        if path.1 == "undo" {
            let Undo { number } = parse(body).await?;
            return submit(&request, backend, number, Intent::Undo { plan }).await;
        }
        let look = move |machine: &Machine, operator: String| {
            let least = find(machine, plan)?.required_role();
            suffices(machine, operator, least)
        };
        let operator = read(&request, backend, Role::Operator, look).await?;
        let at = backend.now();
        match path.1.as_str() {
            "confirm" => finish(backend, Command::Confirm { plan, operator, at }).await,
            "stop" => finish(backend, Command::Stop { plan, operator, at }).await,
            _ => Err(Code::UnknownRoute.into()),
        }
    };
    respond(done.await)
}

/// Gives the operator's name back if its role suffices.
fn suffices(machine: &Machine, operator: String, least: Role) -> Result<String, Problem> {
    let known = machine.tables().operators.get(&operator);
    if known.is_some_and(|known| known.role >= least) {
        return Ok(operator);
    }
    let message = format!("this needs role {least}");
    Err(Problem::new(Code::Forbidden, message))
}

async fn finish<B>(backend: &B, command: Command) -> Result<Planned, Problem>
where
    B: Backend,
{
    match backend.propose(command).await? {
        Reply::Planned { plan } => Ok(planned(*plan, &backend.standing().await)),
        Reply::Refused { code, message } => Err(Problem::new(code, message)),
        _ => Err(Problem::new(Code::BadChange, "the command made no plan")),
    }
}

fn planned(plan: Plan, standing: &Observation) -> Planned {
    let changed = plan.revision > almondlock_base::unit::Revision::ZERO;
    let reached = standing.in_force.map(|lowest| lowest >= plan.revision);
    let in_force = reached.filter(|_| changed);
    let plan = mask_hashes(plan);
    Planned { plan, in_force }
}

fn find(machine: &Machine, id: plan::Id) -> Result<&Plan, Problem> {
    machine
        .plans()
        .get(id)
        .ok_or_else(|| Code::UnknownPlan.into())
}

fn number(text: &str) -> Result<plan::Id, Problem> {
    text.parse()
        .map(plan::Id)
        .map_err(|_| Code::UnknownPlan.into())
}

async fn parse<T>(body: Payload) -> Result<T, Problem>
where
    T: DeserializeOwned,
{
    let bytes = collect(body).await?;
    let parsed = serde_json::from_slice(&bytes);
    parsed.map_err(|error| Problem::new(Code::UnreadableBody, error.to_string()))
}

async fn collect(mut body: Payload) -> Result<Vec<u8>, Problem> {
    let mut bytes = Vec::new();
    while let Some(part) = body.recv().await {
        let part = part.map_err(|_| Code::UnreadableBody)?;
        if bytes.len() + part.len() > BODY_BYTES {
            return Err(Code::BodyTooLarge.into());
        }
        bytes.extend_from_slice(&part);
    }
    Ok(bytes)
}
