//! Asking upstreams for their load when no answer has told it lately.
//!
//! One thread of the host probes, a few upstreams at a time, and only those of
//! the host's subset whose last report is old. Busy upstreams report with
//! every answer and are hardly ever probed.
//!
//! Probes are paid for by requests, one for four, and a few are free: a host that
//! chooses nothing needs to know little, and probing by time alone cost an idle
//! entry host more bytes than all its control may take.

use std::{rc::Rc, time::Duration};

use almondlock_node::clock;
use almondlock_policy::choice::Index;
use almondlock_telemetry::throttle::Throttle;
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
/// How often it is told what callers make the host hold.
const INTAKE_PERIOD: Duration = Duration::from_secs(1);
/// Probes that one request pays for.
const PAID: f64 = 0.25;
/// Free probes of the host in a second.
const FREE: f64 = 2.0;
/// Probes saved up at most; also the most in one round.
const SAVED: f64 = 8.0;
/// How long an answer may take.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Probes that may be spent.
struct Purse {
    saved: f64,
    admitted: u64,
}

impl Purse {
    /// Takes in what a round's time and its requests are worth.
    fn fill(&mut self, admitted: u64) {
        let fresh = admitted.saturating_sub(self.admitted) as f64;
        self.admitted = admitted;
        self.saved = (self.saved + PAID * fresh + FREE * ROUND.as_secs_f64()).min(SAVED);
    }

    fn pay(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}

/// Probes until the thread ends.
pub async fn run(worker: Rc<Worker>) {
    let mut purse = Purse {
        saved: SAVED,
        admitted: 0,
    };
    let mut turn = 0;
    let mut told = Throttle::new(INTAKE_PERIOD);
    loop {
        if told.pass(clock::mono()).is_some() {
            worker.tell_intake();
        }
        worker.shared.directory();
        worker.shared.tell_levels();
        worker.shared.note_running();
        purse.fill(worker.shared.admitted());
        let pools = worker.shared.pool_names();
        // Each pool in its turn; one without anything stale costs nothing.
        let mut without = 0;
        while without < pools.len() && purse.saved >= 1.0 {
            turn = (turn + 1) % pools.len();
            let pool = &pools[turn];
            let now = clock::mono();
            let stale = worker
                .shared
                .with_pool(pool, |table| table.next_stale(AGE, now));
            match stale.flatten() {
                Some(index) if purse.pay() => {
                    without = 0;
                    let (worker, pool) = (Rc::clone(&worker), pool.clone());
                    let owner = worker.shared.handle.owner().clone();
                    let probe = async move { one(&worker, &pool, index).await };
                    owner.spawn_part("probe", probe);
                }
                _ => without += 1,
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
            .with_pool(pool, |table| table.record_failure(index, now));
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
        table.record_report(index, report(&load), now);
        // Drained or down: passed over, and probed again, since it may be back
        // at any moment. Only the configuration says that it is to stay away.
        if load.leaving {
            table.record_failure(index, now);
        }
    });
    Ok(())
}
