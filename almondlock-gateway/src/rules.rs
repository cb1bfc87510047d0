//! The content of a published configuration, as plain types.
//!
//! A reader of a deployment's format makes [`Rules`] through a [`Builder`], or from other
//! rules through an [`Edit`]. Both refuse contradictory content. Built rules are
//! consistent: a route's services exist, its weights add up to more than 0, and no two
//! routes have the same host and prefix.

mod edit;
mod table;

use std::{collections::BTreeMap, fmt, sync::Arc, time::Duration};

use almondlock_base::id::Service;
use almondlock_policy::{engine::Speed, throttle::Rate};

pub use self::edit::{Edit, Entry};
use self::table::Table;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request may run any number of times.
    Safe,
    /// The request runs at most once.
    Unsafe,
    /// The answer is a stream of events.
    Stream {
        /// Whether a new run may resume after a given event. If not, the request runs at
        /// most once.
        resumable: bool,
        /// Longest pause between two events of an answer that is in time.
        pause: Duration,
    },
}

impl Kind {
    /// Returns whether the request may run more than once.
    pub const fn is_idempotent(self) -> bool {
        match self {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream { resumable, .. } => resumable,
        }
    }

    /// Returns whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// A route: which requests it takes, and where they go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: Arc<str>,
    /// The host that requests name.
    pub host: Arc<str>,
    /// Prefix of the requests' paths. Invariant: begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether its requests may run more than once.
    pub kind: Kind,
    /// Maximum time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, should come.
    pub objective: Duration,
    /// Rank of its requests. 0 comes first.
    pub priority: u32,
    /// The services that share its requests, with their weights. Invariant: not empty, and
    /// the weights add up to more than 0.
    pub split: Vec<(Service, u32)>,
    /// Maximum number of upstreams that one request may run on. At least 1.
    pub attempts: u32,
    /// Whether its requests need no key.
    pub public: bool,
}

impl Route {
    /// Checks that the route's values don't contradict each other.
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

    /// Returns the service for a request, given a number drawn evenly from all of `u32`.
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
    /// Number of connections that each of its upstreams accepts from all callers together.
    pub connections: usize,
    /// Requests a second that each of its upstreams bears from all hosts together while it
    /// is cold. `None` if there is no such limit.
    pub cold: Option<Rate>,
    /// Speed of its upstreams, if they are model engines.
    pub engine: Option<Speed>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum time for a request head to arrive.
    pub head_time: Duration,
    /// Maximum time for which a connection may stay idle.
    pub idle_time: Duration,
}

/// An organisation that sends requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: Arc<str>,
    /// Rank of its requests, if it has one of its own. 0 comes first.
    pub priority: Option<u32>,
}

/// Reason why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    message: String,
}

impl Error {
    /// Makes an error with this message.
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

/// A published configuration, read and checked. Clones share what they have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Version of the configuration.
    pub version: u64,
    /// Bounds on what callers send.
    pub limits: Limits,
    // Routes by host and prefix.
    routes: Table<Arc<Route>>,
    // Number of prefixes of each length.
    lengths: BTreeMap<usize, usize>,
    services: Table<Served>,
    keys: Table<Credential>,
    // Number of organisations. If there are none, requests need no key.
    organisations: usize,
}

/// A service as the rules hold it.
#[derive(Clone, Debug, PartialEq)]
struct Served {
    name: Service,
    // Invariant: `Some` in rules that have been built.
    target: Option<Target>,
    // Number of times that routes name it.
    routes: usize,
}

/// A key and its organisation.
#[derive(Clone, Debug, PartialEq)]
struct Credential {
    key: Arc<str>,
    organisation: Arc<Organisation>,
    // Number of times that the key is in the configuration. At least 1.
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

impl table::Entry for Credential {
    fn key(&self) -> table::Key<'_> {
        (&self.key, "")
    }
}

impl Rules {
    /// Makes rules without routes, which take no request.
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

    /// Returns a builder of a configuration.
    pub fn builder(version: u64, limits: Limits) -> Builder {
        Builder {
            rules: Rules::empty(version, limits),
        }
    }

    /// Returns the route of a request: the one with the longest prefix of its path. `path`
    /// comes without a query.
    ///
    /// Prefixes end with a slash, so only parts of the path that end with one and have the
    /// length of some prefix are looked up. A path with thousands of slashes costs no more
    /// than any other.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let mut lengths = self.lengths.range(..=path.len()).rev();
        lengths.find_map(|(length, _)| {
            let prefix = path.get(..*length)?;
            let ends = prefix.ends_with('/');
            ends.then(|| self.routes.get((host, prefix))).flatten()
        })
    }

    /// Returns the number of routes.
    pub fn routes(&self) -> usize {
        self.routes.len()
    }

    /// Returns the service of this name.
    pub fn service(&self, name: &Service) -> Option<&Target> {
        let served = self.services.get((name.as_str(), ""))?;
        served.target.as_ref()
    }

    /// Returns whether requests on this route need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.has_organisations() && !route.public
    }

    /// Returns whether the configuration names organisations.
    pub fn has_organisations(&self) -> bool {
        self.organisations > 0
    }

    /// Returns whether keys belong to two organisations or more.
    pub fn has_several_organisations(&self) -> bool {
        let mut all = self.keys.iter().map(|owned| &owned.organisation);
        let first = all.next();
        first.is_some_and(|first| all.any(|other| other.name != first.name))
    }

    /// Returns the organisation that a key belongs to.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        let owned = self.keys.get((key, ""))?;
        Some(&owned.organisation)
    }
}

/// Builds [`Rules`]. Services must be added before the routes that name them.
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

    /// Returns the rules.
    pub fn build(self) -> Rules {
        self.rules
    }
}
