//! Reads that are never stale.
//!
//! A leader may have been replaced without knowing. Before it answers a read it
//! has a majority confirm, in a round of heartbeats begun after the read came,
//! that it still leads; then nothing newer than its commit index at the
//! round's start had been accepted when the read came. No clock takes part.
//! Reads that come during a round share the next one.

use almondlock_base::time::Mono;

use super::Machine;
use crate::{entry::Index, error::Error, member::Id};

/// The answer to a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// As given with the read.
    pub token: u64,
    /// Answer from the state after this index; `None`: this replica leads no
    /// more, ask another.
    pub index: Option<Index>,
}

#[derive(Debug, Default)]
pub(super) struct Queue {
    // The newest round begun. Rises through all terms.
    round: u64,
    running: Vec<u64>,
    // The round that confirms those running. Invariant: `confirming <= round`.
    confirming: u64,
    // The commit index when that round began.
    index: Index,
    waiting: Vec<u64>,
}

impl Queue {
    pub(super) fn round(&self) -> u64 {
        self.round
    }

    /// Begins a round. Answers of this round or later ones answer what is sent from now on.
    pub(super) fn next_round(&mut self) -> u64 {
        self.round += 1;
        self.round
    }
}

impl Machine {
    /// Asks to read. The token comes back in a [`Grant`].
    pub fn read(&mut self, now: Mono, token: u64) -> Result<(), Error> {
        self.check_leader()?;
        self.reads.waiting.push(token);
        self.begin_read_round(now);
        Ok(())
    }

    /// Begins a round unless one runs. Before an entry of this term is
    /// accepted the leader doesn't know which earlier ones are, and waits.
    fn begin_read_round(&mut self, now: Mono) {
        let current = self.log.term(self.commit) == Some(self.hard.term);
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
