//! Each of many entry hosts uses a subset of a large fleet. Guards against subsets
//! that leave some upstreams idle, against a subset within one failure domain, whose
//! loss would leave the entry host without upstreams, and against subsets that
//! change as a whole with each upstream, which would lose all load information.

#![cfg(test)]

use std::collections::{BTreeSet, HashMap};

use almondlock_base::{
    id::{Domain, Host, Region, Upstream},
    time::Mono,
    unit::Tokens,
};
use almondlock_policy::choice::{Config, Index, Locality, Origin, Picker, Query, Sampling, Table};
use rand::{SeedableRng, rngs::SmallRng};

fn name(i: usize) -> Upstream {
    Upstream::new(&format!("engine-{i}")).unwrap()
}

fn locality(i: usize) -> Locality {
    Locality {
        domain: Domain::new(&format!("d{}", i % 6)).unwrap(),
        region: Region::new(&format!("r{}", i % 2)).unwrap(),
    }
}

fn table(host: usize, upstreams: usize) -> Table {
    let origin = Origin {
        host: Host::new(&format!("entry-{host}")).unwrap(),
        domain: Domain::new("d0").unwrap(),
        region: Region::new("r0").unwrap(),
    };
    let mut table = Table::new(Config::default(), origin);
    for i in 0..upstreams {
        table.insert(&name(i), locality(i));
    }
    table
}

/// Returns the upstreams that an entry host sends to.
fn used(table: &Table) -> BTreeSet<Upstream> {
    let mut rng = SmallRng::seed_from_u64(1);
    let pick = |_| {
        let index = Sampling.pick(table, &Query::default(), Mono::ZERO, &mut rng)?;
        table.name(index).cloned()
    };
    (0..2_000).filter_map(pick).collect()
}

#[test]
fn even_cover() {
    let mut counts: HashMap<Upstream, usize> = HashMap::new();
    for host in 0..370 {
        let members = used(&table(host, 880));
        assert_eq!(members.len(), 32);
        for member in members {
            *counts.entry(member).or_default() += 1;
        }
    }
    // 370 hosts with 32 upstreams each use an upstream of the 440 in the region 27 times.
    assert_eq!(counts.len(), 440);
    let (least, most) = (counts.values().min(), counts.values().max());
    assert!(
        least >= Some(&8) && most <= Some(&52),
        "{least:?} to {most:?}"
    );
}

#[test]
fn all_domains() {
    for host in 0..20 {
        let mut domains: HashMap<Domain, usize> = HashMap::new();
        let table = table(host, 880);
        for member in used(&table) {
            let i: usize = member.as_str()["engine-".len()..].parse().unwrap();
            assert_eq!(locality(i).region.as_str(), "r0");
            *domains.entry(locality(i).domain).or_default() += 1;
        }
        assert_eq!(domains.len(), 3);
        assert!(domains.values().all(|count| *count >= 10), "{domains:?}");
    }
}

#[test]
fn small_change() {
    let mut table = table(0, 880);
    let before = used(&table);
    for i in 880..890 {
        table.insert(&name(i), locality(i));
    }
    let after = used(&table);
    assert!(before.intersection(&after).count() >= 28);
    // The order of insertion makes no difference.
    let mut other = self::table(0, 0);
    for i in (0..890).rev() {
        other.insert(&name(i), locality(i));
    }
    assert_eq!(used(&other), after);
}

#[test]
fn region_lost() {
    let mut table = table(0, 60);
    for i in (0..60).step_by(2) {
        table.set_leaving(&name(i), true);
    }
    let members = used(&table);
    assert!(!members.is_empty());
    assert!(members.iter().all(|member| {
        let i: usize = member.as_str()["engine-".len()..].parse().unwrap();
        i % 2 == 1
    }));
}

#[test]
fn excluded_and_removed() {
    let mut table = table(0, 6);
    let mut rng = SmallRng::seed_from_u64(2);
    let gone = table.find(&name(2)).unwrap();
    table.remove(&name(2));
    let excluded: Vec<Index> = [0, 1, 3]
        .iter()
        .filter_map(|i| table.find(&name(*i)))
        .collect();
    let query = Query {
        prompt: Tokens(10),
        excluded: &excluded,
        ..Query::default()
    };
    for _ in 0..200 {
        let index = Sampling.pick(&table, &query, Mono::ZERO, &mut rng).unwrap();
        assert!(!excluded.contains(&index) && index != gone);
    }
    // The slot is used again. Calls for the removed upstream have no effect.
    table.insert(&name(2), locality(2));
    table.record_sent(gone, Tokens(10));
    table.record_end(gone, Tokens(10), false);
    assert_eq!(table.name(gone), None);
    let all: Vec<Index> = (0..6).filter_map(|i| table.find(&name(i))).collect();
    let query = Query {
        excluded: &all,
        ..Query::default()
    };
    assert_eq!(Sampling.pick(&table, &query, Mono::ZERO, &mut rng), None);
}
