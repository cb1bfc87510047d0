//! Tests which processes a process serves, and what it reports about its subtree.

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

/// Guards against newcomers that are redirected far away, or all to the same child.
#[test]
fn a_full_process_redirects() {
    let mut children = node(false);
    for n in 1..=12 {
        let mut report = report(n, 5);
        report.processes = 20 - u32::from(n);
        report.joined[0] = member(n, if n % 2 == 0 { "even" } else { "odd" });
        assert_eq!(admit(&mut children, NOW, report), Admission::Served);
    }
    let mut late = report(100, 0);
    late.joined[0] = member(100, "even");
    // Children in the newcomer's failure domain come first, smallest subtree first.
    let Admission::Full(others) = admit(&mut children, NOW, late.clone()) else {
        panic!("served");
    };
    assert_eq!(others[..3], [address(12), address(10), address(8)]);
    assert_eq!(others[6], address(11));
    // A redirected newcomer counts at once, before any report, so newcomers spread.
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

/// Guards against newcomers that are redirected to processes which have also just started
/// and have no configuration yet.
#[test]
fn newcomers_get_no_children() {
    let mut children = node(false);
    for n in 1..=12 {
        assert_eq!(admit(&mut children, NOW, report(n, 0)), Admission::Served);
    }
    let full = |others| Admission::Full(others);
    assert_eq!(admit(&mut children, NOW, report(100, 0)), full(vec![]));
    // Child 7 has received its first answer and asks for later changes.
    assert_eq!(admit(&mut children, NOW, report(7, 5)), Admission::Served);
    let others = admit(&mut children, NOW, report(100, 0));
    assert_eq!(others, full(vec![address(7)]));
}

/// Guards against one failure domain that starts first and fills a source: the others would
/// be below it in the tree and lose their parents together with it.
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

/// Guards against a summary that misses a revision, processes or laggards deep in a subtree.
#[test]
fn the_lowest_is_reported() {
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

/// Guards against a change that is reported in force everywhere while a silent process may
/// still act on an older revision. It counts, also after its session has ended, until it no
/// longer considers its own configuration recent.
#[test]
fn silent_children_expire() {
    let mut children = node(true);
    admit(&mut children, NOW, report(1, 4));
    children.close(&Process::of(&peer(1, 4)));
    let own = peer(9000, 5);
    let before = NOW + Duration::from_secs(12);
    assert_eq!(children.summary(before, own.clone()).lowest, Revision(4));
    let after = before + Duration::from_micros(1);
    assert_eq!(children.summary(after, own).lowest, Revision(5));
}

/// Guards against losing the processes below a relay that stops or restarts: they have no
/// new parent yet, and count until the relay's last report expires.
#[test]
fn subtrees_outlive_their_parent() {
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

/// Guards against a stopped process without children that still counts.
#[test]
fn a_stopped_leaf_is_removed() {
    let mut children = node(true);
    admit(&mut children, NOW, report(1, 4));
    let mut last = report(1, 4);
    last.processes = 0;
    admit(&mut children, NOW, last);
    assert_eq!(children.summary(NOW, peer(9000, 5)).processes, 1);
}

/// Guards against a process that counts as gone because it moved between two children: the
/// new one reports that it joined before the old one reports that it left.
#[test]
fn moved_members_stay_known() {
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

/// Guards against lost changes of membership. They are reported until an answer shows that
/// they arrived, and all members to a new parent, in reports of bounded size.
#[test]
fn membership_is_resent() {
    let mut children = node(false);
    let mut first = report(1, 5);
    first.joined.extend((100..160).map(|n| member(n, "d")));
    admit(&mut children, NOW, first);
    let mut second = report(2, 5);
    second.joined.extend((200..260).map(|n| member(n, "d")));
    admit(&mut children, NOW, second);
    children.queue_all_members();
    let report_sent = children.report(peer(9000, 5));
    assert_eq!(report_sent, children.report(peer(9000, 5)));
    assert!(report_sent.joined.contains(&member(9000, "d")) && children.has_backlog());
    let mut all = 0;
    loop {
        let report_sent = children.report(peer(9000, 5));
        all += report_sent.joined.len();
        if report_sent.joined.is_empty() {
            break;
        }
        children.mark_delivered(&report_sent);
    }
    assert_eq!(all, 1 + 2 + 120);
    let later = NOW + Duration::from_secs(13);
    children.expire(later);
    assert!(children.is_empty());
    assert_eq!(children.report(peer(9000, 5)).left.len(), 64);
}

/// Guards against a child without a known address: it was removed while it was silent, and
/// sends a report without its address on its old session. It must be refused, so that it
/// starts again and reports its whole subtree.
#[test]
fn removed_children_start_again() {
    let mut children = node(false);
    let again = Report::alone(peer(1, 5));
    assert_eq!(
        admit(&mut children, NOW, again),
        Admission::Full(Vec::new())
    );
}

/// Guards against a summary that leaves out the subtrees of other sources.
#[test]
fn sources_are_summed() {
    let mut children = node(true);
    admit(&mut children, NOW, report(1, 10));
    let mut report_sent = fetch(Report {
        lowest: Revision(8),
        processes: 7,
        ..Report::alone(peer(9001, 10))
    });
    report_sent.want = Want::Nothing;
    assert_eq!(children.admit(NOW, &report_sent), Admission::Served);
    let summary = children.summary(NOW, peer(9000, 10));
    assert_eq!(
        (summary.lowest, summary.processes, summary.sources),
        (Revision(8), 9, 2)
    );
    // The report to other sources covers only this one's subtree.
    assert_eq!(children.report(peer(9000, 10)).processes, 2);
    assert_eq!(
        node(false).admit(NOW, &report_sent),
        Admission::Full(Vec::new())
    );
}
