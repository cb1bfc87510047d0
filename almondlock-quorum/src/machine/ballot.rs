//! Records of votes requested, granted and refused, to diagnose why there is no leader. They
//! don't affect elections.

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

/// The maximum number of denials kept until they are taken.
const MAX_DENIALS: usize = 16;

/// A pre-vote or an election that this replica started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ballot {
    /// Whether this is a pre-vote, which only asks whether the votes would be granted.
    pub is_pre_vote: bool,
    /// The term that the votes are for.
    pub term: Term,
    /// The number of votes needed to win.
    pub quorum: usize,
    /// The voters that granted their vote.
    pub granted: BTreeSet<Id>,
    /// The voters that refused, with the term of each refusal.
    pub refused: BTreeMap<Id, Term>,
    /// The voters that have not answered. This replica is among them until its
    /// own vote is synced.
    pub unanswered: BTreeSet<Id>,
}

/// A vote that this replica refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denial {
    /// The candidate.
    pub candidate: Id,
    /// Whether the candidate asked for a pre-vote.
    pub is_pre_vote: bool,
    /// The term that the vote was for.
    pub term: Term,
    /// The candidate's last entry.
    pub last: Position,
    /// The reason for the refusal.
    pub reason: Reason,
}

/// Why a vote was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// This replica hears from a current leader, or leads.
    LeaderHeard,
    /// The candidate lacks entries that are held here.
    LogBehind,
    /// This replica voted for another candidate in that term.
    VoteGiven,
    /// This replica knows a term at least as new as the one that the vote was for.
    OldTerm,
}

/// Refused votes and failed ballots, kept for diagnosis.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// The voters that refused in the current ballot, with the term of each refusal.
    refused: BTreeMap<Id, Term>,
    /// The newest ballot that ended without a leader.
    failed: Option<Ballot>,
    /// The newest denial for each candidate since they were last taken.
    denials: BTreeMap<Id, Denial>,
}

impl Tally {
    /// Clears the refusals when an election begins.
    pub(super) fn clear(&mut self) {
        self.refused.clear();
    }
}

impl Machine {
    /// Returns the current ballot, if this replica stands for election or asks for pre-votes.
    pub fn ballot(&self) -> Option<Ballot> {
        let (pre, term) = match self.role {
            Role::PreCandidate => (true, self.hard_state.term.next()),
            Role::Candidate => (false, self.hard_state.term),
            Role::Follower | Role::Leader => return None,
        };
        let members = self.log.members();
        let mut ballot = Ballot {
            is_pre_vote: pre,
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

    /// Returns the newest ballot that ended without a leader, until a leader is known.
    pub fn failed_ballot(&self) -> Option<&Ballot> {
        self.tally.failed.as_ref()
    }

    /// Returns the newest denial for each candidate since the last call.
    pub fn take_denials(&mut self) -> impl Iterator<Item = Denial> + use<> {
        mem::take(&mut self.tally.denials).into_values()
    }

    /// Ends the current ballot, if any, and keeps it as failed.
    pub(super) fn close_ballot(&mut self) {
        if let Some(ballot) = self.ballot() {
            self.tally.failed = Some(ballot);
        }
        self.tally.refused.clear();
    }

    /// Clears the records of ballots, since a leader is known.
    pub(super) fn clear_ballots(&mut self) {
        self.tally.failed = None;
        self.tally.refused.clear();
    }

    /// Records the refusal of a vote. Must be called before the message's term is
    /// handled, since a refusal with a newer term ends the ballot.
    pub(super) fn record_refusal(&mut self, from: Id, message: &Message) {
        let Body::VoteReply(reply) = &message.body else {
            return;
        };
        let asked = match self.role {
            Role::PreCandidate => reply.is_pre_vote,
            Role::Candidate => !reply.is_pre_vote && message.term >= self.hard_state.term,
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
            candidate: to,
            is_pre_vote: request.is_pre_vote,
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
