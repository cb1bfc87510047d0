//! The retry budgets of this host, one for each service.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use almondlock_base::{id::Service, time::Mono};
use almondlock_node::clock;
use almondlock_policy::{
    budget::{Account, Bound, Budget},
    fleet,
    suspension::{self, Watch},
};
use tokio::time::sleep;

use crate::{
    dialect::Dialect,
    request::{History, Request},
    worker::Worker,
};

/// Limits of the retries of all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// What all hosts together may retry.
    pub bound: Bound,
    /// Smallest number of hosts that share the bound.
    pub min_hosts: u32,
    /// Whether hosts report to relays, which then tell the number of hosts.
    pub has_relays: bool,
}

/// The budgets of all services.
#[derive(Debug)]
pub(crate) struct Budgets {
    config: Config,
    /// When the host started. Services earn their part of the slack from then on.
    started: Mono,
    services: RefCell<HashMap<Service, Budget>>,
    hosts: Cell<fleet::Size>,
    watch: Cell<Watch>,
}

/// A retry that is paid for and not sent yet. Goes back to its budget when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budgets: Rc<Budgets>,
    service: Service,
    /// Whether the retry was sent, so that nothing goes back.
    is_spent: bool,
}

impl Budgets {
    pub(crate) fn new(config: Config, now: Mono) -> Rc<Budgets> {
        Rc::new(Budgets {
            config,
            started: now,
            services: RefCell::default(),
            hosts: Cell::default(),
            watch: Cell::default(),
        })
    }

    /// Returns the number of hosts that share the bound, if known.
    pub(crate) fn hosts(&self) -> Option<u32> {
        let min = self.config.min_hosts;
        let heard = self.hosts.get().get();
        match self.config.has_relays {
            true => heard.map(|hosts| hosts.max(min)),
            false => Some(min),
        }
    }

    /// Takes in the number of hosts that a relay knows.
    pub(crate) fn observe_hosts(&self, now: Mono, hosts: u32) {
        let mut size = self.hosts.get();
        size.observe(hosts, now);
        self.hosts.set(size);
    }

    /// Records a request that was read.
    pub(crate) fn record_request(&self, now: Mono, service: &Service) {
        let is_late = self.watch.get().is_catching_up(now);
        self.with_budget(service, |budget, hosts| match is_late {
            true => budget.record_late_request(now),
            false => budget.record_request(hosts, now),
        });
    }

    /// Reserves a retry. Returns `None` if none is left.
    pub(crate) fn reserve(self: &Rc<Self>, now: Mono, service: &Service) -> Option<Reservation> {
        let reserved = self.with_budget(service, |budget, hosts| budget.reserve(hosts, now));
        reserved.then(|| Reservation {
            budgets: Rc::clone(self),
            service: service.clone(),
            is_spent: false,
        })
    }

    /// Returns what the budget of a service counts.
    pub(crate) fn account(&self, now: Mono, service: &Service) -> Account {
        self.with_budget(service, |budget, hosts| budget.account(hosts, now))
    }

    fn tick(&self, now: Mono) {
        let mut watch = self.watch.get();
        if let Some(gap) = watch.tick(now) {
            tracing::warn!(
                gap_ms = gap.as_millis(),
                "suspended, late requests earn no retries"
            );
        }
        self.watch.set(watch);
    }

    fn with_budget<T, F>(&self, service: &Service, act: F) -> T
    where
        F: FnOnce(&mut Budget, Option<u32>) -> T,
    {
        let hosts = self.hosts();
        let mut services = self.services.borrow_mut();
        // Found before inserted: the name is not copied for each request.
        if let Some(budget) = services.get_mut(service) {
            return act(budget, hosts);
        }
        let new = Budget::new(self.config.bound, self.started);
        act(services.entry(service.clone()).or_insert(new), hosts)
    }
}

impl Reservation {
    /// Spends the retry, which is sent now. Returns `false` if what was to pay for it has
    /// expired.
    fn spend(mut self, now: Mono) -> bool {
        self.is_spent = true;
        let budgets = &self.budgets;
        budgets.with_budget(&self.service, |budget, hosts| budget.spend(hosts, now))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.is_spent {
            return;
        }
        let mut services = self.budgets.services.borrow_mut();
        if let Some(budget) = services.get_mut(&self.service) {
            budget.release();
        }
    }
}

impl<D> Worker<D>
where
    D: Dialect,
{
    /// Reserves a retry of a request, unless it holds one already or nothing of it has
    /// reached an upstream. Returns `false` if the budget has none left.
    pub(crate) fn may_afford_retry(&self, request: &Request, history: &History) -> bool {
        history.reached == 0 || self.reserve_retry(request, history)
    }

    /// Reserves a retry of a request, unless it holds one already. Returns `false` if the
    /// budget has none left.
    pub(crate) fn reserve_retry(&self, request: &Request, history: &History) -> bool {
        if history.has_reservation() {
            return true;
        }
        let reservation = self.budgets.reserve(clock::mono(), &request.service);
        let outcome = match reservation {
            Some(_) => "reserved",
            None => "refused",
        };
        self.log_budget(request, outcome);
        let is_reserved = reservation.is_some();
        history.set_reservation(reservation);
        is_reserved
    }

    /// Spends what a request has reserved if this attempt is a retry. Returns `false` if it
    /// can't be paid for any more.
    pub(crate) fn spend_retry(&self, request: &Request, history: &History) -> bool {
        if history.reached == 0 {
            return true;
        }
        let now = clock::mono();
        let reservation = history.take_reservation();
        let is_spent = reservation.is_some_and(|reservation| reservation.spend(now));
        let outcome = match is_spent {
            true => "spent",
            false => "expired",
        };
        self.log_budget(request, outcome);
        is_spent
    }

    fn log_budget(&self, request: &Request, outcome: &str) {
        let now = clock::mono();
        let account = self.budgets.account(now, &request.service);
        self.shared.metrics.count("retry_budget", outcome);
        tracing::info!(
            request = %request.id, service = %request.service, outcome,
            requests = account.requests, retries = account.retries,
            reserved = account.reserved, left = account.left,
            hosts = self.budgets.hosts(), uptime_ms = self.shared.uptime(now).as_millis(),
            "retry budget"
        );
    }
}

/// Notices suspensions of the process, for as long as it runs.
pub(crate) async fn watch_suspensions(budgets: Rc<Budgets>) {
    loop {
        budgets.tick(clock::mono());
        sleep(suspension::TICK).await;
    }
}
