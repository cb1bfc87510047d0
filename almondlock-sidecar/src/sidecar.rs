//! The sidecar of one upstream: takes an attempt, queues it, runs it on the
//! upstream and returns its outcome.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use almondlock_base::{
    Code, Ran,
    id::{Attempt, Host, Incarnation, Upstream},
    time::Mono,
};
use almondlock_node::{Handle, clock, replicas::Replicas};
use almondlock_policy::{
    ledger::Owner,
    poison::{self, Treatment, answered::Answered},
};
use almondlock_telemetry::{metrics::Metrics, trace::Context};
use almondlock_wire::{
    almondlock_capnp::{sink, source},
    attempt::{Head, Load, Outcome},
};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::sleep;
use tracing::Instrument;

use crate::{
    death,
    memory::Memory,
    orders::Forwarder,
    protocol::Protocol,
    stop::Stop,
    table::{Config, Refusal, Table},
    ticket::Ticket,
};

/// Interval at which the deadlines of waiting attempts, and whether the
/// upstream is leaving, are checked. An expired attempt is answered within this
/// time.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Pause between rounds of freeing memory and forwarding orders.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between health checks of the upstream.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a caller may retry when a refusal names none.
pub(crate) const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// The sidecar of one upstream. Clones refer to the same one.
pub struct Sidecar<P> {
    pub(crate) inner: Rc<Inner<P>>,
}

impl<P> Clone for Sidecar<P> {
    fn clone(&self) -> Sidecar<P> {
        let inner = Rc::clone(&self.inner);
        Sidecar { inner }
    }
}

/// State shared by the clones of a sidecar.
pub(crate) struct Inner<P> {
    pub(crate) upstream: Upstream,
    pub(crate) incarnation: Incarnation,
    pub(crate) protocol: P,
    pub(crate) handle: Handle,
    pub(crate) replicas: Replicas,
    pub(crate) table: RefCell<Table>,
    pub(crate) death: RefCell<death::Record>,
    // Passages that prompts with a complete answer began with.
    pub(crate) answered: RefCell<Answered>,
    rng: RefCell<SmallRng>,
    pub(crate) metrics: Metrics,
    stop: Stop,
    pub(crate) memory: Memory,
    pub(crate) orders: Forwarder,
    // Set while the upstream doesn't answer. New attempts are refused until it
    // does.
    pub(crate) down: Cell<bool>,
}

impl<P> Sidecar<P>
where
    P: Protocol,
{
    /// Creates the sidecar of an upstream and starts its periodic tasks. Must
    /// be called on the thread that serves it.
    pub fn new(
        upstream: Upstream,
        incarnation: Incarnation,
        config: Config,
        protocol: P,
        handle: Handle,
        replicas: Replicas,
        (metrics, stop): (Metrics, Stop),
    ) -> Sidecar<P> {
        let inner = Rc::new(Inner {
            upstream,
            incarnation,
            protocol,
            handle,
            replicas,
            table: RefCell::new(Table::new(config, incarnation)),
            death: RefCell::default(),
            answered: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(incarnation.0)),
            metrics,
            stop,
            memory: Memory::new(clock::mono()),
            orders: Forwarder::default(),
            down: Cell::new(false),
        });
        let owner = inner.handle.owner().clone();
        let weak = Rc::downgrade(&inner);
        owner.spawn_job("sidecar-tick", async move {
            while let Some(inner) = weak.upgrade() {
                inner.tick();
                drop(inner);
                sleep(TICK_INTERVAL).await;
            }
        });
        let weak = Rc::downgrade(&inner);
        owner.spawn_job("health-check", async move {
            while let Some(inner) = weak.upgrade() {
                let alive = inner.protocol.is_alive().await;
                inner.set_down(!alive);
                drop(inner);
                sleep(HEALTH_CHECK_INTERVAL).await;
            }
        });
        let weak = Rc::downgrade(&inner);
        owner.spawn_job("memory-upkeep", async move {
            while let Some(inner) = weak.upgrade() {
                inner.maintain_memory().await;
                inner.forward_due_order().await;
                drop(inner);
                sleep(MAINTENANCE_INTERVAL).await;
            }
        });
        Sidecar { inner }
    }

    /// Runs an attempt and returns its outcome. Dropping the future cancels it. A panic ends
    /// this attempt alone, which may have run.
    pub async fn submit(&self, head: &Head, source: source::Client, sink: sink::Client) -> Outcome {
        let owner = self.inner.handle.owner();
        let outcome = owner.guard("attempt", self.run_attempt(head, source, sink));
        outcome.await.unwrap_or_else(|panicked| {
            failed_outcome(Code::HostFault, Ran::Unknown, panicked.to_string())
        })
    }

    async fn run_attempt(
        &self,
        head: &Head,
        source: source::Client,
        sink: sink::Client,
    ) -> Outcome {
        let inner = &self.inner;
        inner.handle.heard(&head.from);
        inner.update_leaving(clock::mono());
        // A stopping process waits until this guard is dropped.
        let _guard = inner.stop.track_attempt();
        let context = inner.hop_context(&head.traceparent);
        let hop = tracing::info_span!(
            "sidecar",
            request = %head.request,
            attempt = %head.attempt,
            traceparent = %context,
            parent = %Parent(&head.traceparent),
        );
        let work = async {
            match inner.clone().admit(head).await {
                Ok(ticket) => ticket.run(head, &context, source, sink).await,
                Err(refusal) => refused_outcome(refusal),
            }
        };
        let mut outcome = work.instrument(hop).await;
        outcome.load = self.load(&head.prefix);
        outcome
    }

    /// Cancels an attempt on behalf of its entry host, and returns whether it
    /// ran.
    pub fn settle(&self, attempt: &Attempt, target: Incarnation) -> Ran {
        let now = clock::mono();
        let mut table = self.inner.table.borrow_mut();
        let ran = table.settle(attempt, target, now);
        table.grant_waiting(now);
        ran
    }

    /// Returns the upstream's load. An upstream that is down has no load and
    /// would look like the best choice, so it is reported as leaving.
    pub fn load(&self, prefix: &[u64]) -> Load {
        let mut load = self.inner.table.borrow().load(prefix);
        load.leaving |= self.inner.down.get();
        load
    }

    /// Extends the leases of all that an entry host holds here.
    pub fn renew(&self, host: Host, incarnation: Incarnation) {
        let owner = Owner { host, incarnation };
        self.inner.memory.renew(&owner, clock::mono());
    }

    /// Returns whether the upstream answers.
    pub async fn is_alive(&self) -> bool {
        self.inner.protocol.is_alive().await
    }

    /// Returns the node's handle, which supplies the peer data that every
    /// message carries.
    pub fn handle(&self) -> &Handle {
        &self.inner.handle
    }
}

/// Returns the outcome of an attempt that was refused.
pub(crate) fn refused_outcome(refusal: Refusal) -> Outcome {
    let mut outcome = Outcome::refused(refusal.code, refusal.retry_after.or(Some(DEFAULT_RETRY)));
    outcome.ran = refusal.ran;
    outcome
}

/// Formats the span of a `traceparent` header for logs.
struct Parent<'a>(&'a str);

impl std::fmt::Display for Parent<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match Context::parse(self.0) {
            Some(context) => context.span().fmt(f),
            None => Ok(()),
        }
    }
}

/// Returns the outcome of a run that failed.
pub(crate) fn failed_outcome(code: Code, ran: Ran, message: String) -> Outcome {
    Outcome {
        ran,
        message,
        ..Outcome::refused(code, Some(DEFAULT_RETRY))
    }
}

impl<P> Inner<P>
where
    P: Protocol,
{
    /// Refuses expired attempts and grants those that there is room for.
    fn tick(&self) {
        let now = clock::mono();
        self.update_leaving(now);
        let mut table = self.table.borrow_mut();
        table.expire(now);
        table.grant_waiting(now);
    }

    /// Updates whether the upstream takes new attempts. Refusing them here also
    /// covers entry hosts that are cut off and don't know that the upstream is
    /// drained.
    pub(crate) fn update_leaving(&self, now: Mono) {
        let config = self.handle.view().get();
        let leaving = config.is_drained(&self.upstream) || self.stop.is_stopping();
        self.table.borrow_mut().set_leaving(leaving, now);
    }

    pub(crate) fn with_rng<T, F>(&self, draw: F) -> T
    where
        F: FnOnce(&mut SmallRng) -> T,
    {
        draw(&mut self.rng.borrow_mut())
    }

    /// Returns the trace context of this process for an attempt.
    fn hop_context(&self, traceparent: &str) -> Context {
        self.with_rng(|rng| match Context::parse(traceparent) {
            Some(parent) => parent.child(rng),
            None => Context::root(rng),
        })
    }

    /// Records whether the upstream fails to answer.
    pub(crate) fn set_down(&self, down: bool) {
        if self.down.replace(down) != down {
            tracing::info!(upstream = %self.upstream, down, "the upstream's health changed");
        }
    }

    /// Queues an attempt and waits until it is granted or refused.
    pub(crate) async fn admit(self: Rc<Self>, head: &Head) -> Result<Ticket<P>, Refusal> {
        if self.down.get() {
            return Err(Refusal {
                code: Code::NoUpstream,
                ran: Ran::No,
                retry_after: Some(DEFAULT_RETRY),
            });
        }
        let config = self.handle.view().get();
        let known = config.quarantine(head.fingerprint);
        if known.is_some_and(|q| q.refused) {
            return Err(Refusal {
                code: Code::Quarantined,
                ran: Ran::No,
                retry_after: None,
            });
        }
        let refused = self.passage_standing(head);
        refused.map_err(|code| Refusal {
            code,
            ran: Ran::No,
            retry_after: None,
        })?;
        let known = poison::treat(known, clock::wall());
        let treatment = match known {
            Treatment::Unrestricted if head.suspect => Treatment::SingleSuspect,
            known => known,
        };
        let suspect = treatment.is_charged();
        let now = clock::mono();
        let verdict = {
            let mut table = self.table.borrow_mut();
            let verdict = table.enqueue(head, treatment, now)?;
            table.grant_waiting(now);
            verdict
        };
        let deadline = now + head.budget;
        let mut ticket = Ticket::new(Rc::clone(&self), &head.attempt, suspect, deadline);
        match verdict.await {
            Ok(Ok(grant)) => {
                ticket.record_grant(&grant);
                Ok(ticket)
            }
            Ok(Err(refusal)) => {
                ticket.mark_removed();
                Err(refusal)
            }
            // The table was dropped: the sidecar is stopping.
            Err(_) => Err(Refusal {
                code: Code::HostStopping,
                ran: Ran::No,
                retry_after: Some(DEFAULT_RETRY),
            }),
        }
    }
}
