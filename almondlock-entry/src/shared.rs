//! What an entry host's worker threads share.
//!
//! Lock order: `directory`, then `limits`, then `pools`, then `retries`, then
//! `lengths`, then `watch`, then `journal`, then `refusals`. No lock is held over an await,
//! and none over I/O.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use almondlock_base::{
    Code,
    id::{Attempt, Model, Organisation, Upstream, Version},
    time::Mono,
    unit::{Revision, Tokens},
};
use almondlock_intake::{bodies::Bodies, host::Limits};
use almondlock_node::{Handle, clock};
use almondlock_policy::{
    choice::{self, Locality, Origin},
    length::Estimator,
    limit::{self, Limiter},
    poison::{self, Watch},
    retry,
};
use almondlock_state::config::{self, Kind};
use almondlock_telemetry::metrics::Metrics;
use almondlock_wire::attempt::Target;

use crate::journal::Journal;

/// An entry host's bounds and defaults.
#[derive(Clone, Debug)]
pub struct Config {
    /// The largest body, in bytes.
    pub body_limit: usize,
    /// Limits of what callers make the host hold.
    pub intake: Limits,
    /// How long a request may take to arrive.
    pub arrival: Duration,
    /// How long engine memory held for a request outlives our silence.
    pub lease: Duration,
    /// How long the outcome of a request that may not be repeated is kept.
    pub keep: Duration,
    /// Whether a request that may not be repeated is taken without a key.
    pub keyless: bool,
    /// Requests in progress on this host at most.
    pub capacity: usize,
    /// How long a piece of an answer may wait for its caller.
    pub slow_reader: Duration,
    /// Bounds of retries.
    pub retry: retry::Config,
    /// Bounds of the choice of an upstream.
    pub choice: choice::Config,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            body_limit: 16 * 1024 * 1024,
            intake: Limits::default(),
            arrival: Duration::from_secs(30),
            lease: Duration::from_secs(10),
            keep: Duration::from_secs(24 * 3600),
            keyless: true,
            capacity: 20_000,
            slow_reader: Duration::from_secs(30),
            retry: retry::Config::default(),
            choice: choice::Config::default(),
        }
    }
}

/// What serves the same thing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Pool {
    /// One version of a model.
    Model(String, String),
    /// A plain service.
    Service(String),
}

/// What the configuration says, arranged for look-ups by requests.
#[derive(Debug, Default)]
pub struct Directory {
    /// The revision it was made from.
    pub revision: Revision,
    /// Owners of keys, by the key's hash.
    owners: HashMap<String, Organisation>,
    /// Upstreams by what they serve.
    members: BTreeMap<Pool, Vec<Upstream>>,
    /// The largest engine memory of each pool.
    largest: BTreeMap<Pool, Tokens>,
    /// All engine memory of each pool.
    total: BTreeMap<Pool, Tokens>,
}

impl Directory {
    fn new(config: &config::Config) -> Directory {
        let mut directory = Directory {
            revision: config.revision,
            ..Directory::default()
        };
        for (name, organisation) in &config.organisations {
            let keys = organisation.keys.iter();
            let owners = keys.map(|key| (key.clone(), name.clone()));
            directory.owners.extend(owners);
        }
        for (name, registration) in &config.upstreams {
            if let Some(pool) = pool_of(registration) {
                let largest = directory.largest.entry(pool.clone()).or_default();
                *largest = (*largest).max(registration.capacity);
                let total = directory.total.entry(pool.clone()).or_default();
                *total += registration.capacity;
                let members = directory.members.entry(pool).or_default();
                members.push(name.clone());
            }
        }
        directory
    }

    /// The largest engine memory of a pool.
    pub fn largest(&self, pool: &Pool) -> Tokens {
        self.largest.get(pool).copied().unwrap_or_default()
    }

    /// All engine memory of a pool.
    pub fn total(&self, pool: &Pool) -> Tokens {
        self.total.get(pool).copied().unwrap_or_default()
    }

    /// Whose key has this hash.
    pub fn owner(&self, hash: &str) -> Option<&Organisation> {
        self.owners.get(hash)
    }
}

fn pool_of(registration: &config::Registration) -> Option<Pool> {
    match registration.kind {
        Kind::Engine => {
            let (model, version) = registration.model.as_ref()?;
            let (model, version) = (model.as_str().to_owned(), version.as_str().to_owned());
            Some(Pool::Model(model, version))
        }
        Kind::Service => {
            let service = registration.service.as_ref()?;
            Some(Pool::Service(service.as_str().to_owned()))
        }
    }
}

/// The tables of one entry host.
pub struct Shared {
    /// Bounds and defaults.
    pub config: Config,
    /// The process's node.
    pub handle: Handle,
    /// Where metrics go.
    pub metrics: Metrics,
    /// Memory for the bodies of all requests.
    pub bodies: Arc<Bodies>,
    /// Memory for the bodies of answers that are collected.
    pub answers: Arc<Bodies>,
    home: Origin,
    directory: RwLock<Arc<Directory>>,
    limits: Mutex<Limiter>,
    pools: Mutex<HashMap<Pool, choice::Table>>,
    retries: Mutex<retry::Policy>,
    lengths: Mutex<Estimator>,
    watch: Mutex<Watch>,
    journal: Mutex<Journal>,
    refusals: Mutex<BTreeMap<u16, u64>>,
    counter: AtomicU64,
    admitted: AtomicU64,
    active: AtomicU64,
    stopping: AtomicBool,
}

/// Counts a request as in progress for as long as it lives.
pub struct Active {
    shared: Arc<Shared>,
}

impl Drop for Active {
    fn drop(&mut self) {
        self.shared.active.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Empty tables; they fill from the node's view.
    pub fn new(config: Config, handle: Handle, home: Origin, metrics: Metrics) -> Arc<Shared> {
        Arc::new(Shared {
            retries: Mutex::new(retry::Policy::new(config.retry, clock::mono())),
            lengths: Mutex::default(),
            watch: Mutex::new(Watch::new(poison::Config::default())),
            bodies: Bodies::new(config.intake.bodies),
            answers: Bodies::new(config.intake.answers),
            config,
            handle,
            metrics,
            home,
            directory: RwLock::default(),
            limits: Mutex::new(Limiter::new(limit::Config::default())),
            pools: Mutex::default(),
            journal: Mutex::default(),
            refusals: Mutex::default(),
            counter: AtomicU64::new(0),
            admitted: AtomicU64::new(0),
            active: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        })
    }

    /// The directory of the revision in force, made anew when that changed.
    pub fn directory(&self) -> Arc<Directory> {
        let read = self.directory.read();
        let known = Arc::clone(&read.unwrap_or_else(PoisonError::into_inner));
        let view = self.handle.view().get();
        if known.revision == view.revision {
            return known;
        }
        let write = self.directory.write();
        let mut directory = write.unwrap_or_else(PoisonError::into_inner);
        if directory.revision < view.revision {
            let next = Directory::new(&view);
            self.set_limits(&view);
            self.set_pools(&directory, &next, &view);
            *directory = Arc::new(next);
        }
        Arc::clone(&directory)
    }

    fn set_limits(&self, view: &config::Config) {
        let mut limits = lock(&self.limits);
        let hosts = view.settings.get(config::ENTRY_HOSTS_SETTING);
        let hosts = hosts.and_then(|n| n.parse().ok()).unwrap_or(1);
        limits.set_hosts(hosts);
        for (name, organisation) in &view.organisations {
            let limit = limit::Limit {
                rate: organisation.rate,
                tokens: organisation.tokens,
            };
            limits.set(name, limit);
        }
        drop(limits);
        lock(&self.retries).set_hosts(hosts);
    }

    fn set_pools(&self, old: &Directory, new: &Directory, view: &config::Config) {
        let mut pools = lock(&self.pools);
        for (pool, members) in &old.members {
            let kept = new.members.get(pool);
            let gone = members
                .iter()
                .filter(|name| kept.is_none_or(|kept| !kept.contains(name)));
            if let Some(table) = pools.get_mut(pool) {
                gone.for_each(|name| table.remove(name));
            }
        }
        for (pool, members) in &new.members {
            let table = pools
                .entry(pool.clone())
                .or_insert_with(|| choice::Table::new(self.config.choice, self.home.clone()));
            for name in members {
                if let Some(registration) = view.upstreams.get(name) {
                    let site = Locality {
                        domain: registration.domain.clone(),
                        region: registration.region.clone(),
                    };
                    table.insert(name, site);
                    table.set_leaving(name, view.is_drained(name));
                }
            }
        }
        pools.retain(|_, table| !table.is_empty());
    }

    /// The pools that can serve a target, best first: the version in force,
    /// then the other one of a rollout under way, so that it leaves no gap.
    pub fn pools_for(&self, target: &Target) -> Vec<Pool> {
        match target {
            Target::Service(service) => vec![Pool::Service(service.as_str().to_owned())],
            Target::Model(model, _) => {
                let view = self.handle.view().get();
                let version = view.models.get(model).map(|m| m.version.as_str());
                let directory = self.directory();
                let ours = |pool: &&Pool| match pool {
                    Pool::Model(name, version) if name == model.as_str() => {
                        Version::new(version).is_ok_and(|v| view.serves(model, &v))
                    }
                    _ => false,
                };
                let mut pools: Vec<Pool> = directory.members.keys().filter(ours).cloned().collect();
                pools.sort_by_key(|pool| match pool {
                    Pool::Model(_, v) => Some(v.as_str()) != version,
                    Pool::Service(_) => true,
                });
                pools
            }
        }
    }

    /// Works on the choice table of a pool, if there is one.
    pub fn with_pool<T, F>(&self, pool: &Pool, work: F) -> Option<T>
    where
        F: FnOnce(&mut choice::Table) -> T,
    {
        lock(&self.pools).get_mut(pool).map(work)
    }

    /// The names of all pools.
    pub fn pool_names(&self) -> Vec<Pool> {
        lock(&self.pools).keys().cloned().collect()
    }

    /// Admits a request of an organisation, or says why not.
    pub fn admit(
        &self,
        organisation: &Organisation,
        tokens: Tokens,
        now: Mono,
    ) -> Result<limit::Permit, limit::Refusal> {
        let permit = lock(&self.limits).admit(organisation, tokens, now)?;
        lock(&self.retries).count_request(organisation, now);
        self.admitted.fetch_add(1, Ordering::Relaxed);
        self.metrics.prompt(tokens);
        Ok(permit)
    }

    /// Requests admitted so far.
    pub fn admitted(&self) -> u64 {
        self.admitted.load(Ordering::Relaxed)
    }

    /// Works on the budgets of retries.
    pub fn with_retries<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut retry::Policy) -> T,
    {
        work(&mut lock(&self.retries))
    }

    /// Works on what is known of copies of requests.
    pub fn with_watch<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut Watch) -> T,
    {
        work(&mut lock(&self.watch))
    }

    /// The estimated length of a model's prompt of so many bytes.
    pub fn estimate(&self, model: &Model, bytes: usize) -> Tokens {
        lock(&self.lengths).estimate_tokens(model, bytes as u64)
    }

    /// Learns from a prompt that an engine counted.
    pub fn learn_length(&self, model: &Model, bytes: usize, tokens: Tokens) {
        lock(&self.lengths).observe(model, bytes as u64, tokens);
    }

    /// What happened to requests lately.
    pub fn journal(&self) -> MutexGuard<'_, Journal> {
        lock(&self.journal)
    }

    /// Tells the levels that change slowly.
    pub fn tell_levels(&self) {
        self.metrics.revision(self.handle.view().revision());
        let account = lock(&self.retries).account(clock::mono());
        self.metrics.budget_left(account.left as u64);
    }

    /// Notes that the process runs, so that its suspensions are noticed.
    pub fn note_running(&self) {
        let gap = lock(&self.retries).tick(clock::mono());
        if let Some(gap) = gap {
            let gap_ms = gap.as_millis();
            tracing::warn!(gap_ms, "suspended, late requests earn no retries");
        }
    }

    /// Counts a refusal or failure.
    pub fn refused(&self, code: Code) {
        self.metrics.refusal(code);
        *lock(&self.refusals).entry(code.number()).or_default() += 1;
    }

    /// Refusals and failures so far, by code.
    pub fn refusals(&self) -> BTreeMap<u16, u64> {
        lock(&self.refusals).clone()
    }

    /// A number no other attempt or request of this life has.
    pub fn next(&self) -> u64 {
        self.counter.fetch_add(1, Ordering::Relaxed)
    }

    /// A new attempt's id.
    pub fn attempt(&self) -> Attempt {
        let peer = self.handle.peer();
        Attempt {
            host: peer.host,
            incarnation: peer.incarnation,
            counter: self.next(),
        }
    }

    /// Counts a request in, unless there are too many.
    pub fn enter(self: &Arc<Shared>) -> Option<Active> {
        let before = self.active.fetch_add(1, Ordering::Relaxed);
        let active = Active {
            shared: Arc::clone(self),
        };
        (before < self.config.capacity as u64).then_some(active)
    }

    /// Requests in progress.
    pub fn active(&self) -> u64 {
        self.active.load(Ordering::Relaxed)
    }

    /// From now on the host tells the balancer that it isn't ready.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether the host is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
