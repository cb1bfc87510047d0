//! The part of the log that a replica holds in memory.
//!
//! Some entries that the snapshot covers are retained for replicas that lag slightly. A
//! membership takes effect as soon as its entry is appended, and is undone if that entry is
//! truncated.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    entry::{Entry, Index, Payload, Snapshot, Term},
    member::Members,
};

/// The newest snapshot and the entries held in memory.
#[derive(Debug)]
pub(crate) struct Log {
    // The index of the entry before the first one held.
    base: Index,
    base_term: Term,
    // Invariant: consecutive indexes from `base + 1`, terms never falling.
    entries: VecDeque<Entry>,
    // Invariant: the sum of the payload sizes of `entries`.
    bytes: usize,
    // The memberships and the indexes that set them. Invariant: indexes rise; the first one is at
    // or before the snapshot's.
    members: Vec<(Index, Arc<Members>)>,
    // The newest snapshot. Invariant: `base <= snapshot.index <= last`.
    snapshot: Arc<Snapshot>,
}

impl Log {
    pub(crate) fn new(snapshot: Arc<Snapshot>, entries: Vec<Entry>) -> Log {
        let first = entries.first().map(|e| e.index);
        let mut log = Log {
            base: snapshot.index,
            base_term: snapshot.term,
            entries: VecDeque::new(),
            bytes: 0,
            members: vec![(snapshot.index, Arc::clone(&snapshot.members))],
            snapshot,
        };
        if let Some(first) = first.filter(|first| *first <= log.base) {
            // The entries start before the snapshot's end. The term of the entry
            // before them is not known, so the first one serves as the base.
            log.base = first;
            log.base_term = entries[0].term;
        }
        entries.into_iter().for_each(|entry| {
            if entry.index == log.last().next() {
                log.push(entry);
            }
        });
        log
    }

    pub(crate) fn base(&self) -> Index {
        self.base
    }

    pub(crate) fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    pub(crate) fn last(&self) -> Index {
        Index(self.base.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base {
            Some(self.base_term)
        } else {
            self.get(index).map(|e| e.term)
        }
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns entries from `first` on that fit in `bytes`, and always the first one if it is held.
    pub(crate) fn batch(&self, first: Index, bytes: usize) -> Vec<Entry> {
        let mut room = bytes;
        let mut batch = Vec::new();
        let mut index = first;
        while let Some(entry) = self.get(index) {
            let size = entry.payload.size() + 32;
            if size > room && !batch.is_empty() {
                break;
            }
            room = room.saturating_sub(size);
            batch.push(entry.clone());
            index = index.next();
        }
        batch
    }

    pub(crate) fn from(&self, first: Index) -> Vec<Entry> {
        self.batch(first, usize::MAX)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload
            && entry.index > self.members[self.members.len() - 1].0
        {
            self.members.push((entry.index, Arc::clone(members)));
        }
        self.bytes += entry.payload.size();
        self.entries.push_back(entry);
    }

    /// Removes the entries from `first` on.
    pub(crate) fn truncate(&mut self, first: Index) {
        while let Some(entry) = self.entries.pop_back_if(|e| e.index >= first) {
            self.bytes -= entry.payload.size();
        }
        while self.members.len() > 1 && self.members[self.members.len() - 1].0 >= first {
            self.members.pop();
        }
    }

    pub(crate) fn members(&self) -> &Arc<Members> {
        &self.members[self.members.len() - 1].1
    }

    /// Returns the index of the entry or snapshot that set the members in force.
    pub(crate) fn members_index(&self) -> Index {
        self.members[self.members.len() - 1].0
    }

    pub(crate) fn members_at(&self, index: Index) -> &Arc<Members> {
        let place = self.members.partition_point(|(at, _)| *at <= index);
        &self.members[place.saturating_sub(1)].1
    }

    /// Stores a newer snapshot of this replica's own state and drops entries that lie more than
    /// `retain` indexes before its end. While the log's payloads exceed `bytes`, it drops more
    /// entries that the snapshot covers, oldest first.
    pub(crate) fn compact(&mut self, snapshot: Arc<Snapshot>, retain: u64, bytes: usize) {
        let keep = Index(snapshot.index.0.saturating_sub(retain));
        while (self.base < keep || self.base < snapshot.index && self.bytes > bytes)
            && let Some(entry) = self.entries.pop_front()
        {
            self.bytes -= entry.payload.size();
            self.base = entry.index;
            self.base_term = entry.term;
        }
        let index = snapshot.index;
        let members = Arc::clone(&snapshot.members);
        self.members.retain(|(at, _)| *at > index);
        self.members.insert(0, (index, members));
        self.snapshot = snapshot;
    }

    /// Replaces the log up to a leader's snapshot. Entries after it are kept only if the log holds
    /// the snapshot's last entry. Returns whether they were kept.
    pub(crate) fn install(&mut self, snapshot: Arc<Snapshot>) -> bool {
        if self.term(snapshot.index) == Some(snapshot.term) {
            self.compact(snapshot, 0, 0);
            return true;
        }
        *self = Log::new(snapshot, Vec::new());
        false
    }
}
