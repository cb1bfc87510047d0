//! Queues short prompts at the host until an engine has a free slot.
//!
//! [`almondlock_policy::slots`] decides which prompts are sent. This module feeds it with
//! the engines' state and wakes the requests that are granted a slot. A waiting prompt
//! holds no connection and no engine memory.

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

/// Time after which a waiting prompt checks for free slots again: twice within the age of
/// the information.
const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Age of the account of slots at which it is made anew while prompts wait. Placements
/// usually do so more often.
const REFRESH_AGE: Duration = STATE_AGE.saturating_mul(2);

/// Maximum number of engine passes from getting a slot to the first event: the pass in
/// progress, and the prompt's own.
const MAX_PASSES_TO_FIRST_EVENT: u32 = 2;

/// A slot that a prompt was granted.
#[derive(Debug, Default)]
pub(crate) struct Grant {
    /// The engine, if the slot was left by one of this host's streams.
    upstream: Option<Upstream>,
}

/// The waiting prompts of one service.
#[derive(Debug, Default)]
struct Queue {
    allocator: Allocator,
    waiters: BTreeMap<Ticket, oneshot::Sender<Grant>>,
    checked_at: Mono,
    /// The objective of the service's prompts.
    objective: Duration,
}

impl Queue {
    fn wake(&mut self, ticket: Ticket, grant: Grant) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            // The waiter may be gone; then its drop passes the slot on.
            let _ = waiter.send(grant);
        }
    }

    fn wake_all(&mut self, tickets: Vec<Ticket>) {
        for ticket in tickets {
            self.wake(ticket, Grant::default());
        }
    }
}

/// The waiting prompts of all services.
#[derive(Debug, Default)]
pub(crate) struct Queues(RefCell<HashMap<Service, Queue>>);

impl Queues {
    fn with_queue<T, F>(&self, service: &Service, act: F) -> T
    where
        F: FnOnce(&mut Queue) -> T,
    {
        let mut lines = self.0.borrow_mut();
        match lines.get_mut(service) {
            Some(queue) => act(queue),
            None => act(lines.entry(service.clone()).or_default()),
        }
    }
}

/// The slot of a request that is running.
#[derive(Debug)]
pub(crate) struct Slot {
    service: Service,
    commitment: Commitment,
    slots: u32,
}

/// The input for deciding whether a short prompt is sent.
pub(crate) struct Admission<'a> {
    pub(crate) request: &'a Request,
    pub(crate) speed: &'a Speed,
    pub(crate) targets: &'a [Target],
    pub(crate) candidates: &'a [Candidate],
    /// Whether the request may be told to wait.
    pub(crate) may_wait: bool,
    pub(crate) grant: Option<&'a Grant>,
}

/// A waiting request. Leaves the queue when dropped.
pub(crate) struct Waiter<D>
where
    D: Dialect,
{
    worker: Rc<Worker<D>>,
    service: Service,
    ticket: Ticket,
    granted: oneshot::Receiver<Grant>,
    // The request's part of what its organisation waits for.
    _claim: Option<Claim>,
}

impl<D> Waiter<D>
where
    D: Dialect,
{
    pub(crate) fn new(worker: &Rc<Worker<D>>, request: &Request, ticket: Ticket) -> Waiter<D> {
        let (sender, granted) = oneshot::channel();
        worker
            .waiting_prompts
            .with_queue(&request.service, |queue| {
                queue.waiters.insert(ticket, sender);
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
                () = sleep(CHECK_PERIOD) => self.worker.check_slots(&self.service, request.route.objective),
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
        self.worker
            .waiting_prompts
            .with_queue(&self.service, |queue| {
                queue.waiters.remove(&self.ticket);
                queue.allocator.cancel(self.ticket);
                if let Ok(grant) = unused
                    && let Some(next) = queue.allocator.grant_next(clock::mono())
                {
                    queue.wake(next, grant);
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
        let is_scarce = self.waiting_prompts.with_queue(&request.service, |queue| {
            let rows = pick::slot_usage(candidates, request.route.objective);
            queue.allocator.update(now, rows, hold, hosts);
            queue.objective = request.route.objective;
            queue.allocator.is_scarce()
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
                + speed.pass_time(speed.slots, demand.prompt * u64::from(speed.slots))
                    * MAX_PASSES_TO_FIRST_EVENT,
            priority: request.priority(),
            standing: self.standing(now, request),
        };
        let first = has_slot(choice.primary);
        let (verdict, account, waiting, per_second) = {
            let rng = &mut *self.rng.borrow_mut();
            self.waiting_prompts.with_queue(&request.service, |queue| {
                let verdict = queue.allocator.decide(now, &case, first, rng);
                let account = *queue.allocator.occupancy();
                let is_logged = verdict != Verdict::Send;
                let per_second = is_logged.then(|| queue.allocator.slot_rate(now, case.objective));
                (verdict, account, queue.allocator.waiting(), per_second)
            })
        };
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
            tracing::info!(
                request = %request.id, outcome, slots = account.slots, free = account.free,
                used = account.in_use, queued = account.queued, hosts, waiting, per_second,
                age_ms = age.map(|age| age.as_millis()), "no free slot"
            );
        }
        verdict
    }

    /// Returns the engine whose slot the prompt was granted, if that slot is still free.
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
            .with_queue(&service, |queue| queue.allocator.commit(now + hold));
        Some(Slot {
            service,
            commitment,
            slots: target.slots,
        })
    }

    /// Passes the slot of a request that has ended to the next waiting one.
    pub(crate) fn leave_slot(&self, slot: &Slot, upstream: &Upstream) {
        let now = clock::mono();
        let total = self.load.borrow().total(now, upstream);
        let is_avoided =
            self.is_suspect(now, upstream) || self.pacing.rate_and_ejection(upstream).1;
        let is_closed = is_avoided || self.backoff(now, upstream).is_some();
        let is_open = total.requests() < slot.slots && !is_closed;
        self.waiting_prompts.with_queue(&slot.service, |queue| {
            let has_slot = is_open && !pick::is_backlogged(&total, queue.objective);
            if let Some(next) = queue.allocator.release(now, slot.commitment, has_slot) {
                let upstream = Some(upstream.clone());
                queue.wake(next, Grant { upstream });
            }
        });
    }

    /// Wakes the prompts for which there are free slots, and those that have waited for as
    /// long as they may.
    fn check_slots(&self, service: &Service, objective: Duration) {
        let now = clock::mono();
        let is_due = self.waiting_prompts.with_queue(service, |queue| {
            let is_due = now.since(queue.checked_at) >= CHECK_PERIOD;
            queue.checked_at = if is_due { now } else { queue.checked_at };
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
            .with_queue(service, |queue| *queue.allocator.occupancy());
        if now.since(account.seen_at) >= REFRESH_AGE {
            let known = self.snapshot();
            let targets = known.instances.get(service).into_iter().flatten();
            let open = targets.filter(|target| self.backoff(now, &target.name).is_none());
            let candidates: Vec<Candidate> = open
                .map(|target| self.candidate(now, target, &[], &[]))
                .collect();
            let rows = pick::slot_usage(&candidates, objective);
            self.waiting_prompts.with_queue(service, |queue| {
                queue
                    .allocator
                    .update(now, rows, account.hold_time, account.other_hosts);
            });
        }
        let rng = &mut *self.rng.borrow_mut();
        self.waiting_prompts.with_queue(service, |queue| {
            let granted = queue.allocator.grant(now, rng);
            queue.wake_all(granted);
        });
    }

    /// Wakes all waiting prompts of a service.
    fn release_all(&self, service: &Service) {
        self.waiting_prompts.with_queue(service, |queue| {
            let all = queue.allocator.drain();
            queue.wake_all(all);
        });
    }
}
