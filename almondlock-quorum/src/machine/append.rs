//! A follower's side of entries.

use almondlock_base::time::Mono;

use super::Machine;
use crate::{
    entry::{Entry, Index},
    member::Id,
    message::{Append, AppendReply, Body},
};

impl Machine {
    /// Answers once what the append brought is synced; at once if it brought nothing, and once a
    /// heartbeat.
    ///
    /// **Failure.** On slow disks a sync takes longer than an election timeout. Were the leader
    /// answered only after it, each would hear nobody and step down, again and again. An answer
    /// at once promises only what is synced already.
    pub(super) fn on_append(&mut self, now: Mono, from: Id, append: Append) {
        if self.is_leader() {
            // Only a replica that lost its memory of this term could say so.
            tracing::error!(%from, "another leader in the same term; message dropped");
            return;
        }
        self.hear_leader(now, from);
        self.leader_commit = self.leader_commit.max(Some(append.commit));
        let round = append.round;
        let reply = |matched, index| {
            Body::AppendReply(AppendReply {
                matched,
                index,
                round,
            })
        };
        match self.check_previous(&append) {
            Err(hint) => self.send(from, reply(false, hint)),
            Ok(()) => {
                let (last, wrote) = self.accept(append);
                if wrote {
                    self.send_synced(from, reply(true, last));
                }
                if !wrote || now.since(self.answered_at) >= self.config.heartbeat_interval {
                    self.answered_at = now;
                    let synced = last.min(self.durable);
                    self.send(from, reply(true, synced));
                }
            }
        }
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

    /// Takes the entries in. Returns the last index that agrees, and whether any was new.
    fn accept(&mut self, append: Append) -> (Index, bool) {
        let last = Index(append.previous_index.0 + append.entries.len() as u64);
        let mut wrote = false;
        for entry in append.entries {
            wrote |= self.accept_entry(entry);
        }
        self.commit = self.commit.max(append.commit.min(last));
        (last, wrote)
    }

    fn accept_entry(&mut self, entry: Entry) -> bool {
        if entry.index <= self.log.base() || entry.index <= self.commit {
            return false;
        }
        match self.log.term(entry.index) {
            Some(term) if term == entry.term => return false,
            Some(_) => {
                self.log.truncate(entry.index);
                self.durable = self.durable.min(entry.index.previous());
            }
            None => {}
        }
        let follows = entry.index == self.log.last().next();
        if follows {
            self.append_entry(entry);
        }
        follows
    }
}
