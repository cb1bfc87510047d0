//! A replica is replaced by one at another address, and a disk is lost as soon
//! as the newcomer has had its time to catch up.

#![allow(clippy::unwrap_used)]

mod group;

use std::{thread, time::Duration};

use almondlock_control::replica::Builder;
use almondlock_quorum::config::Config;
use almondlock_transport::Security;
use group::{Group, announce, capacity, revision, until};
use tokio::time::{Instant, sleep, sleep_until};
use yare::parameterized;

/// How long a newcomer has, from its start, until another disk may be lost.
const CATCH_UP: Duration = Duration::from_secs(4);

/// The host that is replaced, and the one that comes in its place.
const OLD: usize = 0;
const NEW: usize = 3;

/// How the old host goes.
#[derive(Clone, Copy, Debug)]
enum Course {
    /// It is stopped some time after the newcomer has started.
    Planned,
    /// It dies before that, and the leader is killed and started again soon after.
    LeaderChanges,
}

impl Course {
    /// Gives when the newcomer started.
    async fn run(self, group: &mut Group) -> Instant {
        group.accept(announce(1)).await;
        match self {
            Course::Planned => {
                let start = Instant::now();
                group.start(NEW);
                sleep(Duration::from_millis(2_400)).await;
                group.stop(OLD);
                start
            }
            Course::LeaderChanges => {
                group.kill(OLD);
                sleep(Duration::from_secs(1)).await;
                let start = Instant::now();
                group.start(NEW);
                sleep(Duration::from_secs(2)).await;
                let leader = group.leader().await;
                group.kill(leader);
                sleep(Duration::from_millis(500)).await;
                group.start(leader);
                start
            }
        }
    }
}

/// Three replicas, and a host for a fourth one.
fn repairing() -> Group {
    let adapt = |builder: Builder| builder.repairs(true).duty_pause(Duration::from_millis(400));
    let mut group = Group::with_security(adapt, vec![Security::Plain; NEW + 1]);
    assert_eq!(group.add_host(), NEW);
    group
}

async fn lose_disk(course: Course, wiped: usize) {
    let mut group = repairing();
    let start = course.run(&mut group).await;
    group.accept(announce(2)).await;
    sleep_until(start + CATCH_UP).await;
    (1..=NEW).for_each(|n| group.kill(n));
    group.wipe(wiped);
    (1..=NEW).for_each(|n| group.start(n));
    let leader = group.leader().await;
    let found = group.remote(leader).read(|state| capacity(state.config()));
    assert_eq!(found.await.unwrap(), 2);
}

/// Guards against a group that still counts the replica which is gone when the next disk is lost:
/// two voters of four are left, and nobody leads any more.
#[test]
fn next_disk() {
    let run = |course, wiped| {
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            runtime.unwrap().block_on(lose_disk(course, wiped));
        })
    };
    let courses = [Course::Planned, Course::LeaderChanges];
    let cases = courses.map(|course| [1, 2, NEW].map(|wiped| (course, wiped, run(course, wiped))));
    let mut failed = Vec::new();
    for (course, wiped, thread) in cases.into_iter().flatten() {
        if thread.join().is_err() {
            failed.push((course, wiped));
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against two voters of five that have gone and still count, although the newcomers that
/// came for them hold everything: the next lost disk leaves two of five.
#[parameterized(
    stopped = { Group::stop },
    die = { Group::kill },
)]
#[test_macro(tokio::test)]
async fn two_replaced(end: fn(&mut Group, usize)) {
    let mut group = repairing();
    let newcomers = [NEW, group.add_host()];
    group.accept(announce(1)).await;
    let start = Instant::now();
    newcomers.into_iter().for_each(|n| group.start(n));
    sleep_until(start + CATCH_UP).await;
    (0..2).for_each(|n| end(&mut group, n));
    group.accept(announce(2)).await;
    sleep(Duration::from_secs(1)).await;
    (2..5).for_each(|n| group.kill(n));
    group.wipe(2);
    (2..5).for_each(|n| group.start(n));
    let leader = group.leader().await;
    let found = group.remote(leader).read(|state| capacity(state.config()));
    assert_eq!(found.await.unwrap(), 2);
}

/// A group that takes a voter for lost only after a long silence.
fn patient() -> Group {
    let adapt = |builder: Builder| {
        let quorum = Config::builder()
            .election_timeout(Duration::from_millis(1_200))
            .heartbeat_interval(Duration::from_millis(50));
        let builder = builder.quorum(quorum.build().unwrap()).repairs(true);
        builder.duty_pause(Duration::from_millis(100))
    };
    let mut group = Group::with_security(adapt, vec![Security::Plain; 2 * NEW]);
    for _ in 0..NEW {
        group.add_host();
    }
    group
}

/// Guards against a voter that stopped while nobody led and still counts under the next leader,
/// which was away at that time, until it has been silent once more: the next lost disk ends the
/// group.
#[tokio::test]
async fn stopped_unled() {
    let mut group = patient();
    group.accept(announce(1)).await;
    let leader = group.leader().await;
    let mut others = (0..3).filter(|n| *n != leader);
    let old = others.next().unwrap();
    // In the same failure domain.
    let new = old + NEW;
    group.start(new);
    sleep(Duration::from_secs(2)).await;
    group.kill(leader);
    sleep(Duration::from_millis(100)).await;
    group.stop(old);
    group.start(leader);
    let stays = [leader, others.next().unwrap(), new];
    group.leader().await;
    sleep(Duration::from_millis(500)).await;
    stays.iter().for_each(|n| group.kill(*n));
    group.wipe(leader);
    stays.iter().for_each(|n| group.start(*n));
    group.leader().await;
}

/// Guards against a replica that was removed while it was away and never learns of it: it would
/// ask for votes that nobody gives, and the group lack a host that could take over.
#[tokio::test]
async fn comes_back() {
    let mut group = repairing();
    group.accept(announce(1)).await;
    group.start(NEW);
    let id = group.status(OLD).await.id;
    group.kill(OLD);
    let leader = group.leader().await;
    until("the newcomer votes", async || {
        let members = group.status(leader).await.members;
        let votes = members
            .iter()
            .any(|peer| peer.name == group.names[NEW] && peer.voter);
        (votes && members.iter().all(|peer| peer.id != id)).then_some(())
    })
    .await;
    group.start(OLD);
    let (_, reply) = group.accept(announce(2)).await;
    group.holds(OLD, revision(&reply)).await;
    let leader = group.leader().await;
    let members = group.status(leader).await.members;
    let old = members.iter().find(|peer| peer.id == id).unwrap();
    assert!(!old.voter);
    assert_eq!(members.iter().filter(|peer| peer.voter).count(), 3);
}
