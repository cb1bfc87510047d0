//! Instances that were withdrawn because they fell silent.
//!
//! Silence is weaker evidence than an instance's own notice: the instance may run on and only
//! be unable to reach a replica. A later heartbeat of the same incarnation therefore reinstates
//! it, whereas a notice is final for its incarnation. What tells a later heartbeat from a
//! delayed one is its number, so the last number that was heard is replicated. A leader that
//! has not heard the incarnation itself knows only a lower bound of that number. It then takes
//! two later heartbeats, [`RESUME_GAP`] apart: delayed ones mostly arrive together.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use almondlock_base::{
    id::{Service, Upstream},
    time::{Mono, Wall},
};
use serde::{Deserialize, Serialize};

use super::{Birth, Heartbeat, Instance, Roster};
use crate::config::Config;

/// The minimum time between the two heartbeats that reinstate an instance whose last number is
/// not certain.
pub const RESUME_GAP: Duration = Duration::from_secs(1);

/// The last heartbeat that is known of an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Watermark {
    /// The incarnation.
    pub birth: Birth,
    /// The number of the heartbeat, or a lower bound of it.
    pub sequence: u64,
    /// Whether no heartbeat of the incarnation with a greater number was taken.
    pub is_certain: bool,
}

/// An instance that was withdrawn because it fell silent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Silence {
    /// The instance as last known.
    pub(super) instance: Instance,
    // Invariant: `watermark.birth` is the birth of `instance`.
    watermark: Watermark,
    /// The time at which it was withdrawn.
    since: Wall,
    /// The time of the first later heartbeat, if one is not enough to reinstate the instance.
    #[serde(default)]
    resumed: Option<Wall>,
}

impl Silence {
    pub(super) fn new(now: Wall, instance: Instance, watermark: Watermark) -> Silence {
        Silence {
            instance,
            watermark,
            since: now,
            resumed: None,
        }
    }

    /// Returns the silent incarnation.
    pub fn birth(&self) -> Birth {
        self.watermark.birth
    }

    pub(super) fn since(&self) -> Wall {
        self.since
    }

    /// Takes a heartbeat of the silent incarnation, and returns whether it reinstates the
    /// instance.
    pub(super) fn hear(&mut self, now: Wall, sequence: u64) -> bool {
        if sequence <= self.watermark.sequence {
            return false;
        }
        self.watermark.sequence = sequence;
        let since = *self.resumed.get_or_insert(now);
        self.watermark.is_certain || now.since(since) >= RESUME_GAP
    }
}

impl Roster {
    /// Returns the instances to withdraw of those that were not heard for a lease, and the
    /// number of those that are kept.
    ///
    /// If more than half of a service's instances are silent at once, more likely their path to
    /// the replicas has failed than all of them, and hosts may reach them. They are kept: a host
    /// notices by its own requests which of them are down, and has no others to send to. Once
    /// fewer are silent, the rest has half a lease to be heard again. Instances that are leaving
    /// count on neither side.
    pub fn find_lost(
        &mut self,
        now: Mono,
        lease: Duration,
        config: &Config,
    ) -> (Vec<Upstream>, usize) {
        let mut silent = self.find_silent(now, lease, config);
        let staying = || config.instances.iter().filter(|(_, known)| !known.leaving);
        let mut counts: HashMap<&Service, (usize, usize)> = HashMap::new();
        for (name, known) in staying() {
            let (all, quiet) = counts.entry(&known.service).or_default();
            *all += 1;
            *quiet += usize::from(silent.binary_search(name).is_ok());
        }
        for (service, (all, quiet)) in counts {
            if quiet * 2 > all {
                self.unreached.insert(service.clone(), now);
            }
        }
        self.unreached.retain(|_, at| now.since(*at) < lease / 2);
        let count = silent.len();
        let is_kept =
            |known: &Instance| !known.leaving && self.unreached.contains_key(&known.service);
        silent.retain(|name| !config.instances.get(name).is_some_and(is_kept));
        let kept = count - silent.len();
        (silent, kept)
    }

    /// Returns the last heartbeat that is known of an enrolled incarnation: `number` is its
    /// replicated number, which others may have exceeded before this replica led.
    pub fn watermark(&self, name: &Upstream, birth: Birth, number: u64) -> Watermark {
        let heard = self.heard.get(name).filter(|heard| heard.birth == birth);
        let heard = heard.filter(|heard| heard.sequence > 0);
        Watermark {
            birth,
            sequence: heard.map_or(number, |heard| number.max(heard.sequence)),
            is_certain: heard.is_some(),
        }
    }

    /// Returns the heartbeats whose numbers exceed the replicated ones.
    pub fn list_news<F>(&self, number: F) -> Vec<Heartbeat>
    where
        F: Fn(&Upstream, Birth) -> u64,
    {
        let heard = self.heard.iter();
        let news = heard.filter(|(name, heard)| heard.sequence > number(name, heard.birth));
        let mut news: Vec<Heartbeat> = news
            .map(|(name, heard)| Heartbeat {
                name: name.clone(),
                birth: heard.birth,
                sequence: heard.sequence,
            })
            .collect();
        news.sort_unstable_by(|one, other| one.name.cmp(&other.name));
        news
    }
}

/// The numbers of the heartbeats that are replicated, by instance.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct Numbers {
    /// Invariant: only enrolled instances have an entry after [`Numbers::retain`].
    last: BTreeMap<Upstream, (Birth, u64)>,
}

impl Numbers {
    pub(super) fn is_empty(&self) -> bool {
        self.last.is_empty()
    }

    pub(super) fn get(&self, name: &Upstream, birth: Birth) -> u64 {
        let last = self.last.get(name).filter(|last| last.0 == birth);
        last.map_or(0, |last| last.1)
    }

    pub(super) fn raise(&mut self, name: Upstream, told: (Birth, u64)) {
        let last = self.last.entry(name).or_insert(told);
        *last = told.max(*last);
    }

    pub(super) fn retain(&mut self, config: &Config) {
        self.last
            .retain(|name, _| config.instances.contains_key(name));
    }
}
