//! What a published configuration says, as plain types.
//!
//! Whoever can read a deployment's format makes a [`Rules`] of it through a
//! [`Builder`], which refuses what contradicts itself. From then on nothing
//! here can be out of step: a route's services exist, its weights add up to
//! more than nothing, no two routes stand at the same place.

use std::{collections::HashMap, fmt, sync::Arc, time::Duration};

use almondlock_base::id::Service;
use almondlock_policy::{engine::Speed, throttle::Rate};

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

/// A published configuration, read and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Its version.
    pub version: u64,
    /// Bounds on what callers send.
    pub limits: Limits,
    // Routes by host, longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<Service, Target>,
    // Organisations by key. Without any, keys aren't asked for.
    keys: HashMap<Arc<str>, Arc<Organisation>>,
    keyed: bool,
}

impl Rules {
    /// Begins a configuration.
    pub fn builder(version: u64, limits: Limits) -> Builder {
        Builder {
            rules: Rules {
                version,
                limits,
                routes: HashMap::new(),
                services: HashMap::new(),
                keys: HashMap::new(),
                keyed: false,
            },
        }
    }

    /// The route of a request: the longest prefix that begins its path. The
    /// path comes without a query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// A service.
    pub fn service(&self, name: &Service) -> Option<&Target> {
        self.services.get(name)
    }

    /// Whether requests on this route need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.keyed && !route.public
    }

    /// Whether keys belong to two organisations or more.
    pub fn has_several_organisations(&self) -> bool {
        let mut all = self.keys.values();
        let first = all.next();
        first.is_some_and(|first| all.any(|other| other.name != first.name))
    }

    /// The organisation that a key belongs to.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key)
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
        let old = self.rules.services.insert(name.clone(), target);
        match old {
            Some(_) => Err(Error::new(format!("service {name} stands twice"))),
            None => Ok(()),
        }
    }

    /// Adds a route.
    pub fn route(&mut self, route: Route) -> Result<(), Error> {
        let name = &route.name;
        let fault = |what: &str| Err(Error::new(format!("route {name}: {what}")));
        if route.timeout.is_zero() {
            return fault("its timeout is 0");
        }
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return fault("its prefix doesn't begin and end with a slash");
        }
        if route.split.iter().all(|(_, weight)| *weight == 0) {
            return fault("its weights add up to 0");
        }
        let mut services = route.split.iter().map(|(service, _)| service);
        if let Some(unknown) = services.find(|s| !self.rules.services.contains_key(*s)) {
            return fault(&format!("unknown service {unknown}"));
        }
        let place = self
            .rules
            .routes
            .entry(Arc::clone(&route.host))
            .or_default();
        if place.iter().any(|other| other.prefix == route.prefix) {
            return fault("another route has its host and prefix");
        }
        let at = place.partition_point(|other| other.prefix.len() >= route.prefix.len());
        place.insert(at, Arc::new(route));
        Ok(())
    }

    /// Adds an organisation with its keys.
    pub fn organisation(
        &mut self,
        organisation: Organisation,
        keys: &[Arc<str>],
    ) -> Result<(), Error> {
        self.rules.keyed = true;
        let organisation = Arc::new(organisation);
        for key in keys {
            let old = self
                .rules
                .keys
                .insert(Arc::clone(key), Arc::clone(&organisation));
            if old.is_some_and(|old| old != organisation) {
                let message = "two organisations share a key";
                return Err(Error::new(message));
            }
        }
        Ok(())
    }

    /// The configuration.
    pub fn build(self) -> Rules {
        self.rules
    }
}
