//! What a published configuration says, as plain types.
//!
//! Whoever can read a deployment's format makes a [`Rules`] of it through a
//! [`Builder`], or of other rules through an [`Edit`]. Both refuse what contradicts itself.
//! From then on nothing
//! here can be out of step: a route's services exist, its weights add up to
//! more than nothing, no two routes stand at the same place.

mod edit;
mod table;

use std::{collections::BTreeMap, fmt, sync::Arc, time::Duration};

use almondlock_base::id::Service;
use almondlock_policy::{engine::Speed, throttle::Rate};

pub use self::edit::{Edit, Entry};
use self::table::Table;

/// What may be done with a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may run any number of times.
    Safe,
    /// It runs once at most.
    Unsafe,
    /// Its answer is a series of events.
    Stream {
        /// A new run may go on after a given event. Without it the request is
        /// unsafe.
        resumable: bool,
        /// The longest pause between two events of an answer in time.
        pause: Duration,
    },
}

impl Kind {
    /// Whether the request may run more than once.
    pub const fn is_idempotent(self) -> bool {
        match self {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream { resumable, .. } => resumable,
        }
    }

    /// Whether the answer is a series of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// A route: which requests it takes, and where they go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// The host that requests name.
    pub host: Arc<str>,
    /// What their paths begin with. Invariant: begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time a request is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, is worth all.
    pub objective: Duration,
    /// Its rank; 0 comes first.
    pub priority: u32,
    /// The services that share its requests, by weight. Invariant: not empty,
    /// and the weights add up to more than 0.
    pub split: Vec<(Service, u32)>,
    /// The most upstreams that one request may run on. At least 1.
    pub attempts: u32,
    /// Requests need no key.
    pub public: bool,
}

impl Route {
    /// Whether it contradicts itself.
    fn check(&self) -> Result<(), Error> {
        let name = &self.name;
        let fault = |what: &str| Err(Error::new(format!("route {name}: {what}")));
        if self.timeout.is_zero() {
            return fault("its timeout is 0");
        }
        if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
            return fault("its prefix doesn't begin and end with a slash");
        }
        if self.split.iter().all(|(_, weight)| *weight == 0) {
            return fault("its weights add up to 0");
        }
        Ok(())
    }

    /// The service for a request, by a number drawn evenly from all of `u32`.
    pub fn service(&self, drawn: u32) -> Option<&Service> {
        let total: u64 = self
            .split
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut left = (u64::from(drawn) * total) >> 32;
        self.split.iter().find_map(|(service, weight)| {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
            None
        })
    }
}

/// A service that requests go to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Connections that each of its upstreams accepts, of all callers together.
    pub connections: usize,
    /// Requests a second that each of its upstreams bears of all hosts together while it
    /// is cold. None: as many as any.
    pub cold: Option<Rate>,
    /// How its upstreams work, if they are model engines.
    pub engine: Option<Speed>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head, in bytes.
    pub head: usize,
    /// The largest body, in bytes.
    pub body: usize,
    /// How long a head may take to arrive.
    pub head_time: Duration,
    /// How long a connection may stay idle.
    pub idle_time: Duration,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: Arc<str>,
    /// Its rank, if it has one of its own; 0 comes first.
    pub priority: Option<u32>,
}

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    message: String,
}

impl Error {
    /// An error with this account of it.
    pub fn new<M>(message: M) -> Error
    where
        M: Into<String>,
    {
        Error {
            message: message.into(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.message.fmt(f)
    }
}

impl std::error::Error for Error {}

/// A published configuration, read and checked. Copies share what they have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Its version.
    pub version: u64,
    /// Bounds on what callers send.
    pub limits: Limits,
    // By host and prefix.
    routes: Table<Arc<Route>>,
    // How many prefixes have a length.
    lengths: BTreeMap<usize, usize>,
    services: Table<Served>,
    keys: Table<Owned>,
    // Without any, keys aren't asked for.
    organisations: usize,
}

/// A service as the rules hold it.
#[derive(Clone, Debug, PartialEq)]
struct Served {
    name: Service,
    // Invariant: there is one in rules that have been built.
    target: Option<Target>,
    // How often routes name it.
    routes: usize,
}

/// A key.
#[derive(Clone, Debug, PartialEq)]
struct Owned {
    key: Arc<str>,
    organisation: Arc<Organisation>,
    // How often it stands in the configuration. At least 1.
    entries: usize,
}

impl table::Entry for Arc<Route> {
    fn key(&self) -> table::Key<'_> {
        (&self.host, &self.prefix)
    }
}

impl table::Entry for Served {
    fn key(&self) -> table::Key<'_> {
        (self.name.as_str(), "")
    }
}

impl table::Entry for Owned {
    fn key(&self) -> table::Key<'_> {
        (&self.key, "")
    }
}

impl Rules {
    /// Rules that take no request.
    pub fn empty(version: u64, limits: Limits) -> Rules {
        Rules {
            version,
            limits,
            routes: Table::default(),
            lengths: BTreeMap::new(),
            services: Table::default(),
            keys: Table::default(),
            organisations: 0,
        }
    }

    /// Begins a configuration.
    pub fn builder(version: u64, limits: Limits) -> Builder {
        Builder {
            rules: Rules::empty(version, limits),
        }
    }

    /// The route of a request: the longest prefix that begins its path. The
    /// path comes without a query.
    ///
    /// Prefixes end with a slash, so only parts of the path that end with one, and have the
    /// length of some prefix, are looked up. A caller's path with thousands of slashes costs
    /// no more than any other.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let mut lengths = self.lengths.range(..=path.len()).rev();
        lengths.find_map(|(length, _)| {
            let prefix = path.get(..*length)?;
            let ends = prefix.ends_with('/');
            ends.then(|| self.routes.get((host, prefix))).flatten()
        })
    }

    /// How many routes there are.
    pub fn routes(&self) -> usize {
        self.routes.len()
    }

    /// A service.
    pub fn service(&self, name: &Service) -> Option<&Target> {
        let served = self.services.get((name.as_str(), ""))?;
        served.target.as_ref()
    }

    /// Whether requests on this route need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.has_organisations() && !route.public
    }

    /// Whether the configuration names organisations.
    pub fn has_organisations(&self) -> bool {
        self.organisations > 0
    }

    /// Whether keys belong to two organisations or more.
    pub fn has_several_organisations(&self) -> bool {
        let mut all = self.keys.iter().map(|owned| &owned.organisation);
        let first = all.next();
        first.is_some_and(|first| all.any(|other| other.name != first.name))
    }

    /// The organisation that a key belongs to.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        let owned = self.keys.get((key, ""))?;
        Some(&owned.organisation)
    }
}

/// Builds [`Rules`]. Services come before the routes that name them.
#[derive(Clone, Debug)]
pub struct Builder {
    rules: Rules,
}

impl Builder {
    /// Adds a service.
    pub fn service(&mut self, name: Service, target: Target) -> Result<(), Error> {
        self.rules.add_service(name, target)
    }

    /// Adds a route.
    pub fn route(&mut self, route: Route) -> Result<(), Error> {
        self.rules.add_route(route)
    }

    /// Adds an organisation with its keys.
    pub fn organisation(
        &mut self,
        organisation: Organisation,
        keys: &[Arc<str>],
    ) -> Result<(), Error> {
        self.rules.add_organisation(organisation, keys)
    }

    /// The configuration.
    pub fn build(self) -> Rules {
        self.rules
    }
}
