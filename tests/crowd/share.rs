//! A process that runs for a part of the time only, as on a host with a part of a core.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};

/// The process runs once in this time.
const PERIOD: Duration = Duration::from_millis(50);

/// Suspends a process for the rest of each period, until it is dropped.
pub struct Share {
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Share {
    /// Lets a process run for this fraction of the time.
    pub fn begin(id: u32, fraction: f64) -> Share {
        let over = Arc::new(AtomicBool::new(false));
        let told = Arc::clone(&over);
        let id = Pid::from_raw(i32::try_from(id).unwrap()).unwrap();
        let runs = PERIOD.mul_f64(fraction);
        let thread = std::thread::spawn(move || {
            while !told.load(Ordering::Relaxed) {
                // The process may have ended.
                let _ = kill_process(id, Signal::STOP);
                std::thread::sleep(PERIOD - runs);
                let _ = kill_process(id, Signal::CONT);
                std::thread::sleep(runs);
            }
        });
        Share {
            over,
            thread: Some(thread),
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
