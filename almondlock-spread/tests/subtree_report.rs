//! Whom a process serves, and what it says of those below.

use std::{net::SocketAddr, time::Duration};

use almondlock_base::{
    id::{Host, Incarnation},
    time::Mono,
    unit::Revision,
};
use almondlock_spread::children::{Admission, Children, Config};
use almondlock_wire::{
    peer::Peer,
    spread::{Fetch, LAGGARDS, Member, Process, Report, Want},
};

const NOW: Mono = Mono::from_millis(1);

fn peer(n: u16, revision: u64) -> Peer {
    Peer {
        host: Host::new(&format!("h{n}")).unwrap(),
        incarnation: Incarnation(u64::from(n)),
        version: 1,
        revision: Revision(revision),
    }
}

fn member(n: u16, domain: &str) -> Member {
    Member::parse(&format!("h{n} {n:x} 127.0.0.1:{n} {domain} r")).unwrap()
}

fn address(n: u16) -> SocketAddr {
    member(n, "d").address
}

fn report(n: u16, revision: u64) -> Report {
    Report {
        joined: vec![member(n, "d")],
        ..Report::alone(peer(n, revision))
    }
}

fn fetch(report: Report) -> Fetch {
    Fetch {
        want: Want::After(report.from.revision),
        report,
        wait: Duration::ZERO,
    }
}

fn node(is_source: bool) -> Children {
    Children::new(Config::default(), member(9000, "d"), is_source)
}

fn admit(children: &mut Children, now: Mono, report: Report) -> Admission {
    children.admit(now, &fetch(report))
}

#[test]
fn a_full_process_sends_on() {
    let mut children = node(false);
    for n in 1..=12 {
        let mut report = report(n, 5);
        report.processes = 20 - u32::from(n);
        report.joined[0] = member(n, if n % 2 == 0 { "even" } else { "odd" });
        assert_eq!(admit(&mut children, NOW, report), Admission::Served);
    }
    let mut late = report(100, 0);
    late.joined[0] = member(100, "even");
    // The same failure domain first, the smallest subtree first in it.
    let Admission::Full(others) = admit(&mut children, NOW, late.clone()) else {
        panic!("served");
    };
    assert_eq!(others[..3], [address(12), address(10), address(8)]);
    assert_eq!(others[6], address(11));
    // Each newcomer counts at once, though reports come later: they spread.
    let mut first = |n| match admit(&mut children, NOW, Report { ..late.clone() }) {
        Admission::Full(others) => others[0].port(),
        Admission::Served => n,
    };
    let sent: Vec<u16> = (0..4).map(&mut first).collect();
    assert!(sent.contains(&12) && sent.contains(&10), "{sent:?}");
    // A session that ends makes room.
    children.close(&Process::of(&peer(3, 5)));
    assert_eq!(admit(&mut children, NOW, late), Admission::Served);
}

/// One failure domain starts before the others. It must not fill a source, or
/// the others would hang below it and be lost together with it.
/// Guards against newcomers that are sent to processes which have just started too and know
/// nothing yet.
#[test]
fn newcomers_name_nobody() {
    let mut children = node(false);
    for n in 1..=12 {
        assert_eq!(admit(&mut children, NOW, report(n, 0)), Admission::Served);
    }
    let full = |others| Admission::Full(others);
    assert_eq!(admit(&mut children, NOW, report(100, 0)), full(vec![]));
    // One of them has taken its first answer and asks for more.
    assert_eq!(admit(&mut children, NOW, report(7, 5)), Admission::Served);
    let others = admit(&mut children, NOW, report(100, 0));
    assert_eq!(others, full(vec![address(7)]));
}

#[test]
fn a_source_keeps_room_for_each_domain() {
    let mut children = node(true);
    let served = |children: &mut Children, n, domain| {
        let mut report = report(n, 5);
        report.joined[0] = member(n, domain);
        admit(children, NOW, report) == Admission::Served
    };
    let early = (1..=10).filter(|n| served(&mut children, *n, "first"));
    assert_eq!(early.count(), 4);
    assert!(served(&mut children, 20, "second"));
}

#[test]
fn the_lowest_counts() {
    let mut children = node(true);
    for n in 1..=3 {
        let mut report = report(n, 10);
        report.lowest = Revision(10 - u64::from(n));
        report.processes = 5;
        report.laggards = (0..5)
            .map(|m| peer(100 * n + m, 9 - u64::from(n)))
            .collect();
        admit(&mut children, NOW, report);
    }
    let summary = children.summary(NOW, peer(9000, 10));
    assert_eq!((summary.lowest, summary.processes), (Revision(7), 16));
    assert_eq!(summary.laggards.len(), LAGGARDS);
    assert_eq!(summary.laggards[0].revision, Revision(6));
}

/// A process that holds an old revision falls silent. It may live and act on
/// it, so a change is not in force everywhere; until so much time has passed
/// that it no longer holds itself for recent. Leaving it out at once, when its
/// session ends, would call a change in force that it doesn't have.
#[test]
fn the_silent_count_until_they_lapse() {
    let mut children = node(true);
    admit(&mut children, NOW, report(1, 4));
    children.close(&Process::of(&peer(1, 4)));
    let own = peer(9000, 5);
    let before = NOW + Duration::from_secs(12);
    assert_eq!(children.summary(before, own.clone()).lowest, Revision(4));
    let after = before + Duration::from_micros(1);
    assert_eq!(children.summary(after, own).lowest, Revision(5));
}

/// A relay stops, or starts again at its address, while processes below it have
/// no new parent yet. It goes, but they count until they would have lapsed.
#[test]
fn those_below_outlive_their_parent() {
    for again in [false, true] {
        let mut children = node(true);
        let relay = Report {
            processes: 3,
            lowest: Revision(4),
            ..report(1, 5)
        };
        admit(&mut children, NOW, relay.clone());
        let mut last = Report::alone(peer(1, 5));
        if again {
            last.from.incarnation = Incarnation(77);
            let text = member(1, "d")
                .to_string()
                .replace("h1 0000000000000001", "h1 4d");
            last.joined = vec![Member::parse(&text).unwrap()];
        } else {
            last.processes = 0;
        }
        admit(&mut children, NOW, last);
        assert_eq!(children.summary(NOW, peer(9000, 5)).lowest, Revision(4));
    }
}

#[test]
fn one_that_stops_alone_is_gone_at_once() {
    let mut children = node(true);
    admit(&mut children, NOW, report(1, 4));
    let mut last = report(1, 4);
    last.processes = 0;
    admit(&mut children, NOW, last);
    assert_eq!(children.summary(NOW, peer(9000, 5)).processes, 1);
}

/// A process moves from one child of this one to another. The second child
/// tells that it joined before the first tells that it left: it is still here.
#[test]
fn a_move_is_no_loss() {
    let mut children = node(true);
    let mut first = report(1, 5);
    first.joined.push(member(30, "d"));
    admit(&mut children, NOW, first);
    let mut second = report(2, 5);
    second.joined.push(member(30, "d"));
    admit(&mut children, NOW, second);
    let mut first = Report::alone(peer(1, 5));
    first.left.push(Process::of(&peer(30, 5)));
    admit(&mut children, NOW, first);
    let known = |children: &Children| {
        let mut known: Vec<u16> = children.members().map(|m| m.address.port()).collect();
        known.sort_unstable();
        known
    };
    assert_eq!(known(&children), [1, 2, 30]);
    let mut second = Report::alone(peer(2, 5));
    second.left.push(Process::of(&peer(30, 5)));
    admit(&mut children, NOW, second);
    assert_eq!(known(&children), [1, 2]);
}

/// News is told again until an answer shows that it arrived, and all of it is
/// told to a new parent, in reports of bounded size.
#[test]
fn news_is_told_until_delivered() {
    let mut children = node(false);
    let mut first = report(1, 5);
    first.joined.extend((100..160).map(|n| member(n, "d")));
    admit(&mut children, NOW, first);
    let mut second = report(2, 5);
    second.joined.extend((200..260).map(|n| member(n, "d")));
    admit(&mut children, NOW, second);
    children.queue_all_members();
    let told = children.report(peer(9000, 5));
    assert_eq!(told, children.report(peer(9000, 5)));
    assert!(told.joined.contains(&member(9000, "d")) && children.has_backlog());
    let mut all = 0;
    loop {
        let told = children.report(peer(9000, 5));
        all += told.joined.len();
        if told.joined.is_empty() {
            break;
        }
        children.mark_delivered(&told);
    }
    assert_eq!(all, 1 + 2 + 120);
    let later = NOW + Duration::from_secs(13);
    children.expire(later);
    assert!(children.is_empty());
    assert_eq!(children.report(peer(9000, 5)).left.len(), 64);
}

/// A child was forgotten while it was silent, and speaks again on its old
/// session without saying where it is. It is sent away, so that it starts anew
/// and tells of all that is below it.
#[test]
fn the_forgotten_start_anew() {
    let mut children = node(false);
    let again = Report::alone(peer(1, 5));
    assert_eq!(
        admit(&mut children, NOW, again),
        Admission::Full(Vec::new())
    );
}

#[test]
fn sources_add_up() {
    let mut children = node(true);
    admit(&mut children, NOW, report(1, 10));
    let mut told = fetch(Report {
        lowest: Revision(8),
        processes: 7,
        ..Report::alone(peer(9001, 10))
    });
    told.want = Want::Nothing;
    assert_eq!(children.admit(NOW, &told), Admission::Served);
    let summary = children.summary(NOW, peer(9000, 10));
    assert_eq!(
        (summary.lowest, summary.processes, summary.sources),
        (Revision(8), 9, 2)
    );
    // What this one tells the others is its own subtree only.
    assert_eq!(children.report(peer(9000, 10)).processes, 2);
    assert_eq!(node(false).admit(NOW, &told), Admission::Full(Vec::new()));
}
