//! Stopping a sidecar process without cutting off what runs.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::time::{sleep, timeout};

/// How often the end of what runs is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Shared by all sidecars of a process. Clones are the same one.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    inner: Rc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    stopping: Cell<bool>,
    // Attempts that wait or run.
    active: Cell<u32>,
}

/// An attempt that waits or runs.
#[derive(Debug)]
pub(crate) struct Guard(Stop);

impl Stop {
    /// Whether the process is stopping: new work is refused as not run, and
    /// what waits is given back.
    pub fn is_stopping(&self) -> bool {
        self.inner.stopping.get()
    }

    /// Takes no new work from now on, and waits until nothing runs any more, for
    /// this long at most. Gives how many attempts are left.
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
