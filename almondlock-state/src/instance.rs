//! Upstreams that entry hosts call without a sidecar between, by their own
//! heartbeats.
//!
//! Each start of such an upstream is an instance with a name of its own, which
//! never returns once it is gone. That settles the cases that matter:
//!
//! | heartbeat or notice | result |
//! |---|---|
//! | a new name | enrolled |
//! | a known name, same figures | nothing changes |
//! | a known name that is leaving says `ready` | it stays leaving: the heartbeat was delayed |
//! | a name that is gone | nothing changes: the heartbeat was delayed |
//! | a new name at a known address | the instance known there is gone, its address was given on |

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use almondlock_base::{
    id::{Domain, Service, Upstream},
    time::Mono,
};
use serde::{Deserialize, Serialize};

use crate::{
    config::{Change, Config},
    limit,
};

/// An instance as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Instance {
    /// The service that it belongs to.
    pub service: Service,
    /// Where it is called.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Requests that it runs at one time.
    pub slots: u32,
    /// It takes no new work. Invariant: never goes back to false.
    pub leaving: bool,
}

/// The names that are gone.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    /// Invariant: at most `limit::INSTANCES_GONE`, oldest first.
    gone: VecDeque<Upstream>,
}

impl Table {
    /// The changes that a heartbeat makes.
    pub fn enrol(&mut self, config: &Config, name: &Upstream, mut record: Instance) -> Vec<Change> {
        if self.gone.contains(name) {
            return Vec::new();
        }
        let known = config.instances.get(name);
        if known.is_none() && config.instances.len() >= limit::INSTANCES {
            return Vec::new();
        }
        record.leaving |= known.is_some_and(|known| known.leaving);
        if known == Some(&record) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for (other, held) in &config.instances {
            if other != name && held.address == record.address {
                self.bury(other);
                changes.push(Change::Instance(other.clone(), None));
            }
        }
        changes.push(Change::Instance(name.clone(), Some(record)));
        changes
    }

    /// The change made by a notice that an instance is gone, or by its silence.
    pub fn withdraw(&mut self, config: &Config, name: &Upstream) -> Option<Change> {
        if !self.gone.contains(name) {
            self.bury(name);
        }
        let known = config.instances.contains_key(name);
        known.then(|| Change::Instance(name.clone(), None))
    }

    fn bury(&mut self, name: &Upstream) {
        self.gone.push_back(name.clone());
        if self.gone.len() > limit::INSTANCES_GONE {
            self.gone.pop_front();
        }
    }

    /// Whether the name is gone for good.
    pub fn is_gone(&self, name: &Upstream) -> bool {
        self.gone.contains(name)
    }
}

/// What a heartbeat asks of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beat {
    /// Nothing new: it is acknowledged.
    Known,
    /// It must be entered before it is acknowledged.
    News,
}

/// When each instance was last heard. Only a leader keeps it, in memory; a new
/// leader gives all of them a whole lease, so that an election forgets nobody.
#[derive(Debug, Default)]
pub struct Roster {
    heard: HashMap<Upstream, Heard>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    // The highest number that its heartbeats bore.
    sequence: u64,
    at: Mono,
}

impl Roster {
    /// Takes note of a heartbeat. One that was overtaken by a later one of the
    /// same instance is acknowledged and otherwise ignored.
    pub fn beat(
        &mut self,
        now: Mono,
        config: &Config,
        (name, sequence): (&Upstream, u64),
        record: &Instance,
    ) -> Beat {
        let heard = self
            .heard
            .entry(name.clone())
            .or_insert(Heard { sequence, at: now });
        if sequence < heard.sequence {
            return Beat::Known;
        }
        *heard = Heard { sequence, at: now };
        let same = config.instances.get(name).is_some_and(|known| {
            let settled = known.leaving && !record.leaving;
            known == record || settled
        });
        if same { Beat::Known } else { Beat::News }
    }

    /// The instances that were not heard for a lease.
    pub fn lapsed(&mut self, now: Mono, lease: Duration, config: &Config) -> Vec<Upstream> {
        self.heard
            .retain(|name, _| config.instances.contains_key(name));
        let mut lapsed = Vec::new();
        for name in config.instances.keys() {
            let fresh = Heard {
                sequence: 0,
                at: now,
            };
            let heard = self.heard.entry(name.clone()).or_insert(fresh);
            if now.since(heard.at) >= lease {
                lapsed.push(name.clone());
            }
        }
        lapsed
    }

    /// Forgets everything, as a replica that doesn't lead must.
    pub fn clear(&mut self) {
        self.heard.clear();
    }
}
