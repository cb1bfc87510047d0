//! Registration of upstreams by their own announcements.
//!
//! No list of upstreams exists, so each announcement has a stated result:
//!
//! | announcement | result |
//! |---|---|
//! | a new name | registered |
//! | the same life, same figures | accepted, nothing changes |
//! | the same life, other figures (a model was loaded) | replaced |
//! | a new life on the same host | a restart: replaces the earlier life |
//! | a new life on another host, the name still registered | `Conflict` until the earlier lease ends |
//! | a life that was replaced before | `StaleIncarnation` |
//! | another life at a registered address, under another name | the earlier name is forgotten: its process is gone |
//! | figures that can't be true | `BadChange` |
//!
//! Lives are numbers without an order, so the lives that were replaced are
//! remembered. A life that was only forgotten (its lease ended while it was cut
//! off) may come back.

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

/// The lives that were replaced, by upstream.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    lives: BTreeMap<Upstream, Lives>,
}

#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Lives {
    /// Invariant: at most `limit::MAX_REPLACED_INCARNATIONS`, oldest first.
    replaced: VecDeque<Incarnation>,
    /// When the name was last seen.
    seen: Wall,
}

/// Why an announcement is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The code.
    pub code: Code,
    /// What is wrong, for people.
    pub message: String,
}

impl Error {
    fn new(code: Code, message: &str) -> Error {
        let message = message.to_owned();
        Error { code, message }
    }
}

impl Table {
    /// Decides about an announcement and gives the changes that it makes.
    pub fn announce(
        &mut self,
        config: &Config,
        name: &Upstream,
        registration: Registration,
        now: Wall,
    ) -> Result<Vec<Change>, Error> {
        check(&registration)?;
        self.admit(config, name, &registration)?;
        let mut changes = Vec::new();
        let neighbours = config
            .upstreams
            .iter()
            .filter(|(other, known)| *other != name && known.address == registration.address)
            // One process may stand in front of several upstreams.
            .filter(|(_, known)| known.incarnation != registration.incarnation);
        for (other, known) in neighbours {
            self.replace(other, known.incarnation, now);
            changes.push(Change::Upstream(other.clone(), None));
        }
        let known = config.upstreams.get(name);
        if let Some(known) = known.filter(|known| known.incarnation != registration.incarnation) {
            self.replace(name, known.incarnation, now);
        }
        self.lives.entry(name.clone()).or_default().seen = now;
        if known != Some(&registration) {
            changes.push(Change::Upstream(name.clone(), Some(registration)));
        }
        Ok(changes)
    }

    fn admit(&self, config: &Config, name: &Upstream, new: &Registration) -> Result<(), Error> {
        let lives = self.lives.get(name);
        if lives.is_some_and(|lives| lives.replaced.contains(&new.incarnation)) {
            let message = "a later life of this upstream has registered";
            return Err(Error::new(Code::StaleIncarnation, message));
        }
        if lives.is_none() && self.lives.len() >= limit::MAX_UPSTREAMS {
            return Err(Error::new(Code::LimitReached, "too many upstreams"));
        }
        let Some(known) = config.upstreams.get(name) else {
            return Ok(());
        };
        // Two processes under one name, each replacing the other, would send
        // callers' requests to and fro: the later one waits for the lease.
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

    fn replace(&mut self, name: &Upstream, incarnation: Incarnation, now: Wall) {
        let lives = self.lives.entry(name.clone()).or_default();
        lives.replaced.push_back(incarnation);
        lives.seen = now;
        if lives.replaced.len() > limit::MAX_REPLACED_INCARNATIONS {
            lives.replaced.pop_front();
        }
    }

    /// The changes made by the end of a lease: none when the life has been
    /// replaced meanwhile.
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
        self.lives.entry(name.clone()).or_default().seen = now;
        vec![Change::Upstream(name.clone(), None)]
    }

    /// Forgets the lives of names not seen for long.
    pub fn expire(&mut self, config: &Config, now: Wall) {
        self.lives.retain(|name, lives| {
            config.upstreams.contains_key(name)
                || now.since(lives.seen) < limit::INCARNATION_RETENTION
        });
    }
}

fn check(registration: &Registration) -> Result<(), Error> {
    let fault = |message: &str| Err(Error::new(Code::BadChange, message));
    if registration.address.ip().is_unspecified() || registration.address.port() == 0 {
        return fault("the address is not one to connect to");
    }
    if !["", "prefill", "decode", "both"].contains(&registration.role.as_str()) {
        return fault("the role is none of prefill, decode, both");
    }
    match registration.kind {
        Kind::Engine if registration.service.is_some() => fault("an engine belongs to no service"),
        Kind::Engine if !(1..=limit::MAX_CAPACITY_TOKENS).contains(&registration.capacity.0) => {
            fault("the capacity in tokens is out of bounds")
        }
        Kind::Service if registration.service.is_none() => fault("it names no service"),
        Kind::Service if registration.model.is_some() => fault("a service loads no model"),
        _ => Ok(()),
    }
}
