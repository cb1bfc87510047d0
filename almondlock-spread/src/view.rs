//! The configuration in force in this process, shared by its threads.
//!
//! Readers take an `Arc` and keep it for as long as one decision lasts, so a
//! decision never sees two revisions. The view only moves forward: a change
//! that doesn't make the next revision, or a whole configuration that is not
//! newer, is refused, because a process that acted on revision 7 must never
//! act on 6 again in the same life.
//!
//! It also keeps the last changes for those below in the tree, and wakes
//! whoever waits for a newer revision.

use std::sync::{Arc, PoisonError, RwLock};

use almondlock_base::unit::Revision;
use almondlock_state::config::{Change, Config};
use tokio::sync::watch;

use crate::ring::Ring;

/// A shared handle; clones show the same configuration.
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
    /// An empty configuration at revision zero.
    pub fn new() -> View {
        View::default()
    }

    /// The configuration in force.
    pub fn get(&self) -> Arc<Config> {
        let guard = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&guard.config)
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        *self.revision.borrow()
    }

    /// Tells of each newer revision.
    pub fn watch(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Applies changes of which the first makes revision `first`. Those already
    /// applied are passed over. Returns false, having done nothing, when there
    /// is a gap before the first one, and, having applied those before it, when one is a
    /// delta of another text than the one held here: the whole configuration is needed.
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
                    // Can't be written, so it can't travel: who needs it is
                    // given the whole configuration.
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

    /// Puts a whole configuration in force, if it is newer. What its published text has
    /// in common with the one before stays shared.
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

    /// Looks at the last changes.
    pub fn with_ring<F, T>(&self, look: F) -> T
    where
        F: FnOnce(&Ring) -> T,
    {
        let guard = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        look(&guard.ring)
    }
}
