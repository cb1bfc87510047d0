//! Lines on votes: why nobody leads.

use std::collections::BTreeSet;

use almondlock_base::time::Mono;
use almondlock_quorum::{
    machine::{Ballot, Reason},
    member::Id,
};

use super::{
    super::{Core, Stage},
    name::List,
};

/// The most candidates whose last refusal is kept.
const CANDIDATES: usize = 16;

/// What a line on a missing leader says.
#[derive(PartialEq, Eq)]
pub(super) enum Outcome {
    /// A round of votes failed.
    Failed {
        pre: bool,
        quorum: usize,
        granted: BTreeSet<Id>,
        refused: BTreeSet<Id>,
        unanswered: BTreeSet<Id>,
    },
    /// This replica has no vote.
    Voteless(&'static str),
}

impl From<&Ballot> for Outcome {
    fn from(ballot: &Ballot) -> Outcome {
        Outcome::Failed {
            pre: ballot.is_pre_vote,
            quorum: ballot.quorum,
            granted: ballot.granted.clone(),
            refused: ballot.refused.keys().copied().collect(),
            unanswered: ballot.unanswered.clone(),
        }
    }
}

impl Core {
    /// Logs why this replica leads nobody, while no leader is known.
    pub(super) fn log_leaderless(&mut self, now: Mono) {
        let Some(since) = self.logged.leaderless else {
            return;
        };
        let span = now.since(since);
        if span < self.quorum.election_timeout() {
            return;
        }
        let leaderless_ms = millis(span);
        if let Some(standing) = self.voteless() {
            if self.logged.failed.is_due(now, Outcome::Voteless(standing)) {
                let term = self.machine.term().0;
                tracing::warn!(standing, leaderless_ms, term, "no leader, no vote here");
            }
            return;
        }
        let Some(ballot) = self.machine.failed_ballot().cloned() else {
            return;
        };
        if !self.logged.failed.is_due(now, Outcome::from(&ballot)) {
            return;
        }
        let refused = ballot.refused.iter();
        let refused = refused.map(|(id, term)| format!("{} in term {}", self.name(*id), term.0));
        let last = self.machine.last_index().0;
        tracing::warn!(
            pre = ballot.is_pre_vote,
            term = ballot.term.0,
            quorum = ballot.quorum,
            voters = self.machine.members().voters.len(),
            granted = %self.names(&ballot.granted),
            refused = %List(refused.collect()),
            unanswered = %self.names(&ballot.unanswered),
            last,
            leaderless_ms,
            "no leader, votes are missing"
        );
    }

    /// What this replica is, if it has no vote.
    fn voteless(&self) -> Option<&'static str> {
        let members = self.machine.members();
        match self.stage {
            Stage::Gathering => Some("gathering"),
            Stage::Founding => Some("founding"),
            Stage::Running if members.is_voter(self.own.id) => None,
            Stage::Running if members.contains(self.own.id) => Some("learner"),
            Stage::Running => Some("outside"),
        }
    }

    /// Logs the votes that this replica refuses, for each candidate.
    pub(super) fn log_denials(&mut self, now: Mono) {
        for denial in self.machine.take_denials() {
            let told = &mut self.logged.denials;
            if told.len() >= CANDIDATES && !told.contains_key(&denial.candidate) {
                told.pop_first();
            }
            let told = told.entry(denial.candidate).or_default();
            if !told.is_due(now, denial.reason) {
                continue;
            }
            let reason = match denial.reason {
                Reason::LeaderHeard => "a leader is heard",
                Reason::LogBehind => "its log is behind",
                Reason::VoteGiven => "the vote is given",
                Reason::OldTerm => "its term is old",
            };
            let (last, own_last) = (denial.last, self.machine.last_position());
            tracing::info!(
                candidate = %self.name(denial.candidate),
                pre = denial.is_pre_vote,
                term = denial.term.0,
                own_term = self.machine.term().0,
                reason,
                last = last.index.0,
                last_term = last.term.0,
                own_last = own_last.index.0,
                own_last_term = own_last.term.0,
                "vote refused"
            );
        }
    }
}

pub(super) fn millis(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
