//! Memory reserved on engines for one attempt, from before it is sent until it has ended in
//! any way.
//!
//! **Failure.** A host that dies, a command that is lost, or a command that an engine
//! carries out seconds late leaves memory reserved that nobody uses, and the engine then
//! rejects prompts that it could hold. So each reservation is a lease that expires after a
//! short time unless it is renewed; it is released as soon as the attempt ends; and if a
//! command was not answered, the release is repeated until the command can no longer be
//! carried out.

use std::{cell::Cell, rc::Rc, time::Duration};

use almondlock_node::clock;
use futures::future::join_all;
use rand::Rng;
use tokio::{
    sync::mpsc::UnboundedReceiver,
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    attempt::{CONNECT_TIMEOUT, Fault, recycle},
    dialect::{Call, Dialect},
    failure::Failure,
    memory::{self, Command, Outcome, Share},
    shared::Active,
    upstream::{self, Connection},
    worker::{Target, Worker},
};

/// Time allowed for an engine to answer a command: a few round trips. Engines answer at
/// once or, in trouble, not at all.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between two release commands, if the first one failed at once.
const RELEASE_PAUSE: Duration = Duration::from_millis(100);

/// Memory reserved on one engine.
struct Lease {
    target: Target,
    /// Id of the reservation, unique among all that were ever used.
    id: String,
    tokens: u64,
    /// Whether the engine may hold the memory: a command was sent and not refused.
    may_be_held: Cell<bool>,
    /// Whether a command for it is in progress or was not answered, so that it may still be
    /// carried out. Invariant: only if `may_be_held`.
    uncertain: Cell<bool>,
}

/// All memory reserved for one attempt. Released when dropped.
pub(crate) struct Leases<D>
where
    D: Dialect,
{
    worker: Rc<Worker<D>>,
    /// Id of the request, for the log.
    request: Rc<str>,
    leases: Rc<[Lease]>,
    /// Task that renews the leases.
    renewal: Option<JoinHandle<()>>,
}

impl<D> Leases<D>
where
    D: Dialect,
{
    /// Reserves memory on all engines or on none. On failure returns a fault for each
    /// engine that failed.
    pub(crate) async fn acquire(
        worker: &Rc<Worker<D>>,
        request: &str,
        targets: &[Target],
        shares: &[Share],
    ) -> Result<Leases<D>, Vec<Fault>> {
        let drawn: u64 = worker.rng.borrow_mut().random();
        let places = shares
            .iter()
            .filter_map(|share| Some((targets.get(share.place)?, share.tokens)));
        let leases = places.enumerate().map(|(i, (target, tokens))| Lease {
            target: target.clone(),
            id: format!("{drawn:016x}-{i}"),
            tokens,
            may_be_held: Cell::new(false),
            uncertain: Cell::new(false),
        });
        // If this future is dropped half-way, as when the caller leaves, the memory is
        // released too.
        let mut leases = Leases {
            worker: Rc::clone(worker),
            request: Rc::from(request),
            leases: leases.collect(),
            renewal: None,
        };
        let orders = leases
            .leases
            .iter()
            .map(|lease| lease.reserve_or_renew(worker));
        let outcomes = join_all(orders).await;
        let failed = leases.leases.iter().zip(&outcomes);
        let failed = failed.filter(|(_, outcome)| **outcome != Outcome::Done);
        let failed: Vec<Fault> = failed
            .map(|(lease, outcome)| reservation_fault(lease, *outcome))
            .collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        let renewal = renew(Rc::clone(worker), Rc::clone(&leases.leases));
        let owner = worker.node.owner();
        leases.renewal = Some(owner.spawn_part("lease-renewal", renewal));
        Ok(leases)
    }

    /// Returns the ids of the reservations, in the order of the shares.
    pub(crate) fn ids(&self) -> Vec<String> {
        self.leases.iter().map(|lease| lease.id.clone()).collect()
    }
}

impl<D> Drop for Leases<D>
where
    D: Dialect,
{
    fn drop(&mut self) {
        if let Some(renewal) = self.renewal.take() {
            renewal.abort();
        }
        if !self.leases.iter().any(|lease| lease.may_be_held.get()) {
            return;
        }
        let ended = Ended {
            request: Rc::clone(&self.request),
            leases: Rc::clone(&self.leases),
            active: self.worker.shared.count_active(),
        };
        // Without a receiver the process is ending, and the leases expire by themselves.
        let _ = self.worker.ended_leases.send(ended);
    }
}

/// The leases of an attempt that has ended.
pub(crate) struct Ended {
    request: Rc<str>,
    leases: Rc<[Lease]>,
    // Makes a stopping process wait for the release as for an answer in progress.
    active: Active,
}

/// Releases the leases of attempts that have ended. A separate task, since a value that is
/// dropped can't wait, nor start a task while a process ends.
pub(crate) async fn release_ended<D>(worker: Rc<Worker<D>>, mut ended: UnboundedReceiver<Ended>)
where
    D: Dialect,
{
    while let Some(Ended {
        request,
        leases,
        active,
    }) = ended.recv().await
    {
        let owner = worker.node.owner().clone();
        let worker = Rc::clone(&worker);
        owner.spawn_part("lease-release", async move {
            let asked = leases.iter().filter(|lease| lease.may_be_held.get());
            join_all(asked.map(|lease| lease.release(&worker, &request))).await;
            drop(active);
            let uncertain = leases.iter().filter(|lease| lease.uncertain.get());
            join_all(uncertain.map(|lease| lease.release_late(&worker, &request))).await;
        });
    }
}

impl Lease {
    /// Reserves the memory or renews its lease. On an upstream that has asked for a pause
    /// or is leaving, only existing leases are renewed, since a request that runs there
    /// uses the memory.
    async fn reserve_or_renew<D>(&self, worker: &Worker<D>) -> Outcome
    where
        D: Dialect,
    {
        let is_closed = worker.backoff(clock::mono(), &self.target.name).is_some();
        if is_closed && !self.may_be_held.get() {
            return Outcome::Unreached;
        }
        let order = Command::Reserve {
            id: &self.id,
            tokens: self.tokens,
            duration: memory::lease_duration(worker.bounds.memory_hold),
        };
        let was_asked = self.may_be_held.replace(true);
        let was_uncertain = self.uncertain.replace(true);
        let outcome = self.send_command(worker, &order).await;
        if outcome != Outcome::Unknown {
            self.uncertain.set(was_uncertain);
        }
        if matches!(outcome, Outcome::Refused | Outcome::Unreached) {
            self.may_be_held.set(was_asked);
        }
        outcome
    }

    /// Releases the memory: repeats the command until the engine has answered or the lease
    /// has expired.
    ///
    /// **Failure.** An engine rejects a prompt and leaves the commands after it unanswered
    /// for a second or two. If the release were given up sooner, the memory would stay
    /// reserved until the lease expires, and other hosts would find the engine full.
    async fn release<D>(&self, worker: &Worker<D>, request: &str)
    where
        D: Dialect,
    {
        let order = Command::Release { id: &self.id };
        let until = clock::mono() + memory::lease_duration(worker.bounds.memory_hold);
        while clock::mono() < until && !worker.has_restarted(&self.target) {
            if let Some(pause) = self.backoff_left(worker) {
                sleep(pause.min(until.since(clock::mono()))).await;
                continue;
            }
            match self.send_command(worker, &order).await {
                Outcome::Done | Outcome::Refused => return,
                Outcome::Unknown | Outcome::Unreached => sleep(RELEASE_PAUSE).await,
            }
        }
        tracing::warn!(
            request, upstream = %self.target.name, memory = %self.id, tokens = self.tokens,
            hold_ms = memory::lease_duration(worker.bounds.memory_hold).as_millis(),
            "engine memory not released; the lease has expired"
        );
    }

    /// Releases memory that an unanswered command may reserve when it is carried out late.
    async fn release_late<D>(&self, worker: &Worker<D>, request: &str)
    where
        D: Dialect,
    {
        tracing::info!(
            request, upstream = %self.target.name, memory = %self.id, tokens = self.tokens,
            "command to reserve engine memory not answered; releasing until it can no longer take effect"
        );
        let order = Command::Release { id: &self.id };
        let until = clock::mono() + memory::MAX_EXECUTION_DELAY;
        while clock::mono() < until {
            sleep(memory::LATE_RELEASE_INTERVAL).await;
            if self.backoff_left(worker).is_none() {
                self.send_command(worker, &order).await;
            }
        }
    }

    /// Returns what is left of a pause that the upstream asked for. Leases that aren't
    /// released in that time expire.
    fn backoff_left<D>(&self, worker: &Worker<D>) -> Option<Duration>
    where
        D: Dialect,
    {
        worker
            .backoff(clock::mono(), &self.target.name)?
            .remaining()
    }

    /// Sends a command and reports whether it was carried out.
    async fn send_command<D>(&self, worker: &Worker<D>, order: &Command<'_>) -> Outcome
    where
        D: Dialect,
    {
        let call = worker.dialect.encode_command(order);
        match timeout(ANSWER_TIMEOUT, post(worker, &self.target, &call)).await {
            Ok(Ok(status)) => Outcome::from_status(status),
            Ok(Err(upstream::Error::Connect(_))) => Outcome::Unreached,
            Ok(Err(_)) | Err(_) => Outcome::Unknown,
        }
    }
}

/// Returns the fault for a reservation that failed.
fn reservation_fault(lease: &Lease, outcome: Outcome) -> Fault {
    let (failure, what) = match outcome {
        Outcome::Unknown => (Failure::Unsent, "no answer"),
        Outcome::Unreached => (Failure::Rejected, "not reached"),
        Outcome::Done | Outcome::Refused => (Failure::Rejected, "refused"),
    };
    let reason = format!("{} tokens of memory not reserved: {what}", lease.tokens);
    Fault::new(failure, Some(&lease.target.name), reason)
}

/// Renews leases until the task is aborted.
async fn renew<D>(worker: Rc<Worker<D>>, leases: Rc<[Lease]>)
where
    D: Dialect,
{
    let pause = memory::lease_duration(worker.bounds.memory_hold).mul_f64(memory::RENEWAL_FRACTION);
    loop {
        sleep(pause).await;
        // Skips engines that have started again: a renewal there would reserve new memory
        // that nobody uses, since the attempt ended with the engine's earlier life.
        let held = leases
            .iter()
            .filter(|lease| !worker.has_restarted(&lease.target));
        let renewals = held.map(async |lease| {
            let outcome = lease.reserve_or_renew(&worker).await;
            if outcome != Outcome::Done {
                tracing::warn!(
                    upstream = %lease.target.name, memory = %lease.id, ?outcome,
                    "lease of engine memory not renewed"
                );
            }
        });
        join_all(renewals).await;
    }
}

/// Sends a command and returns the status of the answer.
async fn post<D>(worker: &Worker<D>, target: &Target, call: &Call) -> Result<u16, upstream::Error>
where
    D: Dialect,
{
    let now = clock::mono();
    let pooled = worker.pool.borrow_mut().take(now, &target.name, true);
    let mut connection = match pooled {
        Some(connection) => connection,
        None => Connection::open(target.address, CONNECT_TIMEOUT).await?,
    };
    let names = worker.dialect.names();
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: {}\r\ncontent-type: {}\r\n{}: {}\r\ncontent-length: {}\r\n\r\n",
        call.path,
        target.address,
        call.content_type,
        names.instance.as_str(),
        target.name,
        call.body.len(),
    );
    let outgoing = upstream::Request {
        head: head.as_bytes(),
        body: call.body.as_bytes(),
        // Empty, since an answer that echoes any id belongs to an earlier request.
        id: (names.request_id.as_str(), b""),
    };
    let answer = connection.exchange(&outgoing).await?;
    worker.apply_backoff_headers(&target.name, &answer);
    let status = answer.status;
    recycle(worker, &target.name, connection, &answer).await;
    Ok(status)
}
