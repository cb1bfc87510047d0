//! A replica's host loses its disk, or is replaced by another one, and nobody
//! watches. Until the group has three voters that hold everything, the next
//! loss would take away its quorum, or what was accepted with it.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use almondlock_base::time::Mono;
use almondlock_control::replica::repair::{SILENCE, Sight};
use almondlock_quorum::member::{Change, Id, Member, Members};
use yare::parameterized;

const NOW: Mono = Mono::from_millis(60_000);

fn member(id: u64, host: u8) -> Member {
    Member {
        address: SocketAddr::from(([10, 0, 0, host], 7000)),
        ..Member::sample(id)
    }
}

fn group(ids: &[(u64, u8)]) -> Members {
    Members::of_voters(ids.iter().map(|(id, host)| member(*id, *host)))
}

struct Case {
    members: Members,
    newcomers: Vec<Member>,
    silent: Vec<u64>,
}

impl Case {
    fn step(&self) -> Option<Change> {
        let sight = Sight {
            own: Id(1),
            members: &self.members,
            newcomers: self.newcomers.clone(),
            led_since: Mono::ZERO,
            now: NOW,
        };
        let silent: HashMap<u64, ()> = self.silent.iter().map(|id| (*id, ())).collect();
        sight.step(|id| Some(NOW).filter(|_| !silent.contains_key(&id.0)))
    }

    /// Takes steps until there is none left; gives them all.
    fn settle(&mut self) -> Vec<Change> {
        let mut steps = Vec::new();
        while let Some(step) = self.step() {
            self.members = self.members.changed(&step).unwrap();
            steps.push(step);
            assert!(steps.len() < 10, "{steps:?}");
        }
        steps
    }
}

#[test]
fn silent_voter_stays() {
    let case = Case {
        members: group(&[(1, 1), (2, 2), (3, 3)]),
        newcomers: vec![],
        silent: vec![3],
    };
    assert_eq!(case.step(), None);
}

#[test]
fn wiped_disk() {
    let mut case = Case {
        members: group(&[(1, 1), (2, 2), (3, 3)]),
        newcomers: vec![member(13, 3)],
        silent: vec![3],
    };
    let newcomer = member(13, 3);
    let expected = [
        Change::Add(newcomer),
        Change::Promote(Id(13)),
        Change::Remove(Id(3)),
    ];
    assert_eq!(case.settle(), expected);
    assert_eq!(case.members.voters.len(), 3);
}

#[test]
fn other_address() {
    let mut case = Case {
        members: group(&[(1, 1), (2, 2), (3, 3)]),
        newcomers: vec![member(13, 4)],
        silent: vec![3],
    };
    case.settle();
    let voters: Vec<Id> = case.members.voters.keys().copied().collect();
    assert_eq!(voters, [Id(1), Id(2), Id(13)]);
}

/// The new one comes first, and the old one still answers: both stay until the
/// old one has gone.
#[test]
fn planned_replacement() {
    let mut case = Case {
        members: group(&[(1, 1), (2, 2), (3, 3)]),
        newcomers: vec![member(13, 4)],
        silent: vec![],
    };
    case.settle();
    assert_eq!(case.members.voters.len(), 4);
    case.silent.push(3);
    assert_eq!(case.settle(), [Change::Remove(Id(3))]);
}

/// The newcomer is lost before it has caught up.
#[test]
fn lost_learner() {
    let mut members = group(&[(1, 1), (2, 2), (3, 3)]);
    members = members.changed(&Change::Add(member(13, 4))).unwrap();
    let mut case = Case {
        members,
        newcomers: vec![],
        silent: vec![3, 13],
    };
    assert_eq!(case.settle(), [Change::Remove(Id(13))]);
}

/// A group larger than its seeds takes all of its hosts in.
#[test]
fn five_from_three() {
    let mut case = Case {
        members: group(&[(1, 1), (2, 2), (3, 3)]),
        newcomers: vec![member(4, 4), member(5, 5)],
        silent: vec![],
    };
    case.settle();
    assert_eq!(case.members.voters.len(), 5);
}

/// A new leader has heard nobody yet. Nobody counts as silent before their
/// time.
#[test]
fn new_leader() {
    let members = group(&[(1, 1), (2, 2), (3, 3), (4, 4)]);
    let sight = |led_since| Sight {
        own: Id(1),
        members: &members,
        newcomers: vec![],
        led_since,
        now: NOW,
    };
    assert_eq!(sight(NOW).step(|_| None), None);
    let long_ago = NOW - SILENCE - Duration::from_millis(1);
    assert!(matches!(
        sight(long_ago).step(|_| None),
        Some(Change::Remove(_))
    ));
}

/// Two of five voters share a failure domain. One of them loses its disk, and a
/// third in that domain may not vote beside the lost one. The group must still
/// come to five voters that answer; else the next two losses end it.
#[parameterized(
    four_domains = { &[(1, 1), (11, 11), (2, 2), (3, 3), (4, 4)] },
    three_domains = { &[(1, 1), (11, 11), (2, 2), (12, 12), (3, 3)] },
)]
fn shared_domain(voters: &[(u64, u8)]) {
    for host in [11, 21] {
        let mut case = Case {
            members: group(voters),
            newcomers: vec![member(21, host)],
            silent: vec![11],
        };
        case.settle();
        assert_eq!(case.members.voters.len(), 5);
        assert!(case.members.is_voter(Id(21)) && !case.members.contains(Id(11)));
    }
}
