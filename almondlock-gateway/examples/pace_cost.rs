//! Measures the processor time that judging upstreams takes at a host and at a relay.
//!
//! `cargo run --release -p almondlock-gateway --example pace_cost`

use std::{
    collections::HashMap,
    hint::black_box,
    net::SocketAddr,
    time::{Duration, Instant},
};

use almondlock_base::{id::Upstream, time::Mono};
use almondlock_gateway::{
    exchange::{Message, Observation, Pace, Paces},
    load::Key,
};
use almondlock_policy::outlier::{Detector, Sample, Summary};
use almondlock_state::instance::Birth;
use rand::{SeedableRng, rngs::SmallRng};

const ROUNDS: u32 = 200;
const BIRTH: Birth = Birth(1_764_000_000_000);

fn name(upstream: usize) -> Result<Upstream, Box<dyn std::error::Error>> {
    Ok(Upstream::new(&format!("i-{upstream}"))?)
}

/// Returns the microseconds of each of `count` steps.
fn each(spent: Duration, count: u32) -> f64 {
    spent.as_secs_f64() * 1e6 / f64::from(count)
}

fn measure(hosts: u16, upstreams: usize) -> Result<(), Box<dyn std::error::Error>> {
    let members = (0..upstreams).map(name).collect::<Result<Vec<_>, _>>()?;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut table = Detector::default();
    let start = Mono::from_millis(10_000);
    let account = Summary {
        hosts: 4,
        answers: 4,
        time_weight: 40,
        newest: start,
        ..Summary::default()
    };
    let heard = members.iter().map(|name| (name.clone(), account));
    table.replace_reported(start, heard.collect::<HashMap<_, _>>());
    let begun = Instant::now();
    for round in 0..ROUNDS {
        let sample = Sample::Time(1.0 + f64::from(round % 5) * 0.05);
        for name in members.iter().step_by(8) {
            table.observe(start, name, sample);
        }
    }
    let told = ROUNDS * u32::try_from(upstreams.div_ceil(8))?;
    let tell = each(begun.elapsed(), told);
    let begun = Instant::now();
    for _ in 0..ROUNDS {
        black_box(table.review(start, &members, &mut rng));
    }
    let review = each(begun.elapsed(), ROUNDS);
    let begun = Instant::now();
    for _ in 0..ROUNDS {
        black_box(table.report(start));
    }
    let report = each(begun.elapsed(), ROUNDS);
    let paces = |()| {
        let paces = members.iter();
        paces.map(|name| Pace::of(start, Key::of(name), BIRTH, &account))
    };
    let begun = Instant::now();
    let mut bytes = Vec::new();
    for _ in 0..ROUNDS {
        bytes = postcard::to_stdvec(&Message::Paces(paces(()).collect()))?;
        black_box(postcard::from_bytes::<Message>(&bytes)?);
    }
    let wire = each(begun.elapsed(), ROUNDS);
    let mut relay = Paces::default();
    let begun = Instant::now();
    for round in 0..ROUNDS {
        let now = start + Duration::from_secs(u64::from(round));
        for host in 0..hosts {
            let observed = Observation {
                host: host.into(),
                number: round,
                follows: true,
                paces: paces(()).step_by(8).collect(),
            };
            relay.receive(now, SocketAddr::from(([127, 0, 0, 1], host)), observed);
        }
        black_box(relay.take_updates(now));
    }
    let round = each(begun.elapsed(), ROUNDS);
    println!(
        "{hosts} hosts, {upstreams} upstreams: an observation {tell:.2} us, a review {review:.0}, \
         a report {report:.0}, a sum to bytes and back {wire:.0} ({} bytes), a relay's round with \
         all reports {round:.0}",
        bytes.len()
    );
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    measure(27, 54)?;
    measure(31, 880)
}
