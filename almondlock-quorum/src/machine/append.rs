//! A follower's handling of appends.

use almondlock_base::time::Mono;

use super::Machine;
use crate::{
    entry::{Entry, Index},
    member::Id,
    message::{Append, AppendReply, Body},
};

impl Machine {
    /// Handles an append. Replies once its new entries are synced, and at once if it has no new
    /// entries or the last immediate reply is at least a heartbeat interval old.
    ///
    /// **Failure.** On slow disks a sync takes longer than an election timeout. If followers
    /// replied only after a sync, each leader would hear nobody and step down. An immediate
    /// reply acknowledges only entries that are already synced.
    pub(super) fn on_append(&mut self, now: Mono, from: Id, append: Append) {
        if self.is_leader() {
            // Can only come from a replica that lost its record of this term.
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

    /// Checks that the logs agree at the entry before those sent. Otherwise returns the last index
    /// at which they may agree.
    fn check_previous(&self, append: &Append) -> Result<(), Index> {
        let index = append.previous_index;
        if index <= self.log.base() || index <= self.commit {
            // The entry is committed, so it agrees.
            return Ok(());
        }
        let Some(term) = self.log.term(index) else {
            return Err(self.log.last());
        };
        if term == append.previous_term {
            return Ok(());
        }
        // Skip all entries of this term at once: at least the last one differs from the leader's.
        let mut hint = index;
        while hint > self.commit && self.log.term(hint) == Some(term) {
            hint = hint.previous();
        }
        Err(hint)
    }

    /// Appends the new entries. Returns the last index that agrees, and whether any entry was new.
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
