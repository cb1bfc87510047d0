//! Short prompts that wait at the host for a free slot of an engine.
//!
//! [`almondlock_policy::slots`] decides; here it is told of the engines, and those that it
//! grants a slot are woken. A prompt that waits holds no connection and no engine memory.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use almondlock_base::{
    id::{Service, Upstream},
    time::Mono,
};
use almondlock_node::clock;
use almondlock_policy::{
    engine::Speed,
    share::{Resource, Standing},
    slots::{Allocator, Commitment, Prompt, STATE_AGE, Ticket, Verdict},
};
use tokio::{sync::oneshot, time::sleep};

use crate::{
    dialect::Dialect,
    pick::{self, Candidate, Choice},
    request::Request,
    share::Claim,
    worker::{Target, Worker},
};

/// How often a prompt that waits looks whether slots are seen free: twice within the age of
/// what is known.
const LOOK: Duration = Duration::from_millis(20);

/// The age of the account from which all engines are looked at for it while prompts wait.
/// Placements usually do so more often.
const REFRESH: Duration = STATE_AGE.saturating_mul(2);

/// Passes of an engine from a slot to the first event at most: the one that runs, and its
/// own.
const PASSES: u32 = 2;

/// A slot that a prompt was granted.
#[derive(Debug, Default)]
pub(crate) struct Grant {
    /// The engine that one of this host's streams has left, if it is such a slot.
    upstream: Option<Upstream>,
}

/// The waiting prompts of one service.
#[derive(Debug, Default)]
struct Queue {
    desk: Allocator,
    waiters: BTreeMap<Ticket, oneshot::Sender<Grant>>,
    looked: Mono,
    /// The objective of the prompts that ask.
    objective: Duration,
}

impl Queue {
    fn wake(&mut self, ticket: Ticket, grant: Grant) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            // Whoever waited may be leaving: it passes the slot on.
            let _ = waiter.send(grant);
        }
    }

    fn wake_all(&mut self, tickets: Vec<Ticket>) {
        for ticket in tickets {
            self.wake(ticket, Grant::default());
        }
    }
}

/// Those of all services.
#[derive(Debug, Default)]
pub(crate) struct Queues(RefCell<HashMap<Service, Queue>>);

impl Queues {
    fn with<T, F>(&self, service: &Service, act: F) -> T
    where
        F: FnOnce(&mut Queue) -> T,
    {
        let mut lines = self.0.borrow_mut();
        match lines.get_mut(service) {
            Some(line) => act(line),
            None => act(lines.entry(service.clone()).or_default()),
        }
    }
}

/// A request's slot as long as it runs.
#[derive(Debug)]
pub(crate) struct Slot {
    service: Service,
    commitment: Commitment,
    slots: u32,
}

/// What a decision is made with.
pub(crate) struct Admission<'a> {
    pub(crate) request: &'a Request,
    pub(crate) speed: &'a Speed,
    pub(crate) targets: &'a [Target],
    pub(crate) candidates: &'a [Candidate],
    /// It may be told to wait.
    pub(crate) may_wait: bool,
    pub(crate) grant: Option<&'a Grant>,
}

/// A request that waits. Leaves the line when dropped.
pub(crate) struct Waiter<D>
where
    D: Dialect,
{
    worker: Rc<Worker<D>>,
    service: Service,
    ticket: Ticket,
    granted: oneshot::Receiver<Grant>,
    // What its organisation waits for.
    _claim: Option<Claim>,
}

impl<D> Waiter<D>
where
    D: Dialect,
{
    pub(crate) fn new(worker: &Rc<Worker<D>>, request: &Request, ticket: Ticket) -> Waiter<D> {
        let (sender, granted) = oneshot::channel();
        worker.waiting_prompts.with(&request.service, |line| {
            line.waiters.insert(ticket, sender);
        });
        worker.shared.metrics.rise("slots", "waiting");
        Waiter {
            worker: Rc::clone(worker),
            service: request.service.clone(),
            ticket,
            granted,
            _claim: worker.claim_waiting(request, Resource::Slots),
        }
    }

    /// Waits for a slot.
    pub(crate) async fn granted(mut self, request: &Request) -> Grant {
        let began = clock::mono();
        let grant = loop {
            tokio::select! {
                biased;
                grant = &mut self.granted => break grant.unwrap_or_default(),
                () = sleep(LOOK) => self.worker.check_slots(&self.service, request.route.objective),
            }
        };
        tracing::info!(
            request = %request.id, waited_ms = clock::mono().since(began).as_millis(),
            upstream = grant.upstream.as_ref().map_or("any", Upstream::as_str),
            "granted a slot"
        );
        grant
    }
}

impl<D> Drop for Waiter<D>
where
    D: Dialect,
{
    fn drop(&mut self) {
        self.worker.shared.metrics.fall("slots", "waiting");
        let unused = self.granted.try_recv();
        self.worker.waiting_prompts.with(&self.service, |line| {
            line.waiters.remove(&self.ticket);
            line.desk.cancel(self.ticket);
            if let Ok(grant) = unused
                && let Some(next) = line.desk.grant_next(clock::mono())
            {
                line.wake(next, grant);
            }
        });
    }
}

impl<D> Worker<D>
where
    D: Dialect,
{
    /// Decides whether a short prompt is sent now, and to which engine.
    pub(crate) fn admit(
        &self,
        question: &Admission<'_>,
        choice: &mut Choice,
        now: Mono,
    ) -> Verdict {
        let &Admission {
            request,
            speed,
            candidates,
            ..
        } = question;
        let Some(demand) = request.demand else {
            return Verdict::Send;
        };
        let may_wait = question.may_wait && question.grant.is_none();
        let (is_informed, hosts, age) = {
            let load = self.load.borrow();
            (
                load.is_informed(now),
                load.other_hosts(now),
                load.sum_age(now),
            )
        };
        let hold = pick::slot_duration(speed, demand, speed.slots);
        let is_scarce = self.waiting_prompts.with(&request.service, |line| {
            let rows = pick::slot_usage(candidates, request.route.objective);
            line.desk.update(now, rows, hold, hosts);
            line.objective = request.route.objective;
            line.desk.is_scarce()
        });
        if !is_informed || self.shared.is_stopping() {
            self.release_all(&request.service);
            return Verdict::Send;
        }
        let has_slot = |place: usize| candidates.get(place).is_some_and(Candidate::has_slot);
        match self.granted_place(question) {
            Some(place) => pick::redirect(speed, demand, candidates, choice, place),
            None if is_scarce || !has_slot(choice.primary) => {
                let rng = &mut *self.rng.borrow_mut();
                let place =
                    pick::draw_engine_with_slot(speed, demand, candidates, choice.primary, rng);
                pick::redirect(speed, demand, candidates, choice, place);
            }
            None => {}
        }
        if !may_wait {
            return Verdict::Send;
        }
        let case = Prompt {
            arrived: request.arrived,
            deadline: request.deadline,
            objective: request.route.objective,
            expected_delay: speed.reading_time(demand.prompt)
                + speed.pass_time(speed.slots, demand.prompt * u64::from(speed.slots)) * PASSES,
            priority: request.priority(),
            standing: self.standing(now, request),
        };
        let first = has_slot(choice.primary);
        let rng = &mut *self.rng.borrow_mut();
        self.waiting_prompts.with(&request.service, |line| {
            let verdict = line.desk.decide(now, &case, first, rng);
            let outcome = match verdict {
                Verdict::Send => "sent",
                Verdict::Wait(_) => "waited",
                Verdict::Refuse { .. } => "refused",
            };
            self.shared.metrics.count("slots", outcome);
            if let Verdict::Refuse {
                retry_after: returns,
            } = verdict
            {
                self.note_refused(request, Resource::Slots, now, Some(returns));
            }
            if case.standing != Standing::Within && matches!(verdict, Verdict::Wait(_)) {
                self.note_deprioritised(request, now, "queued behind");
            }
            if verdict != Verdict::Send {
                let account = line.desk.occupancy();
                tracing::info!(
                    request = %request.id, outcome, slots = account.slots, free = account.free,
                    used = account.in_use, queued = account.queued, hosts,
                    waiting = line.desk.waiting(), per_second = line.desk.slot_rate(now, case.objective),
                    age_ms = age.map(|age| age.as_millis()), "no free slot"
                );
            }
            verdict
        })
    }

    /// The engine whose slot the prompt was granted, if that is still free.
    fn granted_place(&self, question: &Admission<'_>) -> Option<usize> {
        let upstream = question.grant?.upstream.as_ref()?;
        let mut targets = question.targets.iter();
        let place = targets.position(|target| target.name == *upstream)?;
        let candidate = question.candidates.get(place)?;
        let is_open = candidate.has_slot() && !candidate.is_avoided() && candidate.may_answer();
        is_open.then_some(place)
    }

    /// Counts the slot that a request takes.
    pub(crate) fn take_slot(&self, request: &Request, target: &Target, now: Mono) -> Option<Slot> {
        if !self.features.slot_admission {
            return None;
        }
        let known = self.snapshot();
        let service = known.rules.as_ref()?.service(&request.service)?;
        let speed = service.engine.as_ref()?;
        let hold = pick::slot_duration(speed, request.demand?, speed.slots);
        let service = request.service.clone();
        let commitment = self
            .waiting_prompts
            .with(&service, |line| line.desk.commit(now + hold));
        Some(Slot {
            service,
            commitment,
            slots: target.slots,
        })
    }

    /// A request has ended, and its slot goes to the next one that waits.
    pub(crate) fn leave_slot(&self, slot: &Slot, upstream: &Upstream) {
        let now = clock::mono();
        let total = self.load.borrow().total(now, upstream);
        let is_avoided =
            self.is_suspect(now, upstream) || self.pacing.rate_and_ejection(upstream).1;
        let is_closed = is_avoided || self.backoff(now, upstream).is_some();
        let is_open = total.requests() < slot.slots && !is_closed;
        self.waiting_prompts.with(&slot.service, |line| {
            let has_slot = is_open && !pick::is_backlogged(&total, line.objective);
            if let Some(next) = line.desk.release(now, slot.commitment, has_slot) {
                let upstream = Some(upstream.clone());
                line.wake(next, Grant { upstream });
            }
        });
    }

    /// Wakes the prompts for which slots are seen free, or that have waited for as long as
    /// they may.
    fn check_slots(&self, service: &Service, objective: Duration) {
        let now = clock::mono();
        let is_due = self.waiting_prompts.with(service, |line| {
            let is_due = now.since(line.looked) >= LOOK;
            line.looked = if is_due { now } else { line.looked };
            is_due
        });
        if !is_due {
            return;
        }
        if self.shared.is_stopping() || !self.load.borrow().is_informed(now) {
            return self.release_all(service);
        }
        let account = self
            .waiting_prompts
            .with(service, |line| *line.desk.occupancy());
        if now.since(account.seen_at) >= REFRESH {
            let known = self.snapshot();
            let targets = known.instances.get(service).into_iter().flatten();
            let open = targets.filter(|target| self.backoff(now, &target.name).is_none());
            let candidates: Vec<Candidate> = open
                .map(|target| self.candidate(now, target, &[], &[]))
                .collect();
            let rows = pick::slot_usage(&candidates, objective);
            self.waiting_prompts.with(service, |line| {
                line.desk
                    .update(now, rows, account.hold_time, account.other_hosts);
            });
        }
        let rng = &mut *self.rng.borrow_mut();
        self.waiting_prompts.with(service, |line| {
            let granted = line.desk.grant(now, rng);
            line.wake_all(granted);
        });
    }

    /// Wakes all that wait.
    fn release_all(&self, service: &Service) {
        self.waiting_prompts.with(service, |line| {
            let all = line.desk.drain();
            line.wake_all(all);
        });
    }
}
