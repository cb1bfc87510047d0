//! Holds prompts in the first moments after the host's start.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_node::clock;
use almondlock_policy::startup::{Case, hold};
use tokio::time::sleep;

use crate::{dialect::Dialect, life::Request, worker::Worker};

/// How often a prompt that waits looks whether loads are known: a part of what the shortest
/// objectives leave.
const POLL: Duration = Duration::from_millis(5);

/// Waits until a prompt may be placed.
pub(crate) async fn settle<D>(worker: &Worker<D>, request: &Request)
where
    D: Dialect,
{
    let begun = clock::mono();
    while let Some(left) = left(worker, request, clock::mono()) {
        sleep(left.min(POLL)).await;
    }
    let now = clock::mono();
    let waited = now.since(begun);
    if waited >= POLL {
        worker
            .shared
            .metrics
            .time("settled", "phase=\"start\"", waited);
        tracing::info!(
            request = %request.id, waited_ms = waited.as_millis(),
            age_ms = worker.shared.age(now).as_millis(), hosts = worker.load.borrow().other_hosts(now),
            "waited after the start"
        );
    }
}

fn left<D>(worker: &Worker<D>, request: &Request, now: Mono) -> Option<Duration>
where
    D: Dialect,
{
    let settling = worker.features.settling;
    let age = worker.shared.age(now);
    if age >= settling {
        return None;
    }
    let demand = request.demand?;
    let speed = worker.speed(&request.service)?;
    let case = Case {
        age,
        spent: now.since(request.arrived),
        objective: request.route.objective,
        reading: speed.reading(demand.prompt),
        knows_loads: worker.load.borrow().other_hosts(now) > 0,
    };
    hold(settling, &case)
}
