//! Elections, and how leaders step down or transfer their leadership.
//!
//! Before a replica raises its term, it asks in a pre-vote whether it could win, and replicas
//! that hear a leader refuse. So a replica that was cut off for minutes returns without
//! disturbing the leader. A leader that hasn't heard a majority for one election timeout
//! steps down, so a leader cut off with a minority stops serving.

use almondlock_base::time::Mono;
use rand::Rng;

use super::{Cause, Machine, Reason, Role, progress::Progress};
use crate::{
    entry::{Payload, Term},
    member::{Id, Members},
    message::{AppendReply, Body, Message, VoteReply, VoteRequest},
};

/// Maximum number of doublings of the time between elections. It only prevents an overflow: the
/// limits in election timeouts are reached earlier.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

/// The longest wait after failed elections, in election timeouts, before the random part is added.
const MAX_BACKOFF_TIMEOUTS: u32 = 4;

impl Machine {
    pub(super) fn reset_election_timer(&mut self, now: Mono) {
        if !self.has_known_leader {
            return self.schedule_early_election(now);
        }
        let least = self.config.election_timeout;
        self.election_at = now + least + least.mul_f64(self.rng.random_range(0.0..1.0));
    }

    /// Schedules the next election after the current one, in which this replica is a candidate or
    /// has voted.
    ///
    /// **Failure.** On slow disks a vote takes longer to sync than the candidate or the voters wait
    /// before they start the next election. Each election is abandoned for the next one, and
    /// nobody leads while the disks are slow. Therefore the wait begins when the vote is synced
    /// here, and doubles after each failed election.
    pub(super) fn back_off_election(&mut self, now: Mono) {
        let failed = self
            .election_attempts
            .saturating_sub(1)
            .min(MAX_BACKOFF_DOUBLINGS);
        let (usual, spread) = match self.has_known_leader {
            true => (self.config.election_timeout, 1.0),
            false => (self.config.heartbeat_interval, 1.5),
        };
        let least = usual * 2_u32.pow(failed);
        let least = least.min(self.config.election_timeout * MAX_BACKOFF_TIMEOUTS);
        self.election_at = now + least + least.mul_f64(self.rng.random_range(0.0..spread));
    }

    /// Schedules an election while no leader has been known since the start.
    ///
    /// The first election comes soon, because all replicas may have started together, and without
    /// a leader the hosts get no configuration. If there is a leader, the replicas that hear it
    /// refuse the pre-vote, and its next heartbeat resets the timer.
    ///
    /// **Failure.** Two replicas stand at the same moment and get half of the votes each. Until
    /// one stands again nobody leads, and hosts that started with them serve no requests. So
    /// the next elections come soon too, with growing intervals, since votes on slow disks may
    /// take longer than an interval.
    pub(super) fn schedule_early_election(&mut self, now: Mono) {
        let doublings = self
            .election_attempts
            .saturating_sub(1)
            .min(MAX_BACKOFF_DOUBLINGS);
        let least = self.config.heartbeat_interval * 2_u32.pow(doublings);
        let least = least.min(self.config.election_timeout);
        self.election_at = now + least + least.mul_f64(self.rng.random_range(0.0..1.5));
    }

    /// Becomes a follower in this term, and of this leader if one is given.
    pub(super) fn become_follower(&mut self, now: Mono, term: Term, leader: Option<Id>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.leader_heard = None;
            self.leader_commit = None;
            self.output.mark_hard_state_changed();
        }
        self.close_ballot();
        if leader.is_some() {
            self.clear_ballots();
        }
        if self.role != Role::Follower {
            self.reset_election_timer(now);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.peers.clear();
        self.successor = None;
        self.reject_reads();
    }

    /// Records that the leader of this term was heard.
    pub(super) fn hear_leader(&mut self, now: Mono, leader: Id) {
        if self.role != Role::Follower || self.leader != Some(leader) {
            self.become_follower(now, self.hard_state.term, Some(leader));
            self.answered_at = now;
        }
        self.leader_heard = Some(now);
        self.has_known_leader = true;
        self.election_attempts = 0;
        self.reset_election_timer(now);
    }

    pub(super) fn start_pre_vote(&mut self, now: Mono) {
        self.reset_election_timer(now);
        if !self.log.members().is_voter(self.id) {
            return;
        }
        self.close_ballot();
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes.clear();
        self.request_votes(true);
        self.count_vote(now, self.id);
    }

    fn start_election(&mut self, cause: Cause) {
        self.election_attempts = self.election_attempts.saturating_add(1);
        self.cause = Some(cause);
        self.tally.clear();
        self.role = Role::Candidate;
        self.leader = None;
        self.votes.clear();
        self.hard_state.term = self.hard_state.term.next();
        self.hard_state.vote = Some(self.id);
        self.leader_heard = None;
        // The replica's own vote also counts only once it is on disk. If a crash lost
        // it, the replica could vote for another candidate in the same term.
        self.output.mark_hard_state_changed();
        self.request_votes(false);
    }

    fn request_votes(&mut self, pre: bool) {
        let body = Body::VoteRequest(VoteRequest {
            is_pre_vote: pre,
            last_index: self.log.last(),
            last_term: self.log.last_term(),
        });
        let others = self.other_voters();
        for to in others {
            if pre {
                let message = Message {
                    term: self.hard_state.term.next(),
                    body: body.clone(),
                };
                self.output.send(to, message);
            } else {
                self.send_synced(to, body.clone());
            }
        }
    }

    fn other_voters(&self) -> Vec<Id> {
        let voters = self.log.members().voters.keys();
        voters.copied().filter(|id| *id != self.id).collect()
    }

    pub(super) fn count_vote(&mut self, now: Mono, from: Id) {
        self.votes.insert(from);
        let votes = &self.votes;
        if !self.log.members().has_quorum(|id| votes.contains(&id)) {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(Cause::Silence),
            Role::Candidate => self.become_leader(now),
            Role::Follower | Role::Leader => {}
        }
    }

    fn become_leader(&mut self, now: Mono) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.clear_ballots();
        self.has_known_leader = true;
        self.election_attempts = 0;
        self.elected_at = now;
        self.heartbeat_at = now + self.config.heartbeat_interval;
        self.add_missing_peers();
        // Entries of earlier terms are committed only together with one of this term
        // (`advance_commit`), so the leader appends one.
        self.append_as_leader(Payload::Empty);
    }

    /// Adds a progress for each other member that has none. Removed members keep theirs until the
    /// removal is committed, so that they learn of it.
    pub(super) fn add_missing_peers(&mut self) {
        let members = self.log.members();
        let (id, next) = (self.id, self.log.last().next());
        for member in members.iter().filter(|m| m.id != id) {
            self.peers
                .entry(member.id)
                .or_insert_with(|| Progress::new(next));
        }
    }

    pub(super) fn on_vote_request(
        &mut self,
        now: Mono,
        from: Id,
        term: Term,
        request: VoteRequest,
    ) {
        let complete =
            (request.last_term, request.last_index) >= (self.log.last_term(), self.log.last());
        if request.is_pre_vote {
            let hears_leader = self.hears_leader(now);
            let granted = complete && term > self.hard_state.term && !hears_leader;
            if !granted {
                let reason = match (hears_leader, complete) {
                    (true, _) => Reason::LeaderHeard,
                    (false, false) => Reason::LogBehind,
                    (false, true) => Reason::OldTerm,
                };
                self.record_denial(from, term, &request, reason);
            }
            let body = Body::VoteReply(VoteReply {
                is_pre_vote: true,
                granted,
            });
            let term = if granted { term } else { self.hard_state.term };
            self.output.send(from, Message { term, body });
            return;
        }
        let free = match self.hard_state.vote {
            None => self.leader.is_none(),
            Some(vote) => vote == from,
        };
        let granted = free && complete;
        if !granted {
            let reason = match (free, self.hard_state.vote) {
                (true, _) => Reason::LogBehind,
                (false, None) => Reason::LeaderHeard,
                (false, Some(_)) => Reason::VoteGiven,
            };
            self.record_denial(from, term, &request, reason);
        }
        if granted && self.hard_state.vote.is_none() {
            self.become_follower(now, term, None);
            self.hard_state.vote = Some(from);
            self.output.mark_hard_state_changed();
            self.reset_election_timer(now);
        }
        let reply = VoteReply {
            is_pre_vote: false,
            granted,
        };
        self.send_synced(from, Body::VoteReply(reply));
    }

    /// Whether this follower hears a leader and has committed everything that the leader announced
    /// as committed. A leader that has not committed an entry of its own term doesn't know yet
    /// what its predecessor committed, so its announcements don't count.
    pub fn is_current(&self, now: Mono) -> bool {
        let said = self.leader_commit.filter(|said| *said <= self.commit);
        let own = said.is_some_and(|said| self.log.term(said) == Some(self.hard_state.term));
        own && !self.is_leader() && self.hears_leader(now)
    }

    /// Whether this replica leads, or heard the leader of the current term within the last election
    /// timeout.
    pub fn hears_leader(&self, now: Mono) -> bool {
        let recent = |at: Mono| now.since(at) < self.config.election_timeout;
        self.is_leader() || (self.leader.is_some() && self.leader_heard.is_some_and(recent))
    }

    pub(super) fn on_vote_reply(&mut self, now: Mono, from: Id, term: Term, reply: VoteReply) {
        let wanted = match self.role {
            Role::PreCandidate => reply.is_pre_vote && term == self.hard_state.term.next(),
            Role::Candidate => !reply.is_pre_vote && term == self.hard_state.term,
            Role::Follower | Role::Leader => false,
        };
        if wanted && reply.granted {
            self.count_vote(now, from);
        }
    }

    pub(super) fn on_timeout_now(&mut self) {
        if self.role == Role::Follower && self.log.members().is_voter(self.id) {
            self.start_election(Cause::HandOver);
        }
    }

    /// Replies to a message of an older term with the current term, so that an old leader steps
    /// down and a candidate adopts the term.
    pub(super) fn reply_to_stale(&mut self, from: Id, term: Term, body: &Body) {
        match body {
            Body::Append(append) => {
                let reply = AppendReply {
                    matched: false,
                    index: self.log.last(),
                    round: append.round,
                };
                self.send_synced(from, Body::AppendReply(reply));
            }
            Body::Piece(_) => {
                let reply = AppendReply {
                    matched: false,
                    index: self.log.last(),
                    round: 0,
                };
                self.send_synced(from, Body::AppendReply(reply));
            }
            Body::VoteRequest(request) => {
                self.record_denial(from, term, request, Reason::OldTerm);
                let pre = request.is_pre_vote;
                let reply = VoteReply {
                    is_pre_vote: pre,
                    granted: false,
                };
                self.send_synced(from, Body::VoteReply(reply));
            }
            _ => {}
        }
    }

    /// Steps down unless a majority was heard within the last election timeout.
    pub(super) fn check_quorum(&mut self, now: Mono) {
        if now.since(self.elected_at) >= self.config.election_timeout
            && !self.has_recent_quorum(now, self.log.members())
        {
            self.become_follower(now, self.hard_state.term, None);
        }
    }

    /// Whether this leader heard a majority of `members` within the last election timeout.
    pub(super) fn has_recent_quorum(&self, now: Mono, members: &Members) -> bool {
        members.has_quorum(|id| {
            let heard = self.peers.get(&id).and_then(|peer| peer.heard);
            id == self.id || heard.is_some_and(|at| now.since(at) < self.config.election_timeout)
        })
    }

    /// Transfers leadership to the voter that holds the most entries, for a graceful stop. Returns
    /// that voter.
    ///
    /// From now on no entry is appended, since voters that hold an entry which the successor
    /// lacks would refuse to vote for it. The successor is asked to take over once it holds all
    /// entries.
    pub fn transfer_leadership(&mut self, now: Mono) -> Option<Id> {
        let to = self.best_voter(now)?;
        self.successor = Some(to);
        self.notify_successor(to);
        Some(to)
    }

    /// Chooses another successor if the present one has been silent for an election timeout.
    ///
    /// **Failure.** The successor is lost just as the leader is told to stop. The leader keeps the
    /// majority that remains, but appends nothing while it waits for the successor.
    pub(super) fn check_successor(&mut self, now: Mono) {
        let Some(successor) = self.successor else {
            return;
        };
        let heard = self.peers.get(&successor).and_then(|peer| peer.heard);
        let recent = |at: Mono| now.since(at) < self.config.election_timeout;
        if !heard.is_some_and(recent) {
            self.transfer_leadership(now);
        }
    }

    /// Returns the other voter that holds the most entries, if this replica leads. Voters heard
    /// within the last election timeout are preferred; among equals, the one heard last.
    fn best_voter(&self, now: Mono) -> Option<Id> {
        let voters = &self.log.members().voters;
        let best = self
            .peers
            .iter()
            .filter(|(id, _)| voters.contains_key(id))
            .max_by_key(|(_, peer)| {
                let recent = |at: Mono| now.since(at) < self.config.election_timeout;
                (peer.heard.is_some_and(recent), peer.matched, peer.heard)
            })
            .map(|(id, _)| *id);
        best.filter(|_| self.is_leader())
    }

    /// Asks a replica to stand for election if it is the successor and holds all entries.
    pub(super) fn notify_successor(&mut self, id: Id) {
        let has_all = self.matched(id) == Some(self.log.last());
        if self.successor == Some(id) && has_all {
            self.send(id, Body::TimeoutNow);
        }
    }

    /// Steps down at once and asks the voter that holds the most entries to take over.
    pub(super) fn step_down(&mut self, now: Mono) {
        if let Some(to) = self.best_voter(now) {
            self.send(to, Body::TimeoutNow);
        }
        self.become_follower(now, self.hard_state.term, None);
    }
}
