//! Membership changes, one at a time.
//!
//! A change is an entry that holds the new members. They are in force as soon as the entry is
//! appended. The next change waits until this one is committed, and the first change of a
//! term waits until an entry of that term is committed. Without the second rule two
//! successive leaders could change the same members differently, to sets whose majorities
//! need not overlap.

use almondlock_base::time::Mono;

use super::Machine;
use crate::{
    entry::{Payload, Position},
    error::Error,
    member::{Change, Id, Members},
};

impl Machine {
    /// Appends a change of the members to the log, if this replica leads and has recently heard a
    /// majority of the members after the change.
    pub fn propose_change(&mut self, now: Mono, change: &Change) -> Result<Position, Error> {
        self.check_writer()?;
        if self.log.members_index() > self.commit {
            return Err(Error::busy("another change of the members is under way"));
        }
        if self.log.term(self.commit) != Some(self.hard_state.term) {
            return Err(Error::busy("the new leader has not committed an entry yet"));
        }
        if let Change::Promote(id) = change
            && !self.is_caught_up(*id)
        {
            return Err(Error::busy("the learner has not caught up yet"));
        }
        let members = self.log.members().with_change(change)?;
        // The change is in force once appended. If it can't be committed, the group accepts nothing
        // more, even where a majority of the members before the change is available.
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

    /// Whether another member has synced all committed entries. Always false unless this replica
    /// leads.
    ///
    /// A learner is promoted only then. If it were promoted earlier, it would count towards
    /// majorities without holding committed entries, and after the next loss of a voter there
    /// would be no quorum until it had caught up. The check uses the commit index at the last
    /// heartbeat, since under steady load the newest commit index is always ahead of the replies.
    pub fn is_caught_up(&self, id: Id) -> bool {
        let needed = self.recent_commit.max(self.log.members_index());
        self.matched(id).is_some_and(|index| index >= needed)
    }
}
