//! Sends a whole workload to one system.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use tokio::{
    sync::{Notify, Semaphore},
    time::Instant,
};

use crate::{
    record::{End, Outcome, Record},
    router::Router,
    send::{self, Manner},
    workload::Request,
};

/// Requests in flight at most, so that a system that stands still can't use up
/// this tool's memory. Whoever waits for a place has its time counted.
const IN_FLIGHT: usize = 2_000;

/// How often a least-loaded router asks for reports, in the system's time.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A system and how to reach it.
#[derive(Debug)]
pub struct Drive {
    /// Chooses the address.
    pub router: Router,
    /// Who sends, and how.
    pub manner: Manner,
    /// Real time that answers get after the last request was sent.
    pub drain: Duration,
}

/// How far a run has come.
#[derive(Debug)]
struct Progress {
    requests: Arc<[Request]>,
    start: Instant,
    factor: f64,
    record: RefCell<Record>,
    /// When each request's first token came.
    firsts: Vec<Cell<Option<Instant>>>,
    /// Whether each request's outcome is in the record.
    ended: RefCell<Vec<bool>>,
    left: Cell<usize>,
    done: Notify,
}

impl Drive {
    /// Sends all requests, each at its moment, and waits for the answers.
    ///
    /// Must run on an ntex runtime.
    pub async fn run(self, requests: Arc<[Request]>) -> Record {
        let client = Rc::new(send::client());
        let Drive {
            mut router,
            manner,
            drain,
        } = self;
        router.poll(&client, POLL_INTERVAL.div_f64(manner.factor));
        let manner = Rc::new(manner);
        let places = Arc::new(Semaphore::new(IN_FLIGHT));
        let start = Instant::now();
        let progress = Rc::new(Progress::new(requests, start, manner.factor));
        for index in 0..progress.requests.len() {
            let due = progress.due(index);
            tokio::time::sleep_until(due).await;
            let Ok(place) = places.clone().acquire_owned().await else {
                break;
            };
            let Some(target) = router.choose() else { break };
            let (client, manner) = (Rc::clone(&client), Rc::clone(&manner));
            let progress = progress.clone();
            ntex::rt::spawn(async move {
                let request = &progress.requests[index];
                let first = &progress.firsts[index];
                let outcome = send::send(&client, target, request, &manner, due, first).await;
                drop(place);
                progress.end(index, &outcome);
            });
        }
        // Whatever is left then is counted as unfinished.
        let _ = tokio::time::timeout(drain, progress.all()).await;
        progress.close()
    }
}

impl Progress {
    fn new(requests: Arc<[Request]>, start: Instant, factor: f64) -> Progress {
        Progress {
            start,
            factor,
            record: RefCell::default(),
            firsts: vec![Cell::new(None); requests.len()],
            ended: RefCell::new(vec![false; requests.len()]),
            left: Cell::new(requests.len()),
            done: Notify::new(),
            requests,
        }
    }

    /// When a request is meant to be sent.
    fn due(&self, index: usize) -> Instant {
        self.start + self.requests[index].at.div_f64(self.factor)
    }

    fn end(&self, index: usize, outcome: &Outcome) {
        if !std::mem::replace(&mut self.ended.borrow_mut()[index], true) {
            self.record.borrow_mut().add(outcome);
            self.left.set(self.left.get() - 1);
            self.done.notify_one();
        }
    }

    async fn all(&self) {
        while self.left.get() > 0 {
            self.done.notified().await;
        }
    }

    /// Counts what hasn't ended. A request that still waits for its first token
    /// has waited until now at least; to leave it out would flatter a system for
    /// being slow.
    fn close(&self) -> Record {
        let now = Instant::now();
        for (index, request) in self.requests.iter().enumerate() {
            let first = self.firsts[index].get().unwrap_or(now);
            let waited = first - self.due(index);
            let outcome = Outcome {
                class: request.class(),
                end: End::Unfinished,
                first: Some(waited.mul_f64(self.factor)),
                total: Duration::ZERO,
                gaps: Vec::new(),
            };
            self.end(index, &outcome);
        }
        self.record.take()
    }
}
