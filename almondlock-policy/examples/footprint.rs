//! Measures the memory that one item of each kind takes, for planning capacity.
//!
//! It is the growth of the process's resident memory while many items are created,
//! divided by their number. Linux only, since it reads `/proc/self/statm`.
//!
//! `cargo run --release -p almondlock-policy --example footprint`

use std::{fs, hint::black_box, time::Duration};

use almondlock_base::{
    id::{Attempt, Domain, Fingerprint, Host, Incarnation, Organisation, Region, Upstream},
    time::{Mono, Wall},
    unit::Tokens,
};
use almondlock_policy::{
    choice::{self, Locality, Origin, Table},
    gate::{self, Gate},
    ledger::{self, Item, Kind, Ledger, Owner},
    limit::{self, Limit, Limiter},
    poison::{self, Watch},
    queue::{self, Job, Queue, Room},
    retry,
};

/// Number of items of each kind.
const ITEMS: u64 = 200_000;
/// Size of a memory page.
const PAGE_BYTES: u64 = 4_096;

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}

/// Builds a value with this number of items and prints the memory that one item takes.
fn measure<F, T>(what: &str, items: u64, build: F)
where
    F: FnOnce() -> T,
{
    let before = resident_bytes();
    let built = black_box(build());
    let after = resident_bytes();
    let each = after.saturating_sub(before) / items.max(1);
    println!("{what:<44} {items:>8} {each:>8}");
    // Freed memory would be used again by the next measurement, which would then
    // show too little.
    std::mem::forget(built);
}

fn organisation(i: u64) -> Organisation {
    Organisation::new(&format!("organisation-{i:08}")).expect("a plain name")
}

fn host() -> Host {
    Host::new("entry-1").expect("a plain name")
}

fn gate() -> Gate {
    let config = gate::Config {
        max_records: ITEMS as usize,
        ..gate::Config::default()
    };
    let mut gate = Gate::new(config, Incarnation(1));
    let host = host();
    for counter in 0..ITEMS {
        let attempt = Attempt {
            host: host.clone(),
            incarnation: Incarnation(2),
            counter,
        };
        gate.settle(&attempt, Incarnation(1), Mono::from_micros(counter));
    }
    gate
}

fn queue() -> Queue<Attempt> {
    let config = queue::Config {
        max_waiting: ITEMS as usize,
        ..queue::Config::short()
    };
    let mut queue = Queue::new(config);
    let room = Room::idle(Tokens(1_000_000), 64);
    let names: Vec<Organisation> = (0..1_500).map(organisation).collect();
    let host = host();
    for counter in 0..ITEMS {
        let attempt = Attempt {
            host: host.clone(),
            incarnation: Incarnation(2),
            counter,
        };
        let job = Job {
            organisation: names[counter as usize % names.len()].clone(),
            weight: 1,
            prompt: Tokens(1_000 + counter % 50_000),
            cached: Tokens::ZERO,
            max_output: Tokens(200),
            deadline: Mono::from_millis(600_000 + counter),
            suspect: false,
        };
        // Refused jobs would show as less memory for each item.
        let _ = queue.push(attempt, job, &room, Mono::ZERO);
    }
    queue
}

fn table(upstreams: u64) -> Table {
    let domain = |i: u64| Domain::new(&format!("domain-{}", i % 6)).expect("a plain name");
    let region = Region::new("region").expect("a plain name");
    let origin = Origin {
        host: host(),
        domain: domain(0),
        region: region.clone(),
    };
    let mut table = Table::new(choice::Config::default(), origin);
    for i in 0..upstreams {
        let name = Upstream::new(&format!("engine-{i:08}")).expect("a plain name");
        let locality = Locality {
            domain: domain(i),
            region: region.clone(),
        };
        table.insert(&name, locality);
    }
    table
}

fn limiter() -> Limiter {
    let mut limiter = Limiter::new(limit::Config::default());
    for i in 0..ITEMS {
        let limit = Limit {
            rate: 10,
            tokens: Tokens(1_000),
        };
        limiter.set(&organisation(i), limit);
    }
    limiter
}

fn retries() -> retry::Policy {
    let mut policy = retry::Policy::new(retry::Config::default(), Mono::ZERO);
    // A request in each part of a window, the most that a budget keeps.
    for part in 0..20 {
        let now = Mono::from_millis(part * 500);
        for i in 0..ITEMS {
            policy.count_request(&organisation(i), now);
        }
    }
    policy
}

fn watch() -> Watch {
    let config = poison::Config {
        max_harmless: ITEMS as usize,
        ..poison::Config::default()
    };
    let mut watch = Watch::new(config);
    let name = organisation(0);
    for i in 0..ITEMS {
        let print = Fingerprint::new(&name, "/", &i.to_le_bytes());
        watch.begin(print, None, Wall::from_millis(0), Mono::ZERO);
        watch.end(print, Some(true), Mono::ZERO);
    }
    watch
}

fn ledger() -> Ledger<u64> {
    let mut ledger = Ledger::new(ledger::Config::default());
    let owner = Owner {
        host: host(),
        incarnation: Incarnation(1),
    };
    let item = Item {
        kind: Kind::Stream,
        tokens: Tokens(1_000),
    };
    for id in 0..ITEMS {
        ledger.open(id, item, &owner, Duration::from_secs(10), Mono::ZERO);
    }
    ledger
}

fn main() {
    println!("{:<44} {:>8} {:>8}", "kind of item", "items", "bytes");
    measure("gate: a closed attempt", ITEMS, gate);
    measure("queue: a waiting attempt", ITEMS, queue);
    measure("choice: an upstream", 20_000, || table(20_000));
    measure("limit: an organisation", ITEMS, limiter);
    measure("retry: an organisation", ITEMS, retries);
    measure("poison: a fingerprint known as harmless", ITEMS, watch);
    measure("ledger: a thing held", ITEMS, ledger);
}
