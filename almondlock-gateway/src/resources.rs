//! What one attempt holds while it runs: its entries in this host's load table, a slot, its
//! part of the organisation's usage, and memory reserved on engines.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use almondlock_base::{id::Upstream, time::Mono};

use crate::{
    dialect::Dialect,
    lease::Leases,
    load::{Ticket, Work},
    pick::{self, Choice},
    request::Request,
    share::Claim,
    slots::Slot,
    worker::{Target, Worker},
};

/// How long an attempt that holds memory on helpers, the engines that process parts of its
/// prompt for the answering one, may be silent beyond the time expected for its first event.
///
/// **Failure.** The engine that answers a large prompt stops responding, or its answer is
/// lost without a reset. If such an attempt were waited for as long as others, it would keep
/// renewing unused memory on helpers, and keep other prompts out. With this limit the memory
/// is released within the 4 s for which it may outlive its use, as long as first events are
/// expected within 2.2 s. If the command that releases it is lost too, the memory stays
/// reserved until the lease expires.
const MAX_SILENCE: Duration = Duration::from_millis(1_800);

/// What one attempt holds. Released when dropped.
pub(crate) struct Resources<D>
where
    D: Dialect,
{
    worker: Rc<Worker<D>>,
    /// Entries in the load table, by upstream.
    tickets: Vec<(Upstream, Ticket)>,
    /// Memory reserved on engines.
    leases: RefCell<Option<Leases<D>>>,
    /// The attempt's part of its organisation's usage.
    claim: Option<Claim>,
    /// Slot on the answering upstream. Invariant: that upstream's ticket comes first.
    slot: Option<Slot>,
    /// Whether the request is a short prompt.
    is_short: bool,
    /// Whether some of the memory is reserved on helpers.
    has_helper_memory: bool,
    /// When the first event is expected.
    first_event_expected: Mono,
    /// Whether the first event has arrived.
    is_prompt_read: Cell<bool>,
    /// Time within which the first event should come, if this probes an ejected upstream.
    probe_objective: Option<Duration>,
}

impl<D> Resources<D>
where
    D: Dialect,
{
    /// Adds the attempt to the load of each participating upstream.
    pub(crate) fn new(
        worker: &Rc<Worker<D>>,
        request: &Request,
        targets: &[Target],
        choice: &Choice,
        now: Mono,
    ) -> Resources<D> {
        let demand = request.demand;
        let memory = demand.map_or(0, |demand| demand.prompt + demand.output);
        let others = choice.shares.iter().filter(|s| s.place != choice.primary);
        let shared: u64 = others.map(|share| share.tokens).sum();
        let first = Work {
            reading: choice.part,
            writes: true,
            short: choice.helpers.is_empty() && choice.part <= pick::MAX_SHORT_READING,
            memory: memory.saturating_sub(shared),
            ..Work::default()
        };
        let helpers = choice.helpers.iter().map(|place| {
            let share = choice.shares.iter().find(|share| share.place == *place);
            let part = Work {
                reading: choice.part,
                memory: share.map_or(0, |share| share.tokens),
                ..Work::default()
            };
            (*place, part)
        });
        let mut load = worker.load.borrow_mut();
        let tickets = [(choice.primary, first)].into_iter().chain(helpers);
        let tickets = tickets
            .filter_map(|(place, mut work)| {
                let name = &targets.get(place)?.name;
                work.wait = load.total(now, name).backlog();
                Some((name.clone(), load.begin(now, name, work)))
            })
            .collect();
        drop(load);
        worker.load_changed.notify_one();
        let target = targets.get(choice.primary);
        Resources {
            slot: target.and_then(|target| worker.take_slot(request, target, now)),
            is_short: first.short,
            worker: Rc::clone(worker),
            tickets,
            leases: RefCell::default(),
            claim: worker.claim_sent(request),
            has_helper_memory: choice.shares.iter().any(|s| s.place != choice.primary),
            first_event_expected: now + choice.expected,
            is_prompt_read: Cell::new(false),
            probe_objective: targets
                .get(choice.primary)
                .filter(|target| worker.is_probe(&target.name))
                .map(|_| request.route.objective),
        }
    }

    /// Holds the memory that was reserved for the attempt.
    pub(crate) fn attach_leases(&self, leases: Leases<D>) {
        *self.leases.borrow_mut() = Some(leases);
    }

    /// Releases memory on helpers although the attempt may go on. Memory on the answering
    /// engine stays in use for as long as that engine works.
    pub(crate) fn release_helper_memory(&self) {
        if !self.has_helper_memory {
            return;
        }
        drop(self.leases.borrow_mut().take());
    }

    /// Returns how long to wait for the next bytes, where `usual` is the time for other
    /// attempts. For the first event of a probe it is at most the objective: the probed
    /// upstream is expected to be silent, and another attempt follows.
    pub(crate) fn silence_timeout(&self, now: Mono, usual: Duration) -> Duration {
        let usual = match self.probe_objective {
            Some(objective) if !self.is_prompt_read.get() => usual.min(objective),
            _ => usual,
        };
        if !self.has_helper_memory || self.leases.borrow().is_none() {
            return usual;
        }
        let first = match self.is_prompt_read.get() {
            true => Duration::ZERO,
            false => self.first_event_expected.since(now),
        };
        usual.min(first + MAX_SILENCE)
    }

    /// Records that the prompt has been read.
    pub(crate) fn mark_prompt_read(&self) {
        self.is_prompt_read.set(true);
        if let Some(claim) = &self.claim {
            claim.finish_reading();
        }
        let mut load = self.worker.load.borrow_mut();
        for (upstream, ticket) in &self.tickets {
            load.finish_reading(upstream, *ticket);
        }
        self.worker.load_changed.notify_one();
    }

    /// Returns whether this is a short prompt that holds a counted slot.
    pub(crate) const fn has_short_slot(&self) -> bool {
        self.slot.is_some() && self.is_short
    }

    /// Returns the ids of the reserved memory, in the order of the shares.
    pub(crate) fn memory_ids(&self) -> Vec<String> {
        let leases = self.leases.borrow();
        leases.as_ref().map_or_else(Vec::new, Leases::ids)
    }
}

impl<D> Drop for Resources<D>
where
    D: Dialect,
{
    fn drop(&mut self) {
        let mut load = self.worker.load.borrow_mut();
        for (upstream, ticket) in &self.tickets {
            load.end(upstream, *ticket);
        }
        drop(load);
        self.worker.load_changed.notify_one();
        if let (Some(slot), Some((upstream, _))) = (&self.slot, self.tickets.first()) {
            self.worker.leave_slot(slot, upstream);
        }
    }
}
