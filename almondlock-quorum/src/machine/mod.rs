//! The protocol of one replica of one group, without I/O.
//!
//! Whoever drives a machine hands it messages, ticks, proposals and notices of
//! finished syncs, and after each call (or several) takes its [`Output`]: the
//! write goes to the disk in order, messages go out at once and in any order,
//! committed entries are applied in order. What must not be said before it is
//! on disk is held back here until [`Machine::synced`], so a driver can't get
//! that order wrong.
//!
//! The parts: `election` (who leads), `replication` (entries to others),
//! `append` (entries from the leader), `snapshot` (whole states in pieces),
//! `read` (reads that are never stale), `change` (membership), `ballot` (what is
//! known of votes).

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

/// What a replica is at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It follows a leader, or waits for one.
    Follower,
    /// It asks whether it could win an election.
    PreCandidate,
    /// It stands for election.
    Candidate,
    /// It leads.
    Leader,
}

/// Why a replica stands for election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No leader was heard for an election timeout.
    Silence,
    /// The leader told it to, since it stops.
    HandOver,
}

/// One replica of one group.
#[derive(Debug)]
pub struct Machine {
    config: Config,
    id: Id,
    hard: HardState,
    log: Log,
    role: Role,
    leader: Option<Id>,
    // Invariant: never goes down; entries up to it are held by a majority.
    commit: Index,
    // Invariant: `delivered <= commit`; the driver was given all entries up to it.
    delivered: Index,
    // Invariant: the entries up to it, of the present log, are synced here.
    durable: Index,
    rng: SmallRng,
    // When to stand for election, for all but a leader.
    election_at: Mono,
    // A leader was known in this life, or it was this replica.
    has_known_leader: bool,
    // How often it stood for election since it knew a leader.
    election_attempts: u32,
    // When a leader of the present term was last heard.
    leader_heard: Option<Mono>,
    // Of a follower: when it last answered its leader before a sync, or first heard it.
    answered_at: Mono,
    // What the present term's leader last said to be accepted.
    leader_commit: Option<Index>,
    votes: BTreeSet<Id>,
    tally: ballot::Tally,
    // Why it last stood for election.
    cause: Option<Cause>,
    // Of a leader: the others, by identity.
    peers: BTreeMap<Id, progress::Progress>,
    heartbeat_at: Mono,
    // The commit index when the last heartbeats went out.
    recent_commit: Index,
    // Of a leader: since when it has led.
    elected_at: Mono,
    // Of a leader: whom it hands leadership to. Invariant: no entry is appended while it is set.
    successor: Option<Id>,
    reads: read::Queue,
    incoming: Option<snapshot::Incoming>,
    // Of a leader: entries were appended that no message holds yet.
    unsent: bool,
    output: output::Pending,
}

impl Machine {
    /// Starts from what the disk holds.
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
            hard: loaded.hard,
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

    /// Takes in a message. Whoever calls vouches for `from`.
    pub fn receive(&mut self, now: Mono, from: Id, message: Message) {
        self.record_refusal(from, &message);
        if message.term > self.hard.term && !is_pre_vote(&message.body) {
            self.become_follower(now, message.term, None);
        }
        if message.term < self.hard.term {
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

    /// Lets time pass. To be called a few times per heartbeat.
    pub fn tick(&mut self, now: Mono) {
        if self.role == Role::Leader {
            self.tick_leader(now);
        } else if now >= self.election_at && self.output.is_hard_state_synced() {
            self.start_pre_vote(now);
        }
    }

    /// Puts a command into the log, if this replica leads. It is accepted when
    /// an entry of the position's term and index comes out committed.
    pub fn propose(&mut self, data: Arc<[u8]>) -> Result<Position, Error> {
        self.check_writer()?;
        if self.log.last().0 - self.commit.0 >= self.config.max_uncommitted {
            return Err(Error::busy("too many entries wait for a quorum"));
        }
        Ok(self.append_as_leader(Payload::Command(data)))
    }

    /// All writes up to this sequence number are on disk, file and folder
    /// synced.
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

    /// Gives the state machine's state at an applied index, so that entries
    /// before it can be forgotten. Older ones than the last are passed over.
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

    /// What to do now. Nothing in it comes a second time. Entries proposed since
    /// the last call go out together.
    pub fn take(&mut self, now: Mono) -> Output {
        if std::mem::take(&mut self.unsent) && self.is_leader() {
            self.replicate_all(now);
        }
        let first = self.delivered.next();
        let committed = (first.0..=self.commit.0)
            .map_while(|index| self.log.get(Index(index)).cloned())
            .collect();
        self.delivered = self.commit;
        let (hard, log) = (self.hard, &self.log);
        self.output.take(hard, log, committed)
    }

    /// Whether this replica leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// What this replica is.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Why it stands for election, if it does.
    pub fn election_cause(&self) -> Option<Cause> {
        self.cause.filter(|_| self.role == Role::Candidate)
    }

    /// Its identity.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Its settings.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The newest term it has seen.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// The leader of the present term, as far as known.
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    /// The last entry known to be accepted.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// The last entry of the log, accepted or not.
    pub fn last(&self) -> Index {
        self.log.last()
    }

    /// The last entry of the log with its term.
    pub fn last_position(&self) -> Position {
        Position {
            term: self.log.last_term(),
            index: self.log.last(),
        }
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        self.log.snapshot()
    }

    /// The members in force here, accepted or not.
    pub fn members(&self) -> &Arc<Members> {
        self.log.members()
    }

    /// Whether the members in force here are known to be accepted.
    pub fn has_accepted_members(&self) -> bool {
        self.log.members_index() <= self.commit
    }

    /// The term of an entry that is held here.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        self.log.term(index)
    }

    /// Of a leader: up to where another replica has everything synced.
    pub fn matched(&self, id: Id) -> Option<Index> {
        self.peers.get(&id).map(|peer| peer.matched)
    }

    /// Of a leader: when another replica was last heard in this term.
    pub fn heard(&self, id: Id) -> Option<Mono> {
        self.peers.get(&id).and_then(|peer| peer.heard)
    }

    /// Of a leader: when another replica was last heard and held all entries, or more than
    /// before. One whose disk hangs answers and doesn't come to hold more.
    pub fn advanced(&self, id: Id) -> Option<Mono> {
        self.peers.get(&id).and_then(|peer| peer.advanced)
    }

    /// Of a leader: since when it has led.
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

    /// Whether this replica leads and writes entries.
    fn check_writer(&self) -> Result<(), Error> {
        self.check_leader()?;
        match self.successor {
            None => Ok(()),
            Some(_) => Err(Error::not_leader(self.successor)),
        }
    }

    fn append_as_leader(&mut self, payload: Payload) -> Position {
        let position = Position {
            term: self.hard.term,
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
        let term = self.hard.term;
        self.output.send(to, Message { term, body });
    }

    /// Sends once all that was written so far is synced.
    fn send_synced(&mut self, to: Id, body: Body) {
        let term = self.hard.term;
        self.output.hold(to, Message { term, body });
    }
}

fn is_pre_vote(body: &Body) -> bool {
    match body {
        Body::VoteRequest(request) => request.pre,
        Body::VoteReply(reply) => reply.pre && reply.granted,
        _ => false,
    }
}
