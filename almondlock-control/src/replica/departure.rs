//! When a replica that is told to stop may end.
//!
//! A voter that stops may never come back, and the group can't know. Where a spare is ready to
//! take its place, it goes on voting and acknowledging until the group has agreed to go on
//! without it: until then, what was accepted may rest on its disk and one other, and the loss of
//! that other disk would leave nobody who could agree on anything. What an acknowledgement
//! rests on, with three voters of which `O` stops and a spare `N` that holds everything:
//!
//! | step | voters | an acknowledgement is on | `O` |
//! |---|---|---|---|
//! | before | `A B O` | two of these | votes |
//! | `N` gets its vote | `A B O N` | three of these | votes |
//! | `O` is removed | `A B N` | two of these | ends, once that is accepted |
//!
//! Whichever one disk of the others is lost at any step, a majority of the voters remains, and
//! one of it holds what was acknowledged.

use almondlock_quorum::member::{Id, Members};

/// What a replica that was told to stop knows of the group.
#[derive(Clone, Copy, Debug)]
pub struct Sight<'a> {
    /// The replica itself.
    pub own: Id,
    /// The members in force.
    pub members: &'a Members,
    /// Whether these are known to be accepted.
    pub is_accepted: bool,
    /// Whether the replica leads.
    pub leads: bool,
    /// Whether a leader said that the replica is no member.
    pub is_removed: bool,
}

impl Sight<'_> {
    /// Whether the replica may be about to be exchanged: a spare is there, or a change of the
    /// members is half done.
    pub fn may_be_exchanged(&self) -> bool {
        let voters = self.members.voters.len();
        let is_half_way = voters > 1 && voters.is_multiple_of(2);
        self.is_voter() && (is_half_way || !self.members.learners.is_empty())
    }

    /// Whether the replica counts towards no majority.
    pub fn is_out(&self) -> bool {
        self.is_removed || !self.is_voter() && self.is_accepted
    }

    /// Whether the replica may end. One that stays for its exchange waits until it is out.
    pub fn may_end(&self, stays: bool) -> bool {
        self.is_out() || !stays && !self.leads
    }

    fn is_voter(&self) -> bool {
        self.members.is_voter(self.own)
    }
}
