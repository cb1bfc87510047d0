//! Load reports are stale. Between two reports all entry hosts see the same idle
//! upstream. Guards against a herd: if each host chose the lowest reported load,
//! all requests of that moment would queue there while other upstreams are idle.

#![cfg(test)]

use std::{collections::HashMap, time::Duration};

use almondlock_base::{
    id::{Domain, Host, Region, Upstream},
    time::Mono,
    unit::Tokens,
};
use almondlock_policy::choice::{
    Config, LeastReported, Locality, Origin, Picker, Query, Random, Report, Sampling, Table,
};
use rand::{SeedableRng, rngs::SmallRng};
use yare::parameterized;

fn table(host: usize, upstreams: usize) -> Table {
    let origin = Origin {
        host: Host::new(&format!("entry-{host}")).unwrap(),
        domain: Domain::new("d0").unwrap(),
        region: Region::new("r0").unwrap(),
    };
    let mut table = Table::new(Config::default(), origin);
    for i in 0..upstreams {
        let locality = Locality {
            domain: Domain::new(&format!("d{}", i % 3)).unwrap(),
            region: Region::new("r0").unwrap(),
        };
        table.insert(&Upstream::new(&format!("engine-{i}")).unwrap(), locality);
    }
    table
}

/// Three entry hosts get reports that one of 18 upstreams is idle, and send 20 requests each
/// before the next report. Returns the largest number of requests at one upstream.
fn worst<P>(picker: P) -> usize
where
    P: Picker,
{
    let now = Mono::from_millis(1_000);
    let mut counts: HashMap<Upstream, usize> = HashMap::new();
    let mut rng = SmallRng::seed_from_u64(7);
    for host in 0..3 {
        let mut table = table(host, 18);
        for i in 0..18 {
            let name = Upstream::new(&format!("engine-{i}")).unwrap();
            let index = table.find(&name).unwrap();
            let report = Report {
                in_flight: if i == 4 { 0 } else { 6 },
                wait: Duration::from_millis(if i == 4 { 0 } else { 300 }),
                backlog: Tokens::ZERO,
                free_memory: Tokens(400_000),
                prefill_speed: 8_000,
            };
            table.record_report(index, report, now);
        }
        for _ in 0..20 {
            let query = Query {
                prompt: Tokens(1_000),
                ..Query::default()
            };
            let index = picker.pick(&table, &query, now, &mut rng).unwrap();
            table.record_sent(index, query.prompt);
            *counts
                .entry(table.name(index).unwrap().clone())
                .or_default() += 1;
        }
    }
    counts.into_values().max().unwrap()
}

#[test]
fn sampling_spreads() {
    assert_eq!(worst(LeastReported), 60);
    // An even spread is 3 to 4 requests each; the idle upstream may get about as many more as
    // it has fewer in flight.
    let most = worst(Sampling);
    assert!(most <= 12, "{most} at one upstream");
    assert!(worst(Random) <= 12);
}

#[test]
fn old_reports_decay() {
    let mut table = table(0, 2);
    let mut rng = SmallRng::seed_from_u64(3);
    let now = Mono::from_millis(1_000);
    let busy = table.find(&Upstream::new("engine-0").unwrap()).unwrap();
    let report = Report {
        in_flight: 40,
        wait: Duration::from_secs(9),
        ..Report::default()
    };
    table.record_report(busy, report, now);
    let query = Query {
        prompt: Tokens(100),
        ..Query::default()
    };
    let mut share = |table: &Table, at| {
        (0..200)
            .filter(|_| Sampling.pick(table, &query, at, &mut rng) == Some(busy))
            .count()
    };
    assert_eq!(share(&table, now), 0);
    // An upstream that was busy a minute ago is as good as the other one.
    let later = share(&table, Mono::from_millis(61_000));
    assert!((60..140).contains(&later), "{later} of 200");
}

#[parameterized(small = { 18 }, middle = { 100 }, large = { 880 })]
fn own_attempts_counted(upstreams: usize) {
    let mut table = table(0, upstreams);
    let mut rng = SmallRng::seed_from_u64(5);
    let mut counts: HashMap<_, usize> = HashMap::new();
    let sends = 20 * upstreams.min(32);
    for _ in 0..sends {
        let query = Query {
            prompt: Tokens(1_000),
            ..Query::default()
        };
        let index = Sampling.pick(&table, &query, Mono::ZERO, &mut rng).unwrap();
        table.record_sent(index, query.prompt);
        *counts.entry(index).or_default() += 1;
    }
    let most = counts.into_values().max().unwrap();
    assert!(most <= 26, "{most} at one upstream, where 20 is even");
}
