//! The subset of a fleet that one entry host sends to.
//!
//! With 880 upstreams and hundreds of entry hosts, an entry host can't know the
//! load of every upstream. Each one uses a subset, selected by rendezvous
//! hashing of its own name with the upstreams' names. The subset hardly changes
//! when upstreams come and go, each upstream is in about the same number of
//! subsets, and no coordination is needed. Members are taken from the failure
//! domains in turn, so that the loss of a domain never takes a whole subset.

use std::collections::{BTreeMap, BTreeSet};

use almondlock_base::id::Domain;

/// Upstreams of this region or of all others, ranked within each failure domain.
#[derive(Clone, Debug, Default)]
pub(super) struct Subset {
    // Each upstream's score and slot. Invariant: an upstream is in one domain's set.
    domains: BTreeMap<Domain, BTreeSet<(u64, u32)>>,
    /// Slots of the members in use, from the failure domains in turn, best first.
    pub(super) chosen: Vec<u32>,
}

impl Subset {
    /// Adds an upstream and selects the members anew.
    pub(super) fn insert(&mut self, domain: &Domain, score: u64, slot: u32, size: usize) {
        self.domains
            .entry(domain.clone())
            .or_default()
            .insert((score, slot));
        self.choose(size);
    }

    /// Removes an upstream and selects the members anew.
    pub(super) fn remove(&mut self, domain: &Domain, score: u64, slot: u32, size: usize) {
        if let Some(members) = self.domains.get_mut(domain) {
            members.remove(&(score, slot));
            if members.is_empty() {
                self.domains.remove(domain);
            }
        }
        self.choose(size);
    }

    /// Selects the best upstream of each domain, then the second of each, and so on.
    /// The cost is proportional to the size of the subset, not to that of the fleet.
    fn choose(&mut self, size: usize) {
        self.chosen.clear();
        let mut ranks: Vec<_> = self.domains.values().map(|set| set.iter().rev()).collect();
        while self.chosen.len() < size {
            let before = self.chosen.len();
            for rank in &mut ranks {
                if self.chosen.len() < size
                    && let Some((_, slot)) = rank.next()
                {
                    self.chosen.push(*slot);
                }
            }
            if self.chosen.len() == before {
                return;
            }
        }
    }
}

/// Mixes two numbers by the finaliser of SplitMix64. That is enough for rendezvous
/// scores, where an attacker gains nothing by a collision.
pub(super) const fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hashes a name. The result is the same on every host and in every version.
pub(super) fn hash_name(text: &str) -> u64 {
    let fnv = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    mix(text.bytes().fold(0xcbf2_9ce4_8422_2325, fnv), 0)
}
