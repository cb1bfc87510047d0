//! Who leads.
//!
//! Before it raises its term, a replica asks whether it could win at all
//! (pre-vote), and those that hear a leader say no. So a replica that was cut
//! off for minutes returns without unseating anyone. A leader that hasn't heard
//! a majority for one election timeout steps down, so a silent minority stops
//! answering as if it led.

use almondlock_base::time::Mono;
use rand::Rng;

use super::{Cause, Machine, Reason, Role, progress::Progress};
use crate::{
    entry::{Payload, Term},
    member::{Id, Members},
    message::{AppendReply, Body, Message, VoteReply, VoteRequest},
};

/// Doublings of the time between elections at the most. The longest election timeout bounds it
/// long before.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

/// The longest wait after failed elections, in election timeouts, before it is spread.
const MAX_BACKOFF_TIMEOUTS: u32 = 4;

impl Machine {
    pub(super) fn reset_election_timer(&mut self, now: Mono) {
        if !self.has_known_leader {
            return self.schedule_early_election(now);
        }
        let least = self.config.election_timeout;
        self.election_at = now + least + least.mul_f64(self.rng.random_range(0.0..1.0));
    }

    /// Waits for an election to end that this replica stands in, or gave its vote in.
    ///
    /// **Failure.** Votes take longer to be synced than a candidate waits, or than its voters do
    /// before they stand themselves. Each election is given up for the next one, and nobody leads
    /// for as long as the disks are slow. So the wait begins when the vote is synced here, and
    /// each time that it was too short it doubles.
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

    /// The first time to stand for election after a start: soon, because all
    /// replicas may have started together, and until one leads nobody is told
    /// what is in force. Where there is a leader, those that hear it refuse
    /// the question that comes before an election, and its next heartbeat puts
    /// this one off.
    ///
    /// **Failure.** Two replicas stand at the same moment and get half of the votes each. Until
    /// one stands again nobody leads, and hosts that have started with them serve nobody. So
    /// the next rounds come soon too, further apart each time: votes on slow disks may take
    /// longer than a round.
    pub(super) fn schedule_early_election(&mut self, now: Mono) {
        let doublings = self
            .election_attempts
            .saturating_sub(1)
            .min(MAX_BACKOFF_DOUBLINGS);
        let least = self.config.heartbeat_interval * 2_u32.pow(doublings);
        let least = least.min(self.config.election_timeout);
        self.election_at = now + least + least.mul_f64(self.rng.random_range(0.0..1.5));
    }

    /// Becomes a follower in this term, of this leader if one is known.
    pub(super) fn become_follower(&mut self, now: Mono, term: Term, leader: Option<Id>) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
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

    /// A leader of this term spoke.
    pub(super) fn hear_leader(&mut self, now: Mono, leader: Id) {
        if self.role != Role::Follower || self.leader != Some(leader) {
            self.become_follower(now, self.hard.term, Some(leader));
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
        self.hard.term = self.hard.term.next();
        self.hard.vote = Some(self.id);
        self.leader_heard = None;
        // Its own vote counts once it is on disk, as any other: forgotten in a
        // crash, it could be given to another in the same term.
        self.output.mark_hard_state_changed();
        self.request_votes(false);
    }

    fn request_votes(&mut self, pre: bool) {
        let body = Body::VoteRequest(VoteRequest {
            pre,
            last_index: self.log.last(),
            last_term: self.log.last_term(),
        });
        let others = self.other_voters();
        for to in others {
            if pre {
                let message = Message {
                    term: self.hard.term.next(),
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
        // Entries of earlier terms count as accepted only together with one of
        // this term (replication::advance_commit), so there must be one.
        self.append_as_leader(Payload::Empty);
    }

    /// Keeps one progress for each other member. Those removed stay until that
    /// is accepted, so that they hear of it.
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
        if request.pre {
            let hears_leader = self.hears_leader(now);
            let granted = complete && term > self.hard.term && !hears_leader;
            if !granted {
                let reason = match (hears_leader, complete) {
                    (true, _) => Reason::LeaderHeard,
                    (false, false) => Reason::LogBehind,
                    (false, true) => Reason::OldTerm,
                };
                self.record_denial(from, term, &request, reason);
            }
            let body = Body::VoteReply(VoteReply { pre: true, granted });
            let term = if granted { term } else { self.hard.term };
            self.output.send(from, Message { term, body });
            return;
        }
        let free = match self.hard.vote {
            None => self.leader.is_none(),
            Some(vote) => vote == from,
        };
        let granted = free && complete;
        if !granted {
            let reason = match (free, self.hard.vote) {
                (true, _) => Reason::LogBehind,
                (false, None) => Reason::LeaderHeard,
                (false, Some(_)) => Reason::VoteGiven,
            };
            self.record_denial(from, term, &request, reason);
        }
        if granted && self.hard.vote.is_none() {
            self.become_follower(now, term, None);
            self.hard.vote = Some(from);
            self.output.mark_hard_state_changed();
            self.reset_election_timer(now);
        }
        let reply = VoteReply {
            pre: false,
            granted,
        };
        self.send_synced(from, Body::VoteReply(reply));
    }

    /// Whether this follower hears a leader and knows to be accepted all that
    /// the leader said to be. A leader that has accepted nothing of its own term
    /// doesn't know yet what its predecessor accepted, so it doesn't count.
    pub fn is_current(&self, now: Mono) -> bool {
        let said = self.leader_commit.filter(|said| *said <= self.commit);
        let own = said.is_some_and(|said| self.log.term(said) == Some(self.hard.term));
        own && !self.is_leader() && self.hears_leader(now)
    }

    /// Whether this replica leads, or heard a leader of the present term within an election
    /// timeout.
    pub fn hears_leader(&self, now: Mono) -> bool {
        let recent = |at: Mono| now.since(at) < self.config.election_timeout;
        self.is_leader() || (self.leader.is_some() && self.leader_heard.is_some_and(recent))
    }

    pub(super) fn on_vote_reply(&mut self, now: Mono, from: Id, term: Term, reply: VoteReply) {
        let wanted = match self.role {
            Role::PreCandidate => reply.pre && term == self.hard.term.next(),
            Role::Candidate => !reply.pre && term == self.hard.term,
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

    /// Tells a speaker of an older term of the present one, so that an old
    /// leader steps down and a candidate catches up.
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
                let pre = request.pre;
                let reply = VoteReply {
                    pre,
                    granted: false,
                };
                self.send_synced(from, Body::VoteReply(reply));
            }
            _ => {}
        }
    }

    /// Steps down unless a majority was heard within one election timeout.
    pub(super) fn check_quorum(&mut self, now: Mono) {
        if now.since(self.elected_at) >= self.config.election_timeout
            && !self.has_recent_quorum(now, self.log.members())
        {
            self.become_follower(now, self.hard.term, None);
        }
    }

    /// Of a leader: whether a majority of these was heard within one election timeout.
    pub(super) fn has_recent_quorum(&self, now: Mono, members: &Members) -> bool {
        members.has_quorum(|id| {
            let heard = self.peers.get(&id).and_then(|peer| peer.heard);
            id == self.id || heard.is_some_and(|at| now.since(at) < self.config.election_timeout)
        })
    }

    /// Hands leadership to the voter that has the most, for a graceful stop. Gives that
    /// voter.
    ///
    /// From now on no entry is written, since voters that hold one which the successor lacks
    /// would refuse it their vote. The successor is told once it has all.
    pub fn transfer_leadership(&mut self, now: Mono) -> Option<Id> {
        let to = self.best_voter(now)?;
        self.successor = Some(to);
        self.notify_successor(to);
        Some(to)
    }

    /// Of a leader: the other voter that has the most, of those that were heard within an
    /// election timeout if there are any; of equals the one that was heard last.
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

    /// Tells a replica to stand for election if it is the successor and has all entries.
    pub(super) fn notify_successor(&mut self, id: Id) {
        let has_all = self.matched(id) == Some(self.log.last());
        if self.successor == Some(id) && has_all {
            self.send(id, Body::TimeoutNow);
        }
    }

    /// Steps down at once in favour of the voter that has the most.
    pub(super) fn step_down(&mut self, now: Mono) {
        if let Some(to) = self.best_voter(now) {
            self.send(to, Body::TimeoutNow);
        }
        self.become_follower(now, self.hard.term, None);
    }
}
