//! A replica's host loses its disk, or is replaced by another one, and nobody
//! watches. Until the group has three voters that hold everything, the next
//! loss would take away its quorum, or what was accepted with it.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use almondlock_base::time::Mono;
use almondlock_control::replica::repair::{Newcomer, Peer, SILENCE, Sight};
use almondlock_quorum::member::{Change, Id, Member, Members};
use yare::parameterized;

const NOW: Mono = Mono::from_millis(60_000);

/// An election timeout.
const PATIENCE: Duration = Duration::from_millis(500);

fn member(id: u64, host: u8) -> Member {
    Member {
        address: SocketAddr::from(([10, 0, 0, host], 7000)),
        ..Member::sample(id)
    }
}

fn group(ids: &[(u64, u8)]) -> Members {
    Members::of_voters(ids.iter().map(|(id, host)| member(*id, *host)))
}

/// What a member says that answers and has all.
fn answering() -> Peer {
    Peer {
        heard: Some(NOW),
        advanced: Some(NOW),
        caught_up: true,
        leaving: false,
        stays: false,
    }
}

fn silent_for(span: Duration) -> Peer {
    Peer {
        heard: Some(NOW - span),
        advanced: Some(NOW - span),
        ..answering()
    }
}

fn leaving() -> Peer {
    Peer {
        leaving: true,
        ..answering()
    }
}

struct Case {
    members: Members,
    newcomers: Vec<Member>,
    silent: Vec<u64>,
    // What is known of others than those that answer or are silent.
    peers: HashMap<u64, Peer>,
}

impl Case {
    fn of(members: Members, newcomers: Vec<Member>, silent: Vec<u64>) -> Case {
        Case {
            members,
            newcomers,
            silent,
            peers: HashMap::new(),
        }
    }

    fn step(&self) -> Option<Change> {
        let newcomers = self.newcomers.iter().cloned();
        let sight = Sight {
            own: Id(1),
            members: &self.members,
            newcomers: newcomers
                .map(|member| Newcomer { member, heard: NOW })
                .collect(),
            led_since: Mono::ZERO,
            patience: PATIENCE,
            now: NOW,
        };
        sight.step(|id| match self.peers.get(&id.0) {
            Some(peer) => *peer,
            None if self.silent.contains(&id.0) => Peer::default(),
            None => answering(),
        })
    }

    /// Takes steps until there is none left; gives them all.
    fn settle(&mut self) -> Vec<Change> {
        let mut steps = Vec::new();
        while let Some(step) = self.step() {
            self.members = self.members.with_change(&step).unwrap();
            steps.push(step);
            assert!(steps.len() < 10, "{steps:?}");
        }
        steps
    }

    fn voters(&self) -> Vec<u64> {
        self.members.voters.keys().map(|id| id.0).collect()
    }
}

#[test]
fn silent_voter_stays() {
    let case = Case::of(group(&[(1, 1), (2, 2), (3, 3)]), vec![], vec![3]);
    assert_eq!(case.step(), None);
}

/// The newcomer at the address of a lost disk takes its place at once.
#[parameterized(
    silent = { Peer::default() },
    heard_just_before = { silent_for(Duration::from_millis(50)) },
)]
fn wiped_disk(lost: Peer) {
    let newcomer = member(13, 3);
    let members = group(&[(1, 1), (2, 2), (3, 3)]);
    let mut case = Case::of(members, vec![newcomer.clone()], vec![]);
    case.peers.insert(3, lost);
    let expected = [
        Change::Add(newcomer),
        Change::Remove(Id(3)),
        Change::Promote(Id(13)),
    ];
    assert_eq!(case.settle(), expected);
    assert_eq!(case.voters(), [1, 2, 13]);
}

#[test]
fn other_address() {
    let members = group(&[(1, 1), (2, 2), (3, 3)]);
    let mut case = Case::of(members, vec![member(13, 4)], vec![3]);
    case.settle();
    assert_eq!(case.voters(), [1, 2, 13]);
}

/// Guards against a fourth voter beside three: once the old one has gone, the next lost disk would
/// leave two of four. The new one waits without a vote until the old one leaves or falls silent.
#[parameterized(
    says_so = { Peer { leaving: true, ..answering() } },
    falls_silent = { silent_for(PATIENCE) },
)]
fn planned_replacement(gone: Peer) {
    let members = group(&[(1, 1), (2, 2), (3, 3)]);
    let mut case = Case::of(members, vec![member(13, 4)], vec![]);
    assert_eq!(case.settle(), [Change::Add(member(13, 4))]);
    assert_eq!(case.voters(), [1, 2, 3]);
    case.peers.insert(3, gone);
    let expected = [Change::Remove(Id(3)), Change::Promote(Id(13))];
    assert_eq!(case.settle(), expected);
}

/// Guards against giving up a copy before there is another one.
#[parameterized(
    behind = { Peer { caught_up: false, ..answering() } },
    silent = { silent_for(PATIENCE) },
    leaving = { Peer { leaving: true, ..answering() } },
)]
fn spare_not_ready(spare: Peer) {
    let members = group(&[(1, 1), (2, 2), (3, 3)]);
    let members = members.with_change(&Change::Add(member(13, 4))).unwrap();
    let mut case = Case::of(members, vec![], vec![3]);
    case.peers.insert(13, spare);
    assert_eq!(case.step(), None);
}

/// Guards against a removal that nobody accepts: one voter stops and another is silent. Without
/// the first one the silent one would be needed, and without the silent one the first, which may
/// be gone before it has accepted that.
#[test]
fn one_stops_one_silent() {
    let members = group(&[(1, 1), (2, 2), (3, 3)]);
    let members = members.with_change(&Change::Add(member(14, 4))).unwrap();
    let mut case = Case::of(members, vec![], vec![3]);
    let leaving = Peer {
        leaving: true,
        ..answering()
    };
    case.peers.insert(2, leaving);
    assert_eq!(case.step(), None);
    case.peers.clear();
    let expected = [Change::Remove(Id(3)), Change::Promote(Id(14))];
    assert_eq!(case.settle(), expected);
}

/// Guards against a removal right after an election, for which a voter would be needed that has
/// been gone since before it.
#[test]
fn unheard_voter() {
    let members = group(&[(1, 1), (2, 2), (3, 3)]);
    let members = members.with_change(&Change::Add(member(14, 4))).unwrap();
    let sight = Sight {
        own: Id(1),
        members: &members,
        newcomers: vec![],
        led_since: NOW - Duration::from_millis(60),
        patience: PATIENCE,
        now: NOW,
    };
    let look = |id| match id {
        Id(2) => Peer {
            leaving: true,
            ..answering()
        },
        Id(14) => answering(),
        _ => Peer::default(),
    };
    assert_eq!(sight.step(look), None);
}

/// The newcomer is lost before it has caught up.
#[test]
fn lost_learner() {
    let members = group(&[(1, 1), (2, 2), (3, 3)]);
    let members = members.with_change(&Change::Add(member(13, 4))).unwrap();
    let mut case = Case::of(members, vec![], vec![3, 13]);
    assert_eq!(case.settle(), [Change::Remove(Id(13))]);
}

/// A newcomer loses its disk again while it is a learner.
#[test]
fn wiped_learner() {
    let members = group(&[(1, 1), (2, 2), (3, 3)]);
    let members = members.with_change(&Change::Add(member(13, 3))).unwrap();
    let mut case = Case::of(members, vec![member(23, 3)], vec![3, 13]);
    case.settle();
    assert_eq!(case.voters(), [1, 2, 23]);
    assert!(case.members.learners.is_empty());
}

/// A group larger than its seeds takes all of its hosts in.
#[test]
fn five_from_three() {
    let members = group(&[(1, 1), (2, 2), (3, 3)]);
    let newcomers = vec![member(4, 4), member(5, 5)];
    let mut case = Case::of(members, newcomers, vec![]);
    case.settle();
    assert_eq!(case.voters(), [1, 2, 3, 4, 5]);
}

/// Guards against a group of five that needs all who are left once two have gone.
#[test]
fn two_of_five() {
    let members = group(&[(1, 1), (2, 2), (3, 3), (4, 4), (5, 5)]);
    let mut case = Case::of(members.clone(), vec![], vec![4]);
    assert_eq!(case.step(), None);
    case.silent.push(5);
    case.settle();
    assert_eq!(case.voters(), [1, 2, 3]);
    let short = silent_for(PATIENCE - Duration::from_millis(1));
    let mut case = Case::of(members, vec![], vec![]);
    case.peers.extend([(4, short), (5, short)]);
    assert_eq!(case.step(), None);
}

/// Guards against the fourth voter of a group that counts for seconds after it has gone: it may
/// have come by a promotion of an earlier version, or by an operator's replacement.
#[parameterized(
    says_so = { Peer { leaving: true, ..answering() } },
    falls_silent = { silent_for(PATIENCE) },
)]
fn one_of_four(gone: Peer) {
    let members = group(&[(1, 1), (2, 2), (3, 3), (4, 4)]);
    let mut case = Case::of(members, vec![], vec![]);
    case.peers.insert(4, gone);
    assert_eq!(case.settle(), [Change::Remove(Id(4))]);
}

/// Guards against a voter that is given up since its disk is slow: it answers, and comes to hold
/// more from time to time. One whose disk hangs is exchanged.
#[test]
fn slow_disk() {
    let members = group(&[(1, 1), (2, 2), (3, 3)]);
    let members = members.with_change(&Change::Add(member(13, 4))).unwrap();
    let step = |span| {
        let slow = Peer {
            advanced: Some(NOW - span),
            ..answering()
        };
        let mut case = Case::of(members.clone(), vec![], vec![]);
        case.peers.insert(3, slow);
        case.step()
    };
    assert_eq!(step(SILENCE - Duration::from_millis(1)), None);
    assert_eq!(step(SILENCE), Some(Change::Remove(Id(3))));
}

/// Guards against a newcomer that is taken in and out again without end: its first answer comes
/// after the leader has accepted its admission.
#[test]
fn admitted_not_heard_yet() {
    let members = group(&[(1, 1), (2, 2), (3, 3)]);
    let mut case = Case::of(members, vec![member(13, 4)], vec![13]);
    assert_eq!(case.settle(), [Change::Add(member(13, 4))]);
}

/// A new leader has heard nobody yet. Nobody counts as silent before their
/// time.
#[test]
fn new_leader() {
    let four = group(&[(1, 1), (2, 2), (3, 3), (4, 4)]);
    let three = group(&[(1, 1), (2, 2), (3, 3)]);
    let spare = three.with_change(&Change::Add(member(13, 4))).unwrap();
    let step = |members: &Members, span: Duration| {
        let sight = Sight {
            own: Id(1),
            members,
            newcomers: vec![],
            led_since: NOW - span,
            patience: PATIENCE,
            now: NOW,
        };
        let heard = |id| match id {
            Id(2 | 4 | 13) => answering(),
            _ => Peer::default(),
        };
        sight.step(heard)
    };
    let moment = Duration::from_millis(1);
    assert_eq!(step(&four, PATIENCE - moment), None);
    assert_eq!(step(&four, PATIENCE), Some(Change::Remove(Id(3))));
    assert_eq!(step(&spare, PATIENCE - moment), None);
    assert_eq!(step(&spare, PATIENCE), Some(Change::Remove(Id(3))));
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
        let mut case = Case::of(group(voters), vec![member(21, host)], vec![11]);
        case.settle();
        assert_eq!(case.members.voters.len(), 5);
        assert!(case.members.is_voter(Id(21)) && !case.members.contains(Id(11)));
    }
}

/// The same, of a newcomer at the address of a disk that answered just before it was lost: each of
/// the two would be taken for the successor of the other.
#[test]
fn admitted_at_same_address() {
    let members = group(&[(1, 1), (2, 2), (3, 3)]);
    let mut case = Case::of(members, vec![member(13, 3)], vec![13]);
    case.peers.insert(3, silent_for(Duration::from_millis(50)));
    assert_eq!(case.settle(), [Change::Add(member(13, 3))]);
}

/// Guards against two of five voters that have gone and still count after their newcomers have
/// their votes: the next lost disk would leave two of five.
#[test]
fn two_replaced() {
    let members = group(&[(1, 1), (2, 2), (3, 3)]);
    let newcomers = vec![member(14, 4), member(15, 5)];
    let mut case = Case::of(members, newcomers, vec![]);
    case.settle();
    case.peers.extend([(2, leaving()), (3, leaving())]);
    case.settle();
    assert_eq!(case.voters(), [1, 14, 15]);
}

/// Two voters and the spare that is to be the third one, which shares a failure domain with the
/// first. The third domain is that of the voter that was removed.
fn half_way() -> Members {
    let members = group(&[(1, 1), (2, 2), (3, 3)]);
    let members = members.with_change(&Change::Add(member(11, 4))).unwrap();
    members.with_change(&Change::Remove(Id(3))).unwrap()
}

/// Guards against an exchange that stops half-way: the voter that was removed asks to join before
/// the spare has synced its removal, and as a learner it makes the spare's vote one too many in
/// its failure domain.
#[test]
fn no_admission_half_way() {
    let mut case = Case::of(half_way(), vec![member(3, 3)], vec![]);
    let behind = Peer {
        caught_up: false,
        ..answering()
    };
    case.peers.insert(11, behind);
    assert_eq!(case.step(), None);
    case.peers.clear();
    assert_eq!(case.step(), Some(Change::Promote(Id(11))));
}

/// Guards against two voters that stay alone with a spare that holds everything, since a learner
/// which is gone makes for a third failure domain.
#[test]
fn dead_learner_half_way() {
    let members = half_way().with_change(&Change::Add(member(3, 3))).unwrap();
    let mut case = Case::of(members, vec![], vec![]);
    case.peers.insert(3, silent_for(PATIENCE));
    case.settle();
    assert_eq!(case.voters(), [1, 2, 11]);
}

/// What a member says that stops, and stays until it is out.
fn staying() -> Peer {
    Peer {
        stays: true,
        ..leaving()
    }
}

/// Guards against a moment with two voters while one that stops is exchanged: a disk that is lost
/// then ends the group, although the one that stops is still there.
#[test]
fn exchanged_while_there() {
    let members = group(&[(1, 1), (2, 2), (3, 3)]);
    let mut case = Case::of(members, vec![member(13, 4)], vec![]);
    case.settle();
    case.peers.insert(3, staying());
    let expected = [Change::Promote(Id(13)), Change::Remove(Id(3))];
    assert_eq!(case.settle(), expected);
}

/// Guards against an exchange that waits for ever: one voter has lost its disk, another stops, and
/// neither can be removed before the spare votes.
#[parameterized(
    not_back = { false },
    back = { true },
)]
fn lost_beside_stop(is_back: bool) {
    let members = group(&[(1, 1), (2, 2), (3, 3)]);
    let members = members.with_change(&Change::Add(member(13, 4))).unwrap();
    let newcomers = is_back.then(|| member(22, 2)).into_iter().collect();
    let mut case = Case::of(members, newcomers, vec![2]);
    case.peers.insert(3, staying());
    let steps = case.settle();
    assert_eq!(steps[0], Change::Promote(Id(13)));
    let expected: &[u64] = if is_back { &[1, 13, 22] } else { &[1, 2, 13] };
    assert_eq!(case.voters(), expected);
}
