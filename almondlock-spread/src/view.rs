//! The configuration in force in this process, shared between its threads.
//!
//! Readers keep the same `Arc` during one decision, so a decision never sees two
//! revisions. The revision never decreases: a change that doesn't make the next
//! revision, or a whole configuration that is not newer, is refused, because a
//! process that acted on revision 7 must never act on revision 6 again before it
//! restarts.
//!
//! The view also keeps the last changes for the processes that fetch from this
//! one, and wakes tasks that wait for a newer revision.

use std::sync::{Arc, PoisonError, RwLock};

use almondlock_base::unit::Revision;
use almondlock_state::config::{Change, Config};
use tokio::sync::watch;

use crate::ring::Ring;

/// A shared handle to the configuration; all clones refer to the same one.
#[derive(Clone, Debug, Default)]
pub struct View {
    // Invariant: the revision inside never goes down.
    inner: Arc<RwLock<Inner>>,
    // Invariant: changed only while `inner` is locked, so it is never behind.
    revision: Arc<watch::Sender<Revision>>,
}

#[derive(Debug, Default)]
struct Inner {
    config: Arc<Config>,
    // Invariant: its newest revision is the configuration's.
    ring: Ring,
}

impl View {
    /// Creates a view of an empty configuration at revision zero.
    pub fn new() -> View {
        View::default()
    }

    /// Returns the configuration in force.
    pub fn get(&self) -> Arc<Config> {
        let guard = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&guard.config)
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        *self.revision.borrow()
    }

    /// Returns a receiver that is notified of newer revisions.
    pub fn watch(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Applies changes, the first of which makes revision `first`, and skips those that
    /// are already applied. Returns false if the whole configuration is needed: either
    /// there is a gap before the first change, and nothing is applied, or a change is a
    /// delta to another text than the one held here, and only those before it are applied.
    pub fn extend<I>(&self, first: Revision, changes: I) -> bool
    where
        I: IntoIterator<Item = Change>,
    {
        let mut guard = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        let next = guard.config.revision.next();
        if first > next {
            return false;
        }
        let skip = usize::try_from(next.0 - first.0).unwrap_or(usize::MAX);
        let mut changes = changes.into_iter().skip(skip).peekable();
        if changes.peek().is_some() {
            let Inner { config, ring } = &mut *guard;
            let config = Arc::make_mut(config);
            let mut applied = true;
            for change in changes {
                let written = serde_json::to_vec(&change);
                applied = config.apply(change).is_ok();
                if !applied {
                    break;
                }
                match written {
                    Ok(text) => ring.push(&text),
                    // A change that can't be serialized can't be sent: a process that
                    // needs it is sent the whole configuration.
                    Err(_) => ring.reset(config.revision),
                }
            }
            if config.revision >= next {
                self.revision.send_replace(config.revision);
            }
            return applied;
        }
        true
    }

    /// Puts a whole configuration in force if it is newer, and returns whether it was.
    /// Pieces that its published text has in common with the one before stay shared.
    pub fn replace(&self, mut config: Config) -> bool {
        let mut guard = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        let newer = config.revision > guard.config.revision;
        if newer {
            if let Some(held) = &guard.config.document {
                config.document = config.document.map(|document| document.share_pieces(held));
            }
            guard.ring.reset(config.revision);
            guard.config = Arc::new(config);
            self.revision.send_replace(guard.config.revision);
        }
        newer
    }

    /// Calls `look` with the last changes, under the read lock, and returns its result.
    pub fn with_ring<F, T>(&self, look: F) -> T
    where
        F: FnOnce(&Ring) -> T,
    {
        let guard = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        look(&guard.ring)
    }
}
