//! Delays prompts shortly after the host's start, until the loads of other hosts are known.
//! Long prompts wait longer, so that short ones go first.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_node::clock;
use almondlock_policy::startup::{Prompt, hold_time};
use tokio::time::sleep;

use crate::{dialect::Dialect, request::Request, worker::Worker};

/// How often a waiting prompt checks whether loads are known: a fraction of the time that
/// the shortest objectives leave.
const POLL: Duration = Duration::from_millis(5);

/// Waits until a prompt may be placed on an engine.
pub(crate) async fn wait_after_start<D>(worker: &Worker<D>, request: &Request)
where
    D: Dialect,
{
    let begun = clock::mono();
    while let Some(left) = time_left(worker, request, clock::mono()) {
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
            age_ms = worker.shared.uptime(now).as_millis(), hosts = worker.load.borrow().other_hosts(now),
            "prompt delayed after the start"
        );
    }
}

/// Returns how long the prompt still has to wait, or `None` if it may be placed.
fn time_left<D>(worker: &Worker<D>, request: &Request, now: Mono) -> Option<Duration>
where
    D: Dialect,
{
    let settling = worker.features.settling;
    let age = worker.shared.uptime(now);
    if age >= settling {
        return None;
    }
    let demand = request.demand?;
    let speed = worker.engine_speed(&request.service)?;
    let case = Prompt {
        host_age: age,
        waited: now.since(request.arrived),
        objective: request.route.objective,
        reading_time: speed.reading_time(demand.prompt),
        knows_loads: worker.load.borrow().other_hosts(now) > 0,
    };
    hold_time(settling, &case)
}
