//! Which upstreams hold which adapters.
//!
//! An adapter needs room on some upstreams of its model, in different failure
//! domains, and brings load to them. Packing is NP-hard. "Generalized Resource
//! Allocation for the Cloud" (Rai, Bhagwan, Guha, SoCC 2012) gives a search that
//! draws assignments at random, asks a usage function about each partial one,
//! and runs many draws side by side; its baselines are first-fit heuristics.
//!
//! `docs/placement.md` has the comparison at today's sizes and the target's.
//! Neither way wins at both: draws find places and lower peaks where there are a
//! dozen upstreams, and fail at hundreds that are nearly full, where a
//! decreasing fit still places everything. [`place`] therefore fits first and
//! then draws for as long as a stated amount of work lasts, and keeps the best.

use std::{cmp::Reverse, collections::BTreeSet};

use rand::{Rng, seq::SliceRandom};

/// Copies that are placed by chance before the search ends: some ten
/// milliseconds of work, whatever the sizes.
const DRAWN: usize = 200_000;

/// Draws at most: with a few items more of them find nothing new.
const DRAWS: usize = 5_000;

/// What is to be placed.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// The model whose upstreams can hold it.
    pub group: usize,
    /// Memory that each copy takes.
    pub size: u64,
    /// Load that it brings, shared by its copies.
    pub load: f64,
    /// Copies, each in another failure domain.
    pub copies: usize,
}

/// Where it can be placed.
#[derive(Clone, Debug, PartialEq)]
pub struct Bin {
    /// The model that runs there.
    pub group: usize,
    /// The failure domain.
    pub domain: usize,
    /// Memory for items.
    pub room: u64,
}

/// For each item the bins of its copies.
pub type Placement = Vec<Vec<usize>>;

/// How full and how loaded the bins are while items are placed.
#[derive(Clone, Debug)]
pub struct Usage<'a> {
    bins: &'a [Bin],
    used: Vec<u64>,
    load: Vec<f64>,
}

impl<'a> Usage<'a> {
    /// Nothing is placed.
    pub fn new(bins: &'a [Bin]) -> Usage<'a> {
        Usage {
            bins,
            used: vec![0; bins.len()],
            load: vec![0.0; bins.len()],
        }
    }

    /// Whether a copy fits there, beside copies in these domains.
    pub fn fits(&self, item: &Item, bin: usize, domains: &BTreeSet<usize>) -> bool {
        let it = &self.bins[bin];
        it.group == item.group
            && self.used[bin] + item.size <= it.room
            && !domains.contains(&it.domain)
    }

    /// Places a copy.
    pub fn place(&mut self, item: &Item, bin: usize) {
        self.used[bin] += item.size;
        self.load[bin] += item.load / item.copies as f64;
    }

    /// The load of a bin.
    pub fn load(&self, bin: usize) -> f64 {
        self.load[bin]
    }

    /// The highest load over the mean.
    pub fn peak(&self) -> f64 {
        let mean = self.load.iter().sum::<f64>() / self.load.len().max(1) as f64;
        let most = self.load.iter().copied().fold(0.0, f64::max);
        if mean > 0.0 { most / mean } else { 0.0 }
    }
}

/// Places all items, with the lowest peak of load that was found. `None` when no
/// way was found.
pub fn place<R>(items: &[Item], bins: &[Bin], generator: &mut R) -> Option<Placement>
where
    R: Rng,
{
    let copies = items.iter().map(|item| item.copies).sum::<usize>().max(1);
    let mut best = place_largest_first(items, bins);
    for _ in 0..(DRAWN / copies).min(DRAWS) {
        let drawn = place_randomly(items, bins, generator);
        best = match (best, drawn) {
            (Some(best), Some(drawn)) if drawn.0 < best.0 => Some(drawn),
            (best, drawn) => best.or(drawn),
        };
    }
    best.map(|(_, placement)| placement)
}

/// Places the largest items first, each copy on the least loaded bin that has
/// room in a domain without a copy. Gives the peak, too.
pub fn place_largest_first(items: &[Item], bins: &[Bin]) -> Option<(f64, Placement)> {
    assign(items, bins, &largest_first(items), |usage, fits| {
        let fitting = (0..bins.len()).filter(|bin| fits(usage, *bin));
        fitting.min_by(|a, b| usage.load(*a).total_cmp(&usage.load(*b)))
    })
}

/// Places the items in an order and on bins drawn by chance.
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

/// Places items in this order, each copy where `choose` says among the bins that
/// it fits.
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

/// The order in which a fit places items.
pub fn largest_first(items: &[Item]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_by_key(|index| Reverse(items[*index].size));
    order
}
