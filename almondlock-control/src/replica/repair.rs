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
//! A voter that stops, and stays until it is out, is exchanged the other way round: the spare
//! gets its vote while the one that stops can still accept that, and only then that one goes. So
//! a disk that is lost meanwhile leaves a majority at each step; see [`departure`](super::departure).
//!
//! An exchange costs nothing if the voter was merely slow: the group holds as
//! many copies as before, and the one that was removed asks to join again. It
//! therefore needs no long wait. Without a spare a lost voter stays, since
//! removing it would only make the next loss worse, but for those of which
//! the group bears more losses without them: one of four, two of five.

use std::time::Duration;

use almondlock_base::time::Mono;
use almondlock_quorum::member::{Change, Id, Member, Members};

/// A learner that has been silent for this long is forgotten. A voter that
/// answers counts as lost if it doesn't come to hold more for this long: its
/// disk hangs.
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
    /// When it last answered and held all entries, or more than before.
    pub advanced: Option<Mono>,
    /// It has synced all that was accepted up to the last heartbeat.
    pub caught_up: bool,
    /// It said lately that it stops.
    pub leaving: bool,
    /// It said besides that it goes on voting until it is out of the group.
    pub stays: bool,
}

/// How a voter is known to be lost, the surest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Loss {
    Wiped,
    Leaving,
    Silent,
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
    /// After this long without an answer a voter is taken for lost.
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
            .or_else(|| self.admission(&look))
    }

    /// A learner that is gone. One that was just taken in hasn't answered yet, but greets.
    fn forgotten<F>(&self, look: &F) -> Option<Change>
    where
        F: Fn(Id) -> Peer,
    {
        let greets = |learner: &Member| self.greeted(learner.id).is_some();
        // Its failure domain may be why a spare doesn't get the vote that is due.
        let span = match self.is_half_way() {
            true => self.patience,
            false => SILENCE,
        };
        let mut learners = self.members.learners.values();
        let gone = learners.find(|learner| {
            let silent = self.unheard(learner, look) >= span && !greets(learner);
            silent || self.is_wiped(learner, look)
        });
        gone.map(|learner| Change::Remove(learner.id))
    }

    /// Gives spares their vote, where that makes the number of voters odd or
    /// the next promotion will. Of two voters or one, each further copy counts. A voter that
    /// stays until it is out goes after the spare has its vote.
    fn promotion<F>(&self, look: &F) -> Option<Change>
    where
        F: Fn(Id) -> Peer,
    {
        let spares = self.spares(look);
        let lost = self.lost(look);
        let single = self.is_half_way();
        let pair = spares.len() >= 2 && lost.is_empty();
        let replaced = lost.iter().any(|voter| look(voter.id).stays);
        let mut changes = spares.iter().map(|spare| Change::Promote(spare.id));
        changes
            .find(|change| self.after(self.members, change, look).is_some())
            .filter(|_| single || pair || replaced)
    }

    /// Removes a lost voter for which a spare will get its vote.
    fn exchange<F>(&self, look: &F) -> Option<Change>
    where
        F: Fn(Id) -> Peer,
    {
        let spares = self.spares(look);
        let lost = self.lost(look);
        if self.is_half_way() {
            return None;
        }
        lost.iter().find_map(|lost| {
            let removal = Change::Remove(lost.id);
            let members = self.after(self.members, &removal, look)?;
            let mut promotions = spares.iter().map(|spare| Change::Promote(spare.id));
            promotions
                .any(|promotion| self.after(&members, &promotion, look).is_some())
                .then_some(removal)
        })
    }

    /// A lost voter where the group bears more losses without it, spare or not: the one too many
    /// of an even number, or one of two of which both go.
    fn surplus<F>(&self, look: &F) -> Option<Change>
    where
        F: Fn(Id) -> Peer,
    {
        let lost = self.lost(look).into_iter();
        let removals: Vec<Change> = lost.map(|voter| Change::Remove(voter.id)).collect();
        let allowed = |change: &&Change| {
            let Some(members) = self.after(self.members, change, look) else {
                return false;
            };
            let mut others = removals.iter().filter(|other| other != change);
            match self.members.voters.len() {
                count if count < 4 => false,
                count if count.is_multiple_of(2) => true,
                _ => others.any(|other| self.after(&members, other, look).is_some()),
            }
        };
        removals.iter().find(allowed).cloned()
    }

    /// Takes a newcomer in, unless a learner is about to get the vote that is due.
    fn admission<F>(&self, look: &F) -> Option<Change>
    where
        F: Fn(Id) -> Peer,
    {
        let mut learners = self.members.learners.values();
        if self.is_half_way() && learners.any(|learner| !self.is_silent(learner, look)) {
            return None;
        }
        let mut newcomers = self.newcomers.iter().map(|newcomer| &newcomer.member);
        let newcomer = newcomers.find(|newcomer| !self.members.contains(newcomer.id));
        newcomer.map(|newcomer| Change::Add(newcomer.clone()))
    }

    /// Whether another voter is due: after the first step of an exchange, or in a group that is
    /// still to grow.
    fn is_half_way(&self) -> bool {
        let voters = self.members.voters.len();
        voters < 3 || voters.is_multiple_of(2)
    }

    /// Learners that hold everything and answer.
    fn spares<F>(&self, look: &F) -> Vec<&Member>
    where
        F: Fn(Id) -> Peer,
    {
        let learners = self.members.learners.values();
        let ready = |learner: &&Member| {
            let peer = look(learner.id);
            peer.caught_up && !peer.leaving && !self.is_silent(learner, look)
        };
        learners.filter(ready).collect()
    }

    /// Voters that a spare may take the place of, the surest first.
    fn lost<F>(&self, look: &F) -> Vec<&Member>
    where
        F: Fn(Id) -> Peer,
    {
        let voters = self.members.voters.values();
        let lost = voters.filter_map(|voter| Some((self.loss(voter, look)?, voter)));
        let mut lost: Vec<(Loss, &Member)> = lost.collect();
        lost.sort_by_key(|(loss, voter)| (*loss, look(voter.id).heard));
        lost.into_iter().map(|(_, voter)| voter).collect()
    }

    fn loss<F>(&self, voter: &Member, look: &F) -> Option<Loss>
    where
        F: Fn(Id) -> Peer,
    {
        match voter {
            _ if voter.id == self.own => None,
            _ if self.is_wiped(voter, look) => Some(Loss::Wiped),
            _ if look(voter.id).leaving => Some(Loss::Leaving),
            _ if self.is_silent(voter, look) => Some(Loss::Silent),
            _ => None,
        }
    }

    /// The members after a change, if it is allowed and those that answer can accept it. One
    /// that waits for a lost voter would hold up every later one. A voter that hasn't answered
    /// since the leader was elected doesn't count, however short that is, nor does one that
    /// stops, unless it stays: it may be gone before it accepts.
    fn after<F>(&self, members: &Members, change: &Change, look: &F) -> Option<Members>
    where
        F: Fn(Id) -> Peer,
    {
        let answers = |id| {
            let member = members.get(id).or_else(|| self.members.get(id));
            let lost = |member| self.is_silent(member, look) || self.is_wiped(member, look);
            let peer = look(id);
            let stays = !peer.leaving || peer.stays;
            let counts = id == self.own || peer.heard.is_some() && stays;
            counts && !member.is_none_or(lost)
        };
        let members = members.with_change(change).ok()?;
        Some(members).filter(|members| members.has_quorum(answers))
    }

    /// Whether a member doesn't answer, or its disk doesn't.
    fn is_silent<F>(&self, member: &Member, look: &F) -> bool
    where
        F: Fn(Id) -> Peer,
    {
        let advanced = look(member.id).advanced.unwrap_or(self.led_since);
        let hangs = self.now.since(advanced) >= SILENCE;
        member.id != self.own && (hangs || self.unheard(member, look) >= self.patience)
    }

    /// For how long a member hasn't answered.
    fn unheard<F>(&self, member: &Member, look: &F) -> Duration
    where
        F: Fn(Id) -> Peer,
    {
        let heard = look(member.id).heard;
        self.now.since(heard.unwrap_or(self.led_since))
    }

    /// When a replica last greeted as a newcomer.
    fn greeted(&self, id: Id) -> Option<Mono> {
        let mut newcomers = self.newcomers.iter();
        let newcomer = newcomers.find(|newcomer| newcomer.member.id == id);
        newcomer.map(|newcomer| newcomer.heard)
    }

    /// Another disk answers at its address, so its own is gone.
    fn is_wiped<F>(&self, member: &Member, look: &F) -> bool
    where
        F: Fn(Id) -> Peer,
    {
        let succeeds = |other: &Member| other.id != member.id && other.address == member.address;
        let heard = look(member.id).heard.max(self.greeted(member.id));
        let newer = |other: &Member| look(other.id).heard > heard && !self.is_silent(other, look);
        let mut newcomers = self.newcomers.iter();
        newcomers.any(|other| succeeds(&other.member) && Some(other.heard) > heard)
            || (self.members.iter()).any(|other| succeeds(other) && newer(other))
    }
}
