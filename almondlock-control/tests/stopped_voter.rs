//! A replica is replaced as planned: a newcomer at another address holds everything, and the old
//! one is told to stop. Beside that another disk is lost. Until the group has agreed to go on
//! without the old one, its disk may hold the only other copy of what was accepted.

mod group;

use std::{
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use almondlock_control::replica::Builder;
use almondlock_transport::Security;
use group::{Group, announce, capacity, until};
use tokio::time::{sleep, timeout};

/// How long a newcomer has, from its start, until another disk may be lost.
const CATCH_UP: Duration = Duration::from_secs(4);
/// How long a host that lost its disk is away.
const AWAY: Duration = Duration::from_millis(1_200);
/// How soon after all are back the group must serve.
const RECOVERY: Duration = Duration::from_secs(12);
/// When a process that was told to stop is ended by force.
const GRACE: Duration = Duration::from_secs(8);

/// Groups that run at the same time.
const AT_ONCE: usize = 6;

/// One planned replacement with a lost disk.
#[derive(Clone, Copy, Debug)]
struct Course {
    /// Whether the one that stops leads before.
    stops_leader: bool,
    /// Which of the others loses its disk: the two voters, the leader first, and the newcomer.
    wiped: usize,
    /// When the old one is told to stop, in milliseconds after the loss.
    stop_at: i64,
}

impl Course {
    fn all() -> Vec<Course> {
        let mut courses = Vec::new();
        for stops_leader in [false, true] {
            for wiped in 0..3 {
                for stop_at in [-1_000, -300, -50, 0, 200, 900, 1_500] {
                    courses.push(Course {
                        stops_leader,
                        wiped,
                        stop_at,
                    });
                }
            }
        }
        courses
    }

    /// Returns what went wrong.
    async fn run(self) -> Result<(), String> {
        let adapt = |builder: Builder| builder.repairs(true).duty_pause(Duration::from_millis(400));
        let mut group = Group::with_security(adapt, vec![Security::Plain; 4]);
        group.accept(announce(1)).await;
        let leader = group.leader().await;
        let (old, stays) = match self.stops_leader {
            true => (leader, [(leader + 1) % 3, (leader + 2) % 3]),
            false => ((leader + 1) % 3, [leader, (leader + 2) % 3]),
        };
        // In the failure domain of the old one.
        let new = loop {
            let new = group.add_host();
            if new % 3 == old {
                break new;
            }
        };
        group.start(new);
        sleep(CATCH_UP).await;
        let others = [stays[0], stays[1], new];
        let wiped = others[self.wiped];
        let stop = |group: &mut Group| (Instant::now(), group.begin_stop(old));
        let pause = Duration::from_millis(self.stop_at.unsigned_abs());
        let mut stopping = None;
        if self.stop_at < 0 {
            group.accept(announce(2)).await;
            stopping = Some(stop(&mut group));
            sleep(pause).await;
        }
        group.accept(announce(3)).await;
        group.kill(wiped);
        group.wipe(wiped);
        let lost = Instant::now();
        if stopping.is_none() {
            sleep(pause.min(AWAY)).await;
            stopping = Some(stop(&mut group));
        }
        sleep(AWAY.saturating_sub(lost.elapsed())).await;
        group.start(wiped);
        let (told, stopping) = stopping.unwrap();
        until("the end of the old one", async || {
            stopping.is_finished().then_some(())
        })
        .await;
        if told.elapsed() >= GRACE {
            return Err(format!("ended after {:?}", told.elapsed()));
        }
        let leads = timeout(RECOVERY, group.leader()).await;
        let leader = leads.map_err(|_| "nobody leads")?;
        let found = group.remote(leader).read(|state| capacity(state.config()));
        match found.await {
            Ok(3) => {}
            found => return Err(format!("found {found:?}")),
        }
        let accepted = timeout(RECOVERY, group.accept(announce(4))).await;
        accepted
            .map(drop)
            .map_err(|_| "nothing is accepted".to_owned())
    }
}

/// Guards against a group that ends with one lost disk, since a voter was told to stop just before
/// or after and left before the newcomer had its vote.
#[test]
fn disk_beside_stop() {
    let courses = Mutex::new(Course::all());
    let failed = Mutex::new(Vec::new());
    let work = || {
        while let Some(course) = { courses.lock().unwrap().pop() } {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            if let Err(reason) = runtime.unwrap().block_on(course.run()) {
                failed.lock().unwrap().push((course, reason));
            }
        }
    };
    thread::scope(|scope| {
        (0..AT_ONCE).for_each(|_| drop(scope.spawn(work)));
    });
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "{}: {failed:#?}", failed.len());
}

/// Guards against restarts that take as long as an exchange, where there is no spare.
#[tokio::test]
async fn stops_soon() {
    let adapt = |builder: Builder| builder.repairs(true);
    let mut group = Group::new(adapt);
    group.accept(announce(1)).await;
    for _ in 0..3 {
        let leader = group.leader().await;
        for n in [(leader + 1) % 3, leader] {
            let told = Instant::now();
            let stopping = group.begin_stop(n);
            until("the end", async || stopping.is_finished().then_some(())).await;
            assert!(
                told.elapsed() < Duration::from_secs(2),
                "{:?}",
                told.elapsed()
            );
            group.start(n);
            group.accept(announce(2)).await;
        }
    }
}

/// Guards against replicas that hand the leadership to each other again and again while all of
/// them stop. Each does so once; the rest are elections at their start.
#[tokio::test]
async fn all_stop() {
    let mut group = Group::new(|builder| builder.repairs(true));
    group.accept(announce(1)).await;
    for _ in 0..4 {
        let leader = group.leader().await;
        let before = group.status(leader).await.term;
        let told = Instant::now();
        let stopping: Vec<_> = (0..3).map(|n| group.begin_stop(n)).collect();
        let are_over = async || stopping.iter().all(|end| end.is_finished()).then_some(());
        until("the end", are_over).await;
        assert!(
            told.elapsed() < Duration::from_secs(2),
            "{:?}",
            told.elapsed()
        );
        (0..3).for_each(|n| group.start(n));
        let leader = group.leader().await;
        let after = group.status(leader).await.term;
        assert!(after.0 - before.0 <= 6, "{before:?}, {after:?}");
    }
}
