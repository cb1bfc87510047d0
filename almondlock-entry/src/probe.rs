//! Asking upstreams for their load when no answer has told it lately.
//!
//! One thread of the host probes, a few upstreams at a time, and only those of
//! the host's subset whose last report is old. Busy upstreams report with
//! every answer and are hardly ever probed.

use std::{rc::Rc, time::Duration};

use almondlock_node::clock;
use almondlock_policy::choice::Index;
use almondlock_wire::{attempt::read_load, peer::Peer};
use tokio::time::{sleep, timeout};

use crate::{
    life::{Worker, report},
    shared::Pool,
};

/// A report older than this is asked for anew.
const AGE: Duration = Duration::from_millis(500);
/// How often a pool is looked over.
const ROUND: Duration = Duration::from_millis(50);
/// Probes of one pool in one round.
const PROBES: usize = 2;
/// How long an answer may take.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Probes until the thread ends.
pub async fn run(worker: Rc<Worker>) {
    loop {
        worker.shared.directory();
        for pool in worker.shared.pool_names() {
            for _ in 0..PROBES {
                let now = clock::mono();
                let stale = worker
                    .shared
                    .with_pool(&pool, |table| table.stale(AGE, now));
                if let Some(index) = stale.flatten() {
                    let worker = Rc::clone(&worker);
                    let pool = pool.clone();
                    tokio::task::spawn_local(async move { one(&worker, &pool, index).await });
                }
            }
        }
        sleep(ROUND).await;
    }
}

async fn one(worker: &Worker, pool: &Pool, index: Index) {
    let answered = timeout(TIMEOUT, ask(worker, pool, index)).await;
    if !matches!(answered, Ok(Ok(()))) {
        let now = clock::mono();
        worker
            .shared
            .with_pool(pool, |table| table.failed(index, now));
    }
}

async fn ask(worker: &Worker, pool: &Pool, index: Index) -> Result<(), capnp::Error> {
    let shared = &worker.shared;
    let name = shared.with_pool(pool, |table| table.name(index).cloned());
    let Some(name) = name.flatten() else {
        return Ok(());
    };
    let view = shared.handle.view().get();
    let Some(registration) = view.upstreams.get(&name) else {
        return Ok(());
    };
    let session = worker.links.get(registration.address).await;
    let session = session.map_err(|e| capnp::Error::disconnected(e.to_string()))?;
    let mut request = session.node().sidecar_request();
    request.get().set_upstream(name.as_str());
    let sidecar = request.send().pipeline.get_sidecar();
    let mut request = sidecar.probe_request();
    shared.handle.peer().write(request.get().init_from());
    let answer = request.send().promise.await?;
    let answer = answer.get()?;
    if let Ok(peer) = Peer::read(answer.get_from()?) {
        shared.handle.heard(&peer);
    }
    let load = read_load(answer.get_load()?);
    let now = clock::mono();
    shared.with_pool(pool, |table| {
        table.report(index, report(&load), now);
        // Drained or down: passed over, and probed again, since it may be back
        // at any moment. Only the configuration says that it is to stay away.
        if load.leaving {
            table.failed(index, now);
        }
    });
    Ok(())
}
