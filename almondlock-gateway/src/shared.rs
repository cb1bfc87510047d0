//! State that the threads of a process share: the progress of a stop, the number of active
//! requests, and when refused callers should try again.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use almondlock_base::time::Mono;
use almondlock_telemetry::figures::Figures;

/// Time after the start within which a process may still lack a recent configuration
/// because all other processes started with it. The replicas that it follows may start
/// later than it does.
const COLD_START: Duration = Duration::from_millis(1_300);
/// Maximum random extension of a retry time, as a fraction, so that callers refused
/// together don't return together.
pub(crate) const RETRY_SPREAD_FRACTION: f64 = 0.5;
/// Retry time when another host will serve the caller, because this one is cut off.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(100);
/// Retry time when another host will serve the caller, because this one is stopping. The
/// others are ready, and the balancer has noticed the stop before requests are refused.
const RETRY_STOPPING: Duration = Duration::from_millis(10);

/// State that the threads of a process share.
#[derive(Debug)]
pub(crate) struct Shared {
    started: Mono,
    /// Whether a stop has begun: the host is not ready, but still accepts requests.
    pub(crate) stopping: AtomicBool,
    /// The readiness that the balancer was last told.
    pub(crate) ready: AtomicBool,
    /// Whether new streams are refused.
    pub(crate) refuses_streams: AtomicBool,
    /// Whether all new requests are refused.
    refuses_all: AtomicBool,
    /// Latest end of the stop, in microseconds of the clock. 0 if no stop has begun.
    stop_deadline: AtomicU64,
    /// Number of active requests.
    active: AtomicUsize,
    pub(crate) metrics: Figures,
}

/// Counts a request as active until it is dropped.
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

    /// Returns when a refused caller should try again. Shortly after a start, all hosts may
    /// have started together, and an early retry meets the same refusal. Later only this
    /// host is affected, and another one will serve.
    ///
    /// `drawn` is a random number from 0 to 1.
    pub(crate) fn retry_after(&self, now: Mono, drawn: f64) -> Duration {
        let left = match self.is_stopping() {
            true => RETRY_STOPPING,
            false => self.cold_start_left(now).max(RETRY_ELSEWHERE),
        };
        left.mul_f64(1.0 + drawn * RETRY_SPREAD_FRACTION)
    }

    /// Returns the time since the start.
    pub(crate) fn uptime(&self, now: Mono) -> Duration {
        now.since(self.started)
    }

    /// Returns how much of a cold start is left.
    pub(crate) fn cold_start_left(&self, now: Mono) -> Duration {
        COLD_START.saturating_sub(self.uptime(now))
    }

    /// Begins a stop that ends at `end` at the latest.
    pub(crate) fn begin_stop(&self, end: Mono) {
        self.stop_deadline.store(end.as_micros(), Ordering::Relaxed);
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Refuses all new requests from now on.
    pub(crate) fn close(&self) {
        self.refuses_all.store(true, Ordering::SeqCst);
    }

    /// Returns the number of active requests. Once closed, no further requests can begin.
    pub(crate) fn active(&self) -> usize {
        self.active.load(Ordering::SeqCst)
    }

    /// Returns whether a request with the deadline `until` may begin. The caller of this
    /// function counts the request as active before, so that a stop that closes meanwhile
    /// waits for it.
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

    /// Counts a request as active until the returned guard is dropped.
    pub(crate) fn count_active(self: &Arc<Shared>) -> Active {
        self.active.fetch_add(1, Ordering::SeqCst);
        Active(Arc::clone(self))
    }

    /// Returns whether a stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::SeqCst);
    }
}
