//! Stopping a sidecar process without cutting off what runs.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::time::{sleep, timeout};

/// How often the end of what runs is looked for.
const PAUSE: Duration = Duration::from_millis(20);

/// Shared by all sidecars of a process. Clones are the same one.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    inner: Rc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    stopping: Cell<bool>,
    // Attempts that wait or run.
    busy: Cell<u32>,
}

/// An attempt that waits or runs.
#[derive(Debug)]
pub(crate) struct Busy(Stop);

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
            while self.inner.busy.get() > 0 {
                sleep(PAUSE).await;
            }
        };
        let _ = timeout(grace, drained).await;
        self.inner.busy.get()
    }

    pub(crate) fn begin(&self) -> Busy {
        self.inner.busy.set(self.inner.busy.get() + 1);
        Busy(self.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let busy = &self.0.inner.busy;
        busy.set(busy.get().saturating_sub(1));
    }
}
