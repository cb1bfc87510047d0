//! What one attempt holds as long as it runs: its part of the loads that this
//! host counts, and memory on engines.

use std::rc::Rc;

use almondlock_base::{id::Upstream, time::Mono};

use crate::{
    dialect::Dialect,
    lease::Leases,
    life::Request,
    load::{Ticket, Work},
    pick::{self, Choice},
    worker::{Target, Worker},
};

/// Given back when dropped.
pub(crate) struct Held<D>
where
    D: Dialect,
{
    worker: Rc<Worker<D>>,
    tickets: Vec<(Upstream, Ticket)>,
    pub(crate) leases: Option<Leases<D>>,
}

impl<D> Held<D>
where
    D: Dialect,
{
    /// Counts what the attempt asks of each upstream that takes part.
    pub(crate) fn new(
        worker: &Rc<Worker<D>>,
        request: &Request,
        targets: &[Target],
        choice: &Choice,
        now: Mono,
    ) -> Held<D> {
        let demand = request.demand;
        let memory = demand.map_or(0, |demand| demand.prompt + demand.output);
        let shared: u64 = choice.shares.iter().map(|share| share.tokens).sum();
        let first = Work {
            reading: choice.part,
            writes: true,
            short: choice.helpers.is_empty() && choice.part <= pick::SHORT,
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
        let tickets = [(choice.first, first)].into_iter().chain(helpers);
        let tickets = tickets
            .filter_map(|(place, mut work)| {
                let name = &targets.get(place)?.name;
                work.wait = load.total(now, name).backlog();
                Some((name.clone(), load.begin(now, name, work)))
            })
            .collect();
        Held {
            worker: Rc::clone(worker),
            tickets,
            leases: None,
        }
    }

    /// The prompt is read.
    pub(crate) fn read(&self) {
        let mut load = self.worker.load.borrow_mut();
        for (upstream, ticket) in &self.tickets {
            load.read(upstream, *ticket);
        }
    }

    /// The names of the memory that was set aside, in the order of the shares.
    pub(crate) fn memory(&self) -> Vec<&str> {
        self.leases.as_ref().map_or_else(Vec::new, Leases::ids)
    }
}

impl<D> Drop for Held<D>
where
    D: Dialect,
{
    fn drop(&mut self) {
        let mut load = self.worker.load.borrow_mut();
        for (upstream, ticket) in &self.tickets {
            load.end(upstream, *ticket);
        }
    }
}
