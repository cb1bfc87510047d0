//! Membership, one change at a time.
//!
//! A change is an entry that holds the members after it, in force from the
//! moment it is appended. The next one waits until it is accepted, and the first
//! of a term until an entry of that term is: without the second wait two leaders
//! in a row could each start from the same members and change them differently,
//! to sets whose majorities need not meet.

use almondlock_base::time::Mono;

use super::Machine;
use crate::{
    entry::{Payload, Position},
    error::Error,
    member::{Change, Id, Members},
};

impl Machine {
    /// Puts a change of the members into the log, if this replica leads and hears a majority of
    /// those that the change leaves.
    pub fn change(&mut self, now: Mono, change: &Change) -> Result<Position, Error> {
        self.check_writer()?;
        if self.log.members_index() > self.commit {
            return Err(Error::busy("another change of the members is under way"));
        }
        if self.log.term(self.commit) != Some(self.hard.term) {
            return Err(Error::busy("the new leader has not accepted anything yet"));
        }
        if let Change::Promote(id) = change
            && !self.is_caught_up(*id)
        {
            return Err(Error::busy("the learner has not caught up yet"));
        }
        let members = self.log.members().changed(change)?;
        // In force from its append on: one that can't be accepted ends the group, though a
        // majority of the members before it may be there.
        if !self.has_recent_quorum(now, &members) {
            return Err(Error::busy(
                "a majority of the members after the change doesn't answer",
            ));
        }
        Ok(self.append_members(members))
    }

    fn append_members(&mut self, members: Members) -> Position {
        let position = self.append_as_leader(Payload::Members(members.into()));
        self.add_missing_peers();
        position
    }

    /// Of a leader: whether another member has synced all that was accepted.
    ///
    /// A learner gets its vote only then. Promoted earlier it would count towards
    /// majorities without holding what the others promised, and the next loss would
    /// take away the quorum until it had caught up. Judged by the commit index at the
    /// last heartbeat: under steady load the newest one is always an exchange ahead.
    pub fn is_caught_up(&self, id: Id) -> bool {
        let needed = self.recent_commit.max(self.log.members_index());
        self.matched(id).is_some_and(|index| index >= needed)
    }
}
