//! A leader's entries to the others.
//!
//! Appends follow each other without waiting for replies, up to a window. A
//! heartbeat names the last entry sent: if an append before it was lost, the
//! follower refuses it, and the leader goes back to probing.

use std::sync::Arc;

use almondlock_base::time::Mono;

use super::{
    Machine,
    progress::{Mode, Progress, Refusal},
};
use crate::{
    entry::{Entry, Index, Term},
    member::Id,
    message::{Append, AppendReply, Body},
};

impl Machine {
    pub(super) fn tick_leader(&mut self, now: Mono) {
        self.check_quorum(now);
        if self.is_leader() && now >= self.heartbeat_at {
            self.send_heartbeats(now);
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: Mono) {
        self.heartbeat_at = now + self.config.heartbeat_interval;
        self.recent_commit = self.commit;
        let peers: Vec<Id> = self.peers.keys().copied().collect();
        for id in peers {
            self.send_heartbeat(now, id);
        }
    }

    fn send_heartbeat(&mut self, now: Mono, id: Id) {
        let Some(peer) = self.peers.get_mut(&id) else {
            return;
        };
        match &mut peer.mode {
            Mode::Probe { waiting, .. } => {
                *waiting = false;
                self.replicate(now, id);
            }
            Mode::Pipeline { .. } => {
                let previous = peer.next.previous();
                if previous < self.log.base() {
                    // Its appends were lost and their entries are gone since.
                    // No heartbeat can name the last one any more, so nothing
                    // would ever be refused and the full window never emptied.
                    let next = peer.matched.next();
                    peer.probe(next);
                    self.replicate(now, id);
                } else {
                    self.send_append(id, previous, Vec::new());
                }
            }
            Mode::Snapshot { sent, .. } => {
                let due = now.since(*sent) >= self.config.heartbeat_interval;
                // Agrees with any log, so it only says that the leader is there.
                self.send_append(id, Index::ZERO, Vec::new());
                if due {
                    self.send_piece(now, id);
                }
            }
        }
    }

    pub(super) fn replicate_all(&mut self, now: Mono) {
        let peers: Vec<Id> = self.peers.keys().copied().collect();
        for id in peers {
            self.replicate(now, id);
        }
    }

    pub(super) fn replicate(&mut self, now: Mono, id: Id) {
        while let Some((previous, entries)) = self.next_append(id) {
            if previous < self.log.base() {
                self.start_snapshot(now, id);
                return;
            }
            self.send_append(id, previous, entries);
        }
    }

    /// Takes the next append to a replica out of its progress, if one may go.
    fn next_append(&mut self, id: Id) -> Option<(Index, Vec<Entry>)> {
        let window = self.config.append_window;
        let peer = self.peers.get_mut(&id)?;
        let previous = peer.next.previous();
        let ready = match &mut peer.mode {
            Mode::Probe { waiting, .. } => !std::mem::replace(waiting, true),
            Mode::Pipeline { in_flight } => {
                peer.next <= self.log.last() && in_flight.len() < window
            }
            Mode::Snapshot { .. } => false,
        };
        if !ready || previous < self.log.base() {
            return ready.then(|| (previous, Vec::new()));
        }
        let entries = self.log.batch(peer.next, self.config.append_bytes);
        if let (Mode::Pipeline { in_flight }, Some(last)) = (&mut peer.mode, entries.last()) {
            peer.next = last.index.next();
            in_flight.push_back(last.index);
        }
        Some((previous, entries))
    }

    fn send_append(&mut self, to: Id, previous: Index, entries: Vec<Entry>) {
        let (previous_index, previous_term) = match self.log.term(previous) {
            Some(term) => (previous, term),
            None => (Index::ZERO, Term::ZERO),
        };
        let append = Append {
            previous_index,
            previous_term,
            commit: self.commit,
            round: self.reads.round(),
            entries,
        };
        self.send(to, Body::Append(append));
    }

    pub(super) fn on_append_reply(&mut self, now: Mono, from: Id, reply: AppendReply) {
        let last = self.log.last();
        let Some(peer) = self
            .peers
            .get_mut(&from)
            .filter(|_| self.role == super::Role::Leader)
        else {
            return;
        };
        peer.heard = Some(now);
        peer.round = peer.round.max(reply.round);
        if !reply.matched || reply.index > peer.matched || reply.index >= last {
            peer.advanced = Some(now);
        }
        let more = if reply.matched {
            peer.on_matched(reply.index.min(last), reply.round)
        } else {
            self.on_refused(from, reply)
        };
        self.advance_commit(now);
        if more {
            self.replicate(now, from);
        }
        self.notify_successor(from);
        self.confirm_reads(now);
    }

    /// Returns whether something is to be sent.
    ///
    /// **Failure.** A file system loses the end of a synced file, and the replica returns with
    /// less than it acknowledged. Refused for ever it would hold nothing, yet be heard, so that
    /// nobody replaces it and the leader stays; a second one like it ends the group. It is sent
    /// its entries again, and what it acknowledged before no longer counts.
    fn on_refused(&mut self, from: Id, reply: AppendReply) -> bool {
        let Some(peer) = self.peers.get_mut(&from) else {
            return false;
        };
        match peer.on_refused(reply.index, reply.round) {
            Refusal::Stale => return false,
            Refusal::Diverged => {}
            Refusal::Unverified => peer.verify_matched(self.reads.next_round()),
            Refusal::Lost => {
                let (acknowledged, last) = (peer.matched.0, reply.index.0);
                tracing::warn!(
                    replica = %from,
                    acknowledged,
                    last,
                    "a replica lost entries that it had acknowledged; they are sent again"
                );
                peer.reset_matched(reply.index, self.reads.next_round());
            }
        }
        true
    }

    /// Accepts what a majority has synced, if it is of the present term.
    ///
    /// An entry of an earlier term may be held by a majority and yet be
    /// overwritten by a leader that never saw it; one of this term can't, since
    /// its holders refuse their vote to anybody without it. Those before it are
    /// accepted with it.
    pub(super) fn advance_commit(&mut self, now: Mono) {
        let members = self.log.members();
        let mut synced: Vec<Index> = members
            .voters
            .keys()
            .map(|id| self.synced_at(*id))
            .collect();
        synced.sort_unstable();
        let place = synced.len().checked_sub(members.quorum());
        let index = place.map_or(Index::ZERO, |place| synced[place]);
        if index > self.commit && self.log.term(index) == Some(self.hard.term) {
            self.commit = index;
            self.on_committed(now);
        }
    }

    fn synced_at(&self, id: Id) -> Index {
        if id == self.id {
            return self.durable;
        }
        self.peers.get(&id).map_or(Index::ZERO, |p| p.matched)
    }

    fn on_committed(&mut self, now: Mono) {
        let members = Arc::clone(self.log.members());
        if self.log.members_index() <= self.commit {
            if self.peers.keys().any(|id| !members.contains(*id)) {
                self.send_heartbeats(now);
                self.peers.retain(|id, _| members.contains(*id));
            }
            // A leader that its own change took out leads until that is accepted.
            if !members.is_voter(self.id) {
                self.send_heartbeats(now);
                self.step_down(now);
                return;
            }
        }
        self.confirm_reads(now);
    }

    pub(super) fn progress(&mut self, id: Id) -> Option<&mut Progress> {
        self.peers.get_mut(&id)
    }
}
