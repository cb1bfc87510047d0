//! Several entry hosts send to the same engines. The other hosts must count each host's
//! work until it is done, and no longer.

use std::time::Duration;

use almondlock_base::{id::Upstream, time::Mono};
use almondlock_gateway::load::{Key, Load, Table, Total, Work};

fn name() -> Upstream {
    Upstream::new("i-1").unwrap()
}

fn at(millis: u64) -> Mono {
    Mono::from_millis(1_000 + millis)
}

fn work(reading: u64, wait: u64) -> Work {
    Work {
        reading: Duration::from_millis(reading),
        wait: Duration::from_millis(wait),
        writes: true,
        short: true,
        memory: 100,
    }
}

#[test]
fn from_begin_to_end() {
    let mut table = Table::default();
    let ticket = table.begin(at(0), &name(), work(80, 0));
    let total = table.total(at(0), &name());
    assert_eq!((total.waiting, total.streams, total.short), (1, 0, 1));
    assert_eq!((total.reading, total.memory), (80.0, 100));
    table.finish_reading(&name(), ticket);
    let total = table.total(at(0), &name());
    assert_eq!((total.waiting, total.streams, total.short), (0, 1, 1));
    assert_eq!(total.reading, 0.0);
    table.end(&name(), ticket);
    assert_eq!(table.total(at(0), &name()), Total::default());
}

/// Guards against counting a waiting prompt as read: a second prompt waits behind the
/// first, and none of it is read by the time that the first one is.
#[test]
fn waiting_reads_nothing() {
    let mut table = Table::default();
    let first = table.begin(at(0), &name(), work(400, 0));
    table.begin(at(10), &name(), work(400, 400));
    table.finish_reading(&name(), first);
    assert_eq!(table.total(at(400), &name()).reading, 400.0);
    assert_eq!(table.total(at(610), &name()).reading, 200.0);
}

/// Guards against an estimate that runs out before a slow engine is done: part of the
/// reading time counts until the first event proves that the prompt was read.
#[test]
fn slow_engine_counted() {
    let mut table = Table::default();
    table.begin(at(0), &name(), work(400, 0));
    assert_eq!(table.total(at(60_000), &name()).reading, 100.0);
}

#[test]
fn direct_reports() {
    let mut table = Table::default();
    let told = Total {
        reading: 50.0,
        waiting: 1,
        streams: 2,
        short: 3,
        memory: 192,
    };
    table.receive_report(at(0), 77, vec![(Key::of(&name()), Load::from(&told))]);
    assert_eq!(table.total(at(100), &name()), told);
    assert_eq!(table.other_hosts(at(100)), 1);
    assert_eq!(table.total(at(1_100), &name()), Total::default());
    assert_eq!(table.other_hosts(at(1_100)), 0);
}

/// Guards against ignoring requests that no host knows of: after a power loss, an engine
/// still works for callers that are gone.
#[test]
fn reported_beyond_known() {
    let mut table = Table::default();
    table.begin(at(0), &name(), work(10, 0));
    table.record_reported(at(0), &name(), 12);
    assert_eq!(table.total(at(0), &name()).requests(), 12);
    table.record_reported(at(100), &name(), 1);
    assert_eq!(table.total(at(100), &name()).requests(), 1);
    table.record_reported(at(200), &name(), 9);
    assert_eq!(table.total(at(1_800), &name()).requests(), 1);
}

/// Guards against counting work of an upstream that has restarted before its connections
/// were found broken. The earlier process's work counts no more, and the end of that work
/// doesn't end any work of the new process.
#[test]
fn started_again() {
    let mut table = Table::default();
    let old = table.begin(at(0), &name(), work(400, 0));
    table.record_reported(at(0), &name(), 5);
    table.forget(&name());
    assert_eq!(table.total(at(1), &name()), Total::default());
    table.begin(at(2), &name(), work(80, 0));
    table.finish_reading(&name(), old);
    table.end(&name(), old);
    assert_eq!(table.total(at(2), &name()).reading, 80.0);
}
