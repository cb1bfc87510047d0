//! Tracks which version is in force, which one is being read, and the rules for requests
//! meanwhile.

use std::{sync::Arc, time::Duration};

use almondlock_base::time::Mono;
use almondlock_state::document::Document;

use super::{Reader, Version, keys, without_revoked};
use crate::{
    dialect::{Dialect, Outline},
    rules::{Error, Rules},
};

/// A version that waits for longer than this is overdue. This is less than half of the time
/// within which it has to be in force.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The versions that a host knows.
#[derive(Debug, Default)]
pub struct Current {
    /// The version in force.
    held: Option<Arc<Version>>,
    /// The newest version, unless it is in force. A version is not read any more once a
    /// newer one is seen.
    newest: Option<Newest>,
    /// When the first of the versions that wait was seen.
    waiting_since: Option<Mono>,
}

/// A version that was seen and isn't in force.
#[derive(Debug)]
struct Newest {
    document: Document,
    outline: Option<Outline>,
    seen: Mono,
    /// Rules for requests until it is in force: those of the version in force without the
    /// keys that this one revokes.
    rules: Option<Arc<Rules>>,
    /// Its keys, if they differ from those in force, or those of an earlier version if its
    /// own can't be read.
    keys: Option<Rules>,
    is_unreadable: bool,
}

impl Newest {
    /// Reads its keys, given the version in force. If they can't be read, those of the
    /// version seen before it count, so that keys which that one revokes stay revoked.
    fn read_keys<D>(&mut self, dialect: &D, held: Option<&Arc<Version>>, earlier: Option<Rules>)
    where
        D: Dialect,
    {
        let Some(held) = held else {
            return;
        };
        let keys = keys(dialect, held, &self.document, self.outline.as_ref());
        self.keys = keys.unwrap_or(earlier);
        let left = self.keys.as_ref();
        let left = left.and_then(|next| without_revoked(held, next));
        self.rules = Some(left.map_or_else(|| Arc::clone(&held.rules), Arc::new));
    }
}

/// A version to read.
#[derive(Debug)]
pub struct Job {
    /// Reads the version.
    pub reader: Reader,
    /// When the version was seen.
    pub seen: Mono,
}

impl Current {
    /// Takes in a published document. Keys that it revokes are refused from now on.
    pub fn observe<D>(&mut self, now: Mono, dialect: &D, document: &Document)
    where
        D: Dialect,
    {
        let held = self.held.as_ref().map(|held| held.document.version);
        let newest = self.newest.as_ref().map(|newest| newest.document.version);
        if newest.or(held) == Some(document.version) {
            return;
        }
        self.waiting_since.get_or_insert(now);
        let mut newest = Newest {
            document: document.clone(),
            outline: dialect.parse_outline(&document.pieces),
            seen: now,
            rules: None,
            keys: None,
            is_unreadable: false,
        };
        let earlier = self.newest.take().and_then(|earlier| earlier.keys);
        newest.read_keys(dialect, self.held.as_ref(), earlier);
        self.newest = Some(newest);
    }

    /// Returns whether a version was seen that isn't in force yet. It may have a route that
    /// the one in force lacks.
    pub fn is_waiting(&self) -> bool {
        self.waiting().is_some()
    }

    /// Returns whether a version that isn't in force yet has this key.
    pub fn awaits_key(&self, key: &str) -> bool {
        let keys = self.waiting().and_then(|newest| newest.keys.as_ref());
        keys.is_some_and(|keys| keys.organisation(key).is_some())
    }

    fn waiting(&self) -> Option<&Newest> {
        self.newest.as_ref().filter(|newest| !newest.is_unreadable)
    }

    /// Returns the rules for requests.
    pub fn rules(&self) -> Option<Arc<Rules>> {
        match &self.newest {
            Some(newest) => newest.rules.clone(),
            None => self.held.as_ref().map(|held| Arc::clone(&held.rules)),
        }
    }

    /// Returns whether no version was read yet.
    pub fn is_first(&self) -> bool {
        self.held.is_none()
    }

    /// Returns the newest version, if it has to be read.
    pub fn job(&self) -> Option<Job> {
        self.waiting().map(|newest| Job {
            reader: Reader::new(
                self.held.clone(),
                newest.document.clone(),
                newest.outline.clone(),
            ),
            seen: newest.seen,
        })
    }

    /// Puts a version that was read in force. If it couldn't be read, the one in force
    /// stays, without the keys that the unreadable one revokes.
    pub fn apply_result<D>(
        &mut self,
        now: Mono,
        dialect: &D,
        version: u64,
        result: Result<Version, Error>,
    ) where
        D: Dialect,
    {
        let is_newest = |newest: &Newest| newest.document.version == version;
        let newest = self.newest.take();
        self.waiting_since = newest
            .as_ref()
            .filter(|newest| !is_newest(newest))
            .map(|newest| newest.seen.min(now));
        match result {
            Ok(read) => {
                self.held = Some(Arc::new(read));
                self.newest = newest.filter(|newest| !is_newest(newest));
                if let Some(newest) = &mut self.newest {
                    let earlier = newest.keys.take();
                    newest.read_keys(dialect, self.held.as_ref(), earlier);
                }
            }
            Err(_) => {
                self.newest = newest.map(|newest| Newest {
                    is_unreadable: newest.is_unreadable || is_newest(&newest),
                    ..newest
                });
            }
        }
    }

    /// Returns for how long versions have waited, if that is too long.
    pub fn overdue(&self, now: Mono) -> Option<Duration> {
        let waited = now.since(self.waiting_since?);
        (waited > MAX_WAIT).then_some(waited)
    }
}
