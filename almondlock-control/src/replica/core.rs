//! What the replica's thread holds: the log's machine, the state, and who
//! waits for what. Nothing here waits itself.

mod ending;
mod greeting;
mod log;
mod report;
mod sight;

use std::{
    collections::{BTreeMap, HashMap},
    mem,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use almondlock_base::{Code, time::Mono, unit::Revision};
use almondlock_node::Vouch;
use almondlock_quorum::{
    entry::{Entry, Index, Payload, Position, Term},
    machine::{Machine, Output},
    member::{Change, Id, Member, Members},
    storage::Loaded,
};
use almondlock_spread::view::View;
use almondlock_state::{
    command::{Command, Reply},
    instance::Heartbeat,
    machine::Machine as State,
};
use tokio::sync::oneshot;

use self::ending::Stop;
use super::{
    config::{Config, Initial},
    disk::{Report, Thread},
    founding::{Gathering, Greeting},
    peers::{Parcel, Peers},
    refusal::Refusal,
};

/// A snapshot is begun at the latest after this many bytes of commands: some
/// carry whole answers, and all wait in memory until a snapshot stands for them.
const SNAPSHOT_BYTES: usize = 64 << 20;

/// The most addresses that greetings may add. Members are always listed.
const ADDRESSES: usize = 256;

pub(super) type Answer<T> = oneshot::Receiver<Result<T, Refusal>>;
type Asker<T> = oneshot::Sender<Result<T, Refusal>>;

/// Who waits for an entry.
enum Waiting {
    Command(Asker<Reply>),
    Change(Asker<()>),
}

impl Waiting {
    fn refuse(self, refusal: Refusal) {
        // Whoever waited may have left.
        match self {
            Waiting::Command(asker) => drop(asker.send(Err(refusal))),
            Waiting::Change(asker) => drop(asker.send(Err(refusal))),
        }
    }
}

/// What a member said that stops.
#[derive(Clone, Copy)]
struct Leaving {
    /// When it was last said.
    at: Mono,
    /// It goes on voting until it is out of the group.
    stays: bool,
}

/// Where the replica stands towards the group.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// On an empty folder: it doesn't know of a group yet, and takes no part.
    Gathering,
    /// It decided on a group, or was told of one, and writes that down.
    Founding,
    /// It takes part as its log says, or waits to be added.
    Running,
}

pub(super) struct Core {
    own: Member,
    initial: Vec<Initial>,
    founds: bool,
    // Whether a leader exchanges members by itself.
    repairs: bool,
    // The longest time for which a replica that stops waits for its exchange.
    stop_time: Duration,
    quorum: almondlock_quorum::config::Config,
    machine: Machine,
    pub(super) state: State,
    // Invariant: `state` is the result of all entries up to here.
    applied: Index,
    view: View,
    vouch: Vouch,
    disk: Thread,
    peers: Peers,
    stage: Stage,
    pub(super) gathering: Gathering,
    greeted_at: Option<Mono>,
    // Members that said that they stop.
    leaving: HashMap<Id, Leaving>,
    // The leader that was told of them.
    told_leader: Option<Id>,
    // This replica stops.
    stopping: Option<Stop>,
    // Where replicas were last said to be. Those that are not, or no longer,
    // members here stay: a newcomer answers a leader before its log names one,
    // and a removed replica is told of its removal.
    addresses: HashMap<Id, SocketAddr>,
    // The members last put into `addresses`.
    listed: Arc<Members>,
    waiting: BTreeMap<Index, (Term, Waiting)>,
    reads: HashMap<u64, Asker<()>>,
    next_read: u64,
    snapshot_every: u64,
    // The index at which the last snapshot was begun.
    snapshot_at: Index,
    // Bytes of commands applied since.
    snapshot_bytes: usize,
    snapshot: Option<oneshot::Receiver<(Index, Vec<u8>)>>,
    logged: log::Logged,
    // Invariant: once set it stays; nothing is said or promised from then on.
    pub(super) stopped: Option<Refusal>,
}

impl Core {
    pub(super) fn new(
        config: &Config,
        id: Id,
        loaded: Loaded,
        disk: Thread,
        (view, vouch): (View, Vouch),
    ) -> Result<Core, Refusal> {
        let own = Member {
            id,
            name: config.name.clone(),
            address: config.address,
            domain: config.domain.clone(),
        };
        let stage = match loaded.is_empty() {
            true => Stage::Gathering,
            false => Stage::Running,
        };
        let now = almondlock_node::clock::mono();
        let quorum = config.quorum.clone();
        let silence = quorum.election_timeout() * 2;
        let machine = Machine::new(quorum.clone(), id, loaded, now);
        let mut core = Core {
            peers: Peers::new(config, id, silence),
            own,
            initial: config.initial.clone(),
            founds: config.founds,
            repairs: config.repairs,
            stop_time: config.stop_time,
            quorum,
            state: State::new(),
            applied: Index::ZERO,
            machine,
            view,
            vouch,
            disk,
            stage,
            gathering: Gathering::default(),
            greeted_at: None,
            leaving: HashMap::new(),
            told_leader: None,
            stopping: None,
            addresses: HashMap::new(),
            listed: Arc::default(),
            waiting: BTreeMap::new(),
            reads: HashMap::new(),
            next_read: 0,
            snapshot_every: config.snapshot,
            snapshot_at: Index::ZERO,
            snapshot_bytes: 0,
            snapshot: None,
            logged: log::Logged::default(),
            stopped: None,
        };
        let snapshot = Arc::clone(core.machine.snapshot());
        core.restore(snapshot.index, &snapshot.data)?;
        Ok(core)
    }

    pub(super) fn is_leader(&self) -> bool {
        self.stopped.is_none() && self.machine.is_leader()
    }

    pub(super) fn check(&self) -> Result<(), Refusal> {
        match &self.stopped {
            Some(refusal) => Err(refusal.clone()),
            None if self.machine.is_leader() => Ok(()),
            None => Err(Refusal::not_leader(self.leader())),
        }
    }

    /// The leader's address, if it is another replica.
    pub(super) fn leader(&self) -> Option<SocketAddr> {
        let leader = self.machine.leader().filter(|id| *id != self.own.id)?;
        self.address(leader)
    }

    fn address(&self, id: Id) -> Option<SocketAddr> {
        self.addresses.get(&id).copied()
    }

    fn list_members(&mut self) {
        let members = self.machine.members();
        if !Arc::ptr_eq(members, &self.listed) {
            let before = mem::replace(&mut self.listed, Arc::clone(members));
            let gone = before.iter().filter(|member| !members.contains(member.id));
            gone.for_each(|member| self.gathering.forget(member.id));
            let addresses = self.listed.iter().map(|m| (m.id, m.address));
            self.addresses.extend(addresses);
        }
    }

    pub(super) fn propose(&mut self, bytes: Vec<u8>) -> Result<Answer<Reply>, Refusal> {
        self.check()?;
        let position = self.machine.propose(Arc::from(bytes))?;
        let (asker, answer) = oneshot::channel();
        self.expect(position, Waiting::Command(asker));
        Ok(answer)
    }

    pub(super) fn change(&mut self, now: Mono, change: &Change) -> Result<Answer<()>, Refusal> {
        self.check()?;
        let changed = self
            .machine
            .propose_change(now, change)
            .map_err(Refusal::from);
        self.note_change(change, changed.as_ref().err());
        let position = changed?;
        let (asker, answer) = oneshot::channel();
        self.expect(position, Waiting::Change(asker));
        Ok(answer)
    }

    fn expect(&mut self, position: Position, waiting: Waiting) {
        let old = self
            .waiting
            .insert(position.index, (position.term, waiting));
        if let Some((_, old)) = old {
            // Proposed in an earlier term, at a place that was overwritten.
            old.refuse(Refusal::not_leader(None));
        }
    }

    pub(super) fn read(&mut self, now: Mono) -> Result<Answer<()>, Refusal> {
        self.check()?;
        let token = self.next_read;
        self.next_read += 1;
        let (asker, answer) = oneshot::channel();
        self.reads.insert(token, asker);
        self.machine.request_read(now, token)?;
        Ok(answer)
    }

    pub(super) fn tick(&mut self, now: Mono) {
        if self.stopped.is_some() {
            return;
        }
        self.machine.tick(now);
        self.take_snapshot();
        self.prepare_end(now);
        self.greet(now);
    }

    fn hand_over(&mut self, now: Mono) {
        if let Some(to) = self.machine.transfer_leadership(now) {
            let (term, matched) = (self.machine.term().0, self.machine.matched(to));
            let (last, matched) = (self.machine.last_index().0, matched.map(|index| index.0));
            tracing::info!(%to, term, matched, last, "hands leadership over");
        }
    }

    pub(super) fn close(&mut self) {
        self.peers.close();
        self.stop(Refusal::new(Code::HostStopping, "the replica was stopped"));
    }

    fn stop(&mut self, refusal: Refusal) {
        if self.stopped.is_some() {
            return;
        }
        if refusal.code == Code::HostStopping {
            tracing::info!("the replica has stopped");
        } else {
            tracing::error!(%refusal, "the replica has stopped");
        }
        for (_, waiting) in mem::take(&mut self.waiting).into_values() {
            waiting.refuse(refusal.clone());
        }
        self.reads.clear();
        self.stopped = Some(refusal);
    }

    /// A message of another replica.
    pub(super) fn receive(&mut self, now: Mono, from: Id, parcel: Parcel) {
        if self.stopped.is_some() {
            return;
        }
        match parcel {
            // Before it knows whether it is of the group, a replica must not
            // be counted by anybody.
            Parcel::Message(_) if self.stage != Stage::Running => {}
            Parcel::Message(message) => self.machine.receive(now, from, message),
            Parcel::Greeting(greeting) => self.on_greeting(now, from, *greeting),
            // Of a member. Taken for a newcomer's, it would bring back one that is lost.
            Parcel::Heartbeats(..) => {}
        }
    }

    pub(super) fn on_disk(&mut self, now: Mono, report: Report) {
        match report {
            Report::Synced(sequence) => self.machine.synced(now, sequence),
            Report::Founded(loaded) => {
                self.machine = Machine::new(self.quorum.clone(), self.own.id, loaded, now);
                self.stage = Stage::Running;
                self.greet_all();
            }
            Report::Failed(error) => self.stop(error.into()),
        }
    }

    /// Carries out what the machine wants done.
    pub(super) fn settle(&mut self, now: Mono) {
        if self.stopped.is_some() {
            return;
        }
        let Output {
            write,
            messages,
            restore,
            committed,
            grants,
        } = self.machine.take(now);
        self.list_members();
        self.log_beliefs(now);
        self.tell_leaving(now);
        if let Some(write) = write {
            self.disk.write(write);
        }
        for envelope in messages {
            if let Some(address) = self.address(envelope.to) {
                let parcel = Parcel::Message(envelope.message);
                self.peers.send(address, parcel);
            }
        }
        if let Some(snapshot) = restore
            && let Err(refusal) = self.restore(snapshot.index, &snapshot.data)
        {
            return self.stop(refusal);
        }
        for entry in committed {
            if let Err(refusal) = self.apply(&entry) {
                return self.stop(refusal);
            }
        }
        for grant in grants {
            // Everything up to the grant's index was applied just now.
            let Some(asker) = self.reads.remove(&grant.token) else {
                continue;
            };
            let granted = grant.index.map(drop);
            let _ = asker.send(granted.ok_or_else(|| Refusal::not_leader(self.leader())));
        }
    }

    /// Whether a follower holds all that was accepted up to an election timeout ago, and
    /// hears the leader.
    pub(super) fn is_current(&self, now: Mono) -> bool {
        let applied = self.applied == self.machine.commit_index();
        self.stopped.is_none() && applied && self.machine.is_current(now)
    }

    /// Tells the leader of heartbeats that were taken here. False if none is known.
    pub(super) fn tell_leader(&mut self, heartbeats: Vec<Heartbeat>) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let greeting = Greeting::newcomer(self.own.clone());
        let parcel = Parcel::Heartbeats(Box::new(greeting), heartbeats);
        self.peers.send(leader, parcel);
        true
    }

    /// The state held everything accepted before `now`. Only a leader knows that, after a
    /// confirmed read; followers learn it in the exchange of sources.
    pub(super) fn vouch(&self, now: Mono) {
        self.vouch.at(now);
    }

    fn restore(&mut self, index: Index, data: &[u8]) -> Result<(), Refusal> {
        if index > Index::ZERO {
            let mut state = State::restore(data)
                .map_err(|e| Refusal::new(Code::StorageFailed, e.to_string()))?;
            // The view shares its text with the state before.
            state.share_document(&self.state);
            self.state = state;
            self.applied = index;
            self.snapshot_at = index;
            self.view.replace(self.state.config().clone());
            // Whether these were among the entries that the snapshot stands
            // for is not known.
            let rest = self.waiting.split_off(&index.next());
            for (_, waiting) in mem::replace(&mut self.waiting, rest).into_values() {
                waiting.refuse(Refusal::of(Code::NoQuorum));
            }
        }
        Ok(())
    }

    fn apply(&mut self, entry: &Entry) -> Result<(), Refusal> {
        self.applied = entry.index;
        self.snapshot_bytes += entry.payload.size();
        let waiting = self.waiting.remove(&entry.index);
        let reply = match &entry.payload {
            Payload::Command(data) => Some(self.apply_command(data)?),
            Payload::Empty | Payload::Members(_) => None,
        };
        match (waiting, reply) {
            (None, _) => {}
            (Some((term, waiting)), _) if term != entry.term => {
                // Another leader's entry took the place: it never will be.
                waiting.refuse(Refusal::not_leader(self.leader()));
            }
            (Some((_, Waiting::Command(asker))), Some(reply)) => drop(asker.send(Ok(reply))),
            (Some((_, Waiting::Change(asker))), _) => drop(asker.send(Ok(()))),
            (Some((_, waiting)), None) => waiting.refuse(Refusal::of(Code::NoQuorum)),
        }
        Ok(())
    }

    /// Applies a command. One that can't be read was written by a newer version:
    /// passing over it would make this replica's state another than the rest's,
    /// so it stops until it is upgraded.
    fn apply_command(&mut self, data: &[u8]) -> Result<Reply, Refusal> {
        let command = Command::from_slice(data).map_err(|e| {
            let message = format!("a command in the log can't be read by this version: {e}");
            Refusal::new(Code::StorageFailed, message)
        })?;
        let applied = self.state.apply(command);
        // The state isn't what the other replicas made of the same log. Going on would
        // spread the difference.
        if let Reply::Refused { code, message } = &applied.reply
            && *code == Code::StorageFailed
        {
            return Err(Refusal::new(*code, message.clone()));
        }
        let first = applied.changes.first().map(|(revision, _)| *revision);
        let changes = applied.changes.into_iter().map(|(_, change)| change);
        if !self
            .view
            .extend(first.unwrap_or(Revision::ZERO.next()), changes)
        {
            self.view.replace(self.state.config().clone());
        }
        Ok(applied.reply)
    }

    /// Begins a snapshot when it is time, and hands a finished one to the log.
    /// The state is copied here and turned into bytes on another thread, so
    /// that a large one doesn't hold up heartbeats.
    fn take_snapshot(&mut self) {
        if let Some(running) = &mut self.snapshot {
            match running.try_recv() {
                Ok((index, data)) => self.machine.compact(index, Arc::from(data)),
                Err(oneshot::error::TryRecvError::Empty) => return,
                Err(oneshot::error::TryRecvError::Closed) => {}
            }
            self.snapshot = None;
        }
        let entries = self.applied.0 - self.snapshot_at.0;
        if entries < self.snapshot_every && self.snapshot_bytes < SNAPSHOT_BYTES {
            return;
        }
        self.snapshot_at = self.applied;
        self.snapshot_bytes = 0;
        let (index, state) = (self.applied, self.state.clone());
        let (done, running) = oneshot::channel();
        self.snapshot = Some(running);
        tokio::task::spawn_blocking(move || drop(done.send((index, state.snapshot()))));
    }

    pub(super) fn members(&self) -> Arc<Members> {
        Arc::clone(self.machine.members())
    }
}
