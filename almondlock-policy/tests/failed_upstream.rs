//! An upstream dies while the configuration still lists it. Guards against
//! further attempts at the dead upstream while others are usable, against a
//! refusal while only failed upstreams are left, and against an upstream that
//! never answers a probe and keeps the others from being probed.

#![cfg(test)]

use std::{collections::BTreeSet, time::Duration};

use almondlock_base::{
    id::{Domain, Host, Region, Upstream},
    time::Mono,
    unit::Tokens,
};
use almondlock_policy::choice::{
    Config, Index, Locality, Origin, Picker, Query, Report, Sampling, Table,
};
use rand::{SeedableRng, rngs::SmallRng};

fn table(config: Config, upstreams: usize) -> (Table, Vec<Index>) {
    let locality = Locality {
        domain: Domain::new("d0").unwrap(),
        region: Region::new("r0").unwrap(),
    };
    let origin = Origin {
        host: Host::new("entry-1").unwrap(),
        domain: locality.domain.clone(),
        region: locality.region.clone(),
    };
    let mut table = Table::new(config, origin);
    let name = |i| Upstream::new(&format!("engine-{i}")).unwrap();
    let all = (0..upstreams).map(|i| table.insert(&name(i), locality.clone()));
    let all = all.collect();
    (table, all)
}

/// Returns the numbers of the upstreams that are selected for prompts of this length.
fn used(table: &Table, prompt: u64, now: Mono) -> BTreeSet<u64> {
    let mut rng = SmallRng::seed_from_u64(9);
    let query = Query {
        prompt: Tokens(prompt),
        ..Query::default()
    };
    let number = |index| {
        let name: &Upstream = table.name(index)?;
        name.as_str()["engine-".len()..].parse().ok()
    };
    let pick = |_| Sampling.pick(table, &query, now, &mut rng).and_then(number);
    (0..500).filter_map(pick).collect()
}

#[test]
fn failed_passed_over() {
    let (mut table, all) = table(Config::default(), 4);
    let now = Mono::from_millis(1_000);
    table.record_failure(all[1], now);
    assert_eq!(used(&table, 10, now), BTreeSet::from([0, 2, 3]));
    let later = now + Config::default().avoid_time;
    assert_eq!(used(&table, 10, later), BTreeSet::from([0, 1, 2, 3]));
    for index in all {
        table.record_failure(index, now);
    }
    assert_eq!(
        used(&table, 10, now).len(),
        4,
        "a failed upstream is better than a refusal"
    );
}

#[test]
fn probes_rotate() {
    let (mut table, all) = table(Config::default(), 5);
    let now = Mono::from_millis(1_000);
    let age = Duration::from_millis(200);
    table.record_report(all[3], Report::default(), now);
    let asked: Vec<Index> = (0..8).filter_map(|_| table.next_stale(age, now)).collect();
    assert_eq!(asked.len(), 8);
    assert!(!asked.contains(&all[3]));
    let first: BTreeSet<_> = asked[..4].iter().map(|index| table.name(*index)).collect();
    assert_eq!(
        first.len(),
        4,
        "each is probed once before one is probed again"
    );
    for index in &all {
        table.record_report(*index, Report::default(), now);
    }
    assert_eq!(table.next_stale(age, now), None);
}

#[test]
fn kept_for_short() {
    let config = Config {
        short_only_percent: 50,
        ..Config::default()
    };
    let (table, _) = table(config, 20);
    let short = used(&table, 1_000, Mono::ZERO);
    let long = used(&table, 100_000, Mono::ZERO);
    assert_eq!(short.len(), 20);
    assert!((4..=16).contains(&long.len()), "{long:?}");
}
