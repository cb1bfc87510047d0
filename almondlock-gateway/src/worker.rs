//! State that the requests of one thread share.
//!
//! All of it belongs to one thread. It is borrowed for a single decision, never across an
//! await.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
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
use almondlock_intake::{bodies::Bodies, connections::Connections};
use almondlock_node::{Handle, clock};
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
    budget::{self, Budgets},
    dialect::Dialect,
    intake::Intake,
    lease::Ended,
    load::{self, Key},
    pace::Pacing,
    permit::Permits,
    pick::{Candidate, Choice},
    reading::Current,
    rules::Rules,
    shared::Shared,
    slots::Queues,
    standing::Shares,
    suspicion::Suspicion,
    upstream::Pool,
};

/// Time for which a failed upstream is avoided: two heartbeats at the usual interval. By
/// then a crashed upstream was replaced or has come back.
const SUSPECT_TIME: Duration = Duration::from_millis(2500);

/// Time after that for which no second attempt goes to an upstream that has not answered
/// since. By then one that is dead was withdrawn.
const FAILURE_RETENTION: Duration = Duration::from_secs(10);

/// An upstream instance that requests may be sent to.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) name: Upstream,
    pub(crate) address: SocketAddr,
    /// Number of requests that the instance runs at a time.
    pub(crate) slots: u32,
    /// Whether the instance is in this host's failure domain.
    pub(crate) near: bool,
    /// When this life of the instance began.
    pub(crate) birth: Birth,
    /// Number of the instance's cell. 0 is this host's own cell.
    pub(crate) cell: usize,
    /// Requests per second from all hosts together that the instance can take while it is
    /// cold.
    pub(crate) cold_limit: Option<Rate>,
}

/// The configuration in force, in the form that requests use.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) revision: Revision,
    pub(crate) rules: Option<Arc<Rules>>,
    /// Instances that accept new work, by service.
    pub(crate) instances: HashMap<Service, Vec<Target>>,
}

/// State of the thread that serves requests.
pub(crate) struct Worker<D> {
    pub(crate) dialect: D,
    pub(crate) node: Handle,
    pub(crate) shared: Arc<Shared>,
    /// Memory for the bodies of all requests of the process.
    pub(crate) bodies: Arc<Bodies>,
    /// Memory for the bodies of answers that aren't streams.
    pub(crate) answers: Arc<Bodies>,
    /// Connections of callers to this thread.
    pub(crate) connections: Connections,
    pub(crate) domain: Domain,
    /// Number that identifies this host, drawn at its start.
    pub(crate) host_number: u64,
    pub(crate) bounds: Bounds,
    pub(crate) features: Features,
    pub(crate) load: RefCell<load::Table>,
    /// Signals that this host's load has changed and has to be reported to the other hosts.
    pub(crate) load_changed: Notify,
    pub(crate) pool: RefCell<Pool<Upstream>>,
    pub(crate) rng: RefCell<SmallRng>,
    /// The configuration as of the last revision that was taken in.
    snapshot: RefCell<Rc<Snapshot>>,
    /// Published versions of the configuration: the one in force and the next one.
    pub(crate) versions: RefCell<Current>,
    /// Retry budgets.
    pub(crate) budgets: Rc<Budgets>,
    /// Upstreams that have not answered since they failed, and until when they are avoided.
    suspects: RefCell<HashMap<Upstream, Mono>>,
    /// Recent mean backlogs of the services' engines.
    backlogs: RefCell<HashMap<Service, Backlog>>,
    /// Life of each upstream that the configuration in force names.
    births: RefCell<HashMap<Upstream, Birth>>,
    /// Pauses and departures that upstreams announced to this host.
    pub(crate) backoffs: RefCell<backoff::Table>,
    /// Rate limits that upstreams named for all hosts together.
    pub(crate) limits: RefCell<throttle::Limits<Key>>,
    pub(crate) permits: Permits,
    /// Short prompts that wait for a free slot.
    pub(crate) waiting_prompts: Queues,
    /// Requests during which upstreams were lost.
    pub(crate) suspicion: Suspicion,
    /// What organisations have in flight at this host and at all hosts.
    pub(crate) shares: Shares,
    /// How fast and how often upstreams answer.
    pub(crate) pacing: Pacing,
    /// Unknown headers of answers that were already logged.
    pub(crate) logged_headers: RefCell<BTreeSet<Box<str>>>,
    /// Receives the leases of attempts that have ended, for release.
    pub(crate) ended_leases: UnboundedSender<Ended>,
}

/// Limits that the gateway keeps to.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum age of a configuration by which keys are checked. An older one may still
    /// list a key that was revoked meanwhile.
    pub max_config_age: Duration,
    /// Limits of retries.
    pub retries: budget::Config,
    /// How long memory reserved on an engine may outlive its use.
    pub memory_hold: Duration,
    /// How long a part of an answer may wait for its caller to read.
    pub slow_reader: Duration,
}

/// Optional behaviour that the settings enable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// How long after its start a host lets short prompts go first. Zero disables this.
    pub settling: Duration,
    /// Admits short prompts by the engines' free slots.
    pub slot_admission: bool,
    /// Gives organisations fair shares under contention.
    pub fair_shares: bool,
    /// Judges upstreams by what hosts observe of them.
    pub observed_pace: bool,
}

impl<D> Worker<D>
where
    D: Dialect,
{
    pub(crate) fn new(
        dialect: D,
        node: Handle,
        (shared, intake, connections): (Arc<Shared>, Intake, Connections),
        (domain, host_number): (Domain, u64),
        (bounds, features): (Bounds, Features),
        rng: SmallRng,
        ended_leases: UnboundedSender<Ended>,
    ) -> Worker<D> {
        Worker {
            dialect,
            node,
            shared,
            bodies: intake.bodies,
            answers: intake.answers,
            connections,
            domain,
            host_number,
            bounds,
            features,
            load: RefCell::default(),
            load_changed: Notify::new(),
            pool: RefCell::default(),
            rng: RefCell::new(rng),
            snapshot: RefCell::default(),
            versions: RefCell::default(),
            budgets: Budgets::new(bounds.retries, clock::mono()),
            suspects: RefCell::default(),
            backlogs: RefCell::default(),
            births: RefCell::default(),
            backoffs: RefCell::default(),
            limits: RefCell::default(),
            permits: Permits::default(),
            waiting_prompts: Queues::default(),
            suspicion: Suspicion::new(host_number),
            shares: Shares::default(),
            pacing: Pacing::default(),
            logged_headers: RefCell::default(),
            ended_leases,
        }
    }

    /// Returns the configuration in force. The list of instances is updated when the
    /// revision has changed; published versions are parsed by the task in `follow`.
    pub(crate) fn snapshot(&self) -> Rc<Snapshot> {
        let revision = self.node.view().revision();
        let current = Rc::clone(&self.snapshot.borrow());
        match current.revision == revision && revision > Revision::ZERO {
            true => current,
            false => self.refresh_config(),
        }
    }

    /// Updates the snapshot to the newest revision and the newest parsed version.
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
        *self.snapshot.borrow_mut() = Rc::clone(&next);
        next
    }

    /// Returns the instances that accept new work, by service: those that are not leaving,
    /// outside evacuated failure domains.
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

    /// Discards what is known of earlier lives of upstreams that have started again under
    /// the same name.
    ///
    /// **Failure.** An upstream crashes and is back before its connections are found
    /// broken. Without this, requests of its earlier life still count as load and new ones
    /// go elsewhere, or the upstream is avoided for a failure of its earlier life.
    fn forget_restarted(&self, instances: &BTreeMap<Upstream, Instance>) {
        for (name, instance) in self.restarted(instances) {
            tracing::info!(upstream = %name, birth = instance.birth.0, "upstream started again");
            self.forget_life(name);
        }
        self.pacing.retain(|name| instances.contains_key(name));
        let births = instances.iter();
        let births = births.map(|(name, instance)| (name.clone(), instance.birth));
        // Replaced last: until then the next call repeats what was not finished.
        self.births.replace(births.collect());
    }

    /// Returns the upstreams whose present life is later than the one known so far.
    fn restarted<'a>(
        &self,
        instances: &'a BTreeMap<Upstream, Instance>,
    ) -> Vec<(&'a Upstream, &'a Instance)> {
        let births = self.births.borrow();
        let is_later = |name: &Upstream, birth| births.get(name).is_some_and(|last| *last < birth);
        let restarted = instances.iter();
        let restarted = restarted.filter(|(name, instance)| is_later(name, instance.birth));
        restarted.collect()
    }

    /// Discards what is known of an upstream's earlier life.
    fn forget_life(&self, name: &Upstream) {
        self.load.borrow_mut().forget(name);
        self.end_limit(name);
        self.backoffs.borrow_mut().reset(name);
        self.pool.borrow_mut().forget(name);
        self.suspects.borrow_mut().remove(name);
        self.pacing.forget(name);
    }

    /// Returns the life of an upstream that the configuration in force names.
    pub(crate) fn birth_of(&self, upstream: &Upstream) -> Option<Birth> {
        self.births.borrow().get(upstream).copied()
    }

    /// Returns the upstreams that the configuration in force names.
    pub(crate) fn upstreams(&self) -> HashSet<Upstream> {
        self.births.borrow().keys().cloned().collect()
    }

    /// Returns the upstreams that the configuration in force names, by their keys.
    pub(crate) fn upstreams_by_key(&self) -> HashMap<Key, Upstream> {
        let births = self.births.borrow();
        births
            .keys()
            .map(|name| (Key::of(name), name.clone()))
            .collect()
    }

    /// Returns whether the target has started again since it was read from the
    /// configuration.
    pub(crate) fn has_restarted(&self, target: &Target) -> bool {
        // Takes in a newer configuration if there is one.
        self.snapshot();
        let births = self.births.borrow();
        births
            .get(&target.name)
            .is_some_and(|last| *last > target.birth)
    }

    /// Returns the speed of a service's engines, if it has engines.
    pub(crate) fn engine_speed(&self, service: &Service) -> Option<Speed> {
        let snapshot = self.snapshot();
        let target = snapshot.rules.as_ref()?.service(service)?;
        target.engine.clone()
    }

    /// Returns a target in the form that `pick` chooses from. Upstreams in `full` have no
    /// memory left to reserve.
    pub(crate) fn candidate(
        &self,
        now: Mono,
        target: &Target,
        tried: &[Upstream],
        full: &[Upstream],
    ) -> Candidate {
        // A request that failed once is not the one to find out which upstreams are back.
        let is_unproven = !tried.is_empty() && self.has_failed(now, &target.name);
        let suspect =
            tried.contains(&target.name) || self.is_suspect(now, &target.name) || is_unproven;
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

    /// Returns whether an upstream failed recently and is avoided.
    pub(crate) fn is_suspect(&self, now: Mono, name: &Upstream) -> bool {
        let suspects = self.suspects.borrow();
        suspects.get(name).is_some_and(|until| now < *until)
    }

    /// Returns whether an upstream failed lately and has not answered since.
    fn has_failed(&self, now: Mono, name: &Upstream) -> bool {
        let suspects = self.suspects.borrow();
        let until = suspects.get(name);
        until.is_some_and(|until| now < *until + FAILURE_RETENTION)
    }

    /// Avoids an upstream that failed for a while, and drops its idle connections.
    pub(crate) fn mark_suspect(&self, now: Mono, name: &Upstream) {
        let mut suspects = self.suspects.borrow_mut();
        suspects.retain(|_, until| now < *until + FAILURE_RETENTION);
        let last = suspects.insert(name.clone(), now + SUSPECT_TIME);
        if last.is_none_or(|until| until <= now) {
            tracing::info!(
                upstream = %name, for_ms = SUSPECT_TIME.as_millis(),
                "upstream avoided after a failure"
            );
        }
        self.pool.borrow_mut().forget(name);
    }

    /// Uses an upstream again because it answered.
    pub(crate) fn mark_answering(&self, name: &Upstream) {
        if self.suspects.borrow_mut().remove(name).is_some() {
            tracing::info!(upstream = %name, "upstream answers again");
        }
    }

    /// Returns the recent mean backlog of a service's engines, updated by the backlog that
    /// `choice` saw.
    pub(crate) fn mean_backlog(&self, now: Mono, service: &Service, choice: &Choice) -> Duration {
        let mut backlogs = self.backlogs.borrow_mut();
        let backlog = backlogs.entry(service.clone()).or_default();
        backlog.observe(now, choice.backlog)
    }

    /// Adds a request to the retry budget of its service.
    pub(crate) fn count_request(&self, now: Mono, service: &Service) {
        if let Some(hosts) = self.load.borrow().relayed_hosts(now) {
            self.budgets.observe_hosts(now, hosts);
        }
        self.budgets.record_request(now, service);
    }
}
