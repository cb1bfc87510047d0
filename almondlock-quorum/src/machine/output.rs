//! The work that a machine has for its driver, and messages held back until a sync.
//!
//! A reply that grants a vote or acknowledges entries is sent only once the vote or the
//! entries are on disk. Otherwise a replica that crashes in between would forget a vote that
//! was counted, or an entry that was committed because of its acknowledgement. A held
//! message waits for the newest write at the time it was queued, which is enough since the
//! disk finishes writes in order.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    entry::{Entry, HardState, Index, Position, Snapshot},
    log::Log,
    machine::read::Grant,
    member::Id,
    message::{Envelope, Message},
    storage::Write,
};

/// Work for the driver, from [`Machine::take`](super::Machine::take).
#[derive(Debug, Default)]
pub struct Output {
    /// Data to write and sync, in the order in which outputs are taken. The driver reports it with
    /// [`Machine::synced`](super::Machine::synced); one call may report many writes.
    pub write: Option<Write>,
    /// Messages to send, in any order. They may be lost.
    pub messages: Vec<Envelope>,
    /// A snapshot that replaces the state machine's state, before `committed` is applied.
    pub restore: Option<Arc<Snapshot>>,
    /// Committed entries to apply in order.
    pub committed: Vec<Entry>,
    /// Outcomes of reads. A read is answered once the grant's index is applied.
    pub grants: Vec<Grant>,
}

/// The parts of the next [`Output`], and messages that wait for a sync.
#[derive(Debug, Default)]
pub(super) struct Pending {
    // The sequence number of the newest write taken.
    sequence: u64,
    // All writes up to this sequence number are synced.
    synced_sequence: u64,
    // Whether there is anything to put into the next write.
    dirty: bool,
    // The first index of the entries for the next write.
    first_index: Option<Index>,
    reset: bool,
    snapshot: Option<Arc<Snapshot>>,
    // The position of the last entry, or else of the snapshot, of each write that was taken and
    // is not yet synced.
    in_flight: VecDeque<(u64, Position)>,
    // Messages held back, each with the sequence number of the write that it waits for.
    held: VecDeque<(u64, Envelope)>,
    messages: Vec<Envelope>,
    restore: Option<Arc<Snapshot>>,
    grants: Vec<Grant>,
    // The sequence number of the write that holds the current term and vote.
    hard_state_sequence: u64,
}

impl Pending {
    /// Returns the sequence number of the write that holds all changes so far.
    fn next_sequence(&self) -> u64 {
        if self.dirty {
            self.sequence + 1
        } else {
            self.sequence
        }
    }

    /// Records that the term or the vote changed.
    pub(super) fn mark_hard_state_changed(&mut self) {
        self.dirty = true;
        self.hard_state_sequence = self.next_sequence();
    }

    /// Whether the current term and vote are synced.
    pub(super) fn is_hard_state_synced(&self) -> bool {
        !self.is_held(self.hard_state_sequence)
    }

    /// Records that entries from `first` on are new.
    pub(super) fn mark_entries_written(&mut self, first: Index) {
        self.dirty = true;
        self.first_index = Some(self.first_index.map_or(first, |old| old.min(first)));
    }

    pub(super) fn save(&mut self, snapshot: Arc<Snapshot>) {
        self.dirty = true;
        self.snapshot = Some(snapshot);
    }

    /// Adds a leader's snapshot. Unless entries after it were kept, the log is
    /// reset and starts after the snapshot.
    pub(super) fn install(&mut self, snapshot: Arc<Snapshot>, kept: bool) {
        self.save(Arc::clone(&snapshot));
        if !kept {
            self.reset = true;
            self.first_index = None;
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
        let sequence = self.next_sequence();
        if self.is_held(sequence) {
            self.held.push_back((sequence, Envelope { to, message }));
        } else {
            self.send(to, message);
        }
    }

    fn is_held(&self, sequence: u64) -> bool {
        sequence > self.synced_sequence
    }

    /// Releases the messages that waited for writes up to `sequence`. Returns the position of the
    /// last entry that is newly synced.
    pub(super) fn synced(&mut self, sequence: u64) -> Option<Position> {
        self.synced_sequence = self.synced_sequence.max(sequence.min(self.sequence));
        while let Some((_, envelope)) = self
            .held
            .pop_front_if(|(at, _)| *at <= self.synced_sequence)
        {
            self.messages.push(envelope);
        }
        let mut last = None;
        while let Some((_, position)) = self
            .in_flight
            .pop_front_if(|(at, _)| *at <= self.synced_sequence)
        {
            last = Some(position);
        }
        last
    }

    pub(super) fn take(
        &mut self,
        hard_state: HardState,
        log: &Log,
        committed: Vec<Entry>,
    ) -> Output {
        Output {
            write: self.take_write(hard_state, log),
            messages: std::mem::take(&mut self.messages),
            restore: self.restore.take(),
            committed,
            grants: std::mem::take(&mut self.grants),
        }
    }

    fn take_write(&mut self, hard_state: HardState, log: &Log) -> Option<Write> {
        if !std::mem::take(&mut self.dirty) {
            return None;
        }
        self.sequence += 1;
        // What a snapshot took over needs no writing.
        let least = log.base().next();
        let entries = self
            .first_index
            .take()
            .map(|first| log.from(first.max(least)));
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
            hard_state,
            snapshot,
            reset: std::mem::take(&mut self.reset),
            entries,
        })
    }
}
