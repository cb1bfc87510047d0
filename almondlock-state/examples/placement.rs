//! Compares algorithms that place adapters on upstreams.
//!
//! `cargo run --release -p almondlock-state --example placement` compares first-fit
//! decreasing, placing the largest items first on the least loaded bin, a randomised search
//! after "Generalized Resource Allocation for the Cloud" (SoCC 2012) on several threads for a
//! fixed time, and the algorithm in use. Problem instances are drawn with fixed seeds.

use std::time::{Duration, Instant};

use almondlock_state::placement::{
    Bin, Item, Placement, assign, largest_first, place, place_largest_first, place_randomly,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Duration of the search for one problem instance, on each of its threads.
const SEARCH: Duration = Duration::from_millis(500);
/// Number of threads of the search.
const THREADS: u64 = 4;
/// Number of problem instances of each kind.
const SEEDS: u64 = 10;

/// A placement, with the ratio of its load peak to the mean load.
type Found = Option<(f64, Placement)>;
/// An algorithm that finds a placement.
type Way = fn(&[Item], &[Bin], u64) -> Found;

const WAYS: [(&str, Way); 4] = [
    ("first", |items, bins, _| first_fit(items, bins)),
    ("least", |items, bins, _| place_largest_first(items, bins)),
    ("random", search),
    ("kept", kept),
];

struct Size {
    name: &'static str,
    bins: usize,
    domains: usize,
    groups: usize,
    items: usize,
}

const SIZES: [Size; 2] = [
    Size {
        name: "today",
        bins: 14,
        domains: 3,
        groups: 2,
        items: 24,
    },
    Size {
        name: "target",
        bins: 880,
        domains: 6,
        groups: 5,
        items: 1_500,
    },
];

fn main() {
    println!("size    fill  way       placed  peak/mean  ms");
    for size in &SIZES {
        for fill in [0.6, 0.8, 0.9, 0.95] {
            compare(size, fill);
        }
    }
}

fn compare(size: &Size, fill: f64) {
    for (name, way) in WAYS {
        let (mut placed, mut peaks, mut spent) = (0, 0.0, Duration::ZERO);
        for seed in 0..SEEDS {
            let (items, bins) = instance(size, fill, seed);
            let start = Instant::now();
            let placement = way(&items, &bins, seed);
            spent += start.elapsed();
            if let Some((peak, _)) = placement {
                placed += 1;
                peaks += peak;
            }
        }
        println!(
            "{:<7} {:>3.0}%  {name:<9} {placed:>2}/{SEEDS}   {:>9.2}  {:.2}",
            size.name,
            fill * 100.0,
            peaks / f64::from(placed.max(1)),
            spent.as_secs_f64() * 1e3 / SEEDS as f64
        );
    }
}

/// Draws a problem instance: items of different sizes, a few of them with most of the load,
/// and bins with as much memory as gives the fill ratio.
fn instance(size: &Size, fill: f64, seed: u64) -> (Vec<Item>, Vec<Bin>) {
    let mut generator = SmallRng::seed_from_u64(seed);
    let items: Vec<Item> = (0..size.items)
        .map(|number| Item {
            group: number % size.groups,
            size: generator.random_range(50..400),
            load: 100.0 / (1.0 + number as f64).sqrt(),
            copies: 2,
        })
        .collect();
    let mut bins: Vec<Bin> = (0..size.bins)
        .map(|number| Bin {
            group: number % size.groups,
            domain: number / size.groups % size.domains,
            room: 0,
        })
        .collect();
    for group in 0..size.groups {
        let needed: u64 = items
            .iter()
            .filter(|i| i.group == group)
            .map(|i| 2 * i.size)
            .sum();
        let count = bins.iter().filter(|bin| bin.group == group).count();
        let room = needed as f64 / fill / count as f64;
        bins.iter_mut()
            .filter(|bin| bin.group == group)
            .for_each(|bin| bin.room = room as u64);
    }
    (items, bins)
}

fn first_fit(items: &[Item], bins: &[Bin]) -> Found {
    assign(items, bins, &largest_first(items), |usage, fits| {
        (0..bins.len()).find(|bin| fits(usage, *bin))
    })
}

fn kept(items: &[Item], bins: &[Bin], seed: u64) -> Found {
    let placement = place(items, bins, &mut SmallRng::seed_from_u64(seed))?;
    let mut chosen = placement.iter().flatten().copied();
    let order: Vec<usize> = (0..items.len()).collect();
    assign(items, bins, &order, |_, _| chosen.next())
}

/// Draws complete placements on several threads until the time is over, and returns the one
/// with the lowest load peak.
fn search(items: &[Item], bins: &[Bin], seed: u64) -> Found {
    let found: Vec<(f64, Placement)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| scope.spawn(move || search_alone(items, bins, seed * THREADS + thread)))
            .collect();
        let found = threads
            .into_iter()
            .filter_map(|thread| thread.join().ok().flatten());
        found.collect()
    });
    found.into_iter().min_by(|a, b| a.0.total_cmp(&b.0))
}

fn search_alone(items: &[Item], bins: &[Bin], seed: u64) -> Found {
    let mut generator = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut best: Found = None;
    while start.elapsed() < SEARCH {
        let drawn = place_randomly(items, bins, &mut generator);
        best = match (best, drawn) {
            (Some(best), Some(drawn)) if drawn.0 < best.0 => Some(drawn),
            (best, drawn) => best.or(drawn),
        };
    }
    best
}
