//! The rules of a version are made from those of the one before by applying the
//! differences, with the same checks as for a version that is read whole.

mod versions;

use std::sync::Arc;

use almondlock_base::time::Mono;
use almondlock_gateway::{
    dialect::Dialect,
    reading::{Count, Current, Reader, Version},
    rules::Error,
};
use versions::{Lines, document};
use yare::parameterized;

const FIRST: [&str; 7] = [
    "s one",
    "s two",
    "r a one 0",
    "r b two 0",
    "r c one 0",
    "k org key-1",
    "k other key-2",
];

fn read(
    held: Option<&Version>,
    version: u64,
    pieces: &[&str],
) -> (Result<Version, Error>, Count, Lines) {
    let dialect = Lines::new();
    let document = document(version, pieces);
    let outline = dialect.parse_outline(&document.pieces);
    let mut reader = Reader::new(held.cloned().map(Arc::new), document, outline);
    let result = reader.finish(&dialect);
    (result, reader.count, dialect)
}

fn first() -> Version {
    read(None, 1, &FIRST).0.unwrap()
}

fn count(read: usize, kept: usize) -> Count {
    Count { read, kept }
}

/// Guards against reading known pieces again if only their order has changed.
#[test]
fn other_order() {
    let pieces = [
        "s two",
        "s one",
        "r c one 0",
        "r b two 0",
        "r a one 0",
        "k other key-2",
        "k org key-1",
    ];
    let (result, counted, dialect) = read(Some(&first()), 2, &pieces);
    assert_eq!(counted, count(0, 7));
    assert!(dialect.read.lock().unwrap().is_empty());
    let (alone, _, _) = read(None, 2, &pieces);
    assert_eq!(result.unwrap().rules, alone.unwrap().rules);
}

/// Guards against a change to the rules that requests still use.
#[test]
fn one_changed() {
    let before = first();
    let pieces = FIRST.map(|piece| match piece {
        "r b two 0" => "r d two 0",
        piece => piece,
    });
    let (result, counted, _) = read(Some(&before), 2, &pieces);
    let after = result.unwrap().rules;
    assert_eq!(counted, count(1, 6));
    assert!(after.route("h", "/d/x").is_some() && after.route("h", "/b/x").is_none());
    assert!(before.rules.route("h", "/b/x").is_some());
    assert_eq!((before.rules.routes(), after.routes()), (3, 3));
}

/// Guards against a route that is missing after it was removed and added again, or is still
/// there after it was removed.
#[test]
fn removed_and_added() {
    let without: Vec<&str> = FIRST.into_iter().filter(|p| *p != "r a one 0").collect();
    let before = first();
    let gone = read(Some(&before), 2, &without).0.unwrap();
    assert!(gone.rules.route("h", "/a/").is_none());
    let (back, counted, _) = read(Some(&gone), 3, &FIRST);
    assert_eq!(counted, count(1, 6));
    let mut alone = (*first().rules).clone();
    alone.version = 3;
    assert_eq!(*back.unwrap().rules, alone);
}

/// Guards against an invalid version that comes into force: each of these is refused both
/// when it is read whole and when it is read as a change.
#[parameterized(
    service_gone = { &["s one", "r a one 0", "r b two 0", "r c one 0", "k org key-1", "k other key-2"] },
    service_twice = { &["s one", "s two", "s two", "r a one 0", "r b two 0", "r c one 0", "k org key-1", "k other key-2"] },
    unknown_service = { &["s one", "s two", "r a one 0", "r b three 0", "r c one 0", "k org key-1", "k other key-2"] },
    same_place = { &["s one", "s two", "r a one 0", "r a two 0", "r c one 0", "k org key-1", "k other key-2"] },
    shared_key = { &["s one", "s two", "r a one 0", "r b two 0", "r c one 0", "k org key-1", "k other key-1"] },
    unreadable = { &["s one", "s two", "r a one 0", "r b", "r c one 0", "k org key-1", "k other key-2"] },
)]
fn invalid_change(pieces: &[&str]) {
    let before = first();
    assert!(read(None, 2, pieces).0.is_err());
    let (result, _, _) = read(Some(&before), 2, pieces);
    assert!(result.is_err());
    assert_eq!(before.rules, first().rules);
}

/// Guards against a service that can't be removed together with its routes, or replaced
/// while routes name it.
#[test]
fn services_changed() {
    let before = first();
    let pieces = [
        "s one",
        "r a one 0",
        "r c one 0",
        "k org key-1",
        "k other key-2",
    ];
    let after = read(Some(&before), 2, &pieces).0.unwrap();
    assert_eq!(after.rules, read(None, 2, &pieces).0.unwrap().rules);
}

/// Guards against versions that never come into force because newer ones are published: the
/// one being read is finished, the newest follows, and a long wait is reported.
#[test]
fn newest_follows() {
    let dialect = Lines::new();
    let mut current = Current::default();
    let at = Mono::from_micros;
    current.observe(at(0), &dialect, &document(1, &FIRST));
    let mut job = current.job().unwrap();
    let read = job.reader.finish(&dialect);
    current.apply_result(at(10), &dialect, 1, read);
    assert!(current.job().is_none() && current.overdue(at(9_000_000)).is_none());
    current.observe(at(10), &dialect, &document(2, &FIRST[..6]));
    let mut job = current.job().unwrap();
    assert!(current.rules().unwrap().organisation("key-2").is_none());
    // The third version has the key again, and lacks the other one.
    let third = ["s one", "r a one 0", "k other key-2"];
    current.observe(at(20), &dialect, &document(3, &third));
    let rules = current.rules().unwrap();
    assert!(rules.organisation("key-2").is_some() && rules.organisation("key-1").is_none());
    let read = job.reader.finish(&dialect);
    current.apply_result(at(30), &dialect, 2, read);
    let rules = current.rules().unwrap();
    assert_eq!(rules.version, 2);
    assert!(rules.organisation("key-1").is_none());
    assert!(current.overdue(at(1_500_000)).is_some());
    let job = current.job().unwrap();
    assert_eq!(job.reader.version(), 3);
}
