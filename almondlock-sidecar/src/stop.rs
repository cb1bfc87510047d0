//! Graceful shutdown of a sidecar process: running attempts may finish.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::time::{sleep, timeout};

/// How often a drain checks whether all attempts have finished.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Shutdown state shared by all sidecars of a process. Clones refer to the same
/// state.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    inner: Rc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    stopping: Cell<bool>,
    // Number of attempts that wait or run.
    active: Cell<u32>,
}

/// Counts an attempt as waiting or running until dropped.
#[derive(Debug)]
pub(crate) struct Guard(Stop);

impl Stop {
    /// Returns whether the process is stopping. New attempts are then refused
    /// as not run, and queued ones are returned to their entry hosts.
    pub fn is_stopping(&self) -> bool {
        self.inner.stopping.get()
    }

    /// Stops taking new attempts and waits until none is left, for `grace` at
    /// most. Returns the number of attempts that are left.
    pub async fn drain(&self, grace: Duration) -> u32 {
        self.inner.stopping.set(true);
        let drained = async {
            while self.inner.active.get() > 0 {
                sleep(POLL_INTERVAL).await;
            }
        };
        let _ = timeout(grace, drained).await;
        self.inner.active.get()
    }

    /// Counts an attempt until the guard is dropped.
    pub(crate) fn track_attempt(&self) -> Guard {
        self.inner.active.set(self.inner.active.get() + 1);
        Guard(self.clone())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let active = &self.0.inner.active;
        active.set(active.get().saturating_sub(1));
    }
}
