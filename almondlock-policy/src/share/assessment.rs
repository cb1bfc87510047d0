//! Finds the organisations that are over their share of a service's engines.

use std::{collections::HashMap, hash::Hash, time::Duration};

use super::{Standing, Unlisted, Usage, level};

/// Mean reading time assigned to an engine below which reading isn't contended: half of 250 ms,
/// within which most short prompts have to have their first event. A prompt that is refused
/// while there is less to read can't be served by taking time from others.
const MIN_CONTENDED_READING: Duration = Duration::from_millis(125);

/// Number of an engine's slots that don't count as capacity. Hosts place requests by counts that
/// are up to 40 ms old, so that an engine may be full while the average one has a free slot.
const UNCOUNTED_SLOTS: u32 = 1;

/// Capacity of a service's engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Number of engines.
    pub engines: u32,
    /// Number of slots of all engines together.
    pub slots: u32,
}

/// A resource that organisations share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Slots for requests that the engines process concurrently.
    Slots,
    /// Reading time of the engines, in milliseconds.
    Reading,
}

impl Resource {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Resource::Slots => "slots",
            Resource::Reading => "reading",
        }
    }

    /// Returns the amount to share out, or `None` if the resource isn't contended whatever the
    /// demand. `used` is what all organisations use together.
    ///
    /// Engines have no fixed amount of reading time. The amount assigned to them while prompts
    /// are refused is what can be read in time.
    fn capacity(self, capacity: Capacity, used: f64) -> Option<f64> {
        let Capacity { engines, slots } = capacity;
        match self {
            Resource::Slots => {
                let even = slots.saturating_sub(engines.saturating_mul(UNCOUNTED_SLOTS));
                Some(f64::from(even.max(slots / 2)))
            }
            Resource::Reading => {
                let least = f64::from(engines) * MIN_CONTENDED_READING.as_secs_f64() * 1e3;
                (engines > 0 && used >= least).then_some(used)
            }
        }
    }

    /// Whether an organisation waits for the resource. A request without a first event may wait
    /// for a slot at its engine, but its reading time has been assigned.
    fn is_waited_for(self, usage: &Usage) -> bool {
        match self {
            Resource::Slots => usage.unanswered + usage.queued > 0,
            Resource::Reading => usage.queued_reading_ms > 0,
        }
    }

    /// Returns the amount that an organisation uses.
    fn used(self, usage: &Usage) -> f64 {
        f64::from(match self {
            Resource::Slots => usage.slots,
            Resource::Reading => usage.reading_ms,
        })
    }

    /// Returns the amount that an organisation uses and waits for.
    fn demand(self, usage: &Usage) -> f64 {
        let queued = f64::from(match self {
            Resource::Slots => usage.queued,
            Resource::Reading => usage.queued_reading_ms,
        });
        self.used(usage) + queued
    }
}

/// The excess of an organisation over its share of a resource.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess<K> {
    /// Resource of which the organisation has too much.
    pub resource: Resource,
    /// Amount that the organisation uses.
    pub used: f64,
    /// Share of the organisation. Invariant: positive.
    pub share: f64,
    /// Waiting organisation that uses the least of the resource, `None` if it isn't listed.
    pub least_served: Option<K>,
}

impl<K> Excess<K> {
    /// Returns the excess as a multiple of the share.
    pub fn ratio(&self) -> f64 {
        (self.used - self.share) / self.share
    }
}

/// The organisations that are over their share. Invariant: none is without contention.
#[derive(Clone, Debug)]
pub struct Assessment<K> {
    over: HashMap<K, Excess<K>>,
}

impl<K> Default for Assessment<K> {
    fn default() -> Assessment<K> {
        Assessment {
            over: HashMap::new(),
        }
    }
}

impl<K> Assessment<K>
where
    K: Copy + Eq + Hash,
{
    /// Assesses organisations by what they use and wait for.
    pub fn new(capacity: Capacity, usages: &[(K, Usage)], rest: Unlisted) -> Assessment<K> {
        let mut over: HashMap<K, Excess<K>> = HashMap::new();
        for resource in [Resource::Slots, Resource::Reading] {
            for (key, excess) in find_excesses(resource, capacity, usages, rest) {
                let known = over.get(&key);
                if known.is_none_or(|known| known.ratio() < excess.ratio()) {
                    over.insert(key, excess);
                }
            }
        }
        Assessment { over }
    }

    /// Returns the excess of an organisation, `None` if it is within its share.
    pub fn excess(&self, key: &K) -> Option<&Excess<K>> {
        self.over.get(key)
    }

    /// Returns whether an organisation is over its share. One without known usage is within it.
    pub fn standing(&self, key: &K) -> Standing {
        self.excess(key)
            .map_or(Standing::Within, |excess| Standing::Over {
                by: excess.ratio(),
            })
    }

    /// Whether no organisation is over its share.
    pub fn is_empty(&self) -> bool {
        self.over.is_empty()
    }
}

/// Returns the organisations that use more of a resource than the max-min level while one that
/// uses less waits.
fn find_excesses<K>(
    resource: Resource,
    capacity: Capacity,
    usages: &[(K, Usage)],
    rest: Unlisted,
) -> Vec<(K, Excess<K>)>
where
    K: Copy,
{
    let others = f64::from(rest.organisations.max(1));
    let mut demands: Vec<(f64, u32)> = usages
        .iter()
        .map(|(_, usage)| (resource.demand(usage), 1))
        .collect();
    if rest.organisations > 0 {
        demands.push((resource.demand(&rest.usage) / others, rest.organisations));
    }
    let listed = usages.iter().map(|(_, usage)| resource.used(usage));
    let used = listed.sum::<f64>() + resource.used(&rest.usage);
    let capacity = resource.capacity(capacity, used);
    let level = capacity.and_then(|capacity| level(capacity, &mut demands));
    let Some(share) = level.filter(|level| *level > 0.0) else {
        return Vec::new();
    };
    let waits = |usage: &Usage| resource.is_waited_for(usage);
    let listed = usages.iter().filter(|(_, usage)| waits(usage));
    let listed = listed.map(|(key, usage)| (resource.used(usage), Some(*key)));
    let unlisted = (rest.organisations > 0 && waits(&rest.usage))
        .then(|| (resource.used(&rest.usage) / others, None));
    let waiting = listed.chain(unlisted).filter(|(used, _)| *used < share);
    let Some((_, behind)) = waiting.min_by(|a, b| a.0.total_cmp(&b.0)) else {
        return Vec::new();
    };
    let used = usages
        .iter()
        .map(|(key, usage)| (*key, resource.used(usage)));
    used.filter(|(_, used)| *used > share)
        .map(|(key, used)| {
            let excess = Excess {
                resource,
                used,
                share,
                least_served: behind,
            };
            (key, excess)
        })
        .collect()
}
