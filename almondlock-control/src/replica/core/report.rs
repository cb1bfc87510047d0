//! How the replica stands, for operators.

use almondlock_base::time::Mono;
use almondlock_quorum::{
    machine::Role,
    member::{Id, Member},
};

use super::{Core, Stage};
use crate::replica::status::{Peer, Status};

impl Core {
    pub(in crate::replica) fn status(&self, now: Mono) -> Status {
        let members = self.machine.members();
        let commit = self.machine.commit_index();
        let peer = |member: &Member| Peer {
            id: member.id,
            name: member.name.clone(),
            address: member.address,
            domain: member.domain.clone(),
            voter: members.is_voter(member.id),
            lag: self.lag(member.id),
            silent: self.silence(now, member.id),
        };
        let waits = |m: &&Member| !members.contains(m.id);
        Status {
            id: self.own.id,
            name: self.own.name.clone(),
            role: if self.stopped.is_some() {
                Role::Follower
            } else {
                self.machine.role()
            },
            founded: members.contains(self.own.id),
            outside: self.stage == Stage::Running && !members.contains(self.own.id),
            term: self.machine.term(),
            leader: match self.is_leader() {
                true => Some(self.own.address),
                false => self.leader(),
            },
            commit,
            applied: self.applied,
            last: self.machine.last_index(),
            members: members.iter().map(peer).collect(),
            waiting: self
                .gathering
                .known
                .values()
                .filter(waits)
                .map(|m| m.name.clone())
                .collect(),
            syncs: self.disk.syncs(),
            failed: self.machine.failed_ballot().cloned(),
            counts: self.logged.counts,
            stopped: self.stopped.clone(),
        }
    }

    fn lag(&self, id: Id) -> Option<u64> {
        let commit = self.machine.commit_index().0;
        if id == self.own.id {
            return Some(commit - self.applied.0);
        }
        let matched = self.machine.matched(id)?;
        Some(commit.saturating_sub(matched.0))
    }
}
