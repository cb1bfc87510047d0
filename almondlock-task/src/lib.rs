//! Owners of the tasks that a process can't do without.
//!
//! An executor keeps a panic to the task in which it happens. The rest of the process goes
//! on: it answers, looks well, and does only a part of its work. So each such task is
//! started by an [`Owner`], which sees how it ends:
//!
//! | started by | may return | a panic |
//! |---|---|---|
//! | [`Owner::spawn`] | no | ends the process |
//! | [`Owner::spawn_job`] | yes | ends the process |
//! | [`Owner::spawn_part`], [`guard`] | yes | ends what the task served: a request, a session |
//!
//! A panic may leave the tables of its thread half changed. Nobody can tell which, so the
//! process ends instead of starting the task again; its supervisor starts it with new state.
//! A part of one request is the exception: if a caller's request could end the process,
//! callers could end all of them. State that must stay whole even then is changed within an
//! [`Owner::scope`], which ends the process if a panic leaves it.
//!
//! Every panic is logged as one line with the task's name ([`log_panics`]) and counted by
//! that name ([`panics`], [`figures`]).
//!
//! ```
//! use almondlock_task::{End, Owner};
//!
//! # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
//! # tokio::task::LocalSet::new().run_until(async {
//! let owner = Owner::default();
//! owner.spawn("renewals", async { /* returns, which it never should */ });
//! let failure = owner.failed().await;
//! assert_eq!((failure.task, failure.end), ("renewals", End::Returned));
//! # }).await });
//! ```

#![warn(clippy::unwrap_used, clippy::expect_used)]

mod guard;
mod owner;

pub use guard::{Panicked, Panics, figures, guard, log_panics, panics};
pub use owner::{End, Failure, Owner, Scope, Task};
