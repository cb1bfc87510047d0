//! Measures the cost of fair shares at a host and a relay, without a network.
//!
//! `cargo run --release -p almondlock-gateway --example share_cost` prints, for some
//! numbers of organisations at 31 hosts, the bytes of a host's report and of a relay's
//! sums, and the time that each step takes on this machine.

use std::{
    collections::BTreeMap,
    hint::black_box,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use almondlock_base::time::Mono;
use almondlock_gateway::{
    exchange::{
        Message,
        shares::{Counts, Envelope, PERIOD, Report, Tag, Tally, Totals},
    },
    share::{Findings, Ledger},
};
use almondlock_policy::share::{Capacity, Usage};

const HOSTS: u8 = 31;
const ORGANISATIONS: [u32; 3] = [24, 200, 1_500];
const CAPACITY: Capacity = Capacity {
    engines: 78,
    slots: 936,
};
const ROUNDS: u32 = 200;

fn main() {
    println!(
        "organisations, report and sums in bytes; us of: a host's report, hearing sums, \
         a relay's sums, a request"
    );
    for organisations in ORGANISATIONS {
        measure(organisations);
    }
}

fn measure(organisations: u32) {
    let relay = address(99);
    let names: Vec<Arc<str>> = (0..organisations)
        .map(|n| format!("organisation-{n}").into())
        .collect();
    let ledger = Ledger::default();
    let claims = names
        .iter()
        .map(|name| ledger.claim_sent("service", name, Duration::from_millis(32)));
    let claims: Vec<_> = claims.collect();
    let (report, report_us) = timed(|| {
        let report = Report {
            host: 1,
            number: 1,
            counts: ledger.counts(),
        };
        Envelope::encode(&report)
    });
    let report = report.expect("a report can be written");
    let reports: Vec<Envelope> = (0..HOSTS).map(|host| busy(host, &names)).collect();
    let mut tally = Tally::default();
    let mut now = Mono::from_millis(10_000);
    let (_, sums_us) = timed(|| {
        now = now + PERIOD;
        for (host, report) in (0..HOSTS).zip(&reports) {
            tally.receive(now, address(host), report);
        }
        tally.take_updates(now)
    });
    now = now + PERIOD;
    for (host, report) in (0..HOSTS).zip(&reports) {
        tally.receive(now, address(host), report);
    }
    let (sums, _) = tally.take_updates(now).expect("reports were heard");
    let mut known = Findings::default();
    let (_, hear_us) = timed(|| {
        let totals: Option<Totals> = sums.decode(relay);
        if let Some(totals) = totals {
            known.receive(now, relay, &totals, |_| CAPACITY);
        }
    });
    let (_, request_us) = timed(|| {
        let claim = ledger.claim_sent("service", &names[0], Duration::from_millis(32));
        let finding = known.excess(now, relay, Tag::of("service", &names[0]));
        claim.finish_reading();
        (claim, finding)
    });
    drop(claims);
    let size = |message: &Message| postcard::to_stdvec(message).map_or(0, |bytes| bytes.len());
    println!(
        "{organisations}, {}, {}; {report_us:.1}, {hear_us:.1}, {sums_us:.1}, {request_us:.2}",
        size(&Message::Shares(reports[0].clone())).max(size(&Message::Shares(report))),
        size(&Message::ShareTotals(sums)),
    );
}

/// Returns the report of a host that has requests of all organisations.
fn busy(host: u8, names: &[Arc<str>]) -> Envelope {
    let counts = (0_u32..).zip(names).map(|(n, name)| {
        let count = Usage {
            slots: 1 + 40 / (n + 1),
            unanswered: 1 + n % 3,
            reading_ms: 40 * (1 + n % 5),
            queued: n % 2,
            queued_reading_ms: 30 * (n % 2),
        };
        (Tag::of("service", name), count)
    });
    let report = Report {
        host: host.into(),
        number: 1,
        counts: Counts::new(counts.collect(), BTreeMap::new()),
    };
    Envelope::encode(&report).expect("a report can be written")
}

/// Returns the result of a step, and the mean microseconds that it takes.
fn timed<T, F>(mut step: F) -> (T, f64)
where
    F: FnMut() -> T,
{
    let begun = Instant::now();
    for _ in 1..ROUNDS {
        black_box(step());
    }
    let last = step();
    (
        last,
        begun.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS),
    )
}

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 9))
}
