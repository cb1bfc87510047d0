//! Owners of tasks.

use std::{
    convert::Infallible,
    fmt,
    future::{Future, pending},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use tokio::{
    sync::watch,
    task::{JoinHandle, spawn_local},
};

use crate::guard::{Panicked, guard};

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It panicked.
    Panicked,
    /// It returned.
    Returned,
    /// It was dropped, with its thread or executor.
    Dropped,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            End::Panicked => "panicked",
            End::Returned => "returned",
            End::Dropped => "was dropped",
        })
    }
}

/// A task ended that the process can't do without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the task {task} {end}")]
pub struct Failure {
    /// Name of the task.
    pub task: &'static str,
    /// How it ended.
    pub end: End,
}

/// Sees the end of each task that it has started. Clones are the same owner, on any thread.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    /// The first task that ended although the process needs it.
    failure: watch::Sender<Option<Failure>>,
    /// Whether the process is stopping, so that every task may end.
    is_stopping: AtomicBool,
    /// Name of the tasks that are made to panic.
    fault: watch::Sender<Option<&'static str>>,
}

impl Owner {
    /// Starts a task that runs for as long as the process does. Any end of it is a failure,
    /// except after [`stop`](Owner::stop) or [`Task::abort`]. Must be called on a thread
    /// with a local executor.
    pub fn spawn<F>(&self, task: &'static str, future: F) -> Task
    where
        F: Future + 'static,
    {
        let watch = Watch {
            owner: self.clone(),
            task,
            is_released: Arc::default(),
        };
        let is_released = Arc::clone(&watch.is_released);
        let handle = spawn_local(async move {
            let end = match watch.owner.guard(task, future).await {
                Ok(_) => End::Returned,
                Err(Panicked { .. }) => End::Panicked,
            };
            watch.end(end);
        });
        Task {
            handle,
            is_released,
        }
    }

    /// Starts a task that ends by itself. Only a panic is a failure.
    pub fn spawn_job<F>(&self, task: &'static str, future: F) -> JoinHandle<()>
    where
        F: Future<Output = ()> + 'static,
    {
        let owner = self.clone();
        spawn_local(async move {
            if owner.guard(task, future).await.is_err() {
                owner.fail(task, End::Panicked);
            }
        })
    }

    /// Starts a task that serves one request or session. A panic ends the task alone;
    /// whoever waits for the task must be told by what it drops.
    pub fn spawn_part<F>(&self, task: &'static str, future: F) -> JoinHandle<()>
    where
        F: Future<Output = ()> + 'static,
    {
        let owner = self.clone();
        spawn_local(async move {
            // Logged and counted where it was caught.
            let _ = owner.guard(task, future).await;
        })
    }

    /// Runs a future as [`guard`] does. [`inject_panic`](Owner::inject_panic) applies to it.
    pub async fn guard<F>(&self, task: &'static str, future: F) -> Result<F::Output, Panicked>
    where
        F: Future,
    {
        let mut faults = self.shared.fault.subscribe();
        let fault = async move {
            while faults.changed().await.is_ok() {
                let is_meant = *faults.borrow_and_update() == Some(task);
                assert!(!is_meant, "injected into the task {task}");
            }
            pending::<Infallible>().await
        };
        let work = async {
            tokio::select! {
                biased;
                never = fault => match never {},
                output = future => output,
            }
        };
        guard(task, work).await
    }

    /// Returns whether every task that must run still runs.
    pub fn is_sound(&self) -> bool {
        self.shared.failure.borrow().is_none()
    }

    /// Waits until a task has ended that the process can't do without.
    pub async fn failed(&self) -> Failure {
        let mut failures = self.shared.failure.subscribe();
        let failure = failures.wait_for(Option::is_some).await;
        let failure = failure.ok().and_then(|failure| *failure);
        match failure {
            Some(failure) => failure,
            // Not reached: `self` holds the sender.
            None => pending().await,
        }
    }

    /// Lets every task end from now on, since the process is stopping.
    pub fn stop(&self) {
        self.shared.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Makes the tasks and guarded futures of this name panic that are waiting now, to test
    /// what follows.
    pub fn inject_panic(&self, task: &'static str) {
        self.shared.fault.send_replace(Some(task));
    }

    /// Returns a scope in which state is changed that must stay whole. Left by a panic, it
    /// is a failure like the end of a task, whichever task the panic ends.
    pub fn scope(&self, state: &'static str) -> Scope {
        Scope {
            owner: self.clone(),
            state,
        }
    }

    fn fail(&self, task: &'static str, end: End) {
        if self.shared.is_stopping.load(Ordering::Relaxed) {
            return;
        }
        let failure = Failure { task, end };
        tracing::error!(task, %end, "a task ended that the process can't do without");
        self.shared.failure.send_if_modified(|first| {
            let is_first = first.is_none();
            first.get_or_insert(failure);
            is_first
        });
    }
}

/// A task that an [`Owner`] has started. Dropping this leaves the task running.
#[derive(Debug)]
pub struct Task {
    handle: JoinHandle<()>,
    is_released: Arc<AtomicBool>,
}

impl Task {
    /// Ends the task, which is no failure.
    pub fn abort(&self) {
        self.is_released.store(true, Ordering::Relaxed);
        self.handle.abort();
    }
}

/// A scope in which state is changed that must stay whole.
#[derive(Debug)]
pub struct Scope {
    owner: Owner,
    state: &'static str,
}

impl Drop for Scope {
    fn drop(&mut self) {
        if thread::panicking() {
            self.owner.fail(self.state, End::Panicked);
        }
    }
}

/// Tells the owner when its task is dropped before its end.
#[derive(Debug)]
struct Watch {
    owner: Owner,
    task: &'static str,
    /// Whether the task may end.
    is_released: Arc<AtomicBool>,
}

impl Watch {
    fn end(self, end: End) {
        if !self.is_released.swap(true, Ordering::Relaxed) {
            self.owner.fail(self.task, end);
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.is_released.swap(true, Ordering::Relaxed) {
            self.owner.fail(self.task, End::Dropped);
        }
    }
}
