//! Membership that mends itself.
//!
//! Where nobody watches the replicas, the leader does: it takes in a replica
//! that asks to join (a host that lost its disk, or a new host in the place of
//! one that is gone) and puts out the one that was lost. One step at a time,
//! each an accepted change before the next: add as a learner, give it a vote
//! once it holds everything, remove the lost one. A second loss right after a
//! step therefore meets a group in which every voter has synced what was
//! accepted.
//!
//! A voter that is merely silent stays: as long as the number of voters is odd
//! nobody has come in its place, and removing it would only make the next loss
//! worse.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_quorum::member::{Change, Id, Member, Members};

/// A replica counts as silent after this long without an answer. Three times
/// the longest election timeout of the usual settings, so that a slow disk or
/// an election isn't taken for a loss.
pub const SILENCE: Duration = Duration::from_secs(3);

/// A newcomer counts as there while its last greeting is younger than this.
pub const PRESENT: Duration = Duration::from_secs(2);

/// What a leader knows when it looks for the next step.
pub struct Sight<'a> {
    /// The leader itself.
    pub own: Id,
    /// The members in force.
    pub members: &'a Members,
    /// Replicas that are in no group and greeted lately.
    pub newcomers: Vec<Member>,
    /// Since when the leader has led; before that nobody's silence counts.
    pub led_since: Mono,
    /// The present time.
    pub now: Mono,
}

impl Sight<'_> {
    /// The next step, if there is one. `heard` tells when a member last
    /// answered in this term.
    pub fn step<F>(&self, heard: F) -> Option<Change>
    where
        F: Fn(Id) -> Option<Mono>,
    {
        let silent = |id: Id| {
            let last = heard(id).unwrap_or(self.led_since);
            id != self.own && self.now.since(last) >= SILENCE
        };
        if let Some(learner) = self.members.learners.values().next() {
            return Some(match silent(learner.id) {
                true => Change::Remove(learner.id),
                false => self.promotion(learner, &silent),
            });
        }
        self.superseded(&silent)
            .or_else(|| self.surplus(&silent))
            .or_else(|| self.admission())
    }

    /// Gives a learner its vote.
    ///
    /// **Failure.** A failure domain may already hold as many voters as it may,
    /// a lost one among them: two of five, say. A third is refused, so the
    /// learner would never vote, the lost one never go, and the group be left a
    /// loss short; the next two losses would end it. Then the lost one goes
    /// first. The group bears as many losses without its silent voter as with
    /// it, since a silent voter acknowledges nothing.
    fn promotion<F>(&self, learner: &Member, silent: &F) -> Change
    where
        F: Fn(Id) -> bool,
    {
        let promotion = Change::Promote(learner.id);
        if self.members.changed(&promotion).is_ok() {
            return promotion;
        }
        let voters = self.members.voters.values();
        let lost = voters
            .filter(|voter| voter.domain == learner.domain && !self.answers(voter, silent))
            .max_by_key(|voter| voter.address == learner.address);
        lost.map_or(promotion, |lost| Change::Remove(lost.id))
    }

    /// A silent voter at whose address another voter answers: its disk is gone.
    fn superseded<F>(&self, silent: &F) -> Option<Change>
    where
        F: Fn(Id) -> bool,
    {
        let voters = &self.members.voters;
        let lost = voters.values().find(|lost| {
            let successor = |other: &Member| other.id != lost.id && other.address == lost.address;
            let replaced = voters
                .values()
                .any(|other| successor(other) && !silent(other.id));
            replaced && lost.id != self.own && !self.answers(lost, silent)
        });
        lost.map(|lost| Change::Remove(lost.id))
    }

    fn answers<F>(&self, member: &Member, silent: &F) -> bool
    where
        F: Fn(Id) -> bool,
    {
        member.id == self.own || !silent(member.id)
    }

    /// A silent voter in a group with one voter too many.
    fn surplus<F>(&self, silent: &F) -> Option<Change>
    where
        F: Fn(Id) -> bool,
    {
        let voters = &self.members.voters;
        let even = voters.len() >= 4 && voters.len().is_multiple_of(2);
        let lost = voters.keys().find(|id| silent(**id));
        lost.filter(|_| even).map(|id| Change::Remove(*id))
    }

    fn admission(&self) -> Option<Change> {
        let newcomer = self
            .newcomers
            .iter()
            .find(|newcomer| !self.members.contains(newcomer.id));
        newcomer.map(|newcomer| Change::Add(newcomer.clone()))
    }
}
