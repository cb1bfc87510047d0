//! What a machine wants done, and what it holds back until a sync.
//!
//! Replies that promise something (a vote, entries kept) leave only when the
//! promise is on disk: a replica that crashed between the two would otherwise
//! forget a vote that was counted, or an entry that its acknowledgement made
//! accepted. Each held message waits for the newest write at its time, which is
//! enough since the disk finishes writes in order.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    entry::{Entry, HardState, Index, Position, Snapshot},
    log::Log,
    machine::read::Grant,
    member::Id,
    message::{Envelope, Message},
    storage::Write,
};

/// What to do now.
#[derive(Debug, Default)]
pub struct Output {
    /// To be written and synced, in the order taken. Each is answered by
    /// [`Machine::synced`](super::Machine::synced), one call may answer many.
    pub write: Option<Write>,
    /// To be sent, in any order; losing one is allowed.
    pub messages: Vec<Envelope>,
    /// Replaces the state machine's state; comes before `committed`.
    pub restore: Option<Arc<Snapshot>>,
    /// To be applied in order.
    pub committed: Vec<Entry>,
    /// Answers to reads. Each is to wait until its index is applied.
    pub grants: Vec<Grant>,
}

#[derive(Debug, Default)]
pub(super) struct Pending {
    // The number of the newest write taken.
    sequence: u64,
    // All writes up to it are synced.
    done: u64,
    // The write that is being gathered has something in it.
    dirty: bool,
    first: Option<Index>,
    reset: bool,
    snapshot: Option<Arc<Snapshot>>,
    // The last entry of each write taken and not yet synced, or of its snapshot.
    in_flight: VecDeque<(u64, Position)>,
    held: VecDeque<(u64, Envelope)>,
    messages: Vec<Envelope>,
    restore: Option<Arc<Snapshot>>,
    grants: Vec<Grant>,
    // The write that holds the present term and vote.
    hard: u64,
}

impl Pending {
    /// The number that the write being gathered will have.
    fn next(&self) -> u64 {
        if self.dirty {
            self.sequence + 1
        } else {
            self.sequence
        }
    }

    /// The term or the vote changed.
    pub(super) fn mark_hard_state_changed(&mut self) {
        self.dirty = true;
        self.hard = self.next();
    }

    /// Whether the present term and vote are synced.
    pub(super) fn is_hard_state_synced(&self) -> bool {
        !self.is_held(self.hard)
    }

    /// Entries from `first` on are new.
    pub(super) fn mark_entries_written(&mut self, first: Index) {
        self.dirty = true;
        self.first = Some(self.first.map_or(first, |old| old.min(first)));
    }

    pub(super) fn save(&mut self, snapshot: Arc<Snapshot>) {
        self.dirty = true;
        self.snapshot = Some(snapshot);
    }

    /// A leader's snapshot came. Unless entries after it were kept, the log
    /// starts anew behind it.
    pub(super) fn install(&mut self, snapshot: Arc<Snapshot>, kept: bool) {
        self.save(Arc::clone(&snapshot));
        if !kept {
            self.reset = true;
            self.first = None;
            self.in_flight.clear();
        }
        self.restore = Some(snapshot);
    }

    pub(super) fn grant(&mut self, grant: Grant) {
        self.grants.push(grant);
    }

    pub(super) fn send(&mut self, to: Id, message: Message) {
        self.messages.push(Envelope { to, message });
    }

    pub(super) fn hold(&mut self, to: Id, message: Message) {
        let sequence = self.next();
        if self.is_held(sequence) {
            self.held.push_back((sequence, Envelope { to, message }));
        } else {
            self.send(to, message);
        }
    }

    fn is_held(&self, sequence: u64) -> bool {
        sequence > self.done
    }

    /// Frees what waited for these writes. Returns their last entry.
    pub(super) fn synced(&mut self, sequence: u64) -> Option<Position> {
        self.done = self.done.max(sequence.min(self.sequence));
        while let Some((_, envelope)) = self.held.pop_front_if(|(at, _)| *at <= self.done) {
            self.messages.push(envelope);
        }
        let mut last = None;
        while let Some((_, position)) = self.in_flight.pop_front_if(|(at, _)| *at <= self.done) {
            last = Some(position);
        }
        last
    }

    pub(super) fn take(&mut self, hard: HardState, log: &Log, committed: Vec<Entry>) -> Output {
        Output {
            write: self.take_write(hard, log),
            messages: std::mem::take(&mut self.messages),
            restore: self.restore.take(),
            committed,
            grants: std::mem::take(&mut self.grants),
        }
    }

    fn take_write(&mut self, hard: HardState, log: &Log) -> Option<Write> {
        if !std::mem::take(&mut self.dirty) {
            return None;
        }
        self.sequence += 1;
        // What a snapshot took over needs no writing.
        let least = log.base().next();
        let entries = self.first.take().map(|first| log.from(first.max(least)));
        let entries = entries.unwrap_or_default();
        let snapshot = self.snapshot.take();
        let position = |index, term| Position { term, index };
        let covered = snapshot.as_ref().map(|s| position(s.index, s.term));
        let last = entries.last().map(|e| position(e.index, e.term));
        if let Some(position) = last.or(covered) {
            self.in_flight.push_back((self.sequence, position));
        }
        Some(Write {
            sequence: self.sequence,
            hard,
            snapshot,
            reset: std::mem::take(&mut self.reset),
            entries,
        })
    }
}
