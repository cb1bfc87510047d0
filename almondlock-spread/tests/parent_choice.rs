//! Tests which process is asked for changes, and when a process leaves its parent.

use std::{net::SocketAddr, time::Duration};

use almondlock_base::{
    id::{Host, Incarnation},
    time::Mono,
    unit::Revision,
};
use almondlock_spread::parent::{Config, Search, Step, Verdict};
use almondlock_wire::{
    peer::Peer,
    spread::{Body, Delta, Standing},
};
use rand::{SeedableRng, rngs::SmallRng};

fn address(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], n).into()
}

/// Returns the search of process 50, with the sources 1, 2 and 3.
fn search() -> Search<SmallRng> {
    let sources = [address(1), address(2), address(3)];
    let rng = SmallRng::seed_from_u64(5);
    Search::new(Config::default(), address(50), 2, &sources, rng)
}

fn delta(newest: u64, version: u16, standing: Standing) -> Delta {
    Delta {
        body: Body::Empty,
        newest: Revision(newest),
        standing,
        from: Peer {
            host: Host::new("p").unwrap(),
            incarnation: Incarnation(1),
            version,
            revision: Revision(newest),
        },
    }
}

fn served(age: u64, path: &[u16]) -> Standing {
    let path = path.iter().map(|n| address(*n)).collect();
    Standing::Served(Duration::from_millis(age), path)
}

fn full(others: &[u16]) -> Standing {
    Standing::Full(others.iter().map(|n| address(*n)).collect())
}

/// A search and the time at which it is asked.
struct Walk {
    search: Search<SmallRng>,
    now: Mono,
}

impl Walk {
    fn new() -> Walk {
        Walk {
            search: search(),
            now: Mono::from_millis(1),
        }
    }

    fn asks(&mut self) -> u16 {
        loop {
            match self.search.step(self.now) {
                Step::Ask(address) => return address.port(),
                Step::Wait(pause) => self.now = self.now + pause,
            }
        }
    }

    fn answers(&mut self, from: u16, delta: &Delta, heard: u64) -> Verdict {
        let (have, heard) = (Revision(7), Revision(heard));
        self.search
            .handle_answer(self.now, address(from), delta, have, heard)
    }

    /// Returns a search whose parent is 20, which is below 10, which is below a source.
    fn settled() -> Walk {
        let mut walk = Walk::new();
        let source = walk.asks();
        walk.answers(source, &delta(7, 2, full(&[20])), 0);
        assert_eq!(walk.asks(), 20);
        let answer = delta(7, 2, served(5, &[10, source]));
        assert_eq!(walk.answers(20, &answer, 0), Verdict::Keep);
        assert_eq!(walk.search.parent(), Some(address(20)));
        walk
    }
}

/// Guards against a process that doesn't find a place below full processes, or that asks
/// itself or the same process twice in a round.
#[test]
fn redirects_are_followed() {
    let mut walk = Walk::new();
    let source = walk.asks();
    assert!(source <= 3);
    walk.answers(source, &delta(7, 2, full(&[10, 11])), 0);
    assert_eq!(walk.asks(), 10);
    walk.answers(10, &delta(7, 2, full(&[20, 50, 10])), 0);
    assert_eq!(walk.asks(), 20);
    walk.answers(20, &delta(7, 2, full(&[])), 0);
    assert_eq!(walk.asks(), 11);
    walk.answers(11, &delta(7, 2, served(5, &[source])), 0);
    assert_eq!(walk.search.path_to_source(), [address(11), address(source)]);
}

/// Guards against a process that asks its failed parent again in the same round, to
/// which others may still redirect it. It must ask the parent's own parent.
#[test]
fn a_failed_parent_is_skipped() {
    let mut walk = Walk::settled();
    walk.search.record_failure(address(20));
    assert_eq!(walk.search.parent(), None);
    assert_eq!(walk.asks(), 10);
    walk.answers(10, &delta(7, 2, full(&[20, 21])), 0);
    assert_eq!(walk.asks(), 21);
}

/// Guards against two processes that remain each other's parent, as when both lost theirs
/// at the same time and were redirected to each other. The path in an answer shows it.
#[test]
fn a_cycle_is_left() {
    let mut walk = Walk::settled();
    let below = delta(7, 2, served(5, &[30, 50, 20]));
    assert_eq!(walk.answers(20, &below, 0), Verdict::Leave);
    assert_ne!(walk.asks(), 20);
}

/// Guards against a process that keeps a parent cut off from the sources, or one in a
/// cycle too long for the path in an answer to show. In both cases answers grow old.
#[test]
fn an_old_answer_is_left() {
    let mut walk = Walk::settled();
    let young = delta(7, 2, served(8_000, &[10, 1]));
    assert_eq!(walk.answers(20, &young, 0), Verdict::Keep);
    let old = delta(7, 2, served(10_000, &[10, 1]));
    assert_eq!(walk.answers(20, &old, 0), Verdict::Leave);
    assert_eq!(walk.asks(), 10);
}

/// Guards against a process that keeps a parent without revision 9, which is known to
/// exist from the answer to a request (F23). The parent has a moment to receive it.
#[test]
fn a_parent_that_stays_behind_is_left() {
    let mut walk = Walk::settled();
    let answer = delta(7, 2, served(5, &[10, 1]));
    assert_eq!(walk.answers(20, &answer, 9), Verdict::Keep);
    walk.now = walk.now + Duration::from_secs(2);
    assert_eq!(walk.answers(20, &answer, 9), Verdict::Leave);
}

/// Guards against a process that leaves a good parent because changes never end: each
/// answer brings some, but by then newer ones are known.
#[test]
fn a_parent_that_keeps_up_is_kept() {
    let mut walk = Walk::settled();
    for n in 0..50 {
        let answer = delta(7 + n, 2, served(5, &[10, 1]));
        let (have, heard) = (Revision(7 + n), Revision(9 + n));
        let verdict = walk
            .search
            .handle_answer(walk.now, address(20), &answer, have, heard);
        assert_eq!(verdict, Verdict::Keep, "{n}");
        walk.now = walk.now + Duration::from_millis(500);
    }
    // A parent that stops passing on changes is left.
    let answer = delta(7, 2, served(5, &[10, 1]));
    assert_eq!(walk.answers(20, &answer, 99), Verdict::Keep);
    walk.now = walk.now + Duration::from_secs(2);
    assert_eq!(walk.answers(20, &answer, 99), Verdict::Leave);
}

/// Guards against a parent of an older version, which drops the parts of the
/// configuration that it doesn't know. Only a source, which drops nothing that exists
/// yet, may be of an older version.
#[test]
fn an_older_version_is_no_parent() {
    let mut walk = Walk::settled();
    let older = delta(7, 1, served(5, &[10, 1]));
    assert_eq!(walk.answers(20, &older, 0), Verdict::Leave);
    let source = (0..3).map(|_| walk.asks()).find(|n| *n <= 3).unwrap();
    let older = delta(7, 1, served(5, &[]));
    assert_eq!(walk.answers(source, &older, 0), Verdict::Keep);
}

/// Guards against requests without pause when no process answers: each source is asked
/// once a round, and the pauses between rounds grow to their limit.
#[test]
fn failed_rounds_slow_down() {
    let mut search = search();
    let mut now = Mono::from_millis(1);
    let mut pauses = Vec::new();
    let mut asked = 0;
    while pauses.len() < 12 {
        match search.step(now) {
            Step::Ask(address) => {
                asked += 1;
                search.record_failure(address);
            }
            Step::Wait(pause) => {
                now = now + pause;
                pauses.push(pause);
            }
        }
    }
    assert_eq!(asked, 3 * 12);
    assert!(pauses[0] < Duration::from_millis(100));
    assert!(pauses[11] >= Duration::from_secs(1) && pauses[11] <= Duration::from_secs(2));
}

/// Guards against a process that moves ever deeper in the tree as it loses parents: after
/// a while at such a depth it searches from the sources again.
#[test]
fn deep_positions_search_again() {
    let mut walk = Walk::settled();
    let deep = delta(7, 2, served(5, &[10, 11, 12, 1]));
    walk.answers(20, &deep, 0);
    assert_eq!(walk.asks(), 20);
    walk.now = walk.now + Duration::from_secs(61);
    walk.answers(20, &deep, 0);
    assert!(walk.asks() <= 3);
}
