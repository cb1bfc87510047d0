//! Membership that mends itself.
//!
//! Where nobody watches the replicas, the leader does. A replica that asks to
//! join (a host that lost its disk, or a new host in the place of one that is
//! gone) becomes a learner, and stays a spare while all voters answer. A voter
//! that is lost is exchanged for a spare that holds everything: the lost one
//! goes, then the spare gets its vote, each an accepted change of its own.
//!
//! The number of voters stays odd. A fourth voter beside three adds nothing
//! while all answer, and once one of the four is lost, three of the others
//! must answer: the next loss of a disk ends the group, although a replica that
//! holds everything stands ready. So a newcomer gets its vote only in exchange,
//! or together with a second one.
//!
//! An exchange costs nothing if the voter was merely slow: the group holds as
//! many copies as before, and the one that was removed asks to join again. It
//! therefore needs no long wait. A silent voter without a spare stays, since
//! removing it would only make the next loss worse.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_quorum::member::{Change, Id, Member, Members};

/// After this long without an answer a learner is forgotten, and a voter that
/// nobody replaces is removed where the group bears more losses without it.
pub const SILENCE: Duration = Duration::from_secs(3);

/// A newcomer counts as there while its last greeting is younger than this.
pub const PRESENT: Duration = Duration::from_secs(2);

/// A replica that is in no group.
#[derive(Clone, Debug)]
pub struct Newcomer {
    /// What it says of itself.
    pub member: Member,
    /// When it last greeted.
    pub heard: Mono,
}

/// What a leader knows of another member.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peer {
    /// When it last answered in this term.
    pub heard: Option<Mono>,
    /// It has synced all that was accepted up to the last heartbeat.
    pub caught_up: bool,
    /// It said lately that it stops.
    pub leaving: bool,
}

/// What a leader knows when it looks for the next step.
pub struct Sight<'a> {
    /// The leader itself.
    pub own: Id,
    /// The members in force.
    pub members: &'a Members,
    /// Replicas that are in no group and greeted lately.
    pub newcomers: Vec<Newcomer>,
    /// Since when the leader has led; before that nobody's silence counts.
    pub led_since: Mono,
    /// After this long without an answer a voter may be exchanged.
    pub patience: Duration,
    /// The present time.
    pub now: Mono,
}

impl Sight<'_> {
    /// The next step, if there is one. `look` tells what is known of a member.
    pub fn step<F>(&self, look: F) -> Option<Change>
    where
        F: Fn(Id) -> Peer,
    {
        self.forgotten(&look)
            .or_else(|| self.promotion(&look))
            .or_else(|| self.exchange(&look))
            .or_else(|| self.surplus(&look))
            .or_else(|| self.admission())
    }

    /// A learner that is gone.
    fn forgotten<F>(&self, look: &F) -> Option<Change>
    where
        F: Fn(Id) -> Peer,
    {
        let mut learners = self.members.learners.values();
        let gone = learners
            .find(|learner| self.is_silent(learner, SILENCE, look) || self.is_wiped(learner, look));
        gone.map(|learner| Change::Remove(learner.id))
    }

    /// Gives spares their vote, where that makes the number of voters odd or
    /// the next promotion will. Of two voters or one, each further copy counts.
    fn promotion<F>(&self, look: &F) -> Option<Change>
    where
        F: Fn(Id) -> Peer,
    {
        let voters = self.members.voters.len();
        let spares = self.spares(look);
        let lost = self.lost(look);
        let single = voters < 3 || voters.is_multiple_of(2);
        let pair = spares.len() >= 2 && lost.is_empty();
        let mut changes = spares.iter().map(|spare| Change::Promote(spare.id));
        changes
            .find(|change| self.after(self.members, change, look).is_some())
            .filter(|_| single || pair)
    }

    /// Removes a lost voter for which a spare will get its vote.
    fn exchange<F>(&self, look: &F) -> Option<Change>
    where
        F: Fn(Id) -> Peer,
    {
        let spares = self.spares(look);
        let lost = self.lost(look);
        let change = lost.iter().find_map(|lost| {
            let removal = Change::Remove(lost.id);
            let members = self.after(self.members, &removal, look)?;
            let mut promotions = spares.iter().map(|spare| Change::Promote(spare.id));
            promotions
                .any(|promotion| self.after(&members, &promotion, look).is_some())
                .then_some(removal)
        });
        change.filter(|_| !self.members.voters.len().is_multiple_of(2))
    }

    /// A voter that has been silent for long, where the group bears more losses without it:
    /// the one too many of an even number, or one of two of which both go.
    fn surplus<F>(&self, look: &F) -> Option<Change>
    where
        F: Fn(Id) -> Peer,
    {
        let voters = &self.members.voters;
        let silent = voters
            .values()
            .filter(|voter| self.is_silent(voter, SILENCE, look));
        let removals: Vec<Change> = silent.map(|voter| Change::Remove(voter.id)).collect();
        let allowed = |change: &&Change| {
            let Some(members) = self.after(self.members, change, look) else {
                return false;
            };
            let mut others = removals.iter().filter(|other| other != change);
            match voters.len() {
                count if count < 4 => false,
                count if count.is_multiple_of(2) => true,
                _ => others.any(|other| self.after(&members, other, look).is_some()),
            }
        };
        removals.iter().find(allowed).cloned()
    }

    fn admission(&self) -> Option<Change> {
        let mut newcomers = self.newcomers.iter().map(|newcomer| &newcomer.member);
        let newcomer = newcomers.find(|newcomer| !self.members.contains(newcomer.id));
        newcomer.map(|newcomer| Change::Add(newcomer.clone()))
    }

    /// Learners that hold everything and answer.
    fn spares<F>(&self, look: &F) -> Vec<&Member>
    where
        F: Fn(Id) -> Peer,
    {
        let learners = self.members.learners.values();
        let ready = |learner: &&Member| {
            let peer = look(learner.id);
            peer.caught_up && !peer.leaving && !self.is_silent(learner, self.patience, look)
        };
        learners.filter(ready).collect()
    }

    /// Voters that a spare may take the place of, the surest first.
    fn lost<F>(&self, look: &F) -> Vec<&Member>
    where
        F: Fn(Id) -> Peer,
    {
        let sureness = |voter: &&Member| match look(voter.id) {
            _ if voter.id == self.own => 0,
            _ if self.is_wiped(voter, look) => 3,
            Peer { leaving: true, .. } => 2,
            _ if self.is_silent(voter, self.patience, look) => 1,
            _ => 0,
        };
        let voters = self.members.voters.values();
        let mut lost: Vec<&Member> = voters.filter(|voter| sureness(voter) > 0).collect();
        lost.sort_by_key(|voter| (std::cmp::Reverse(sureness(voter)), look(voter.id).heard));
        lost
    }

    /// The members after a change, if it is allowed and those that answer can accept it. One
    /// that waits for a lost voter would hold up every later one. A voter that hasn't answered
    /// since the leader was elected doesn't count, however short that is: it may be gone.
    fn after<F>(&self, members: &Members, change: &Change, look: &F) -> Option<Members>
    where
        F: Fn(Id) -> Peer,
    {
        let recent = |heard| self.now.since(heard) < self.patience;
        let answers = |id| {
            let member = members.get(id).or_else(|| self.members.get(id));
            let wiped = member.is_none_or(|member| self.is_wiped(member, look));
            id == self.own || look(id).heard.is_some_and(recent) && !wiped
        };
        let members = members.changed(change).ok()?;
        Some(members).filter(|members| members.has_quorum(answers))
    }

    fn is_silent<F>(&self, member: &Member, span: Duration, look: &F) -> bool
    where
        F: Fn(Id) -> Peer,
    {
        let last = look(member.id).heard.unwrap_or(self.led_since);
        member.id != self.own && self.now.since(last) >= span
    }

    /// Another disk answers at its address, so its own is gone.
    fn is_wiped<F>(&self, member: &Member, look: &F) -> bool
    where
        F: Fn(Id) -> Peer,
    {
        let succeeds = |other: &Member| other.id != member.id && other.address == member.address;
        let heard = look(member.id).heard;
        let newer = |other: &Member| {
            look(other.id).heard > heard && !self.is_silent(other, self.patience, look)
        };
        let mut newcomers = self.newcomers.iter();
        newcomers.any(|other| succeeds(&other.member) && Some(other.heard) > heard)
            || (self.members.iter()).any(|other| succeeds(other) && newer(other))
    }
}
