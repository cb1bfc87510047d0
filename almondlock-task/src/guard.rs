//! Panics: kept to the task in which they happen, logged and counted by its name.

use std::{
    any::Any,
    backtrace::{Backtrace, BacktraceStatus},
    collections::BTreeMap,
    fmt::Write,
    future::Future,
    panic::{self, AssertUnwindSafe, PanicHookInfo},
    sync::LazyLock,
    thread,
};

use futures::FutureExt;
use tokio::{sync::watch, task_local};

/// Number of panics by the task's name.
pub type Panics = BTreeMap<&'static str, u64>;

static PANICS: LazyLock<watch::Sender<Panics>> = LazyLock::new(watch::Sender::default);

task_local! {
    /// Name of the task that is being polled.
    static NAME: &'static str;
}

/// The future that was guarded has panicked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the task {task} panicked")]
pub struct Panicked {
    /// Name of the task.
    pub task: &'static str,
}

/// Runs a future under a name. A panic is counted and ends the future, not its task; what
/// the future held has been dropped by then.
///
/// The caller must not use tables that the future may have left half changed, or must know
/// that it changes each of them in one step.
pub async fn guard<F>(task: &'static str, future: F) -> Result<F::Output, Panicked>
where
    F: Future,
{
    let named = NAME.scope(task, future);
    AssertUnwindSafe(named).catch_unwind().await.map_err(|_| {
        PANICS.send_modify(|panics| *panics.entry(task).or_default() += 1);
        Panicked { task }
    })
}

/// Returns the number of panics of each task that has panicked in this process. The
/// receiver is told of each further one.
pub fn panics() -> watch::Receiver<Panics> {
    PANICS.subscribe()
}

/// Returns the numbers of panics as lines of metrics, `task_panics{NAME} COUNT`. Empty
/// without panics.
pub fn figures() -> String {
    let mut text = String::new();
    for (task, count) in PANICS.borrow().iter() {
        // Writing to a string doesn't fail.
        let _ = writeln!(text, "task_panics{{{task}}} {count}");
    }
    text
}

/// Logs each panic of the process as one structured line, in place of the text that the
/// runtime writes to standard error.
pub fn log_panics() {
    panic::set_hook(Box::new(log_panic));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let thread = thread::current();
    let thread = thread.name().unwrap_or("unnamed");
    let task = NAME.try_with(|name| *name).unwrap_or(thread);
    let place = info.location().map(ToString::to_string);
    let message = message(info.payload());
    let backtrace = Backtrace::capture();
    let is_captured = backtrace.status() == BacktraceStatus::Captured;
    let backtrace = is_captured.then(|| backtrace.to_string());
    tracing::error!(task, thread, place, message, backtrace, "panic");
}

/// Returns the text that a panic was started with.
fn message(payload: &dyn Any) -> &str {
    let fixed = payload.downcast_ref::<&str>().copied();
    let formatted = payload.downcast_ref::<String>().map(String::as_str);
    fixed.or(formatted).unwrap_or("no message")
}
