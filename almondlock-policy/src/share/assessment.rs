//! Which organisations are over their share of a service's engines.

use std::{collections::HashMap, hash::Hash, time::Duration};

use super::{Standing, Unlisted, Usage, level};

/// Reading time that engines are promised, in the mean, below which it isn't contended: half
/// of 250 ms, the time within which most short prompts have to have their first event. What
/// is refused while there is less to read can't be served by taking time from others.
const CONTENDED: Duration = Duration::from_millis(125);

/// Slots of an engine that don't count as capacity. Hosts place requests by counts that are
/// up to 40 ms old, so that an engine may be full while the mean one has a slot free.
const UNEVEN: u32 = 1;

/// A service's engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// How many there are.
    pub engines: u32,
    /// Their slots together.
    pub slots: u32,
}

/// What is shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Requests that the engines process concurrently.
    Slots,
    /// Milliseconds of reading.
    Reading,
}

impl Resource {
    /// The word used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Resource::Slots => "slots",
            Resource::Reading => "reading",
        }
    }

    /// How much of it there is to share out. None: it isn't contended, whatever is asked
    /// for. `used` is what all organisations have.
    ///
    /// Engines have no fixed amount of reading: what they are promised when prompts are
    /// refused is what can be read in time.
    fn capacity(self, capacity: Capacity, used: f64) -> Option<f64> {
        let Capacity { engines, slots } = capacity;
        match self {
            Resource::Slots => {
                let even = slots.saturating_sub(engines.saturating_mul(UNEVEN));
                Some(f64::from(even.max(slots / 2)))
            }
            Resource::Reading => {
                let least = f64::from(engines) * CONTENDED.as_secs_f64() * 1e3;
                (engines > 0 && used >= least).then_some(used)
            }
        }
    }

    /// Whether an organisation waits for it. A prompt that was sent waits for a slot, if the
    /// engines have none; reading time it was promised.
    fn is_waited_for(self, count: &Usage) -> bool {
        match self {
            Resource::Slots => count.unread + count.queued > 0,
            Resource::Reading => count.queued_reading > 0,
        }
    }

    fn used(self, count: &Usage) -> f64 {
        f64::from(match self {
            Resource::Slots => count.slots,
            Resource::Reading => count.reading,
        })
    }

    fn demand(self, count: &Usage) -> f64 {
        let queued = f64::from(match self {
            Resource::Slots => count.queued,
            Resource::Reading => count.queued_reading,
        });
        self.used(count) + queued
    }
}

/// By how much an organisation is over its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess<K> {
    /// Of what.
    pub resource: Resource,
    /// What it has.
    pub used: f64,
    /// Its share. Positive.
    pub share: f64,
    /// The organisation with the least of it that waits. None: one that isn't listed.
    pub least_served: Option<K>,
}

impl<K> Excess<K> {
    /// The excess as a part of the share.
    pub fn ratio(&self) -> f64 {
        (self.used - self.share) / self.share
    }
}

/// The organisations that are over their share. Invariant: empty without contention.
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
    /// Judges organisations by what they have and wait for.
    pub fn new(capacity: Capacity, counts: &[(K, Usage)], rest: Unlisted) -> Assessment<K> {
        let mut over: HashMap<K, Excess<K>> = HashMap::new();
        for resource in [Resource::Slots, Resource::Reading] {
            for (key, excess) in excesses(resource, capacity, counts, rest) {
                let known = over.get(&key);
                if known.is_none_or(|known| known.ratio() < excess.ratio()) {
                    over.insert(key, excess);
                }
            }
        }
        Assessment { over }
    }

    /// By how much an organisation is over its share, if it is.
    pub fn excess(&self, key: &K) -> Option<&Excess<K>> {
        self.over.get(key)
    }

    /// How an organisation stands. Within if nothing is known of it.
    pub fn standing(&self, key: &K) -> Standing {
        self.excess(key)
            .map_or(Standing::Within, |excess| Standing::Over {
                by: excess.ratio(),
            })
    }

    /// Whether nobody is over.
    pub fn is_empty(&self) -> bool {
        self.over.is_empty()
    }
}

/// Organisations that have more of a resource than the max-min level, while one that has
/// less waits.
fn excesses<K>(
    resource: Resource,
    capacity: Capacity,
    counts: &[(K, Usage)],
    rest: Unlisted,
) -> Vec<(K, Excess<K>)>
where
    K: Copy,
{
    let others = f64::from(rest.organisations.max(1));
    let mut demands: Vec<(f64, u32)> = counts
        .iter()
        .map(|(_, count)| (resource.demand(count), 1))
        .collect();
    if rest.organisations > 0 {
        demands.push((resource.demand(&rest.count) / others, rest.organisations));
    }
    let listed = counts.iter().map(|(_, count)| resource.used(count));
    let used = listed.sum::<f64>() + resource.used(&rest.count);
    let capacity = resource.capacity(capacity, used);
    let level = capacity.and_then(|capacity| level(capacity, &mut demands));
    let Some(share) = level.filter(|level| *level > 0.0) else {
        return Vec::new();
    };
    let waits = |count: &Usage| resource.is_waited_for(count);
    let listed = counts.iter().filter(|(_, count)| waits(count));
    let listed = listed.map(|(key, count)| (resource.used(count), Some(*key)));
    let unlisted = (rest.organisations > 0 && waits(&rest.count))
        .then(|| (resource.used(&rest.count) / others, None));
    let waiting = listed.chain(unlisted).filter(|(used, _)| *used < share);
    let Some((_, behind)) = waiting.min_by(|a, b| a.0.total_cmp(&b.0)) else {
        return Vec::new();
    };
    let used = counts
        .iter()
        .map(|(key, count)| (*key, resource.used(count)));
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
