//! Prompts with a common prefix arrive at any entry host, and a cached prefix
//! saves most of the time to the first token. Guards against entry hosts that
//! send them to different upstreams, against a popular prefix that overloads the
//! upstream that has it cached, and against a wrong hint that costs an answer.

#![cfg(test)]

use std::{collections::HashMap, time::Duration};

use almondlock_base::{
    id::{Domain, Host, Region, Upstream},
    time::Mono,
    unit::Tokens,
};
use almondlock_policy::choice::{Config, Locality, Origin, Picker, Query, Report, Sampling, Table};
use rand::{SeedableRng, rngs::SmallRng};

fn table(host: usize, config: Config) -> Table {
    let origin = Origin {
        host: Host::new(&format!("entry-{host}")).unwrap(),
        domain: Domain::new("d0").unwrap(),
        region: Region::new("r0").unwrap(),
    };
    let mut table = Table::new(config, origin);
    for i in 0..18 {
        let locality = Locality {
            domain: Domain::new(&format!("d{}", i % 3)).unwrap(),
            region: Region::new("r0").unwrap(),
        };
        table.insert(&Upstream::new(&format!("engine-{i}")).unwrap(), locality);
    }
    table
}

const PREFIX: [u64; 8] = [11, 12, 13, 14, 15, 16, 17, 18];

fn query() -> Query<'static> {
    Query {
        prompt: Tokens(5_000),
        output: Tokens(100),
        prefix: &PREFIX,
        excluded: &[],
    }
}

#[test]
fn hosts_agree() {
    let mut chosen: HashMap<Upstream, usize> = HashMap::new();
    for host in 0..10 {
        let mut rng = SmallRng::seed_from_u64(host as u64);
        let table = table(host, Config::default());
        let index = Sampling
            .pick(&table, &query(), Mono::ZERO, &mut rng)
            .unwrap();
        *chosen
            .entry(table.name(index).unwrap().clone())
            .or_default() += 1;
    }
    // The prefix hashes to two upstreams, and no other is chosen.
    assert!(chosen.len() <= 2, "{chosen:?}");
}

#[test]
fn processed_prefix_found() {
    let config = Config {
        assumed_hit_percent: 0,
        ..Config::default()
    };
    let mut table = table(0, config);
    let mut rng = SmallRng::seed_from_u64(1);
    let first = table.find(&Upstream::new("engine-7").unwrap()).unwrap();
    table.record_sent(first, Tokens(5_000));
    table.record_first_token(first, &query());
    table.record_end(first, Tokens(5_000), true);
    for _ in 0..50 {
        assert_eq!(
            Sampling.pick(&table, &query(), Mono::ZERO, &mut rng),
            Some(first)
        );
    }
    // Removing the upstream removes the hint.
    table.remove(&Upstream::new("engine-7").unwrap());
    assert!(
        Sampling
            .pick(&table, &query(), Mono::ZERO, &mut rng)
            .is_some()
    );
}

#[test]
fn popular_prefix_spills() {
    let mut table = table(0, Config::default());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts: HashMap<_, usize> = HashMap::new();
    for _ in 0..360 {
        let index = Sampling
            .pick(&table, &query(), Mono::ZERO, &mut rng)
            .unwrap();
        table.record_sent(index, query().prompt);
        *counts.entry(index).or_default() += 1;
    }
    let most = counts.values().max().copied();
    assert!(most <= Some(20 * 3 / 2 + 5), "{most:?} where 20 is even");
    assert_eq!(counts.len(), 18);
}

#[test]
fn wait_outweighs_cache() {
    let mut table = table(0, Config::default());
    let mut rng = SmallRng::seed_from_u64(1);
    let cached = Sampling
        .pick(&table, &query(), Mono::ZERO, &mut rng)
        .unwrap();
    table.record_sent(cached, Tokens(5_000));
    table.record_first_token(cached, &query());
    table.record_end(cached, Tokens(5_000), true);
    let report = Report {
        wait: Duration::from_secs(5),
        in_flight: 3,
        free_memory: Tokens(400_000),
        prefill_speed: 8_000,
        ..Report::default()
    };
    table.record_report(cached, report, Mono::ZERO);
    let next = Sampling.pick(&table, &query(), Mono::ZERO, &mut rng);
    assert!(next.is_some_and(|index| index != cached));
}

/// Guards against stale reports that lift the bound: each one says that the upstream is idle.
#[test]
fn stale_reports_bounded() {
    let mut table = table(0, Config::default());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts: HashMap<_, usize> = HashMap::new();
    for _ in 0..360 {
        let index = Sampling
            .pick(&table, &query(), Mono::ZERO, &mut rng)
            .unwrap();
        table.record_sent(index, query().prompt);
        let idle = Report {
            free_memory: Tokens(400_000),
            prefill_speed: 8_000,
            ..Report::default()
        };
        table.record_report(index, idle, Mono::ZERO);
        *counts.entry(index).or_default() += 1;
    }
    let most = counts.values().max().copied();
    assert!(most <= Some(20 * 3 / 2 + 15), "{most:?} where 20 is even");
}
