//! Which engines an entry host decides about first.
//!
//! **Load pattern.** A hundred entry hosts send to a hundred engines, two requests
//! a second each. What a host knows of the others' work is some tens of milliseconds
//! old, in which two dozen prompts come at all hosts together. When an engine becomes
//! free, or joins the short streams, it looks idle to every host at once, and all of
//! them take it: the last of twelve prompts that came within 60 ms waited 0.9 s at
//! an engine, while others had nothing to read.
//!
//! **Cells.** So the engines are divided into cells, and a host places what comes to
//! it in the cell of its own failure domain, as long as that is not much later than
//! elsewhere. A cell has a fifth of the hosts and of the engines, and what comes
//! within the age of a host's knowledge is a few prompts. A cell is not made smaller
//! than what the largest prompts need, [`MIN_ENGINES`] engines; a failure domain with fewer
//! shares a cell with others, and one with many more is divided.
//!
//! **Overflow.** Failure domains get unlike shares of the callers and lose engines.
//! A host compares its own cell with two others drawn at random, and takes the better
//! of these if it is sooner by [`OVERFLOW_MARGIN`]. Two are enough to find one that is not
//! crowded ("power of two choices"), and as each host draws its own, they don't all
//! choose the same.

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
    time::Duration,
};

use almondlock_base::id::{Domain, Upstream};
use rand::{RngCore, seq::index};

/// The fewest engines in a cell: a prompt may be read by 16 of them, and the short
/// streams need some of their own.
pub const MIN_ENGINES: usize = 20;

/// Engines of one failure domain that make a second cell there.
const SPLIT: usize = 2 * MIN_ENGINES;

/// How much sooner another cell must be done to be taken: a pass of an engine with
/// streams and parts. Below that, an engine's own streams make more difference than
/// what is known of others.
pub const OVERFLOW_MARGIN: Duration = Duration::from_millis(80);

/// Other cells that a host looks at for each prompt.
const LOOKED_AT: usize = 2;

/// The cells of a list of engines as one host sees them: each engine's cell, by its
/// place in the list. The host's own cell is number 0.
///
/// All hosts that are given the same list divide it in the same way; `host` is any
/// number that differs between hosts, and decides which cell of its failure domain is
/// a host's own.
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
    // Those that are too small share a cell, with the smallest of the others if need
    // be.
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
        (size / SPLIT).max(1) as u64
    };
    let own_group = domains.get_key_value(own).map(|(own, _)| group(own));
    // Hosts of a failure domain without engines, as when it is evacuated, share the others.
    let shared = usize::try_from(host % sizes.len().max(1) as u64).unwrap_or(0);
    let own_group = own_group.or_else(|| sizes.keys().nth(shared).copied());
    let own_key = own_group.map(|group| (group, host % parts(&group)));
    let mut numbers: BTreeMap<(Option<&Domain>, u64), usize> = BTreeMap::new();
    numbers.extend(own_key.map(|key| (key, 0)));
    let cells = engines.iter().map(|(name, domain)| {
        let group = group(domain);
        let next = numbers.len();
        *numbers
            .entry((group, place(name) % parts(&group)))
            .or_insert(next)
    });
    cells.collect()
}

/// A number that all hosts give to an engine of this name.
fn place(name: &Upstream) -> u64 {
    // Its keys are fixed, unlike those of a hash map.
    let mut hasher = std::hash::DefaultHasher::new();
    name.as_str().hash(&mut hasher);
    hasher.finish()
}

/// Which of the other cells to look at, out of so many.
pub fn sample_others<R>(others: usize, rng: &mut R) -> Vec<usize>
where
    R: RngCore,
{
    index::sample(rng, others, others.min(LOOKED_AT)).into_vec()
}
