//! The leader's replication of its log to the other members.
//!
//! Appends are sent without waiting for replies, up to a window of unanswered appends. A
//! heartbeat names the last entry sent. If an append before it was lost, the follower
//! refuses the heartbeat and the leader returns to probing.

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
        self.check_successor(now);
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
                    // The appends were lost and the log has since dropped their entries.
                    // A heartbeat can no longer name the last one, so it would never be
                    // refused and the window would stay full for ever.
                    let next = peer.matched.next();
                    peer.probe(next);
                    self.replicate(now, id);
                } else {
                    self.send_append(id, previous, Vec::new());
                }
            }
            Mode::Snapshot { sent, .. } => {
                let due = now.since(*sent) >= self.config.heartbeat_interval;
                // Agrees with any log, so it only shows that the leader is alive.
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

    /// Returns the next append to a replica, if one may be sent, and updates its progress.
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

    /// Handles a refused append. Returns whether something is to be sent.
    ///
    /// **Failure.** A file system loses the end of a synced file, and the replica returns with
    /// fewer entries than it acknowledged. If the leader ignored its refusals, the replica would
    /// get no entries but still be heard, so it would not be replaced and the leader would not
    /// step down. A second such replica would end the group. The entries are therefore sent
    /// again, and earlier acknowledgements no longer count.
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

    /// Commits the entries that a majority has synced, if the last of them is of the current term.
    ///
    /// An entry of an earlier term may be held by a majority and still be overwritten by a
    /// leader that never received it. An entry of the current term can't, since the replicas
    /// that hold it refuse their vote to a candidate without it. Earlier entries are committed
    /// together with it.
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
        if index > self.commit && self.log.term(index) == Some(self.hard_state.term) {
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
            // A leader that a change removes leads until the change is committed.
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
