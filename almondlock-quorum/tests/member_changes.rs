//! Replicas are added, promoted and removed, one at a time.

#![allow(clippy::unwrap_used)]

mod cluster;

use almondlock_quorum::{
    member::{Change, Id, Member, Members},
    storage::Loaded,
};
use cluster::Cluster;
use yare::parameterized;

/// Returns members whose failure domains are the last digits of their numbers.
fn members(voters: &[u64], learners: &[u64]) -> Members {
    let mut members = Members::of_voters(voters.iter().map(|n| Member::sample(*n)));
    let learners = learners.iter().map(|n| Member::sample(*n));
    members.learners = learners.map(|m| (m.id, m)).collect();
    members
}

/// Guards against voters whose majority is lost with one failure domain, although the members'
/// domains allow a better spread.
#[parameterized(
    third_in_a_new_domain = { &[1, 2], &[3], Change::Promote(Id(3)), true },
    two_of_three_together = { &[1, 2], &[11, 3], Change::Promote(Id(11)), false },
    no_third_domain_known = { &[1, 2], &[11], Change::Promote(Id(11)), true },
    half_way_through_a_replacement = { &[1, 2, 3], &[13], Change::Promote(Id(13)), true },
    the_lost_one_goes = { &[1, 2, 3, 13], &[], Change::Remove(Id(3)), true },
    the_wrong_one_goes = { &[1, 2, 3, 13], &[], Change::Remove(Id(1)), false },
    five_over_three = { &[1, 2, 3, 11], &[12], Change::Promote(Id(12)), true },
    three_of_five_together = { &[1, 2, 3, 11], &[21], Change::Promote(Id(21)), false },
    the_last_one_goes = { &[1], &[], Change::Remove(Id(1)), false },
    a_learner_may_be_anywhere = { &[1, 2, 3], &[], Change::Add(Member::sample(11)), true },
    added_twice = { &[1, 2, 3], &[], Change::Add(Member::sample(2)), false },
    promoted_unknown = { &[1, 2, 3], &[], Change::Promote(Id(4)), false },
)]
fn voters_spread(voters: &[u64], learners: &[u64], change: Change, allowed: bool) {
    let result = members(voters, learners).with_change(&change);
    assert_eq!(result.is_ok(), allowed, "{result:?}");
}

/// Guards against two changes at once: three voters become five, and two of them still believe
/// to be a majority of three.
#[test]
fn one_at_a_time() {
    let mut c = Cluster::new(5, 3);
    let leader = c.elect();
    c.accept();
    assert!(c.change(leader, &Change::Add(Member::sample(4))));
    assert!(!c.change(leader, &Change::Add(Member::sample(5))));
    c.accept();
    assert!(c.change(leader, &Change::Add(Member::sample(5))));
}

/// Guards against a new leader that changes the members before it has committed an entry. Its
/// predecessor may have made another change that it doesn't know, and each set of members
/// would have a majority without the other.
#[test]
fn not_before_own_entry() {
    let mut c = Cluster::new(6, 3);
    c.until("a leader that has committed nothing", |c| {
        let leads = |n: &cluster::Node| {
            let machine = n.machine.as_ref().unwrap();
            machine.is_leader() && machine.term_at(machine.commit_index()) != Some(machine.term())
        };
        c.nodes.iter().any(leads)
    });
    let leader = c.leader().unwrap();
    assert!(!c.change(leader, &Change::Add(Member::sample(4))));
    c.accept();
    assert!(c.change(leader, &Change::Add(Member::sample(4))));
}

/// Guards against the promotion of a learner that holds no entries yet. When a voter is then
/// lost, the majority depends on entries that the learner never had.
#[test]
fn caught_up_first() {
    let mut c = Cluster::new(7, 3);
    let leader = c.elect();
    c.accept();
    assert!(c.change(leader, &Change::Add(Member::sample(4))));
    c.accept();
    assert!(!c.change(leader, &Change::Promote(Id(4))));
    c.add_node(Member::sample(4), Loaded::default());
    c.start(3);
    c.until("the learner has caught up", |c| {
        c.nodes[3].state.index == c.history.newest()
    });
    c.accept();
    assert!(c.change(leader, &Change::Promote(Id(4))));
    c.accept();
    assert!(
        c.nodes[3]
            .machine
            .as_ref()
            .unwrap()
            .members()
            .is_voter(Id(4))
    );
}

/// Guards against the promotion of a learner that has died, while a voter is lost as well. Three
/// of four voters would then be needed and two be there, so that nothing is committed and no
/// leader elected any more, although a majority of the three voters before it is available.
#[test]
fn majority_after_it_answers() {
    for seed in 0..20 {
        let mut c = Cluster::new(seed, 3);
        let leader = c.elect();
        c.accept();
        assert!(c.change(leader, &Change::Add(Member::sample(4))));
        c.add_node(Member::sample(4), Loaded::default());
        c.start(3);
        let newest = c.accept();
        c.until("the learner has caught up", |c| {
            c.nodes[3].state.index >= newest
        });
        c.crash((leader + 1) % 3);
        c.crash(3);
        c.run(600);
        assert!(!c.change(leader, &Change::Promote(Id(4))), "seed {seed}");
        c.accept();
        c.start(3);
        c.run(200);
        assert!(c.change(leader, &Change::Promote(Id(4))), "seed {seed}");
        c.accept();
    }
}

/// Guards against a removed leader that stops before its removal is committed, or stands for
/// election afterwards.
#[test]
fn leader_removed() {
    let mut c = Cluster::new(8, 4);
    let old = c.elect();
    c.accept();
    let id = c.nodes[old].id;
    assert!(c.change(old, &Change::Remove(id)));
    c.until("another replica leads", |c| {
        c.leader().is_some_and(|n| n != old)
    });
    c.accept();
    let term = c.nodes[c.leader().unwrap()]
        .machine
        .as_ref()
        .unwrap()
        .term();
    c.run(20_000);
    assert_eq!(
        c.nodes[c.leader().unwrap()]
            .machine
            .as_ref()
            .unwrap()
            .term(),
        term
    );
    assert!(
        !c.nodes[old]
            .machine
            .as_ref()
            .unwrap()
            .members()
            .contains(id)
    );
}

/// Guards against a change that stays in force at a leader that was cut off, after the others
/// have overwritten it. That replica would count majorities over members that were never
/// committed.
#[test]
fn not_accepted_is_taken_back() {
    let mut c = Cluster::new(9, 3);
    let old = c.elect();
    c.accept();
    let ids: Vec<_> = c.nodes.iter().map(|n| n.id).collect();
    c.network.isolate(ids[old], ids.clone());
    assert!(c.change(old, &Change::Remove(ids[(old + 1) % 3])));
    let members = |c: &Cluster| c.nodes[old].machine.as_ref().unwrap().members().clone();
    assert_eq!(members(&c).voters.len(), 2);
    c.run(2_000);
    c.accept();
    c.network.heal();
    c.until("the old leader follows", |c| {
        c.nodes[old].state.index == c.history.newest()
    });
    assert_eq!(members(&c).voters.len(), 3);
}
