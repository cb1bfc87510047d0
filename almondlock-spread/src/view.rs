//! The configuration in force in this process, shared by its threads.
//!
//! Readers take an `Arc` and keep it for as long as one decision lasts, so a
//! decision never sees two revisions. The view only moves forward: a change
//! that doesn't make the next revision, or a whole configuration that is not
//! newer, is refused, because a process that acted on revision 7 must never
//! act on 6 again in the same life.

use std::sync::{Arc, PoisonError, RwLock};

use almondlock_base::unit::Revision;
use almondlock_state::config::{Change, Config};

/// A shared handle; clones show the same configuration.
#[derive(Clone, Debug, Default)]
pub struct View {
    // Invariant: the revision inside never goes down.
    inner: Arc<RwLock<Arc<Config>>>,
}

impl View {
    /// An empty configuration at revision zero.
    pub fn new() -> View {
        View::default()
    }

    /// The configuration in force.
    pub fn get(&self) -> Arc<Config> {
        let guard = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&guard)
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.get().revision
    }

    /// Applies changes of which the first makes revision `first`. Those already
    /// applied are passed over. Returns false, having done nothing, when there
    /// is a gap before the first one.
    pub fn extend<I>(&self, first: Revision, changes: I) -> bool
    where
        I: IntoIterator<Item = Change>,
    {
        let mut guard = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        if first > guard.revision.next() {
            return false;
        }
        let skip = guard.revision.next().0 - first.0;
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let mut changes = changes.into_iter().skip(skip).peekable();
        if changes.peek().is_some() {
            let config = Arc::make_mut(&mut guard);
            changes.for_each(|change| config.apply(change));
        }
        true
    }

    /// Puts a whole configuration in force, if it is newer.
    pub fn replace(&self, config: Config) -> bool {
        let mut guard = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        let newer = config.revision > guard.revision;
        if newer {
            *guard = Arc::new(config);
        }
        newer
    }
}
