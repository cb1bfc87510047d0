//! A bound on the connections that callers hold open.
//!
//! When all places are taken, a connection gives its place to a new one: first one whose
//! request has been arriving for longer than [`Config::grace`], or that has not sent one for
//! as long, or whose answer hasn't been read for as long, or that sends requests ahead; then
//! the one that has been unused for longest. A connection whose request is
//! being served is never closed for another one.
//!
//! A new connection is admitted even if all others are new as well. Otherwise a crowd that
//! connects again and again would keep everybody else out; so an ordinary caller has as much
//! time to send its request as the crowd needs to take all places anew.
//!
//! ```
//! use std::time::Duration;
//! use almondlock_base::time::Mono;
//! use almondlock_policy::connections::{Admission, Config, State, Table};
//!
//! let config = Config { limit: 1, grace: Duration::from_secs(1) };
//! let mut table = Table::new(config);
//! let at = |millis: u64| Mono::from_millis(millis);
//! assert_eq!(table.admit("first", at(0)), Admission::Admitted);
//! assert_eq!(table.admit("second", at(500)), Admission::Replaces("first"));
//! table.note("second", State::Serving, at(600));
//! assert_eq!(table.admit("third", at(2000)), Admission::Refused);
//! ```

use std::{collections::HashMap, hash::Hash, time::Duration};

use almondlock_base::time::Mono;

/// Settings of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Connections at one time. At least 1.
    pub limit: usize,
    /// Time in which a request should arrive, from its first byte or from the start of its
    /// connection.
    pub grace: Duration,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// A request is arriving, or the first one has not begun to.
    Receiving,
    /// Its last request has ended.
    Idle,
    /// A request is being served.
    Serving,
    /// A part of an answer waits until its caller has read what was sent before.
    Sending,
}

/// Answer to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission<K> {
    /// There was a place.
    Admitted,
    /// It takes the place of this one, which has to be closed.
    Replaces(K),
    /// It has to be closed.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    state: State,
    since: Mono,
    /// Whether a request waited behind the last one that was answered.
    ahead: bool,
}

/// The open connections.
#[derive(Clone, Debug)]
pub struct Table<K> {
    config: Config,
    // Invariant: at most `config.limit` entries.
    entries: HashMap<K, Entry>,
}

impl<K> Table<K>
where
    K: Copy + Eq + Hash + Ord,
{
    /// Returns an empty table.
    pub fn new(config: Config) -> Table<K> {
        Table {
            config,
            entries: HashMap::new(),
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Enters a new connection if it gets a place.
    pub fn admit(&mut self, key: K, now: Mono) -> Admission<K> {
        let entry = Entry {
            state: State::Receiving,
            since: now,
            ahead: false,
        };
        if self.entries.len() < self.config.limit {
            self.entries.insert(key, entry);
            return Admission::Admitted;
        }
        let Some(victim) = self.victim(now) else {
            return Admission::Refused;
        };
        self.entries.remove(&victim);
        self.entries.insert(key, entry);
        Admission::Replaces(victim)
    }

    /// Returns the connection that gives way first. The key decides between equals.
    fn victim(&self, now: Mono) -> Option<K> {
        let entries = self.entries.iter();
        let is_late = |entry: &Entry| {
            matches!(entry.state, State::Receiving | State::Sending)
                && now.since(entry.since) >= self.config.grace
        };
        let candidates = entries.filter(|(_, entry)| match entry.state {
            State::Receiving | State::Idle => true,
            State::Serving => false,
            State::Sending => is_late(entry),
        });
        let behaves = |entry: &Entry| !entry.ahead && !is_late(entry);
        let first = candidates.min_by_key(|(key, entry)| (behaves(entry), entry.since, **key));
        first.map(|(key, _)| *key)
    }

    /// Notes what a connection does now. Nothing changes if it was replaced.
    pub fn note(&mut self, key: K, state: State, now: Mono) {
        if let Some(entry) = self.entries.get_mut(&key) {
            (entry.state, entry.since) = (state, now);
        }
    }

    /// Returns the connections on which a part of an answer has waited for at least `time`.
    pub fn stalled(&self, time: Duration, now: Mono) -> Vec<K> {
        let entries = self.entries.iter();
        let stalled = entries
            .filter(|(_, entry)| entry.state == State::Sending && now.since(entry.since) >= time);
        stalled.map(|(key, _)| *key).collect()
    }

    /// Notes whether a request waited behind the one that was just answered.
    pub fn note_ahead(&mut self, key: K, ahead: bool) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.ahead = ahead;
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, key: K) {
        self.entries.remove(&key);
    }
}
