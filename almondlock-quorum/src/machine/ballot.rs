//! What is known of votes asked for and refused, for whoever looks for the
//! cause of a missing leader. Nothing here decides anything.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

use super::{Machine, Role};
use crate::{
    entry::{Position, Term},
    member::Id,
    message::{Body, Message, VoteRequest},
};

/// The most denials kept until they are taken.
const MAX_DENIALS: usize = 16;

/// A round of votes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ballot {
    /// It only asks whether the votes would be given.
    pub pre: bool,
    /// The term that the votes are for.
    pub term: Term,
    /// How many votes win.
    pub quorum: usize,
    /// The voters that gave theirs.
    pub granted: BTreeSet<Id>,
    /// The voters that refused, and the term that each was in.
    pub refused: BTreeMap<Id, Term>,
    /// The voters that have not answered. This replica is among them until its
    /// own vote is synced.
    pub unanswered: BTreeSet<Id>,
}

/// A vote that this replica refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denial {
    /// The candidate.
    pub to: Id,
    /// It only asked whether it would get the vote.
    pub pre: bool,
    /// The term that the vote was for.
    pub term: Term,
    /// The candidate's last entry.
    pub last: Position,
    /// Why.
    pub reason: Reason,
}

/// Why a vote was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// This replica hears a leader, or leads.
    LeaderHeard,
    /// The candidate lacks entries that are held here.
    LogBehind,
    /// The vote of that term is given to another.
    VoteGiven,
    /// A newer term than the candidate's is known here.
    OldTerm,
}

/// What a machine keeps of votes besides those that count.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// The refusals of the present round.
    refused: BTreeMap<Id, Term>,
    /// The newest round that ended without a leader.
    failed: Option<Ballot>,
    denials: BTreeMap<Id, Denial>,
}

impl Tally {
    /// A round begins.
    pub(super) fn clear(&mut self) {
        self.refused.clear();
    }
}

impl Machine {
    /// The round of votes that is under way here.
    pub fn ballot(&self) -> Option<Ballot> {
        let (pre, term) = match self.role {
            Role::PreCandidate => (true, self.hard.term.next()),
            Role::Candidate => (false, self.hard.term),
            Role::Follower | Role::Leader => return None,
        };
        let members = self.log.members();
        let mut ballot = Ballot {
            pre,
            term,
            quorum: members.quorum(),
            granted: self.votes.clone(),
            refused: self.tally.refused.clone(),
            unanswered: members.voters.keys().copied().collect(),
        };
        ballot.granted.retain(|id| members.is_voter(*id));
        ballot
            .unanswered
            .retain(|id| !ballot.granted.contains(id) && !ballot.refused.contains_key(id));
        Some(ballot)
    }

    /// The newest round of votes that ended without a leader, until one is known.
    pub fn failed_ballot(&self) -> Option<&Ballot> {
        self.tally.failed.as_ref()
    }

    /// The votes refused since the last call, the newest for each candidate.
    pub fn take_denials(&mut self) -> impl Iterator<Item = Denial> + use<> {
        mem::take(&mut self.tally.denials).into_values()
    }

    /// A round of votes ends, if one is under way.
    pub(super) fn close_ballot(&mut self) {
        if let Some(ballot) = self.ballot() {
            self.tally.failed = Some(ballot);
        }
        self.tally.refused.clear();
    }

    /// A leader is known.
    pub(super) fn clear_ballots(&mut self) {
        self.tally.failed = None;
        self.tally.refused.clear();
    }

    /// Takes note of a refused vote. To be called before the message's term is
    /// looked at: a refusal of a newer term ends the round.
    pub(super) fn record_refusal(&mut self, from: Id, message: &Message) {
        let Body::VoteReply(reply) = &message.body else {
            return;
        };
        let asked = match self.role {
            Role::PreCandidate => reply.pre,
            Role::Candidate => !reply.pre && message.term >= self.hard.term,
            Role::Follower | Role::Leader => false,
        };
        if asked && !reply.granted && self.log.members().is_voter(from) {
            self.tally.refused.insert(from, message.term);
        }
    }

    pub(super) fn record_denial(
        &mut self,
        to: Id,
        term: Term,
        request: &VoteRequest,
        reason: Reason,
    ) {
        let denial = Denial {
            to,
            pre: request.pre,
            term,
            last: Position {
                term: request.last_term,
                index: request.last_index,
            },
            reason,
        };
        let denials = &mut self.tally.denials;
        if denials.len() < MAX_DENIALS || denials.contains_key(&to) {
            denials.insert(to, denial);
        }
    }
}
