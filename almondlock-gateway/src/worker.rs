//! What the requests of one thread share.
//!
//! Everything here belongs to one thread and is borrowed for the length of one
//! decision, never over an await.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use almondlock_base::{
    id::{Domain, Service, Upstream},
    time::Mono,
    unit::Revision,
};
use almondlock_node::Handle;
use almondlock_policy::{
    admission::Backlog,
    backoff, cell,
    engine::Speed,
    throttle::{self, Rate},
};
use almondlock_state::{
    config::Config,
    instance::{Birth, Instance},
};
use rand::rngs::SmallRng;
use tokio::sync::{Notify, mpsc::UnboundedSender};

use crate::{
    budget::{self, Budget},
    dialect::Dialect,
    lease::Ended,
    load::{self, Key},
    pace::Pacing,
    permit::Permits,
    pick::{Candidate, Choice},
    pool::Pool,
    reading::Current,
    rules::Rules,
    shared::Shared,
    slots::Queues,
    standing::Shares,
    suspicion::Suspicion,
};

/// An upstream that failed is passed over for this long. Two heartbeats of the
/// usual interval: by then a crashed one was replaced or has come back.
const SUSPECT_TIME: Duration = Duration::from_millis(2500);

/// An instance as requests see it.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) name: Upstream,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) near: bool,
    pub(crate) birth: Birth,
    /// Its cell. This host's own one is 0.
    pub(crate) cell: usize,
    /// Requests a second that it bears of all hosts together, while it is cold.
    pub(crate) cold_limit: Option<Rate>,
}

/// The configuration in force, read.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) revision: Revision,
    pub(crate) rules: Option<Arc<Rules>>,
    /// Instances that take new work, by service.
    pub(crate) instances: HashMap<Service, Vec<Target>>,
}

pub(crate) struct Worker<D> {
    pub(crate) dialect: D,
    pub(crate) node: Handle,
    pub(crate) shared: Arc<Shared>,
    pub(crate) domain: Domain,
    /// The host's number, drawn at its start.
    pub(crate) host_number: u64,
    pub(crate) bounds: Bounds,
    pub(crate) features: Features,
    pub(crate) load: RefCell<load::Table>,
    /// What this host has under way has changed: the others are to be told.
    pub(crate) load_changed: Notify,
    pub(crate) pool: RefCell<Pool>,
    pub(crate) rng: RefCell<SmallRng>,
    known: RefCell<Rc<Snapshot>>,
    /// The published versions.
    pub(crate) versions: RefCell<Current>,
    budgets: RefCell<HashMap<Service, Budget>>,
    suspects: RefCell<HashMap<Upstream, Mono>>,
    backlogs: RefCell<HashMap<Service, Backlog>>,
    /// The life of each upstream that the configuration in force names.
    births: RefCell<HashMap<Upstream, Birth>>,
    /// What upstreams have asked of this host.
    pub(crate) backoffs: RefCell<backoff::Table>,
    /// Limits that upstreams have named for all hosts.
    pub(crate) limits: RefCell<throttle::Limits<Key>>,
    pub(crate) permits: Permits,
    /// Prompts that wait for a free slot.
    pub(crate) waiting_prompts: Queues,
    /// Requests that upstreams were lost with.
    pub(crate) suspicion: Suspicion,
    /// What organisations have in flight, here and at all hosts.
    pub(crate) shares: Shares,
    /// How fast and how often upstreams answer.
    pub(crate) pacing: Pacing,
    /// Headers of answers that nobody reads, as far as they were logged.
    pub(crate) logged_headers: RefCell<BTreeSet<Box<str>>>,
    /// Where the memory of attempts goes that have ended.
    pub(crate) ended_leases: UnboundedSender<Ended>,
}

/// What a gateway is bound by.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// A configuration older than this is not acted on where keys are asked
    /// for: one of them may have been taken away meanwhile.
    pub max_config_age: Duration,
    /// The budget of further attempts.
    pub retries: budget::Config,
    /// How long memory that is set aside on an engine may outlive its use.
    pub memory_hold: Duration,
}

/// Decisions that a gateway takes only where its settings ask for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// How long after its start a host lets short prompts go first. Zero: not at all.
    pub settling: Duration,
    /// Short prompts are admitted by the engines' free slots.
    pub slot_admission: bool,
    /// Organisations get fair shares under contention.
    pub fair_shares: bool,
    /// Upstreams are judged by what hosts observe of them.
    pub observed_pace: bool,
}

impl<D> Worker<D>
where
    D: Dialect,
{
    pub(crate) fn new(
        dialect: D,
        node: Handle,
        shared: Arc<Shared>,
        (domain, host): (Domain, u64),
        (bounds, features): (Bounds, Features),
        rng: SmallRng,
        ended_leases: UnboundedSender<Ended>,
    ) -> Worker<D> {
        Worker {
            dialect,
            node,
            shared,
            domain,
            host_number: host,
            bounds,
            features,
            load: RefCell::default(),
            load_changed: Notify::new(),
            pool: RefCell::default(),
            rng: RefCell::new(rng),
            known: RefCell::default(),
            versions: RefCell::default(),
            budgets: RefCell::default(),
            suspects: RefCell::default(),
            backlogs: RefCell::default(),
            births: RefCell::default(),
            backoffs: RefCell::default(),
            limits: RefCell::default(),
            permits: Permits::default(),
            waiting_prompts: Queues::default(),
            suspicion: Suspicion::default(),
            shares: Shares::default(),
            pacing: Pacing::default(),
            logged_headers: RefCell::default(),
            ended_leases,
        }
    }

    /// The configuration in force. Instances are taken in when its revision has changed;
    /// what was published is read by a task of its own.
    pub(crate) fn snapshot(&self) -> Rc<Snapshot> {
        let revision = self.node.view().revision();
        let known = Rc::clone(&self.known.borrow());
        match known.revision == revision && revision > Revision::ZERO {
            true => known,
            false => self.refresh_config(),
        }
    }

    /// Takes in the newest revision, and what was read of what was published.
    pub(crate) fn refresh_config(&self) -> Rc<Snapshot> {
        let config = self.node.view().get();
        self.forget_restarted(&config.instances);
        let rules = config
            .document
            .as_ref()
            .and_then(|document| self.rules_for(document));
        let next = Rc::new(Snapshot {
            revision: config.revision,
            instances: self.targets(&config, rules.as_deref()),
            rules,
        });
        *self.known.borrow_mut() = Rc::clone(&next);
        next
    }

    /// The instances that take new work, by service: those that don't leave, outside
    /// failure domains that are evacuated.
    fn targets(&self, config: &Config, rules: Option<&Rules>) -> HashMap<Service, Vec<Target>> {
        let open = config.instances.iter().filter(|(_, instance)| {
            !instance.leaving && !config.evacuations.contains_key(&instance.domain)
        });
        let mut services: HashMap<Service, Vec<(&Upstream, &Instance)>> = HashMap::new();
        for (name, instance) in open {
            let service = services.entry(instance.service.clone()).or_default();
            service.push((name, instance));
        }
        let targets = services.into_iter().map(|(service, members)| {
            let cold = rules.and_then(|rules| rules.service(&service)?.cold);
            let places = members.iter().map(|(name, i)| (*name, &i.domain));
            let cells = cell::assign(places, &self.domain, self.host_number);
            let targets = members
                .into_iter()
                .zip(cells)
                .map(|((name, i), cell)| Target {
                    name: name.clone(),
                    address: i.address,
                    slots: i.slots,
                    near: i.domain == self.domain,
                    birth: i.birth,
                    cell,
                    cold_limit: cold.filter(|_| i.cold),
                });
            (service, targets.collect())
        });
        targets.collect()
    }

    /// Forgets what is known of lives of upstreams that are over, since another
    /// one has begun under the same name.
    ///
    /// **Failure.** An upstream crashes and is back before its connections are
    /// found broken. Requests to it then still count, and new ones go elsewhere;
    /// or it is passed over for a failure of its earlier life.
    fn forget_restarted(&self, instances: &BTreeMap<Upstream, Instance>) {
        let mut births = self.births.borrow_mut();
        for (name, instance) in instances {
            let birth = instance.birth;
            if births.get(name).is_some_and(|last| *last < birth) {
                tracing::info!(upstream = %name, birth = birth.0, "upstream started again");
                self.load.borrow_mut().forget(name);
                self.end_limit(name);
                self.backoffs.borrow_mut().reset(name);
                self.pool.borrow_mut().forget(name);
                self.suspects.borrow_mut().remove(name);
                self.pacing.forget(name);
            }
        }
        self.pacing.retain(|name| instances.contains_key(name));
        *births = instances
            .iter()
            .map(|(name, i)| (name.clone(), i.birth))
            .collect();
    }

    /// Which life of an upstream the configuration in force names.
    pub(crate) fn birth_of(&self, upstream: &Upstream) -> Option<Birth> {
        self.births.borrow().get(upstream).copied()
    }

    /// Whether the configuration in force names an upstream.
    pub(crate) fn is_known(&self, upstream: &Upstream) -> bool {
        self.births.borrow().contains_key(upstream)
    }

    /// The upstreams that the configuration in force names.
    pub(crate) fn upstreams_by_key(&self) -> HashMap<Key, Upstream> {
        let births = self.births.borrow();
        births
            .keys()
            .map(|name| (Key::of(name), name.clone()))
            .collect()
    }

    /// Whether a later life of the target has begun.
    pub(crate) fn has_restarted(&self, target: &Target) -> bool {
        // Takes in a configuration that has come since.
        self.snapshot();
        let births = self.births.borrow();
        births
            .get(&target.name)
            .is_some_and(|last| *last > target.birth)
    }

    /// The figures of a service's engines, if it has engines.
    pub(crate) fn engine_speed(&self, service: &Service) -> Option<Speed> {
        let known = self.snapshot();
        let target = known.rules.as_ref()?.service(service)?;
        target.engine.clone()
    }

    /// How an instance stands as a candidate.
    pub(crate) fn candidate(
        &self,
        now: Mono,
        target: &Target,
        tried: &[Upstream],
        full: &[Upstream],
    ) -> Candidate {
        let suspect = tried.contains(&target.name) || self.is_suspect(now, &target.name);
        let (rate, ejected) = self.pacing.rate_and_ejection(&target.name);
        Candidate {
            total: self.load.borrow().total(now, &target.name),
            slots: target.slots,
            near: target.near,
            suspect,
            quota: self.limit_state(now, target),
            full: full.contains(&target.name),
            cell: target.cell,
            rate,
            ejected,
        }
    }

    pub(crate) fn is_suspect(&self, now: Mono, name: &Upstream) -> bool {
        let suspects = self.suspects.borrow();
        suspects.get(name).is_some_and(|until| now < *until)
    }

    /// An instance failed: it is passed over for a while.
    pub(crate) fn mark_suspect(&self, now: Mono, name: &Upstream) {
        let mut suspects = self.suspects.borrow_mut();
        suspects.retain(|_, until| now < *until);
        if suspects.insert(name.clone(), now + SUSPECT_TIME).is_none() {
            tracing::info!(upstream = %name, for_ms = SUSPECT_TIME.as_millis(), "upstream passed over");
        }
        self.pool.borrow_mut().forget(name);
    }

    /// An instance answered.
    pub(crate) fn mark_answering(&self, name: &Upstream) {
        if self.suspects.borrow_mut().remove(name).is_some() {
            tracing::info!(upstream = %name, "upstream answers again");
        }
    }

    /// What an engine of a service has left to read, in the mean of all and of the
    /// last moments, given what a choice among them saw.
    pub(crate) fn mean_backlog(&self, now: Mono, service: &Service, choice: &Choice) -> Duration {
        let mut backlogs = self.backlogs.borrow_mut();
        let backlog = backlogs.entry(service.clone()).or_default();
        backlog.observe(now, choice.backlog)
    }

    /// Counts a request towards the budget of further attempts.
    pub(crate) fn count_request(&self, now: Mono, service: &Service) {
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Takes a further attempt out of the budget.
    pub(crate) fn try_take_retry(&self, now: Mono, service: &Service) -> bool {
        self.with_budget(service, |budget| budget.try_take(now))
    }

    fn with_budget<T, F>(&self, service: &Service, act: F) -> T
    where
        F: FnOnce(&mut Budget) -> T,
    {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(self.bounds.retries));
        act(budget)
    }
}
