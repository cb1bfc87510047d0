//! Placement of adapters on upstreams.
//!
//! Each copy of an adapter needs memory on an upstream of its model, each in another
//! failure domain, and brings load there. This packing problem is NP-hard. "Generalized
//! Resource Allocation for the Cloud" (Rai, Bhagwan, Guha, SoCC 2012) describes a search
//! that draws random assignments, checks each partial one by a usage function, and runs
//! many draws in parallel; its baselines are first-fit heuristics.
//!
//! `docs/placement.md` compares both at present and target sizes. Random draws find
//! placements with lower load peaks on a dozen upstreams, and fail on hundreds that are
//! nearly full, where placing the largest items first still succeeds. [`place`] therefore
//! places the largest first, then draws within a fixed amount of work, and keeps the best.

use std::{cmp::Reverse, collections::BTreeSet};

use rand::{Rng, seq::SliceRandom};

/// Number of randomly placed copies after which the search ends: about ten milliseconds of
/// work, whatever the sizes.
const MAX_DRAWN_COPIES: usize = 200_000;

/// Maximum number of draws. With few items, more draws find nothing new.
const MAX_DRAWS: usize = 5_000;

/// An item to place, such as an adapter.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// The model whose upstreams can hold the item.
    pub group: usize,
    /// Memory that each copy takes.
    pub size: u64,
    /// Total load of the item, divided equally among its copies.
    pub load: f64,
    /// Number of copies, each in another failure domain.
    pub copies: usize,
}

/// A bin that holds items, such as an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Bin {
    /// The model that the upstream runs.
    pub group: usize,
    /// The failure domain.
    pub domain: usize,
    /// Memory available for items.
    pub room: u64,
}

/// The bins of each item's copies.
pub type Placement = Vec<Vec<usize>>;

/// Memory use and load of the bins while items are placed.
#[derive(Clone, Debug)]
pub struct Usage<'a> {
    bins: &'a [Bin],
    used: Vec<u64>,
    load: Vec<f64>,
}

impl<'a> Usage<'a> {
    /// Creates the usage of empty bins.
    pub fn new(bins: &'a [Bin]) -> Usage<'a> {
        Usage {
            bins,
            used: vec![0; bins.len()],
            load: vec![0.0; bins.len()],
        }
    }

    /// Returns whether a copy of the item fits the bin, when other copies are in `domains`.
    pub fn fits(&self, item: &Item, bin: usize, domains: &BTreeSet<usize>) -> bool {
        let it = &self.bins[bin];
        it.group == item.group
            && self.used[bin] + item.size <= it.room
            && !domains.contains(&it.domain)
    }

    /// Places a copy of the item on the bin.
    pub fn place(&mut self, item: &Item, bin: usize) {
        self.used[bin] += item.size;
        self.load[bin] += item.load / item.copies as f64;
    }

    /// Returns the load of a bin.
    pub fn load(&self, bin: usize) -> f64 {
        self.load[bin]
    }

    /// Returns the ratio of the highest load to the mean.
    pub fn peak(&self) -> f64 {
        let mean = self.load.iter().sum::<f64>() / self.load.len().max(1) as f64;
        let most = self.load.iter().copied().fold(0.0, f64::max);
        if mean > 0.0 { most / mean } else { 0.0 }
    }
}

/// Places all items with the lowest load peak that was found; `None` if no placement was
/// found.
pub fn place<R>(items: &[Item], bins: &[Bin], generator: &mut R) -> Option<Placement>
where
    R: Rng,
{
    let copies = items.iter().map(|item| item.copies).sum::<usize>().max(1);
    let mut best = place_largest_first(items, bins);
    for _ in 0..(MAX_DRAWN_COPIES / copies).min(MAX_DRAWS) {
        let drawn = place_randomly(items, bins, generator);
        best = match (best, drawn) {
            (Some(best), Some(drawn)) if drawn.0 < best.0 => Some(drawn),
            (best, drawn) => best.or(drawn),
        };
    }
    best.map(|(_, placement)| placement)
}

/// Places the largest items first, each copy on the least loaded bin that it fits. Returns
/// the load peak and the placement.
pub fn place_largest_first(items: &[Item], bins: &[Bin]) -> Option<(f64, Placement)> {
    assign(items, bins, &largest_first(items), |usage, fits| {
        let fitting = (0..bins.len()).filter(|bin| fits(usage, *bin));
        fitting.min_by(|a, b| usage.load(*a).total_cmp(&usage.load(*b)))
    })
}

/// Places the items in random order, each copy on the first bin that it fits from a random
/// one on. Returns the load peak and the placement.
pub fn place_randomly<R>(
    items: &[Item],
    bins: &[Bin],
    generator: &mut R,
) -> Option<(f64, Placement)>
where
    R: Rng,
{
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.shuffle(generator);
    assign(items, bins, &order, |usage, fits| {
        let first = generator.random_range(0..bins.len().max(1));
        let mut around = (0..bins.len()).map(|step| (first + step) % bins.len());
        around.find(|bin| fits(usage, *bin))
    })
}

/// Places the items in this order, each copy on the bin that `choose` returns; `None` if it
/// returns none. `choose` is given the usage, and a function that tells whether the copy
/// fits a bin. Returns the load peak and the placement.
pub fn assign<F>(
    items: &[Item],
    bins: &[Bin],
    order: &[usize],
    mut choose: F,
) -> Option<(f64, Placement)>
where
    F: FnMut(&Usage<'_>, &dyn Fn(&Usage<'_>, usize) -> bool) -> Option<usize>,
{
    let mut usage = Usage::new(bins);
    let mut placement = vec![Vec::new(); items.len()];
    for &index in order {
        let item = &items[index];
        let mut domains = BTreeSet::new();
        for _ in 0..item.copies {
            let fits = |usage: &Usage<'_>, bin| usage.fits(item, bin, &domains);
            let bin = choose(&usage, &fits)?;
            usage.place(item, bin);
            domains.insert(bins[bin].domain);
            placement[index].push(bin);
        }
    }
    Some((usage.peak(), placement))
}

/// Returns the indices of the items, largest first.
pub fn largest_first(items: &[Item]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_by_key(|index| Reverse(items[*index].size));
    order
}
