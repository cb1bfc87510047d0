//! An owner sees the end of each task that it has started.

use std::{
    future::{Future, pending},
    time::Duration,
};

use almondlock_task::{End, Failure, Owner, figures};
use tokio::{
    runtime::Builder,
    task::{LocalSet, yield_now},
    time::timeout,
};

const WAIT: Duration = Duration::from_secs(5);

fn run<F>(work: F) -> F::Output
where
    F: Future,
{
    let runtime = Builder::new_current_thread().enable_time().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(work))
}

async fn failure(owner: &Owner) -> Option<Failure> {
    timeout(WAIT, owner.failed()).await.ok()
}

/// Guards against a task that panics and leaves the process looking well.
#[test]
fn panicking_task() {
    let failure = run(async {
        let owner = Owner::default();
        owner.spawn("idle", pending::<()>());
        owner.spawn("panicking_task", async { panic!("found nothing") });
        assert!(owner.is_sound());
        let failure = failure(&owner).await;
        assert!(!owner.is_sound());
        failure
    });
    let (task, end) = ("panicking_task", End::Panicked);
    assert_eq!(failure, Some(Failure { task, end }));
    assert!(figures().contains("task_panics{panicking_task} 1\n"));
}

/// Guards against a task that returns although it should run for good.
#[test]
fn returning_task() {
    let failure = run(async {
        let owner = Owner::default();
        owner.spawn("returning", async {});
        failure(&owner).await
    });
    let (task, end) = ("returning", End::Returned);
    assert_eq!(failure, Some(Failure { task, end }));
}

/// Guards against tasks that end unseen because the executor of their thread is dropped.
#[test]
fn dropped_executor() {
    let owner = Owner::default();
    run(async {
        owner.spawn("dropped", pending::<()>());
    });
    let failure = run(failure(&owner));
    let (task, end) = ("dropped", End::Dropped);
    assert_eq!(failure, Some(Failure { task, end }));
}

/// Guards against an injected panic that waits until the task is polled for another reason.
#[test]
fn injected_panic() {
    let failure = run(async {
        let owner = Owner::default();
        owner.spawn("injected", pending::<()>());
        yield_now().await;
        owner.inject_panic("injected");
        failure(&owner).await
    });
    assert_eq!(failure.map(|failure| failure.end), Some(End::Panicked));
}

/// Guards against a stop, or an aborted task, that is taken for a failure.
#[test]
fn expected_ends() {
    run(async {
        let owner = Owner::default();
        owner.spawn("aborted", pending::<()>()).abort();
        owner.spawn_job("done", async {}).await.unwrap();
        yield_now().await;
        assert!(owner.is_sound());
        owner.stop();
        owner.spawn("late", async {});
        yield_now().await;
        assert!(owner.is_sound());
    });
}

/// Guards against a job whose panic nobody sees, and against a panic in a part of one
/// request that ends the process.
#[test]
fn jobs_and_parts() {
    run(async {
        let owner = Owner::default();
        let part = owner.spawn_part("part", async { panic!("in a part") });
        part.await.unwrap();
        assert!(owner.is_sound());
        let job = owner.spawn_job("job", async { panic!("in a job") });
        job.await.unwrap();
        let failure = failure(&owner).await.unwrap();
        assert_eq!((failure.task, failure.end), ("job", End::Panicked));
    });
}

/// Guards against a second failure that hides the first, which is the cause.
#[test]
fn first_failure() {
    run(async {
        let owner = Owner::default();
        owner
            .spawn_job("first", async { panic!("one") })
            .await
            .unwrap();
        owner
            .spawn_job("second", async { panic!("two") })
            .await
            .unwrap();
        assert_eq!(failure(&owner).await.unwrap().task, "first");
    });
}

/// Guards against state that a part of a request leaves half changed, and that the process
/// goes on with.
#[test]
fn half_changed_state() {
    run(async {
        let owner = Owner::default();
        let scope = owner.scope("whole");
        drop(scope);
        let held = owner.clone();
        let part = owner.spawn_part("part", async move {
            let _scope = held.scope("half");
            panic!("in the middle");
        });
        part.await.unwrap();
        let failure = failure(&owner).await.unwrap();
        assert_eq!((failure.task, failure.end), ("half", End::Panicked));
    });
}
