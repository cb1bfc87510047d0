//! The Raft protocol of one replica of one group, without I/O.
//!
//! A driver passes messages, ticks, proposals and notices of finished syncs to a
//! [`Machine`] and takes its [`Output`] after one or more calls. The driver writes to disk in
//! order, sends messages at once and in any order, and applies committed entries in order.
//! The machine holds back each message that depends on a write until [`Machine::synced`]
//! reports that write, so that a driver can't get this order wrong.
//!
//! The modules: `election` (elections and leadership), `replication` (the leader's appends),
//! `append` (a follower's handling of appends), `snapshot` (snapshots sent in pieces),
//! `read` (linearizable reads), `change` (membership changes), `ballot` (records of votes
//! for diagnosis), `progress` (the leader's view of each replica) and `output` (what the
//! driver has to do).

mod append;
mod ballot;
mod change;
mod election;
mod output;
mod progress;
mod read;
mod replication;
mod snapshot;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use almondlock_base::time::Mono;
use rand::{SeedableRng, rngs::SmallRng};

pub use self::{
    ballot::{Ballot, Denial, Reason},
    output::Output,
    read::Grant,
};
use crate::{
    config::Config,
    entry::{Entry, HardState, Index, Payload, Position, Snapshot, Term},
    error::Error,
    log::Log,
    member::{Id, Members},
    message::{Body, Message},
    storage::Loaded,
};

/// The role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The replica follows a leader, or waits for one.
    Follower,
    /// The replica asks in a pre-vote whether it could win an election.
    PreCandidate,
    /// The replica stands for election.
    Candidate,
    /// The replica leads.
    Leader,
}

/// Why a replica stands for election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The replica heard no leader for an election timeout.
    Silence,
    /// The leader asked the replica to take over.
    HandOver,
}

/// The protocol state of one replica of one group.
#[derive(Debug)]
pub struct Machine {
    config: Config,
    id: Id,
    hard_state: HardState,
    log: Log,
    role: Role,
    leader: Option<Id>,
    // Invariant: never decreases; entries up to it are held by a majority.
    commit: Index,
    // The driver was given all entries up to this index. Invariant: `delivered <= commit`.
    delivered: Index,
    // Invariant: the entries of the current log up to this index are synced here.
    durable: Index,
    rng: SmallRng,
    // The time at which a replica that doesn't lead starts a pre-vote.
    election_at: Mono,
    // Whether a leader, possibly this replica, has been known since the start.
    has_known_leader: bool,
    // The number of elections that this replica started since it last knew a leader.
    election_attempts: u32,
    // The time at which the leader of the current term was last heard.
    leader_heard: Option<Mono>,
    // Follower only: the time at which it last answered an append without waiting for a sync, or
    // first heard its leader.
    answered_at: Mono,
    // The highest commit index that a leader announced in the current term.
    leader_commit: Option<Index>,
    // The replicas that granted their vote in the current ballot.
    votes: BTreeSet<Id>,
    tally: ballot::Tally,
    // The cause of the last election that this replica started.
    cause: Option<Cause>,
    // Leader only: the replication progress of the other members.
    peers: BTreeMap<Id, progress::Progress>,
    heartbeat_at: Mono,
    // The commit index at the time of the last heartbeats.
    recent_commit: Index,
    // Leader only: the time at which it was elected.
    elected_at: Mono,
    // Leader only: the voter to which it transfers leadership. Invariant: no entry is appended
    // while it is set.
    successor: Option<Id>,
    // The reads that wait to be confirmed.
    reads: read::Queue,
    // Follower only: the snapshot that is being received.
    incoming: Option<snapshot::Incoming>,
    // Leader only: whether entries were appended since the last replication.
    unsent: bool,
    output: output::Pending,
}

impl Machine {
    /// Creates a follower from the state loaded from disk.
    pub fn new(config: Config, id: Id, loaded: Loaded, now: Mono) -> Machine {
        let snapshot = loaded.snapshot.unwrap_or_else(|| {
            Arc::new(Snapshot {
                index: Index::ZERO,
                term: Term::ZERO,
                members: Arc::default(),
                data: Arc::from([]),
            })
        });
        let start = snapshot.index;
        let log = Log::new(snapshot, loaded.entries);
        let mut machine = Machine {
            rng: SmallRng::seed_from_u64(config.seed ^ id.0),
            durable: log.last(),
            config,
            id,
            hard_state: loaded.hard_state,
            log,
            role: Role::Follower,
            leader: None,
            commit: start,
            delivered: start,
            election_at: now,
            has_known_leader: false,
            election_attempts: 0,
            leader_heard: None,
            answered_at: now,
            leader_commit: None,
            votes: BTreeSet::new(),
            tally: ballot::Tally::default(),
            cause: None,
            peers: BTreeMap::new(),
            heartbeat_at: now,
            recent_commit: Index::ZERO,
            elected_at: now,
            successor: None,
            reads: read::Queue::default(),
            incoming: None,
            unsent: false,
            output: output::Pending::default(),
        };
        machine.schedule_early_election(now);
        machine
    }

    /// Handles a message. The caller guarantees that it comes from the replica `from`.
    pub fn receive(&mut self, now: Mono, from: Id, message: Message) {
        self.record_refusal(from, &message);
        if message.term > self.hard_state.term && !is_pre_vote(&message.body) {
            self.become_follower(now, message.term, None);
        }
        if message.term < self.hard_state.term {
            self.reply_to_stale(from, message.term, &message.body);
            return;
        }
        match message.body {
            Body::VoteRequest(request) => self.on_vote_request(now, from, message.term, request),
            Body::VoteReply(reply) => self.on_vote_reply(now, from, message.term, reply),
            Body::Append(append) => self.on_append(now, from, append),
            Body::AppendReply(reply) => self.on_append_reply(now, from, reply),
            Body::Piece(piece) => self.on_piece(now, from, piece),
            Body::PieceReply(reply) => self.on_piece_reply(now, from, reply),
            Body::TimeoutNow => self.on_timeout_now(),
        }
    }

    /// Handles timeouts and heartbeats that are due. Call it several times per heartbeat interval.
    pub fn tick(&mut self, now: Mono) {
        if self.role == Role::Leader {
            self.tick_leader(now);
        } else if now >= self.election_at && self.output.is_hard_state_synced() {
            self.start_pre_vote(now);
        }
    }

    /// Appends a command to the log, if this replica leads. The command is accepted once an
    /// entry with the position's term and index is committed.
    pub fn propose(&mut self, data: Arc<[u8]>) -> Result<Position, Error> {
        self.check_writer()?;
        if self.log.last().0 - self.commit.0 >= self.config.max_uncommitted {
            return Err(Error::busy("too many entries wait to be committed"));
        }
        Ok(self.append_as_leader(Payload::Command(data)))
    }

    /// Reports that all writes up to this sequence number are on disk, with file and folder synced.
    pub fn synced(&mut self, now: Mono, sequence: u64) {
        let waited = !self.output.is_hard_state_synced();
        let done = self.output.synced(sequence);
        if waited && self.output.is_hard_state_synced() {
            self.back_off_election(now);
        }
        if let Some(position) = done
            && self.log.term(position.index) == Some(position.term)
        {
            self.durable = self.durable.max(position.index);
        }
        match self.role {
            Role::Candidate if self.output.is_hard_state_synced() => {
                self.count_vote(now, self.id);
            }
            Role::Leader => self.advance_commit(now),
            _ => {}
        }
    }

    /// Stores a snapshot of the state machine's state at an applied index, so that entries up to
    /// that index can be dropped. Ignored if it is not newer than the last snapshot.
    pub fn compact(&mut self, index: Index, data: Arc<[u8]>) {
        let Some(term) = self.log.term(index) else {
            return;
        };
        if index > self.delivered || index <= self.log.snapshot().index {
            return;
        }
        let snapshot = Arc::new(Snapshot {
            index,
            term,
            members: Arc::clone(self.log.members_at(index)),
            data,
        });
        self.output.save(Arc::clone(&snapshot));
        let (retain, bytes) = (self.config.retain_entries, self.config.retain_bytes);
        self.log.compact(snapshot, retain, bytes);
    }

    /// Returns the work for the driver since the last call. Entries proposed since the last call
    /// are sent together.
    pub fn take(&mut self, now: Mono) -> Output {
        if std::mem::take(&mut self.unsent) && self.is_leader() {
            self.replicate_all(now);
        }
        let first = self.delivered.next();
        let committed = (first.0..=self.commit.0)
            .map_while(|index| self.log.get(Index(index)).cloned())
            .collect();
        self.delivered = self.commit;
        let (hard_state, log) = (self.hard_state, &self.log);
        self.output.take(hard_state, log, committed)
    }

    /// Whether this replica believes that it leads.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Returns the voter to which this replica transfers its leadership.
    pub fn successor(&self) -> Option<Id> {
        self.successor.filter(|_| self.is_leader())
    }

    /// Returns the replica's current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the cause of the current election, if this replica is a candidate.
    pub fn election_cause(&self) -> Option<Cause> {
        self.cause.filter(|_| self.role == Role::Candidate)
    }

    /// Returns the replica's identity.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Returns the replica's settings.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the newest term that the replica has seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    /// Returns the index of the last entry known to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// Returns the index of the last entry of the log, committed or not.
    pub fn last_index(&self) -> Index {
        self.log.last()
    }

    /// Returns the index and term of the last entry of the log.
    pub fn last_position(&self) -> Position {
        Position {
            term: self.log.last_term(),
            index: self.log.last(),
        }
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        self.log.snapshot()
    }

    /// Returns the members in force at this replica, committed or not.
    pub fn members(&self) -> &Arc<Members> {
        self.log.members()
    }

    /// Whether the members in force at this replica are known to be committed.
    pub fn has_committed_members(&self) -> bool {
        self.log.members_index() <= self.commit
    }

    /// Returns the term of an entry, if it is held in memory.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        self.log.term(index)
    }

    /// Returns the last index up to which another replica has synced the leader's log. `None` if
    /// this replica doesn't lead.
    pub fn matched(&self, id: Id) -> Option<Index> {
        self.peers.get(&id).map(|peer| peer.matched)
    }

    /// Returns the time at which the leader last heard another replica in this term.
    pub fn last_heard(&self, id: Id) -> Option<Mono> {
        self.peers.get(&id).and_then(|peer| peer.heard)
    }

    /// Returns the time at which the leader last heard another replica that held all entries or
    /// more than before. A replica whose disk hangs still answers, but doesn't advance.
    pub fn last_advanced(&self, id: Id) -> Option<Mono> {
        self.peers.get(&id).and_then(|peer| peer.advanced)
    }

    /// Returns the time at which this replica was last elected leader.
    pub fn leader_since(&self) -> Mono {
        self.elected_at
    }

    fn check_leader(&self) -> Result<(), Error> {
        if self.is_leader() {
            Ok(())
        } else {
            Err(Error::not_leader(self.leader))
        }
    }

    /// Returns an error unless this replica leads and is not transferring its leadership.
    fn check_writer(&self) -> Result<(), Error> {
        self.check_leader()?;
        match self.successor {
            None => Ok(()),
            Some(_) => Err(Error::not_leader(self.successor)),
        }
    }

    fn append_as_leader(&mut self, payload: Payload) -> Position {
        let position = Position {
            term: self.hard_state.term,
            index: self.log.last().next(),
        };
        self.append_entry(Entry {
            index: position.index,
            term: position.term,
            payload,
        });
        self.unsent = true;
        position
    }

    fn append_entry(&mut self, entry: Entry) {
        self.output.mark_entries_written(entry.index);
        self.log.push(entry);
    }

    fn send(&mut self, to: Id, body: Body) {
        let term = self.hard_state.term;
        self.output.send(to, Message { term, body });
    }

    /// Sends a message once all writes so far are synced.
    fn send_synced(&mut self, to: Id, body: Body) {
        let term = self.hard_state.term;
        self.output.hold(to, Message { term, body });
    }
}

fn is_pre_vote(body: &Body) -> bool {
    match body {
        Body::VoteRequest(request) => request.is_pre_vote,
        Body::VoteReply(reply) => reply.is_pre_vote && reply.granted,
        _ => false,
    }
}
