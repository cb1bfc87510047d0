//! Makes the rules of a new version from those of another one, by removing and adding
//! entries.

use std::{collections::btree_map, sync::Arc};

use almondlock_base::id::Service;

use super::{Credential, Error, Limits, Organisation, Route, Rules, Served, Target};

/// The content of one piece of a published configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// A service.
    Service(Service, Target),
    /// A route.
    Route(Box<Route>),
    /// An organisation with its keys.
    Organisation(Organisation, Vec<Arc<str>>),
}

/// Makes [`Rules`] from other rules, which stay as they are. Entries must be removed before
/// any is added, and services must be added before the routes that name them.
#[derive(Clone, Debug)]
pub struct Edit {
    rules: Rules,
    // Services that were removed, which some route may still name.
    removed: Vec<Service>,
}

impl Rules {
    /// Begins another version of these rules.
    pub fn edit(&self, version: u64, limits: Limits) -> Edit {
        let rules = Rules {
            version,
            limits,
            ..self.clone()
        };
        Edit {
            rules,
            removed: Vec::new(),
        }
    }

    /// Returns these rules without the keys for which `is_kept` is false, or `None` if it
    /// is true for all keys. Requests still need a key.
    pub fn retain_keys<F>(&self, is_kept: F) -> Option<Rules>
    where
        F: Fn(&str, &Organisation) -> bool,
    {
        let mut lost = self
            .keys
            .iter()
            .filter(|owned| !is_kept(&owned.key, &owned.organisation))
            .peekable();
        lost.peek()?;
        let mut rules = self.clone();
        for owned in lost {
            rules.keys.remove((&owned.key, ""));
        }
        Some(rules)
    }
}

impl Edit {
    /// Adds an entry.
    ///
    /// # Errors
    ///
    /// If the entry contradicts itself or another one.
    pub fn add(&mut self, entry: Entry) -> Result<(), Error> {
        match entry {
            Entry::Service(name, target) => self.rules.add_service(name, target),
            Entry::Route(route) => self.rules.add_route(*route),
            Entry::Organisation(organisation, keys) => {
                self.rules.add_organisation(organisation, &keys)
            }
        }
    }

    /// Removes an entry that was added before.
    pub fn remove(&mut self, entry: Entry) {
        match entry {
            Entry::Service(name, _) => {
                self.rules.remove_service(&name);
                self.removed.push(name);
            }
            Entry::Route(route) => self.rules.remove_route(&route),
            Entry::Organisation(_, keys) => self.rules.remove_organisation(&keys),
        }
    }

    /// Returns the rules.
    ///
    /// # Errors
    ///
    /// If a route names a service that was removed.
    pub fn build(self) -> Result<Rules, Error> {
        let mut rules = self.rules;
        for name in &self.removed {
            match rules.services.get((name.as_str(), "")) {
                Some(served) if served.target.is_none() && served.routes > 0 => {
                    let message = format!("a route names the unknown service {name}");
                    return Err(Error::new(message));
                }
                Some(served) if served.target.is_none() => {
                    rules.services.remove((name.as_str(), ""));
                }
                _ => {}
            }
        }
        Ok(rules)
    }
}

impl Rules {
    pub(super) fn add_service(&mut self, name: Service, target: Target) -> Result<(), Error> {
        let held = self.services.get((name.as_str(), ""));
        if held.is_some_and(|held| held.target.is_some()) {
            return Err(Error::new(format!("service {name} is defined twice")));
        }
        let routes = held.map_or(0, |held| held.routes);
        self.services.insert(Served {
            name,
            target: Some(target),
            routes,
        });
        Ok(())
    }

    fn remove_service(&mut self, name: &Service) {
        let Some(held) = self.services.remove((name.as_str(), "")) else {
            return;
        };
        if held.routes > 0 {
            let target = None;
            self.services.insert(Served { target, ..held });
        }
    }

    pub(super) fn add_route(&mut self, route: Route) -> Result<(), Error> {
        route.check()?;
        let name = &route.name;
        let mut services = route.split.iter().map(|(service, _)| service);
        if let Some(unknown) = services.find(|service| self.service(service).is_none()) {
            let message = format!("route {name}: unknown service {unknown}");
            return Err(Error::new(message));
        }
        if self.routes.get((&route.host, &route.prefix)).is_some() {
            let message = format!("route {name}: another route has its host and prefix");
            return Err(Error::new(message));
        }
        for (service, _) in &route.split {
            self.count_routes(service, |routes| routes + 1);
        }
        *self.lengths.entry(route.prefix.len()).or_default() += 1;
        self.routes.insert(Arc::new(route));
        Ok(())
    }

    fn remove_route(&mut self, route: &Route) {
        let Some(route) = self.routes.remove((&route.host, &route.prefix)) else {
            return;
        };
        if let btree_map::Entry::Occupied(mut count) = self.lengths.entry(route.prefix.len()) {
            match count.get() {
                0 | 1 => drop(count.remove()),
                _ => *count.get_mut() -= 1,
            }
        }
        for (service, _) in &route.split {
            self.count_routes(service, |routes| routes.saturating_sub(1));
        }
    }

    fn count_routes<F>(&mut self, service: &Service, change: F)
    where
        F: Fn(usize) -> usize,
    {
        if let Some(held) = self.services.get((service.as_str(), "")) {
            let mut held = held.clone();
            held.routes = change(held.routes);
            self.services.insert(held);
        }
    }

    pub(super) fn add_organisation(
        &mut self,
        organisation: Organisation,
        keys: &[Arc<str>],
    ) -> Result<(), Error> {
        self.organisations += 1;
        let organisation = Arc::new(organisation);
        for key in keys {
            let held = self.keys.get((key, ""));
            if held.is_some_and(|held| held.organisation != organisation) {
                return Err(Error::new("two organisations share a key"));
            }
            let entries = held.map_or(0, |held| held.entries);
            self.keys.insert(Credential {
                key: Arc::clone(key),
                organisation: Arc::clone(&organisation),
                entries: entries + 1,
            });
        }
        Ok(())
    }

    fn remove_organisation(&mut self, keys: &[Arc<str>]) {
        self.organisations = self.organisations.saturating_sub(1);
        for key in keys {
            if let Some(held) = self.keys.remove((key, ""))
                && held.entries > 1
            {
                let entries = held.entries - 1;
                self.keys.insert(Credential { entries, ..held });
            }
        }
    }
}
