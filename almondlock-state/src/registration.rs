//! Registration of upstreams by their own announcements.
//!
//! There is no configured list of upstreams. Each announcement has a defined result:
//!
//! | announcement | result |
//! |---|---|
//! | a new name | registered |
//! | the same incarnation, same values | accepted, nothing changes |
//! | the same incarnation, other values (a model was loaded) | replaced |
//! | a new incarnation on the same host | a restart: replaces the earlier incarnation |
//! | a new incarnation on another host, the name still registered | `Conflict` until the earlier lease ends |
//! | an incarnation that was replaced before | `StaleIncarnation` |
//! | another incarnation at a registered address, under another name | the earlier name is removed: its process is gone |
//! | invalid values | `BadChange` |
//!
//! Incarnations are numbers without an order, so the replaced ones are remembered. An
//! incarnation whose lease only ended, because it was cut off, may register again.

use std::collections::{BTreeMap, VecDeque};

use almondlock_base::{
    Code,
    id::{Incarnation, Upstream},
    time::Wall,
};
use serde::{Deserialize, Serialize};

use crate::{
    config::{Change, Config, Kind, Registration},
    limit,
};

/// The replaced incarnations of each upstream.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    #[serde(rename = "lives")]
    incarnations: BTreeMap<Upstream, Incarnations>,
}

#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Incarnations {
    /// Invariant: at most `limit::MAX_REPLACED_INCARNATIONS`, oldest first.
    replaced: VecDeque<Incarnation>,
    /// When the upstream's registration last changed or was last announced.
    #[serde(rename = "seen")]
    last_seen: Wall,
}

/// The refusal of an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The code of the refusal.
    pub code: Code,
    /// The reason, for people.
    pub message: String,
}

impl Error {
    fn new(code: Code, message: &str) -> Error {
        let message = message.to_owned();
        Error { code, message }
    }
}

impl Table {
    /// Applies an announcement, and returns the changes that it makes to the configuration.
    pub fn announce(
        &mut self,
        config: &Config,
        name: &Upstream,
        registration: Registration,
        now: Wall,
    ) -> Result<Vec<Change>, Error> {
        validate(&registration)?;
        self.check_admission(config, name, &registration)?;
        let mut changes = Vec::new();
        let neighbours = config
            .upstreams
            .iter()
            .filter(|(other, known)| *other != name && known.address == registration.address)
            // One sidecar process may serve several upstreams.
            .filter(|(_, known)| known.incarnation != registration.incarnation);
        for (other, known) in neighbours {
            self.mark_replaced(other, known.incarnation, now);
            changes.push(Change::Upstream(other.clone(), None));
        }
        let known = config.upstreams.get(name);
        if let Some(known) = known.filter(|known| known.incarnation != registration.incarnation) {
            self.mark_replaced(name, known.incarnation, now);
        }
        self.incarnations.entry(name.clone()).or_default().last_seen = now;
        if known != Some(&registration) {
            changes.push(Change::Upstream(name.clone(), Some(registration)));
        }
        Ok(changes)
    }

    fn check_admission(
        &self,
        config: &Config,
        name: &Upstream,
        new: &Registration,
    ) -> Result<(), Error> {
        let incarnations = self.incarnations.get(name);
        if incarnations.is_some_and(|incarnations| incarnations.replaced.contains(&new.incarnation))
        {
            let message = "a later incarnation of this upstream has registered";
            return Err(Error::new(Code::StaleIncarnation, message));
        }
        if incarnations.is_none() && self.incarnations.len() >= limit::MAX_UPSTREAMS {
            return Err(Error::new(Code::LimitReached, "too many upstreams"));
        }
        let Some(known) = config.upstreams.get(name) else {
            return Ok(());
        };
        // Two processes under one name that replace each other would make requests
        // alternate between them. The later one waits for the end of the lease instead.
        if known.incarnation != new.incarnation && known.host != new.host {
            let message = format!(
                "the name is held by host {} until its lease ends",
                known.host
            );
            return Err(Error {
                code: Code::Conflict,
                message,
            });
        }
        Ok(())
    }

    fn mark_replaced(&mut self, name: &Upstream, incarnation: Incarnation, now: Wall) {
        let incarnations = self.incarnations.entry(name.clone()).or_default();
        incarnations.replaced.push_back(incarnation);
        incarnations.last_seen = now;
        if incarnations.replaced.len() > limit::MAX_REPLACED_INCARNATIONS {
            incarnations.replaced.pop_front();
        }
    }

    /// Removes a registration whose lease has ended, and returns the changes that this makes:
    /// none if the incarnation has been replaced meanwhile.
    pub fn forget(
        &mut self,
        config: &Config,
        name: &Upstream,
        incarnation: Incarnation,
        now: Wall,
    ) -> Vec<Change> {
        let held = config.upstreams.get(name);
        if held.is_none_or(|held| held.incarnation != incarnation) {
            return Vec::new();
        }
        self.incarnations.entry(name.clone()).or_default().last_seen = now;
        vec![Change::Upstream(name.clone(), None)]
    }

    /// Removes the incarnations of upstreams that have long been gone.
    pub fn expire(&mut self, config: &Config, now: Wall) {
        self.incarnations.retain(|name, incarnations| {
            config.upstreams.contains_key(name)
                || now.since(incarnations.last_seen) < limit::INCARNATION_RETENTION
        });
    }
}

fn validate(registration: &Registration) -> Result<(), Error> {
    let fault = |message: &str| Err(Error::new(Code::BadChange, message));
    if registration.address.ip().is_unspecified() || registration.address.port() == 0 {
        return fault("the address has no host or no port to connect to");
    }
    if !["", "prefill", "decode", "both"].contains(&registration.role.as_str()) {
        return fault("the role is none of prefill, decode, both");
    }
    match registration.kind {
        Kind::Engine if registration.service.is_some() => fault("an engine belongs to no service"),
        Kind::Engine if !(1..=limit::MAX_CAPACITY_TOKENS).contains(&registration.capacity.0) => {
            fault("the capacity in tokens is out of bounds")
        }
        Kind::Service if registration.service.is_none() => fault("a service must name its service"),
        Kind::Service if registration.model.is_some() => fault("a service loads no model"),
        _ => Ok(()),
    }
}
