//! The thread that writes and syncs.
//!
//! It takes all writes that wait, puts them on disk with one sync, and reports
//! the last one's number. After an error it reports that and ends.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
};

use almondlock_quorum::{
    error::Error,
    member::Members,
    storage::{Loaded, Store, Write, disk::Disk},
};
use tokio::sync::mpsc as reports;

enum Job {
    Write(Write),
    Found(Members),
}

/// What the thread reports.
pub(super) enum Report {
    /// All writes up to this one are on disk.
    Synced(u64),
    /// The group's first members are on disk.
    Founded(Loaded),
    /// The disk failed; the thread has ended.
    Failed(Error),
}

/// The thread, as the core sees it. It ends when this is dropped.
pub(super) struct Thread {
    // The thread ends when this goes.
    jobs: mpsc::Sender<Job>,
    syncs: Arc<AtomicU64>,
}

impl Thread {
    pub(super) fn start<D>(
        store: Store<D>,
    ) -> io::Result<(Thread, reports::UnboundedReceiver<Report>)>
    where
        D: Disk + Send + 'static,
        D::File: Send,
    {
        let (jobs, inbox) = mpsc::channel();
        // Bounded by the log's own limit on entries that wait for a quorum.
        let (sender, receiver) = reports::unbounded_channel();
        let syncs = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&syncs);
        thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || run(store, &inbox, &sender, &count))?;
        Ok((Thread { jobs, syncs }, receiver))
    }

    pub(super) fn write(&self, write: Write) {
        // It has ended only after it reported why.
        let _ = self.jobs.send(Job::Write(write));
    }

    pub(super) fn found(&self, members: Members) {
        let _ = self.jobs.send(Job::Found(members));
    }

    pub(super) fn syncs(&self) -> u64 {
        self.syncs.load(Ordering::Relaxed)
    }
}

fn run<D>(
    mut store: Store<D>,
    inbox: &mpsc::Receiver<Job>,
    reports: &reports::UnboundedSender<Report>,
    syncs: &AtomicU64,
) where
    D: Disk,
{
    while let Ok(job) = inbox.recv() {
        let jobs = std::iter::once(job).chain(inbox.try_iter());
        let result = batch(&mut store, jobs, reports);
        syncs.store(store.syncs(), Ordering::Relaxed);
        if let Err(error) = result {
            let _ = reports.send(Report::Failed(error));
            return;
        }
    }
}

/// Carries out jobs with one sync.
fn batch<D, I>(
    store: &mut Store<D>,
    jobs: I,
    reports: &reports::UnboundedSender<Report>,
) -> Result<(), Error>
where
    D: Disk,
    I: Iterator<Item = Job>,
{
    let mut last = None;
    for job in jobs {
        match job {
            Job::Write(write) => {
                store.write(&write)?;
                last = Some(write.sequence);
            }
            Job::Found(members) => {
                let _ = reports.send(Report::Founded(store.initialize(members)?));
            }
        }
    }
    if let Some(last) = last {
        store.sync()?;
        let _ = reports.send(Report::Synced(last));
    }
    Ok(())
}
