//! Placement of adapters on upstreams.
#![allow(clippy::unwrap_used)]

use almondlock_state::placement::{Bin, Item, place, place_largest_first};
use proptest::{
    collection::vec,
    prelude::Strategy,
    test_runner::{Config, RngSeed, TestRunner},
};
use rand::{SeedableRng, rngs::SmallRng};

fn item() -> impl Strategy<Value = Item> {
    (0usize..2, 1u64..50, 0.0..10.0, 1usize..3).prop_map(|(group, size, load, copies)| Item {
        group,
        size,
        load,
        copies,
    })
}

fn bin() -> impl Strategy<Value = Bin> {
    (0usize..2, 0usize..3, 0u64..300).prop_map(|(group, domain, room)| Bin {
        group,
        domain,
        room,
    })
}

/// A placement uses only upstreams of an item's model, within their memory, and no failure
/// domain twice for one item.
#[test]
fn holds() {
    let config = Config {
        cases: 24,
        rng_seed: RngSeed::Fixed(5),
        ..Config::default()
    };
    let instances = (vec(item(), 0..20), vec(bin(), 1..12));
    let run = TestRunner::new(config).run(&instances, |(items, bins)| {
        let Some(placement) = place(&items, &bins, &mut SmallRng::seed_from_u64(1)) else {
            return Ok(());
        };
        let mut used = vec![0; bins.len()];
        for (item, copies) in items.iter().zip(&placement) {
            assert_eq!(copies.len(), item.copies);
            let mut domains: Vec<usize> = copies.iter().map(|bin| bins[*bin].domain).collect();
            domains.sort_unstable();
            domains.dedup();
            assert_eq!(domains.len(), item.copies);
            for bin in copies {
                assert_eq!(bins[*bin].group, item.group);
                used[*bin] += item.size;
            }
        }
        assert!(used.iter().zip(&bins).all(|(used, bin)| *used <= bin.room));
        Ok(())
    });
    run.unwrap();
}

/// Load is spread, random draws succeed where placing the largest first fails, and an item
/// that can't be placed is reported.
#[test]
fn spread_load() {
    let bin = |domain, room| Bin {
        group: 0,
        domain,
        room,
    };
    let item = |size, copies| Item {
        group: 0,
        size,
        load: 1.0,
        copies,
    };
    let place = |items: &[Item], bins: &[Bin]| {
        let placement = place(items, bins, &mut SmallRng::seed_from_u64(1))?;
        let mut used: Vec<usize> = placement.into_iter().flatten().collect();
        used.sort_unstable();
        Some(used)
    };
    let bins = [bin(0, 100), bin(1, 100), bin(1, 100)];
    assert_eq!(
        place(&[item(10, 1), item(9, 1), item(8, 1)], &bins),
        Some(vec![0, 1, 2])
    );
    assert_eq!(place(&[item(10, 3)], &bins), None, "two domains only");
    assert_eq!(place(&[item(101, 1)], &bins), None);
    // With the largest first, 5 and 4 go to different bins and leave no room for three of 3.
    let bins = [bin(0, 9), bin(0, 9)];
    let items = [item(5, 1), item(4, 1), item(3, 1), item(3, 1), item(3, 1)];
    assert!(place_largest_first(&items, &bins).is_none());
    assert_eq!(place(&items, &bins).map(|used| used.len()), Some(5));
}
