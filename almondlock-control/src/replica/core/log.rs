//! What the log tells of the group: its members, who leads, and why nobody does.
//! Lines are bounded: each is written when what it says has changed, at most once a
//! second, and some again after a while for as long as they hold.

mod ballots;
mod changes;
mod name;
mod silence;
mod told;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use almondlock_base::time::Mono;
use almondlock_quorum::{
    entry::Term,
    machine::Reason,
    member::{Change, Id, Member, Members},
};

use self::{name::List, silence::Watch, told::Told};
use super::Core;
use crate::replica::{refusal::Refusal, repair::PRESENT, status::Counts};

/// What the log last told.
#[derive(Default)]
pub(super) struct Logged {
    // What the lines told, counted.
    pub(super) counts: Counts,
    leader: Option<Id>,
    // Since when no leader has been known.
    leaderless: Option<Mono>,
    // The term of the last candidacy.
    candidacy: Term,
    members: Option<(Arc<Members>, bool)>,
    newcomers: Told<Vec<Id>>,
    failed: Told<ballots::Outcome>,
    denials: BTreeMap<Id, Told<Reason>>,
    // Of a leader: the other members.
    watched: BTreeMap<Id, Watch>,
    // What became of the last change asked for.
    change: Option<(Change, Option<Refusal>)>,
    refused: Told<(Change, String)>,
    looked_at: Option<Mono>,
}

impl Core {
    /// Logs what has changed.
    pub(super) fn log_beliefs(&mut self, now: Mono) {
        self.log_members();
        self.log_change(now);
        self.log_candidacy();
        self.log_leader(now);
        self.log_denials(now);
        // The rest changes with time only, or can wait a moment.
        let due = |at: Mono| now.since(at) >= self.quorum.heartbeat_interval();
        if self.logged.looked_at.is_none_or(due) {
            self.logged.looked_at = Some(now);
            self.log_silence(now);
            self.log_leaderless(now);
            self.log_newcomers(now);
        }
    }

    /// Logs the members in force here, at the start and at each change of them or of whether
    /// they are known to be accepted.
    fn log_members(&mut self) {
        let members = self.machine.members();
        let accepted = self.machine.has_committed_members();
        if let Some((logged, was)) = &self.logged.members
            && *was == accepted
            && (Arc::ptr_eq(logged, members) || logged == members)
        {
            return;
        }
        let known = self.logged.members.as_ref();
        let changed = known.is_some_and(|(logged, _)| logged != members);
        self.logged.counts.memberships += u64::from(changed);
        self.logged.members = Some((Arc::clone(members), accepted));
        let own = self.own.id;
        if members.iter().next().is_none() {
            tracing::info!(%own, "no members known");
            return;
        }
        let term = self.machine.term().0;
        let (commit, last) = (self.machine.commit_index().0, self.machine.last_index().0);
        tracing::info!(
            %own,
            votes = members.is_voter(own),
            voters = %List::of(members.voters.values()),
            learners = %List::of(members.learners.values()),
            quorum = members.quorum(),
            accepted,
            term,
            commit,
            last,
            "members in force"
        );
    }

    /// Logs each candidacy of this replica once.
    fn log_candidacy(&mut self) {
        let term = self.machine.term();
        let Some(cause) = self.machine.election_cause() else {
            return;
        };
        if term > self.logged.candidacy {
            self.logged.candidacy = term;
            self.logged.counts.elections += 1;
            let last = self.machine.last_index().0;
            tracing::info!(term = term.0, ?cause, last, "stands for election");
        }
    }

    /// Logs the leader when it has changed.
    fn log_leader(&mut self, now: Mono) {
        let leader = self.machine.leader();
        self.logged.leaderless = match leader {
            Some(_) => None,
            None => self.logged.leaderless.or(Some(now)),
        };
        if leader == self.logged.leader {
            return;
        }
        self.logged.leader = leader;
        self.logged.counts.leaders += u64::from(leader.is_some());
        let leader = leader.map_or_else(|| "none".to_owned(), |id| id.to_string());
        let (term, commit) = (self.machine.term().0, self.machine.commit_index().0);
        let leads = self.machine.is_leader();
        tracing::info!(%leader, term, commit, leads, "leader changed");
    }

    /// Logs that a member said that it stops.
    pub(super) fn log_leaving(&self, id: Id, stays: bool) {
        let member = self.name(id);
        tracing::info!(%member, stays, "member stops");
    }

    /// Logs what is left undone by a replica that ends before the group has agreed to go on
    /// without it.
    pub(super) fn log_unfinished_end(&self, waited: Duration) {
        let members = self.machine.members();
        let leader = self.machine.leader().map(|id| id.to_string());
        tracing::warn!(
            waited_ms = waited.as_millis(),
            leader = leader.as_deref().unwrap_or("none"),
            voters = %List::of(members.voters.values()),
            learners = %List::of(members.learners.values()),
            accepted = self.machine.has_committed_members(),
            "ends although the group has not agreed to go on without this replica"
        );
    }

    /// Logs who asks to join, as this replica was told.
    fn log_newcomers(&mut self, now: Mono) {
        let members = self.machine.members();
        let present = self.gathering.present(now, PRESENT).into_iter();
        let present = present.map(|newcomer| newcomer.member);
        let present: Vec<Member> = present.filter(|m| !members.contains(m.id)).collect();
        let ids: Vec<Id> = present.iter().map(|newcomer| newcomer.id).collect();
        let told = &mut self.logged.newcomers;
        let due = match present.is_empty() {
            true => told.was_told() && told.is_news(now, ids),
            false => told.is_due(now, ids),
        };
        if due {
            let newcomers = List::of(&present);
            tracing::info!(%newcomers, "replicas ask to join");
        }
    }
}
