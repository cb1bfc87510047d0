//! Divides a service's engines into cells, from which an entry host uses its own first.
//!
//! **Load pattern.** A hundred entry hosts send to a hundred engines, two requests
//! a second each. A host's information about the others' requests is some tens of
//! milliseconds old, and two dozen prompts arrive at all hosts within that time. When
//! an engine becomes free, or is assigned to short prompts, it looks idle to every
//! host at the same time, and all of them choose it: the last of twelve prompts that
//! arrived within 60 ms waited 0.9 s at an engine, while others had nothing to read.
//!
//! **Cells.** The engines are therefore divided into cells, and a host places its
//! prompts in the cell of its own failure domain, as long as that is not much later
//! than another cell. With five domains, a cell has a fifth of the hosts and of the
//! engines, and only a few prompts arrive in it within the age of a host's information. A cell has at
//! least the engines that the largest prompts need, [`MIN_ENGINES`]. A failure domain
//! with fewer shares a cell with others, and one with many more is divided.
//!
//! **Overflow.** Failure domains have unequal shares of the callers, and lose engines.
//! A host compares its own cell with two others drawn at random, and uses the better
//! one of these if it is sooner by [`OVERFLOW_MARGIN`]. Two are enough to find one that
//! is not crowded ("power of two choices"), and since each host draws its own, they
//! don't all choose the same.

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
    time::Duration,
};

use almondlock_base::id::{Domain, Upstream};
use rand::{RngCore, seq::index};

/// Least number of engines in a cell: a prompt may be read by 16 of them, and short
/// prompts need some engines of their own.
pub const MIN_ENGINES: usize = 20;

/// Number of engines for each cell of a divided failure domain.
const SPLIT_ENGINES: usize = 2 * MIN_ENGINES;

/// Time by which another cell must be sooner to be used instead of a host's own. It is
/// one pass of an engine that writes streams and reads parts of prompts. A smaller
/// difference is less than the effect of an engine's own streams.
pub const OVERFLOW_MARGIN: Duration = Duration::from_millis(80);

/// Number of other cells that a host compares for each prompt.
const SAMPLED_CELLS: usize = 2;

/// Returns the cell number of each engine, in the order of `engines`. The host's own
/// cell is number 0.
///
/// All hosts divide the same list in the same way, but number the cells differently.
/// `own` is the host's failure domain. `host` is any number that differs between hosts;
/// it selects the host's own cell if its failure domain has several.
pub fn assign<'a, I>(engines: I, own: &Domain, host: u64) -> Vec<usize>
where
    I: IntoIterator<Item = (&'a Upstream, &'a Domain)>,
{
    let engines: Vec<(&Upstream, &Domain)> = engines.into_iter().collect();
    let mut domains: BTreeMap<&Domain, usize> = BTreeMap::new();
    for (_, domain) in &engines {
        *domains.entry(domain).or_default() += 1;
    }
    let small: usize = domains.values().filter(|count| **count < MIN_ENGINES).sum();
    // Failure domains that are too small share a cell. If it is still too small, the
    // smallest of the other domains joins it.
    let smallest = domains.iter().filter(|(_, count)| **count >= MIN_ENGINES);
    let smallest = smallest.min_by_key(|(_, count)| **count).map(|(d, _)| *d);
    let joined = smallest.filter(|_| small > 0 && small < MIN_ENGINES);
    let group = |domain: &'a Domain| {
        let is_small = domains.get(domain).is_none_or(|count| *count < MIN_ENGINES);
        (!is_small && joined != Some(domain)).then_some(domain)
    };
    let mut sizes: BTreeMap<Option<&Domain>, usize> = BTreeMap::new();
    for (_, domain) in &engines {
        *sizes.entry(group(domain)).or_default() += 1;
    }
    let parts = |group: &Option<&Domain>| {
        let size = sizes.get(group).copied().unwrap_or_default();
        (size / SPLIT_ENGINES).max(1) as u64
    };
    let own_group = domains.get_key_value(own).map(|(own, _)| group(own));
    // Hosts of a failure domain without engines, for example while it is evacuated, are
    // distributed over the other cells.
    let shared = usize::try_from(host % sizes.len().max(1) as u64).unwrap_or(0);
    let own_group = own_group.or_else(|| sizes.keys().nth(shared).copied());
    let own_key = own_group.map(|group| (group, host % parts(&group)));
    let mut numbers: BTreeMap<(Option<&Domain>, u64), usize> = BTreeMap::new();
    numbers.extend(own_key.map(|key| (key, 0)));
    let cells = engines.iter().map(|(name, domain)| {
        let group = group(domain);
        let next = numbers.len();
        *numbers
            .entry((group, hash_name(name) % parts(&group)))
            .or_insert(next)
    });
    cells.collect()
}

/// Hashes an engine's name. All hosts get the same result.
fn hash_name(name: &Upstream) -> u64 {
    // `DefaultHasher::new` has fixed keys, unlike the hasher of a `HashMap`.
    let mut hasher = std::hash::DefaultHasher::new();
    name.as_str().hash(&mut hasher);
    hasher.finish()
}

/// Draws the cells to compare with a host's own, as positions among the `others`.
pub fn sample_others<R>(others: usize, rng: &mut R) -> Vec<usize>
where
    R: RngCore,
{
    index::sample(rng, others, others.min(SAMPLED_CELLS)).into_vec()
}
