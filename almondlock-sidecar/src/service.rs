//! One upstream's sidecar at work: from a submitted attempt to its outcome.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use almondlock_base::{
    Code, Ran,
    id::{Attempt, Host, Incarnation, Upstream},
    time::Mono,
    unit::Tokens,
};
use almondlock_node::{
    Handle, clock,
    replicas::{Blame, Replicas},
};
use almondlock_policy::{
    ledger::{Item, Kind, Owner},
    poison::{self, Treatment},
};
use almondlock_telemetry::{metrics::Metrics, trace::Context};
use almondlock_wire::{
    almondlock_capnp::{sink, source},
    answer::{Part, Usage},
    attempt::{Head, Load, Outcome},
};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::{
    sync::oneshot,
    task::spawn_local,
    time::{sleep, timeout},
};
use tracing::Instrument;

use crate::{
    memory::{Memory, owner_of},
    orders::Desk,
    output::{Pusher, Watch},
    protocol::{Failure, Job, Output, Protocol, feed},
    pull::pull,
    table::{Config, Present, Refusal, Table},
};

/// How often deadlines of waiting work and the upstream's leaving are looked
/// at; what is given up on is answered within this time.
const TICK: Duration = Duration::from_millis(10);
/// Pause between two looks at what memory is to be freed.
const MEMORY_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two looks at whether the upstream answers.
const HEALTH_PAUSE: Duration = Duration::from_millis(500);
/// How long blame for a death may take before the outcomes go out without it.
const BLAME_TIMEOUT: Duration = Duration::from_secs(3);
/// When to come back after a refusal that names no time.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// The sidecar of one upstream. Clones are handles to the same one.
pub struct Service<P> {
    pub(crate) inner: Rc<Inner<P>>,
}

impl<P> Clone for Service<P> {
    fn clone(&self) -> Service<P> {
        let inner = Rc::clone(&self.inner);
        Service { inner }
    }
}

pub(crate) struct Inner<P> {
    upstream: Upstream,
    incarnation: Incarnation,
    pub(crate) protocol: P,
    pub(crate) handle: Handle,
    replicas: Replicas,
    pub(crate) table: RefCell<Table>,
    death: RefCell<Death>,
    rng: RefCell<SmallRng>,
    pub(crate) metrics: Metrics,
    pub(crate) memory: Memory,
    orders: Desk,
    // The upstream doesn't answer; nothing is handed to it until it does.
    pub(crate) down: Cell<bool>,
}

/// Deaths of the engine in the sidecar's life.
#[derive(Default)]
struct Death {
    count: u64,
    // What ran when the engine died, until it lives again.
    present: Option<Vec<Present>>,
}

impl<P> Service<P>
where
    P: Protocol,
{
    /// A sidecar in front of an upstream. Must be made on the thread that
    /// serves it.
    pub fn new(
        upstream: Upstream,
        incarnation: Incarnation,
        config: Config,
        protocol: P,
        handle: Handle,
        replicas: Replicas,
        metrics: Metrics,
    ) -> Service<P> {
        let inner = Rc::new(Inner {
            upstream,
            incarnation,
            protocol,
            handle,
            replicas,
            table: RefCell::new(Table::new(config, incarnation)),
            death: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(incarnation.0)),
            metrics,
            memory: Memory::new(clock::mono()),
            orders: Desk::default(),
            down: Cell::new(false),
        });
        let weak = Rc::downgrade(&inner);
        spawn_local(async move {
            while let Some(inner) = weak.upgrade() {
                inner.tick();
                drop(inner);
                sleep(TICK).await;
            }
        });
        let weak = Rc::downgrade(&inner);
        spawn_local(async move {
            while let Some(inner) = weak.upgrade() {
                let alive = inner.protocol.alive().await;
                inner.set_down(!alive);
                drop(inner);
                sleep(HEALTH_PAUSE).await;
            }
        });
        let weak = Rc::downgrade(&inner);
        spawn_local(async move {
            while let Some(inner) = weak.upgrade() {
                inner.tend_memory().await;
                inner.tend_orders().await;
                drop(inner);
                sleep(MEMORY_PAUSE).await;
            }
        });
        Service { inner }
    }

    /// Runs an attempt to its outcome. Dropping the future gives it up.
    pub async fn submit(&self, head: &Head, source: source::Client, sink: sink::Client) -> Outcome {
        let inner = &self.inner;
        inner.handle.heard(&head.from);
        inner.check_leaving(clock::mono());
        let context = inner.hop(&head.traceparent);
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
                Err(refusal) => refused(refusal),
            }
        };
        let mut outcome = work.instrument(hop).await;
        outcome.load = self.load(&head.prefix);
        outcome
    }

    /// Gives an attempt up and says whether it ran.
    pub fn settle(&self, attempt: &Attempt, target: Incarnation) -> Ran {
        let now = clock::mono();
        let mut table = self.inner.table.borrow_mut();
        let ran = table.settle(attempt, target, now);
        table.pump(now);
        ran
    }

    /// The upstream's load. One that doesn't answer has none, and would look
    /// like the best of all; so it is told as taking no work.
    pub fn load(&self, prefix: &[u64]) -> Load {
        let mut load = self.inner.table.borrow().load(prefix);
        load.leaving |= self.inner.down.get();
        load
    }

    /// An entry host lives: the leases of all it holds here are extended.
    pub fn renew(&self, host: Host, incarnation: Incarnation) {
        let owner = Owner { host, incarnation };
        self.inner.memory.renew(&owner, clock::mono());
    }

    /// Whether the upstream answers.
    pub async fn is_alive(&self) -> bool {
        self.inner.protocol.alive().await
    }

    /// The node's handle, for what every exchange carries.
    pub fn handle(&self) -> &Handle {
        &self.inner.handle
    }
}

pub(crate) fn refused(refusal: Refusal) -> Outcome {
    let mut outcome = Outcome::refused(refusal.code, refusal.retry_after.or(Some(DEFAULT_RETRY)));
    outcome.ran = refusal.ran;
    outcome
}

/// The span that a `traceparent` names, for logs.
struct Parent<'a>(&'a str);

impl std::fmt::Display for Parent<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match Context::parse(self.0) {
            Some(context) => context.span().fmt(f),
            None => Ok(()),
        }
    }
}

pub(crate) fn failed(code: Code, ran: Ran, message: String) -> Outcome {
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
    fn tick(&self) {
        let now = clock::mono();
        self.check_leaving(now);
        let mut table = self.table.borrow_mut();
        table.expire(now);
        table.pump(now);
    }

    /// The sidecar is the gate: an entry host that is cut off and doesn't know
    /// of the drain is refused here.
    pub(crate) fn check_leaving(&self, now: Mono) {
        let config = self.handle.view().get();
        let leaving = config.drains.contains_key(&self.upstream);
        self.table.borrow_mut().set_leaving(leaving, now);
    }

    /// Hands on the order that is due.
    async fn tend_orders(&self) {
        let config = self.handle.view().get();
        let due = self
            .orders
            .due(&config, &self.upstream, self.incarnation, clock::wall());
        let Some(order) = due else {
            return;
        };
        let (model, version) = (order.model.as_str(), order.version.as_str());
        match self.protocol.load(model, version, order.fence).await {
            Ok(()) => {
                self.orders.handed(&order);
                tracing::info!(upstream = %self.upstream, model, version, "ordered to load");
            }
            Err(failure @ Failure::Refused(..)) => {
                self.orders.handed(&order);
                tracing::warn!(upstream = %self.upstream, %failure, "the order was refused");
            }
            Err(failure) => {
                tracing::warn!(upstream = %self.upstream, %failure, "the order is tried again");
            }
        }
    }

    /// Gives the orders to free that are due, and compares with the engine.
    async fn tend_memory(&self) {
        for order in self.memory.orders(clock::mono()) {
            let asked = clock::mono();
            if self.protocol.cancel(&order.id).await {
                self.memory.freed(&order.id, asked);
            }
            if order.kind == Kind::Reservation {
                self.drop_reservation(&order.id);
            }
        }
        if !self.memory.compare_due(clock::mono()) {
            return;
        }
        let held = self.memory.held();
        self.metrics.memory_held(self.upstream.as_str(), held);
        let asked = clock::mono();
        if let Some(list) = self.protocol.held().await {
            self.memory.compare(list, asked, clock::mono());
        }
    }

    /// A reservation's lease has ended: its room goes to the next.
    fn drop_reservation(&self, id: &str) {
        let now = clock::mono();
        let mut table = self.table.borrow_mut();
        table.release_named(id, now);
        table.pump(now);
    }

    fn with_rng<T, F>(&self, draw: F) -> T
    where
        F: FnOnce(&mut SmallRng) -> T,
    {
        draw(&mut self.rng.borrow_mut())
    }

    /// The context of this process's hop of an attempt.
    fn hop(&self, traceparent: &str) -> Context {
        self.with_rng(|rng| match Context::parse(traceparent) {
            Some(parent) => parent.child(rng),
            None => Context::root(rng),
        })
    }

    fn set_down(&self, down: bool) {
        if self.down.replace(down) != down {
            tracing::info!(upstream = %self.upstream, down, "the upstream's health changed");
        }
    }

    async fn admit(self: Rc<Self>, head: &Head) -> Result<Ticket<P>, Refusal> {
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
        let known = poison::treat(known, clock::wall());
        let treatment = match known {
            Treatment::Free if head.suspect => Treatment::Apart,
            known => known,
        };
        let suspect = treatment.is_charged();
        let now = clock::mono();
        let told = {
            let mut table = self.table.borrow_mut();
            let told = table.enter(head, treatment, now)?;
            table.pump(now);
            told
        };
        let mut ticket = Ticket {
            inner: Rc::clone(&self),
            attempt: head.attempt.clone(),
            suspect,
            deadline: now + head.budget,
            priority: 0,
            queued: Duration::ZERO,
            ending: Some(Ending {
                ran: Ran::No,
                output: Tokens::ZERO,
            }),
            started: false,
            charge: None,
        };
        match told.await {
            Ok(Ok(grant)) => {
                ticket.priority = grant.priority;
                ticket.queued = grant.waited;
                Ok(ticket)
            }
            Ok(Err(refusal)) => {
                ticket.ending = None;
                Err(refusal)
            }
            // The sidecar is stopping.
            Err(_) => Err(Refusal {
                code: Code::HostStopping,
                ran: Ran::No,
                retry_after: Some(DEFAULT_RETRY),
            }),
        }
    }

    /// Called when a run broke: tells whether the engine died, and with what
    /// on it. Whoever notices first keeps the list, since the others leave the
    /// table one by one, and blames all of them before any outcome goes out:
    /// a copy sent at once must find its suspicion known.
    pub(crate) async fn look_for_death(&self) -> Option<Vec<Present>> {
        let seen = self.table.borrow().present();
        let alive = self.protocol.alive().await;
        self.set_down(!alive);
        if alive {
            self.death.borrow_mut().present = None;
            return None;
        }
        let (first, present, count) = {
            let mut death = self.death.borrow_mut();
            let first = death.present.is_none();
            if first {
                death.count += 1;
                death.present = Some(seen);
            }
            let present = death.present.clone().unwrap_or_default();
            (first, present, death.count)
        };
        if first {
            tracing::warn!(upstream = %self.upstream, present = present.len(), "the upstream died");
        }
        self.blame(&present, count).await;
        Some(present)
    }

    /// Has the death that a suspect may cause entered before it runs. Without
    /// this, copies that reach several sidecars at once would all run.
    async fn charge(&self, blame: &Blame) -> Result<(), Code> {
        match self.replicas.charge(blame, BLAME_TIMEOUT).await {
            Ok(revision) => {
                self.handle.heard_revision(revision);
                Ok(())
            }
            Err(Code::NoQuorum) => Err(Code::ClaimUnavailable),
            Err(code) => Err(code),
        }
    }

    /// The death that a run starting now would cause.
    fn next_death(&self, head: &Head) -> Blame {
        let next = self.death.borrow().count + 1;
        Blame {
            fingerprint: head.fingerprint,
            organisation: head.organisation.clone(),
            upstream: self.upstream.clone(),
            incarnation: Incarnation(self.incarnation.0.wrapping_add(next)),
        }
    }

    /// Blame is told again by every run that broke: the replicas count a death
    /// once for each request.
    async fn blame(&self, present: &[Present], count: u64) {
        let life = Incarnation(self.incarnation.0.wrapping_add(count));
        let all = present.iter().map(|one| {
            let blame = Blame {
                fingerprint: one.fingerprint,
                organisation: one.organisation.clone(),
                upstream: self.upstream.clone(),
                incarnation: life,
            };
            async move { self.replicas.blame(&blame, BLAME_TIMEOUT).await }
        });
        for told in futures::future::join_all(all).await {
            match told {
                Ok(revision) => self.handle.heard_revision(revision),
                Err(code) => tracing::warn!(%code, "blame for a death could not be told"),
            }
        }
        // The outcome carries our revision; whoever reads it learns that there
        // is a suspicion to fetch.
        self.handle.catch_up(BLAME_TIMEOUT).await;
    }
}

/// How a ticket leaves the table when nothing more is said.
struct Ending {
    ran: Ran,
    output: Tokens,
}

/// An attempt's place in the table. Dropping it, at whatever point its entry
/// host is lost, takes the attempt out and ends its run.
struct Ticket<P>
where
    P: Protocol,
{
    inner: Rc<Inner<P>>,
    attempt: Attempt,
    suspect: bool,
    deadline: Mono,
    priority: u8,
    queued: Duration,
    ending: Option<Ending>,
    started: bool,
    // The death entered in advance, for a suspect.
    charge: Option<Blame>,
}

impl<P> Drop for Ticket<P>
where
    P: Protocol,
{
    fn drop(&mut self) {
        let Some(ending) = self.ending.take() else {
            return;
        };
        let now = clock::mono();
        let mut table = self.inner.table.borrow_mut();
        table.finish(&self.attempt, ending.output, ending.ran, now);
        table.pump(now);
        drop(table);
        if let Some(charge) = self.charge.take() {
            let inner = Rc::clone(&self.inner);
            spawn_local(async move {
                if inner.protocol.alive().await {
                    inner.clear(&charge, false).await;
                }
            });
        }
        let id = self.attempt.to_string();
        if self.started {
            self.inner.memory.release(&id, now);
        } else {
            self.inner.memory.ended(&id);
        }
    }
}

impl<P> Watch for Ticket<P>
where
    P: Protocol,
{
    fn prefilled(&self) {
        let now = clock::mono();
        let mut table = self.inner.table.borrow_mut();
        table.prefilled(&self.attempt, now);
        table.pump(now);
    }
}

/// Why a run ended.
enum End {
    Result(Result<Usage, Failure>),
    Deadline,
    GivenUp,
}

impl<P> Ticket<P>
where
    P: Protocol,
{
    async fn run(
        mut self,
        head: &Head,
        context: &Context,
        source: source::Client,
        sink: sink::Client,
    ) -> Outcome {
        let charge = self.suspect.then(|| self.inner.next_death(head));
        if let Some(charge) = &charge {
            if let Err(code) = self.inner.charge(charge).await {
                return Outcome::refused(code, Some(DEFAULT_RETRY));
            }
            // Taken back also when the entry host leaves in the middle.
            self.charge = Some(charge.clone());
        }
        let started = self.inner.table.borrow_mut().start(&self.attempt);
        let cancelled = match started {
            Ok(cancelled) => cancelled,
            Err(refusal) => return refused(refusal),
        };
        self.started = true;
        let owner = owner_of(&head.attempt);
        let item = Item {
            kind: Kind::Stream,
            tokens: head.prompt + head.output,
        };
        let now = clock::mono();
        let id = self.attempt.to_string();
        self.inner.memory.open(id, item, &owner, head.lease, now);
        // Until something better is known: it was handed on.
        self.ending = Some(Ending {
            ran: Ran::Yes,
            output: head.output,
        });
        let queued = self.queued;
        let ticket = Rc::new(self);
        let mut pusher = Pusher::new(
            head.attempt.clone(),
            head.resume_at,
            sink,
            Rc::clone(&ticket),
        );
        let hop = ticket.inner.with_rng(|rng| context.child(rng));
        let span = tracing::info_span!(
            "upstream",
            request = %head.request,
            upstream = %ticket.inner.upstream,
            traceparent = %hop,
            parent = %context.span(),
        );
        let hop = hop.to_string();
        let drive = ticket.drive(head, &hop, source, cancelled, &mut pusher);
        let end = drive.instrument(span).await;
        let began = pusher.has_begun();
        let flushed = match &end {
            // The last frames must be there before the outcome says so.
            End::Result(Ok(_)) => pusher.flush().await.is_ok(),
            _ => {
                drop(pusher);
                true
            }
        };
        let inner = Rc::clone(&ticket.inner);
        let mut outcome = inner.judge(end, began, flushed).await;
        outcome.queued = queued;
        if let Ok(mut ticket) = Rc::try_unwrap(ticket) {
            ticket.close(&outcome);
        }
        if let Some(charge) = charge
            && !outcome.died
        {
            inner.clear(&charge, outcome.code.is_none()).await;
        }
        outcome
    }

    async fn drive(
        &self,
        head: &Head,
        traceparent: &str,
        source: source::Client,
        cancelled: oneshot::Receiver<()>,
        pusher: &mut Pusher<Ticket<P>>,
    ) -> End {
        let id = self.attempt.to_string();
        let job = Job {
            head,
            traceparent,
            id: &id,
            priority: self.priority,
        };
        let (feeder, body) = feed();
        let protocol = &self.inner.protocol;
        let work = async {
            let run = async {
                let usage = protocol.run(job, body, pusher).await?;
                let end = Part::End(usage.clone());
                pusher.put(0, end).await.map_err(|_| Failure::Gone)?;
                Ok(usage)
            };
            // The body may be left unread: the answer alone ends the run.
            let feeding = async {
                pull(head, &source, feeder).await;
                std::future::pending::<()>().await;
            };
            tokio::select! {
                result = run => result,
                () = feeding => Err(Failure::Broken),
            }
        };
        let left = self.deadline.since(clock::mono());
        tokio::select! {
            result = timeout(left, work) => result.map_or(End::Deadline, End::Result),
            Ok(()) = cancelled => End::GivenUp,
        }
    }

    /// Leaves the table in the way the outcome says.
    fn close(&mut self, outcome: &Outcome) {
        self.charge = None;
        if let Some(ending) = &mut self.ending {
            ending.ran = outcome.ran;
        }
        // A whole answer has left nothing on the engine to cancel.
        self.started = outcome.code.is_some();
    }
}

impl<P> Inner<P>
where
    P: Protocol,
{
    async fn judge(&self, end: End, began: bool, flushed: bool) -> Outcome {
        let failure = match end {
            End::Result(Ok(_)) if flushed => {
                return Outcome {
                    code: None,
                    ran: Ran::Yes,
                    message: String::new(),
                    retry_after: None,
                    ..Outcome::refused(Code::CallerLeft, None)
                };
            }
            End::Result(Ok(_)) => Failure::Gone,
            End::Result(Err(failure)) => failure,
            End::Deadline => {
                let text = Code::DeadlinePassed.text().to_owned();
                return failed(Code::DeadlinePassed, Ran::Yes, text);
            }
            End::GivenUp => {
                return failed(Code::CallerLeft, Ran::Yes, "given up".to_owned());
            }
        };
        let text = failure.to_string();
        match failure {
            Failure::Unreachable => {
                self.set_down(true);
                failed(Code::NoUpstream, Ran::No, text)
            }
            Failure::Refused(413, _) => failed(Code::PromptTooLong, Ran::No, text),
            Failure::Refused(503 | 429, _) => failed(Code::MemoryUnavailable, Ran::No, text),
            Failure::Refused(..) => failed(Code::UpstreamFailed, Ran::No, text),
            Failure::Failed(..) => failed(Code::UpstreamFailed, Ran::Yes, text),
            Failure::Gone => failed(Code::CallerLeft, Ran::Yes, text),
            Failure::Broken | Failure::Truncated => {
                let death = self.look_for_death().await;
                let ran = if began { Ran::Yes } else { Ran::Unknown };
                let code = if began {
                    Code::StreamBroken
                } else {
                    Code::UpstreamLost
                };
                let mut outcome = failed(code, ran, text);
                outcome.died = death.is_some();
                let others = death.unwrap_or_default();
                outcome.beside = others.iter().map(|one| one.fingerprint).collect();
                outcome
            }
        }
    }

    async fn clear(&self, charge: &Blame, harmless: bool) {
        let told = self.replicas.clear(charge, harmless, BLAME_TIMEOUT).await;
        if let Err(code) = told {
            tracing::warn!(%code, "a charge could not be taken back");
        }
    }
}
