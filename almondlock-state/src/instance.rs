//! Upstreams that entry hosts call without a sidecar between, by their own
//! heartbeats.
//!
//! Each start of such an upstream is a life of its own, told apart by its name
//! and its [`Birth`]: a server may start again under the name that it had, and
//! then knows nothing of before. A life never returns once it is gone. That
//! settles the cases that matter:
//!
//! | heartbeat or notice | result |
//! |---|---|
//! | a new name | enrolled |
//! | a known life, same figures | nothing changes |
//! | a known life that is leaving says `ready` | it stays leaving: the heartbeat was delayed |
//! | a later life of a name that is known or gone | enrolled as it is: the earlier one is over |
//! | an earlier life of a known name | nothing changes: the heartbeat was delayed |
//! | a life that is gone, or an earlier one | nothing changes: the heartbeat was delayed |
//! | a new name at a known address | the instance known there is gone, its address was given on |
//! | the same, born before the one known there | nothing changes: the heartbeat was delayed |
//!
//! Births come from the clocks of the servers' hosts. If such a clock is set back
//! between two lives of one name, the later life looks like the earlier one and
//! is kept out until its birth is beyond the last one known: it can't be told from
//! a heartbeat that the network held back, and to send callers' requests to a
//! life that is gone would lose them, while the other servers take what one that
//! is kept out would have served.
//!
//! A notice that an instance is gone names no life: it ends the one that is known.
//!
//! Whether an instance is cold is what its last heartbeat said. When the evacuation of
//! its failure domain ends it counts as cold until its next one.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use almondlock_base::{
    id::{Domain, Service, Upstream},
    time::Mono,
    unit::Revision,
};
use serde::{Deserialize, Serialize};

use crate::{
    config::{Change, Config},
    limit,
};

/// When a life of an instance began: the Unix millisecond that its host's clock
/// showed. A later life of the same name has a greater one. Zero if the instance
/// doesn't tell, which counts as before all others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Birth(pub u64);

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
    /// It takes no new work. Invariant: never goes back to false within a life.
    pub leaving: bool,
    /// Which life of its name this is.
    #[serde(default)]
    pub birth: Birth,
    /// It has just started, or must be taken to have: it bears few requests. It says
    /// itself when that is over.
    #[serde(default)]
    pub cold: bool,
}

/// The names that are gone.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    /// Invariant: at most `limit::MAX_GONE_INSTANCES`, oldest first, none twice.
    gone: VecDeque<Upstream>,
    /// The last life of those of them that told their birth. Invariant: each name
    /// in it is also in `gone`.
    #[serde(default)]
    births: BTreeMap<Upstream, Birth>,
}

impl Table {
    /// The changes that a heartbeat makes.
    pub fn enrol(&mut self, config: &Config, name: &Upstream, mut record: Instance) -> Vec<Change> {
        if self.is_over(name, record.birth) {
            return Vec::new();
        }
        let known = config.instances.get(name);
        if has_no_room(config, name) {
            return Vec::new();
        }
        if known.is_some_and(|known| record.birth < known.birth) {
            return Vec::new();
        }
        let same_life = known.filter(|known| known.birth == record.birth);
        record.leaving |= same_life.is_some_and(|known| known.leaving);
        if known == Some(&record) {
            return Vec::new();
        }
        let others = config.instances.iter();
        let others =
            others.filter(|(other, held)| *other != name && held.address == record.address);
        let others: Vec<(&Upstream, Birth)> =
            others.map(|(other, held)| (other, held.birth)).collect();
        if others.iter().any(|(_, birth)| record.birth < *birth) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for (other, birth) in others {
            self.bury(other, birth);
            changes.push(Change::Instance(other.clone(), None));
        }
        self.unbury(name);
        changes.push(Change::Instance(name.clone(), Some(record)));
        changes
    }

    /// The change made by a notice that an instance is gone, or by its silence.
    pub fn withdraw(&mut self, config: &Config, name: &Upstream) -> Option<Change> {
        let known = config.instances.get(name);
        if known.is_some() || !self.is_gone(name) {
            self.bury(name, known.map_or_else(Birth::default, |known| known.birth));
        }
        known.map(|_| Change::Instance(name.clone(), None))
    }

    fn bury(&mut self, name: &Upstream, birth: Birth) {
        self.unbury(name);
        self.gone.push_back(name.clone());
        if birth > Birth::default() {
            self.births.insert(name.clone(), birth);
        }
        if self.gone.len() > limit::MAX_GONE_INSTANCES
            && let Some(oldest) = self.gone.pop_front()
        {
            self.births.remove(&oldest);
        }
    }

    fn unbury(&mut self, name: &Upstream) {
        self.gone.retain(|gone| gone != name);
        self.births.remove(name);
    }

    /// Whether this life of the name is gone, or comes before the one that is.
    fn is_over(&self, name: &Upstream, birth: Birth) -> bool {
        let last = self.births.get(name).copied().unwrap_or_default();
        self.is_gone(name) && birth <= last
    }

    /// Whether the last known life of the name is gone.
    pub fn is_gone(&self, name: &Upstream) -> bool {
        self.gone.contains(name)
    }
}

/// Whether an instance can't be entered because the table is full.
fn has_no_room(config: &Config, name: &Upstream) -> bool {
    config.instances.len() >= limit::MAX_INSTANCES && !config.instances.contains_key(name)
}

/// What a heartbeat asks of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Nothing new: it is acknowledged.
    Unchanged,
    /// It has been leaving since this revision, or an earlier one: it is acknowledged
    /// once that is in force everywhere.
    Leaving(Revision),
    /// It must be entered before it is acknowledged.
    Changed,
    /// It should be entered, and the table is full.
    Full,
}

/// A heartbeat that told nothing new, as one replica tells another of it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// Whose it was.
    pub name: Upstream,
    /// Of which of its lives.
    pub birth: Birth,
    /// Its number in that life.
    pub sequence: u64,
}

impl Heartbeat {
    /// Whether a heartbeat tells what is known already, and that its sender goes on:
    /// then nobody has to decide anything about it.
    pub fn is_routine(&self, config: &Config, record: &Instance) -> bool {
        !record.leaving && config.instances.get(&self.name) == Some(record)
    }
}

/// When each instance was last heard. Only a leader keeps it, in memory; a new
/// leader gives all of them a whole lease, so that an election forgets nobody.
#[derive(Debug, Default)]
pub struct Roster {
    heard: HashMap<Upstream, Heard>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    // The latest life that was heard.
    birth: Birth,
    // The highest number that its heartbeats bore.
    sequence: u64,
    at: Mono,
    // The revision in which it was leaving when that was first said here.
    leaving: Option<Revision>,
}

impl Roster {
    /// Takes note of a heartbeat. One that was overtaken by a later one of the
    /// same instance is acknowledged and otherwise ignored, but that the word that it
    /// leaves is acknowledged as any other such word: the sender counts from whichever
    /// acknowledgement comes first. Numbers count within a life: a new one begins anew.
    pub fn receive(
        &mut self,
        now: Mono,
        config: &Config,
        (name, sequence): (&Upstream, u64),
        record: &Instance,
    ) -> Disposition {
        let birth = record.birth;
        let last = self.heard.get(name).copied();
        let is_overtaken = |last: Heard| (birth, sequence) < (last.birth, last.sequence);
        let leaves = |last: Heard| birth == last.birth && record.leaving;
        if last.is_some_and(|last| is_overtaken(last) && !leaves(last)) {
            return Disposition::Unchanged;
        }
        let highest = last.filter(|last| last.birth == birth);
        let mut heard = Heard {
            birth,
            sequence: highest.map_or(sequence, |last| sequence.max(last.sequence)),
            at: now,
            leaving: highest.and_then(|last| last.leaving),
        };
        let same = config.instances.get(name).is_some_and(|known| {
            let settled = known.birth == birth && known.leaving && !record.leaving;
            known == record || settled
        });
        let leaving = same && record.leaving;
        if leaving {
            // Said again and again while other changes come, it doesn't wait for those.
            heard.leaving.get_or_insert(config.revision);
        }
        self.heard.insert(name.clone(), heard);
        match heard.leaving {
            _ if !same && has_no_room(config, name) => Disposition::Full,
            _ if !same => Disposition::Changed,
            Some(revision) if leaving => Disposition::Leaving(revision),
            _ => Disposition::Unchanged,
        }
    }

    /// Another replica heard an instance that had nothing new to tell.
    pub fn receive_relayed(&mut self, now: Mono, heartbeat: &Heartbeat) {
        let told = (heartbeat.birth, heartbeat.sequence);
        let heard = self.heard.get_mut(&heartbeat.name);
        match heard.filter(|heard| heard.birth == heartbeat.birth) {
            Some(heard) => {
                heard.at = now;
                heard.sequence = heard.sequence.max(heartbeat.sequence);
            }
            None => {
                let last = self.heard.get(&heartbeat.name);
                if last.is_none_or(|last| (last.birth, last.sequence) < told) {
                    let heard = Heard {
                        birth: heartbeat.birth,
                        sequence: heartbeat.sequence,
                        at: now,
                        leaving: None,
                    };
                    self.heard.insert(heartbeat.name.clone(), heard);
                }
            }
        }
    }

    /// The instances that were not heard for a lease.
    pub fn find_silent(&mut self, now: Mono, lease: Duration, config: &Config) -> Vec<Upstream> {
        self.heard
            .retain(|name, _| config.instances.contains_key(name));
        let mut lapsed = Vec::new();
        for name in config.instances.keys() {
            let fresh = Heard {
                birth: Birth::default(),
                sequence: 0,
                at: now,
                leaving: None,
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
