//! Instances: upstreams without a sidecar, which announce themselves by heartbeats.
//!
//! Each start of an instance is an incarnation, identified by the instance's name and its
//! start time ([`Birth`]): a server may restart under its earlier name, without any of its
//! earlier state. An incarnation that is gone, by its own notice or because another one has
//! its address, never returns. One that fell silent may; see [`silence`]. The cases are:
//!
//! | heartbeat or notice | result |
//! |---|---|
//! | a new name | enrolled |
//! | a known incarnation, same values | nothing changes |
//! | a leaving incarnation reports `ready` | stays leaving: the heartbeat was delayed |
//! | a later incarnation of a known or gone name | enrolled: the earlier one has ended |
//! | an earlier incarnation of a known name | nothing changes: the heartbeat was delayed |
//! | an incarnation that is gone, or an earlier one | nothing changes: the heartbeat was delayed |
//! | an incarnation that was withdrawn for its silence, a greater number | enrolled again: it was only cut off |
//! | the same, a number that was heard before | nothing changes: the heartbeat was delayed |
//! | a new name at a known address | enrolled: the instance known at that address, or silent there, is gone |
//! | a new name at a known address, started before the instance known or silent there | nothing changes: the heartbeat was delayed |
//!
//! Start times come from the clocks of the servers' hosts. If such a clock is set back
//! between two incarnations of one name, the later one looks like a delayed heartbeat of
//! an earlier one and is not enrolled until its start time exceeds the last known one.
//! Sending requests to an incarnation that is gone would lose them, whereas the load of a
//! server that is kept out is taken by the others.
//!
//! A notice that an instance is gone names no incarnation: it ends the known or silent one. The
//! leader doesn't enter one that may be a late copy of the notice of an earlier incarnation; see
//! [`Table::is_doubtful_notice`].
//!
//! Whether an instance is cold is taken from its last heartbeat. When the evacuation of
//! its failure domain ends, it counts as cold until its next heartbeat.

pub mod silence;

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use almondlock_base::{
    id::{Domain, Service, Upstream},
    time::{Mono, Wall},
    unit::Revision,
};
use serde::{Deserialize, Serialize};

use self::silence::{Numbers, Silence, Watermark};
use crate::{
    config::{Change, Config},
    limit,
};

/// The start time of an instance's incarnation: Unix milliseconds by its host's clock. A
/// later incarnation of the same name has a greater one. Zero if the instance doesn't
/// report it, which counts as earlier than all others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Birth(pub u64);

/// An instance, as described by its heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Instance {
    /// The service that the instance belongs to.
    pub service: Service,
    /// The address on which it takes requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it takes no new requests. Invariant: never returns to false within an
    /// incarnation.
    pub leaving: bool,
    /// The start time of this incarnation.
    #[serde(default)]
    pub birth: Birth,
    /// Whether it has just started, or has to be treated so, and can take few requests. The
    /// instance reports itself when this ends.
    #[serde(default)]
    pub cold: bool,
}

/// The instances that are gone, or silent.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    /// The names of the instances, oldest first. Invariant: at most
    /// `limit::MAX_GONE_INSTANCES`, without duplicates.
    gone: VecDeque<Upstream>,
    /// The last start time of each of them that reported one. Invariant: each name is also
    /// in `gone`.
    #[serde(default)]
    births: BTreeMap<Upstream, Birth>,
    /// The instances that were withdrawn for their silence. Invariant: none of them is
    /// enrolled or in `gone`, and no two have the same address; at most
    /// `limit::MAX_GONE_INSTANCES`.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    silent: BTreeMap<Upstream, Silence>,
    /// When the last notice of each name was entered. Invariant: none was entered more than
    /// `limit::LATE_NOTICE` before the newest; at most `limit::MAX_GONE_INSTANCES`.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    notices: BTreeMap<Upstream, Wall>,
    /// The last replicated numbers of heartbeats.
    #[serde(default, skip_serializing_if = "Numbers::is_empty")]
    numbers: Numbers,
}

impl Table {
    /// Applies a heartbeat, and returns the changes that it makes to the configuration.
    pub fn enrol(&mut self, config: &Config, name: &Upstream, record: Instance) -> Vec<Change> {
        let silence = self.silent.get(name);
        if silence.is_some_and(|silence| record.birth <= silence.birth()) {
            return Vec::new();
        }
        self.enter(config, name, record)
    }

    /// Applies a heartbeat of an instance that was withdrawn for its silence.
    pub fn reinstate(
        &mut self,
        now: Wall,
        config: &Config,
        name: &Upstream,
        (sequence, mut record): (u64, Instance),
    ) -> Vec<Change> {
        let Some(silence) = self.silent.get_mut(name) else {
            return Vec::new();
        };
        if record.birth < silence.birth() {
            return Vec::new();
        }
        if record.birth == silence.birth() {
            if !silence.hear(now, sequence) {
                return Vec::new();
            }
            record.leaving |= silence.instance.leaving;
        }
        self.enter(config, name, record)
    }

    fn enter(&mut self, config: &Config, name: &Upstream, mut record: Instance) -> Vec<Change> {
        if self.is_stale(name, record.birth) {
            return Vec::new();
        }
        let known = config.instances.get(name);
        if has_no_room(config, name) {
            return Vec::new();
        }
        if known.is_some_and(|known| record.birth < known.birth) {
            return Vec::new();
        }
        let known_incarnation = known.filter(|known| known.birth == record.birth);
        record.leaving |= known_incarnation.is_some_and(|known| known.leaving);
        if known == Some(&record) {
            return Vec::new();
        }
        let others = others_at(&config.instances, name, &record, |held| held);
        let silent = others_at(&self.silent, name, &record, |silence| &silence.instance);
        let mut births = others.iter().chain(&silent);
        if births.any(|(_, birth)| record.birth < *birth) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for (other, birth) in silent {
            self.mark_gone(&other, birth);
        }
        for (other, birth) in others {
            self.mark_gone(&other, birth);
            changes.push(Change::Instance(other, None));
        }
        self.unmark_gone(name);
        changes.push(Change::Instance(name.clone(), Some(record)));
        changes
    }

    /// Marks an instance as gone, after its own notice, and returns the change that this makes
    /// to the configuration.
    pub fn withdraw(&mut self, now: Wall, config: &Config, name: &Upstream) -> Option<Change> {
        self.note_notice(now, name);
        let known = config.instances.get(name);
        let last = known.map(|known| known.birth);
        let last = last.or_else(|| self.silent.get(name).map(Silence::birth));
        if last.is_some() || !self.is_gone(name) {
            self.mark_gone(name, last.unwrap_or_default());
        }
        known.map(|_| Change::Instance(name.clone(), None))
    }

    fn note_notice(&mut self, now: Wall, name: &Upstream) {
        self.notices
            .retain(|_, at| now.since(*at) < limit::LATE_NOTICE);
        if self.notices.len() < limit::MAX_GONE_INSTANCES || self.notices.contains_key(name) {
            self.notices.insert(name.clone(), now);
        }
    }

    /// Returns whether a notice may be a late copy of one that an earlier incarnation gave: the
    /// known incarnation hasn't said that it is leaving, and a notice of the name was entered
    /// not long ago.
    pub fn is_doubtful_notice(&self, now: Wall, config: &Config, name: &Upstream) -> bool {
        let known = config.instances.get(name);
        let last = self.notices.get(name);
        known.is_some_and(|known| !known.leaving)
            && last.is_some_and(|at| now.since(*at) < limit::LATE_NOTICE)
    }

    /// Withdraws an instance that fell silent after `watermark`, and returns the change that this
    /// makes to the configuration. Nothing changes if another incarnation is known by now.
    pub fn lapse(
        &mut self,
        now: Wall,
        config: &Config,
        name: &Upstream,
        watermark: Watermark,
    ) -> Option<Change> {
        let known = config.instances.get(name)?;
        if known.birth != watermark.birth {
            return None;
        }
        if self.silent.len() >= limit::MAX_GONE_INSTANCES {
            let silent = self.silent.iter();
            let oldest = silent.min_by_key(|(_, silence)| silence.since());
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.inspect(|name| drop(self.silent.remove(name)));
        }
        let silence = Silence::new(now, known.clone(), watermark);
        self.silent.insert(name.clone(), silence);
        Some(Change::Instance(name.clone(), None))
    }

    /// Records the numbers of the last heartbeats that the leader has heard.
    pub fn note_numbers(&mut self, config: &Config, heard: Vec<Heartbeat>) {
        for heartbeat in heard {
            let told = (heartbeat.birth, heartbeat.sequence);
            self.numbers.raise(heartbeat.name, told);
        }
        self.numbers.retain(config);
    }

    /// Returns the replicated number of the last heartbeat of an incarnation, or 0.
    pub fn last_number(&self, name: &Upstream, birth: Birth) -> u64 {
        self.numbers.get(name, birth)
    }

    /// Returns the instance of this name that was withdrawn for its silence.
    pub fn silence(&self, name: &Upstream) -> Option<&Silence> {
        self.silent.get(name)
    }

    fn mark_gone(&mut self, name: &Upstream, birth: Birth) {
        self.unmark_gone(name);
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

    fn unmark_gone(&mut self, name: &Upstream) {
        self.gone.retain(|gone| gone != name);
        self.births.remove(name);
        self.silent.remove(name);
    }

    /// Returns whether this incarnation is gone, or precedes one that is.
    fn is_stale(&self, name: &Upstream, birth: Birth) -> bool {
        let last = self.births.get(name).copied().unwrap_or_default();
        self.is_gone(name) && birth <= last
    }

    /// Returns whether the last known incarnation of the name is gone.
    pub fn is_gone(&self, name: &Upstream) -> bool {
        self.gone.contains(name)
    }
}

/// Returns the instances of other names at the address of `record`, with their births.
fn others_at<T, F>(
    held: &BTreeMap<Upstream, T>,
    name: &Upstream,
    record: &Instance,
    instance: F,
) -> Vec<(Upstream, Birth)>
where
    F: Fn(&T) -> &Instance,
{
    let held = held.iter().map(|(other, held)| (other, instance(held)));
    let others = held.filter(|(other, held)| *other != name && held.address == record.address);
    others
        .map(|(other, held)| (other.clone(), held.birth))
        .collect()
}

/// Returns whether an instance can't be enrolled because the table is full.
fn has_no_room(config: &Config, name: &Upstream) -> bool {
    config.instances.len() >= limit::MAX_INSTANCES && !config.instances.contains_key(name)
}

/// What the leader has to do about a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The heartbeat reports nothing new, and can be acknowledged.
    Unchanged,
    /// The instance has been leaving since this revision or an earlier one. The heartbeat is
    /// acknowledged once the revision is in force in all processes.
    Leaving(Revision),
    /// The heartbeat must be entered in the state before it is acknowledged.
    Changed,
    /// The instance can't be enrolled because the table is full.
    Full,
}

/// A heartbeat that reported nothing new, as one replica relays it to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// The instance's name.
    pub name: Upstream,
    /// The start time of the instance's incarnation.
    pub birth: Birth,
    /// The number of the heartbeat within the incarnation.
    pub sequence: u64,
}

impl Heartbeat {
    /// Returns whether the heartbeat reports what is known already and its sender isn't
    /// leaving, so that the leader has nothing to decide.
    pub fn is_routine(&self, config: &Config, record: &Instance) -> bool {
        !record.leaving && config.instances.get(&self.name) == Some(record)
    }
}

/// The last heartbeat of each instance. Only the leader keeps it, in memory. A new leader
/// grants each instance a full lease, so that an election ends none.
#[derive(Debug, Default)]
pub struct Roster {
    heard: HashMap<Upstream, Contact>,
    // When more than half of a service's instances were last silent.
    unreached: HashMap<Service, Mono>,
}

#[derive(Clone, Copy, Debug)]
struct Contact {
    // The latest incarnation that was heard.
    birth: Birth,
    // The highest number of the incarnation's heartbeats.
    sequence: u64,
    at: Mono,
    // The revision in force when the instance was first heard to be leaving.
    leaving: Option<Revision>,
}

impl Roster {
    /// Records a heartbeat and returns what to do about it.
    ///
    /// A heartbeat that was overtaken by a later one of the same instance is acknowledged
    /// and otherwise ignored, unless it says that the instance is leaving: the sender counts
    /// from the first acknowledgement of that, so each one has to wait for its revision.
    /// Sequence numbers start anew with each incarnation.
    pub fn receive(
        &mut self,
        now: Mono,
        config: &Config,
        (name, sequence): (&Upstream, u64),
        record: &Instance,
    ) -> Disposition {
        let birth = record.birth;
        let last = self.heard.get(name).copied();
        let is_overtaken = |last: Contact| (birth, sequence) < (last.birth, last.sequence);
        let leaves = |last: Contact| birth == last.birth && record.leaving;
        if last.is_some_and(|last| is_overtaken(last) && !leaves(last)) {
            return Disposition::Unchanged;
        }
        let highest = last.filter(|last| last.birth == birth);
        let mut heard = Contact {
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
            // Repeated heartbeats keep the first revision, so as not to wait for later
            // changes.
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

    /// Records a heartbeat without news that another replica received.
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
                    let heard = Contact {
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

    /// Returns the instances that were not heard for a lease, in order.
    pub fn find_silent(&mut self, now: Mono, lease: Duration, config: &Config) -> Vec<Upstream> {
        self.heard
            .retain(|name, _| config.instances.contains_key(name));
        let mut lapsed = Vec::new();
        for name in config.instances.keys() {
            let fresh = Contact {
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

    /// Forgets all heartbeats, as a replica must that doesn't lead.
    pub fn clear(&mut self) {
        self.heard.clear();
        self.unreached.clear();
    }
}
