//! Which connection gives way when all places are taken.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_policy::connections::{Admission, Config, State, Table};

fn table(limit: usize) -> Table<u32> {
    Table::new(Config {
        limit,
        grace: Duration::from_secs(1),
    })
}

fn at(millis: u64) -> Mono {
    Mono::from_millis(millis)
}

/// Guards against an idle caller that is closed while a connection without a request stays.
#[test]
fn late_before_idle() {
    let mut table = table(3);
    for (key, millis) in [(1, 0), (2, 100), (3, 1_500)] {
        assert_eq!(table.admit(key, at(millis)), Admission::Admitted);
    }
    table.note(1, State::Idle, at(150));
    // The second one has not sent a request for over a second.
    assert_eq!(table.admit(4, at(1_600)), Admission::Replaces(2));
    // Nobody is late: the one that has been unused for longest.
    assert_eq!(table.admit(5, at(1_650)), Admission::Replaces(1));
}

/// Guards against a request that is cut off because a crowd wants its connection.
#[test]
fn served_stays() {
    let mut table = table(2);
    table.admit(1, at(0));
    table.admit(2, at(0));
    table.note(1, State::Serving, at(0));
    table.note(2, State::Serving, at(0));
    assert_eq!(table.admit(3, at(60_000)), Admission::Refused);
    table.note(2, State::Idle, at(60_000));
    assert_eq!(table.admit(3, at(60_001)), Admission::Replaces(2));
    assert_eq!(table.len(), 2);
}

/// Guards against a crowd that connects faster than it can be judged, and keeps everybody
/// else out.
#[test]
fn newcomers_admitted() {
    let mut table = table(100);
    for key in 0..5_000 {
        let admission = table.admit(key, at(u64::from(key) / 10));
        assert_ne!(admission, Admission::Refused);
    }
    // A request that came soon after its connection was opened is served.
    assert!(matches!(
        table.admit(9_999, at(500)),
        Admission::Replaces(_)
    ));
    for key in 6_000..6_050 {
        table.admit(key, at(505));
    }
    table.note(9_999, State::Serving, at(505));
    for key in 7_000..9_000 {
        assert_ne!(table.admit(key, at(600)), Admission::Replaces(9_999));
    }
}

/// Guards against places that are lost: a connection that was replaced ends later, and its
/// end must not count for the one that took its place.
#[test]
fn replaced_ends() {
    let mut table = table(1);
    table.admit(1, at(0));
    assert_eq!(table.admit(2, at(10)), Admission::Replaces(1));
    table.note(1, State::Serving, at(20));
    table.remove(1);
    assert_eq!(table.len(), 1);
    table.remove(2);
    assert!(table.is_empty());
}

/// Guards against a crowd that sends ahead and keeps its places against callers that wait for
/// their answers.
#[test]
fn ahead_gives_way() {
    let mut table = table(2);
    table.admit(1, at(0));
    table.admit(2, at(10));
    table.note(1, State::Idle, at(20));
    table.note(2, State::Idle, at(30));
    table.note_ahead(2, true);
    assert_eq!(table.admit(3, at(40)), Admission::Replaces(2));
    table.note_ahead(1, true);
    table.note_ahead(1, false);
    table.note(3, State::Idle, at(50));
    table.note_ahead(3, true);
    assert_eq!(table.admit(4, at(60)), Admission::Replaces(3));
}

/// Guards against answers that are never read and hold what serves them for good.
#[test]
fn unread_answers() {
    let mut table = table(3);
    for key in 1..=3 {
        table.admit(key, at(0));
        table.note(key, State::Serving, at(0));
    }
    table.note(1, State::Sending, at(100));
    table.note(2, State::Sending, at(100));
    table.note(2, State::Serving, at(200));
    assert_eq!(table.admit(4, at(1_099)), Admission::Refused);
    assert!(table.stalled(Duration::from_secs(2), at(2_099)).is_empty());
    assert_eq!(table.stalled(Duration::from_secs(2), at(2_100)), [1]);
    assert_eq!(table.admit(4, at(2_100)), Admission::Replaces(1));
}
