//! Parses published versions between requests.
//!
//! **Failure.** A host with 0.09 of a core parsed each version within the request that saw
//! it first: 1,300 routes took 0.3 s, in which nothing else happened, and during a series
//! of versions hosts did nothing else.

use std::{rc::Rc, sync::Arc, time::Duration};

use almondlock_base::time::Mono;
use almondlock_node::clock;
use almondlock_state::document::Document;
use tokio::task::yield_now;

use crate::{
    dialect::Dialect,
    reading::{Job, Pacer, Progress, Version},
    rules::{Error, Rules},
    worker::Worker,
};

/// Parses new versions as they are published, for as long as the process runs.
pub(crate) async fn run<D>(worker: Rc<Worker<D>>)
where
    D: Dialect,
{
    let mut revisions = worker.node.view().watch();
    loop {
        revisions.mark_unchanged();
        worker.snapshot();
        let job = worker.versions.borrow().job();
        match job {
            Some(job) => read_version(&worker, job).await,
            None if revisions.changed().await.is_err() => return,
            None => {}
        }
    }
}

/// Parses a version in slices. A version that is published meanwhile waits: if it replaced
/// this one, a quick series of versions would keep each of them from coming into force.
async fn read_version<D>(worker: &Worker<D>, mut job: Job)
where
    D: Dialect,
{
    let mut pace = Pacer::default();
    let mut is_told = false;
    let result = loop {
        let until = pace.begin(clock::mono());
        let progress = loop {
            let progress = job.reader.step(&worker.dialect);
            if matches!(progress, Progress::Done(_)) || clock::mono() >= until {
                break progress;
            }
        };
        let now = clock::mono();
        pace.end(now);
        let behind = worker.versions.borrow().overdue(now);
        if let Some(behind) = behind.filter(|_| !is_told) {
            is_told = true;
            tracing::warn!(
                version = job.reader.version(),
                behind_ms = behind.as_millis(),
                slices = pace.slices,
                "configuration not in force yet"
            );
        }
        if let Progress::Done(result) = progress {
            break result;
        }
        yield_now().await;
    };
    worker.finish_reading(&job, result, pace.slices);
    worker.refresh_config();
}

impl<D> Worker<D>
where
    D: Dialect,
{
    /// Returns the rules by which requests are served once `document` has been seen. The
    /// first document of a process is parsed at once, since there are no rules until then.
    pub(crate) fn rules_for(&self, document: &Document) -> Option<Arc<Rules>> {
        let job = {
            let mut current = self.versions.borrow_mut();
            current.observe(clock::mono(), &self.dialect, document);
            current.job().filter(|_| current.is_first())
        };
        if let Some(mut job) = job {
            let result = job.reader.finish(&self.dialect);
            self.finish_reading(&job, result, 1);
        }
        self.versions.borrow().rules()
    }

    /// Takes over a version that was parsed, or logs why it can't be.
    fn finish_reading(&self, job: &Job, result: Result<Version, Error>, slices: u32) {
        let now = clock::mono();
        let version = job.reader.version();
        match &result {
            Ok(read) => self.log_in_force(now, job, read, slices),
            // The publisher checked the text with the same code, so it comes from a newer
            // version of the software. The configuration in force stays.
            Err(error) => tracing::error!(version, %error, "configuration can't be read"),
        }
        let mut current = self.versions.borrow_mut();
        current.apply_result(now, &self.dialect, version, result);
    }

    fn log_in_force(&self, now: Mono, job: &Job, read: &Version, slices: u32) {
        let took: Duration = now.since(job.seen);
        let count = job.reader.count;
        tracing::info!(
            version = read.document.version,
            routes = read.rules.routes(),
            pieces_read = count.read,
            pieces_kept = count.kept,
            took_ms = took.as_millis(),
            slices,
            "configuration in force"
        );
        let metrics = &self.shared.metrics;
        metrics.add("configuration_pieces", "read", count.read as u64);
        metrics.add("configuration_pieces", "kept", count.kept as u64);
        let way = match read.outline.is_some() {
            true => "pieces",
            false => "whole",
        };
        metrics.time("configuration_change", way, took);
    }
}
