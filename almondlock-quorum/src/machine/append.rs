//! A follower's side of entries.

use almondlock_base::time::Mono;

use super::Machine;
use crate::{
    entry::{Entry, Index},
    member::Id,
    message::{Append, AppendReply, Body},
};

impl Machine {
    pub(super) fn on_append(&mut self, now: Mono, from: Id, append: Append) {
        if self.is_leader() {
            // Only a replica that lost its memory of this term could say so.
            tracing::error!(%from, "another leader in the same term; message dropped");
            return;
        }
        self.hear_leader(now, from);
        self.leader_commit = self.leader_commit.max(Some(append.commit));
        let round = append.round;
        let reply = match self.check_previous(&append) {
            Err(hint) => AppendReply {
                matched: false,
                index: hint,
                round,
            },
            Ok(()) => AppendReply {
                matched: true,
                index: self.accept(append),
                round,
            },
        };
        self.send_synced(from, Body::AppendReply(reply));
    }

    /// Whether the logs agree before the entries sent; else the last index at
    /// which they may.
    fn check_previous(&self, append: &Append) -> Result<(), Index> {
        let index = append.previous_index;
        if index <= self.log.base() || index <= self.commit {
            // Accepted already, so it agrees.
            return Ok(());
        }
        let Some(term) = self.log.term(index) else {
            return Err(self.log.last());
        };
        if term == append.previous_term {
            return Ok(());
        }
        // The whole run of that term can't be the leader's.
        let mut hint = index;
        while hint > self.commit && self.log.term(hint) == Some(term) {
            hint = hint.previous();
        }
        Err(hint)
    }

    /// Takes the entries in and returns the last index that agrees.
    fn accept(&mut self, append: Append) -> Index {
        let last = Index(append.previous_index.0 + append.entries.len() as u64);
        for entry in append.entries {
            self.accept_entry(entry);
        }
        self.commit = self.commit.max(append.commit.min(last));
        last
    }

    fn accept_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.base() || entry.index <= self.commit {
            return;
        }
        match self.log.term(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                self.log.truncate(entry.index);
                self.durable = self.durable.min(entry.index.previous());
            }
            None => {}
        }
        if entry.index == self.log.last().next() {
            self.append_entry(entry);
        }
    }
}
