//! Linearizable reads, confirmed by a round of heartbeats (Raft's ReadIndex).
//!
//! A leader may have been replaced without knowing it. Before it grants a read, a majority
//! must confirm that it still leads, in a round of heartbeats that began after the read
//! arrived. Then nothing beyond its commit index at the start of the round had been
//! committed when the read arrived. This depends on no clock. Reads that arrive during a
//! round share the next one.

use almondlock_base::time::Mono;

use super::Machine;
use crate::{entry::Index, error::Error, member::Id};

/// The outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The token given with the read.
    pub token: u64,
    /// The index that must be applied before the read is answered. `None` if this replica no longer
    /// leads and another one must be asked.
    pub index: Option<Index>,
}

/// The reads that wait to be confirmed.
#[derive(Debug, Default)]
pub(super) struct Queue {
    // The newest round begun. Never reset, also not in a new term.
    round: u64,
    // The tokens of the reads that the round `confirming` confirms.
    running: Vec<u64>,
    // The round that confirms the reads in `running`. Invariant: `confirming <= round`.
    confirming: u64,
    // The commit index at the start of that round.
    index: Index,
    // The tokens of the reads that wait for the next round.
    waiting: Vec<u64>,
}

impl Queue {
    pub(super) fn round(&self) -> u64 {
        self.round
    }

    /// Begins a round and returns it. Replies with this round or a later one answer messages sent
    /// from now on.
    pub(super) fn next_round(&mut self) -> u64 {
        self.round += 1;
        self.round
    }
}

impl Machine {
    /// Requests a read. The token is returned in a [`Grant`].
    pub fn request_read(&mut self, now: Mono, token: u64) -> Result<(), Error> {
        self.check_leader()?;
        self.reads.waiting.push(token);
        self.begin_read_round(now);
        Ok(())
    }

    /// Begins a round for the waiting reads unless one is running. Until an entry of its own term
    /// is committed, the leader doesn't know which earlier entries are, so the reads wait.
    fn begin_read_round(&mut self, now: Mono) {
        let current = self.log.term(self.commit) == Some(self.hard_state.term);
        if !self.reads.running.is_empty() || self.reads.waiting.is_empty() || !current {
            return;
        }
        self.reads.confirming = self.reads.next_round();
        self.reads.index = self.commit;
        self.reads.running = std::mem::take(&mut self.reads.waiting);
        self.send_heartbeats(now);
        self.confirm_reads(now);
    }

    pub(super) fn confirm_reads(&mut self, now: Mono) {
        let round = self.reads.confirming;
        let confirmed = |id: Id| {
            let peer = self.peers.get(&id);
            id == self.id || peer.is_some_and(|peer| peer.round >= round)
        };
        if self.log.members().has_quorum(confirmed) {
            let index = Some(self.reads.index);
            for token in std::mem::take(&mut self.reads.running) {
                self.output.grant(Grant { token, index });
            }
        }
        self.begin_read_round(now);
    }

    pub(super) fn reject_reads(&mut self) {
        let running = std::mem::take(&mut self.reads.running);
        let waiting = std::mem::take(&mut self.reads.waiting);
        for token in running.into_iter().chain(waiting) {
            self.output.grant(Grant { token, index: None });
        }
    }
}
