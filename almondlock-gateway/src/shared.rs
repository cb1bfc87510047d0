//! What the threads of a process share: how far a stop has come, what is under way, and when
//! callers that are refused come back.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use almondlock_base::time::Mono;
use almondlock_telemetry::figures::Figures;

/// After a start, how long a process may take to learn a recent configuration when all
/// others started with it. Replicas that it is told of may start later than it does.
const COLD_START: Duration = Duration::from_millis(1_300);
/// Callers that were refused together come back spread over this much more.
pub(crate) const RETRY_SPREAD_FRACTION: f64 = 0.5;
/// When to come back to another host, because this one is cut off.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(100);
/// When to come back to another host, because this one stops. The others are ready, and
/// the balancer has noticed the stop before requests are refused.
const RETRY_STOPPING: Duration = Duration::from_millis(10);

/// What the threads of a process share.
#[derive(Debug)]
pub(crate) struct Shared {
    started: Mono,
    /// Told to stop: not ready, but requests that come are still taken.
    pub(crate) stopping: AtomicBool,
    /// What the balancer was last told.
    pub(crate) ready: AtomicBool,
    /// No stream is begun any more.
    pub(crate) refuses_streams: AtomicBool,
    /// Nothing is begun any more.
    refuses_all: AtomicBool,
    /// When the stop ends at the latest, in microseconds of the clock. Zero: no stop has
    /// begun.
    stop_deadline: AtomicU64,
    active: AtomicUsize,
    pub(crate) metrics: Figures,
}

/// Counts a request as long as it is under way.
pub(crate) struct Active(Arc<Shared>);

impl Shared {
    pub(crate) fn new(now: Mono) -> Shared {
        Shared {
            started: now,
            stopping: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            refuses_streams: AtomicBool::new(false),
            refuses_all: AtomicBool::new(false),
            stop_deadline: AtomicU64::new(0),
            active: AtomicUsize::new(0),
            metrics: Figures::default(),
        }
    }

    /// When a caller that is refused should come back. Shortly after a start
    /// all hosts may have started together, and coming back early meets the
    /// same refusal; later it is this host alone, and another one will serve.
    ///
    /// `drawn` is a number from 0 to 1 that spreads returns.
    pub(crate) fn retry_after(&self, now: Mono, drawn: f64) -> Duration {
        let left = match self.is_stopping() {
            true => RETRY_STOPPING,
            false => self.cold_start_left(now).max(RETRY_ELSEWHERE),
        };
        left.mul_f64(1.0 + drawn * RETRY_SPREAD_FRACTION)
    }

    /// The time since the start.
    pub(crate) fn uptime(&self, now: Mono) -> Duration {
        now.since(self.started)
    }

    /// How much of a cold start is left.
    pub(crate) fn cold_start_left(&self, now: Mono) -> Duration {
        COLD_START.saturating_sub(self.uptime(now))
    }

    /// A stop has begun and ends at `end` at the latest.
    pub(crate) fn begin_stop(&self, end: Mono) {
        self.stop_deadline.store(end.as_micros(), Ordering::Relaxed);
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// From now on nothing is begun.
    pub(crate) fn close(&self) {
        self.refuses_all.store(true, Ordering::SeqCst);
    }

    /// How many requests are under way. Once closed, those that are counted here are all
    /// that there will be.
    pub(crate) fn active(&self) -> usize {
        self.active.load(Ordering::SeqCst)
    }

    /// Whether a request may be begun that is over at `until`. Whoever asks is counted as
    /// active before, so that a stop that closes meanwhile waits for it.
    ///
    /// **Failure.** A call that may not be repeated is handed to an upstream and cut off
    /// with the process: its caller can't know whether it ran.
    pub(crate) fn may_begin(&self, is_stream: bool, until: Mono) -> bool {
        if self.refuses_all.load(Ordering::SeqCst) {
            return false;
        }
        match self.stop_deadline.load(Ordering::Relaxed) {
            0 => true,
            _ if is_stream => !self.refuses_streams.load(Ordering::Relaxed),
            ends => until <= Mono::from_micros(ends),
        }
    }

    pub(crate) fn count_active(self: &Arc<Shared>) -> Active {
        self.active.fetch_add(1, Ordering::SeqCst);
        Active(Arc::clone(self))
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::SeqCst);
    }
}
