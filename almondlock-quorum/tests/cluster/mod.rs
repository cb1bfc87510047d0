//! A simulated cluster: machines with a network and disks in memory, all driven by one seeded
//! generator and checked after every step.

// Each test file uses only some of these items.
#![allow(dead_code, unreachable_pub)]

mod check;
mod network;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use almondlock_base::time::Mono;
use almondlock_quorum::{
    config::Config,
    entry::{Entry, Index, Payload},
    machine::Machine,
    member::{Change, Id, Member, Members},
    storage::{Loaded, Write},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use self::{check::History, network::Network};

/// The milliseconds between steps.
const STEP: u64 = 5;

/// The state machine of these tests: a register, and a chain of hashes over all applied entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    pub index: Index,
    pub register: u64,
    pub chain: u64,
}

impl State {
    fn apply(&mut self, entry: &Entry) {
        assert_eq!(entry.index, self.index.next(), "entries come in order");
        self.index = entry.index;
        if let Payload::Command(data) = &entry.payload {
            self.register = u64::from_le_bytes(data[..8].try_into().unwrap());
        }
        let mix = self.chain ^ self.register.rotate_left(17) ^ entry.term.0;
        self.chain = mix.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31);
    }

    fn save(&self) -> Arc<[u8]> {
        let words = [self.index.0, self.register, self.chain];
        words.iter().flat_map(|w| w.to_le_bytes()).collect()
    }

    fn restore(data: &[u8]) -> State {
        let word = |i: usize| {
            let bytes = data.get(8 * i..8 * i + 8);
            bytes.map_or(0, |b| u64::from_le_bytes(b.try_into().unwrap()))
        };
        State {
            index: Index(word(0)),
            register: word(1),
            chain: word(2),
        }
    }
}

pub struct Node {
    pub id: Id,
    pub member: Member,
    pub machine: Option<Machine>,
    pub state: State,
    pub disk: Loaded,
    pub writes: VecDeque<Write>,
    /// Whether writes are synced only where a test calls `Cluster::sync`.
    pub slow: bool,
    /// The duration of each sync in milliseconds, or `None` for random syncs.
    pub sync_millis: Option<u64>,
    // The end of the running sync, and the number of writes that it covers.
    syncing: Option<(u64, usize)>,
    /// Whether the process hangs.
    pub paused: bool,
    compacted: Index,
}

#[derive(Clone, Copy)]
pub struct Faults {
    pub drop: f64,
    pub double: f64,
    pub delay: u64,
    pub crash: f64,
    pub partition: f64,
    pub wipe: f64,
    pub pause: f64,
}

pub const CALM: Faults = Faults {
    drop: 0.0,
    double: 0.0,
    delay: 3,
    crash: 0.0,
    partition: 0.0,
    wipe: 0.0,
    pause: 0.0,
};

pub const STORM: Faults = Faults {
    drop: 0.05,
    double: 0.05,
    delay: 60,
    crash: 0.01,
    partition: 0.01,
    wipe: 0.002,
    pause: 0.05,
};

pub struct Cluster {
    pub nodes: Vec<Node>,
    pub network: Network,
    pub history: History,
    pub faults: Faults,
    pub now: u64,
    pub rng: SmallRng,
    pub next_id: u64,
    pub tokens: BTreeMap<u64, Index>,
    pub retain: u64,
    pub compact_every: u64,
    /// The maximum number of payload bytes in one append.
    pub batch: usize,
    value: u64,
}

impl Cluster {
    pub fn new(seed: u64, size: u64) -> Cluster {
        let members: Vec<Member> = (1..=size).map(Member::sample).collect();
        let founding = Members::of_voters(members.clone());
        let mut cluster = Cluster {
            nodes: Vec::new(),
            network: Network::default(),
            history: History::default(),
            faults: CALM,
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            next_id: size + 1,
            tokens: BTreeMap::new(),
            retain: 8,
            compact_every: 40,
            batch: 100,
            value: 0,
        };
        for member in members {
            cluster.add_node(member, Loaded::initial(founding.clone()));
        }
        (0..cluster.nodes.len()).for_each(|n| cluster.start(n));
        cluster
    }

    pub fn add_node(&mut self, member: Member, disk: Loaded) {
        self.nodes.push(Node {
            id: member.id,
            member,
            machine: None,
            state: State::default(),
            disk,
            writes: VecDeque::new(),
            slow: false,
            sync_millis: None,
            syncing: None,
            paused: false,
            compacted: Index::ZERO,
        });
    }

    pub fn mono(&self) -> Mono {
        Mono::from_millis(self.now)
    }

    pub fn start(&mut self, n: usize) {
        let config = Config::builder()
            .retain_entries(self.retain)
            .piece_bytes(10)
            .append_bytes(self.batch)
            .append_window(4)
            .seed(self.rng.random())
            .build()
            .unwrap();
        let now = self.mono();
        let node = &mut self.nodes[n];
        node.disk.drop_conflicting_entries();
        let snapshot = node.disk.snapshot.clone();
        node.state = snapshot.map_or_else(State::default, |s| State::restore(&s.data));
        node.compacted = node.state.index;
        node.machine = Some(Machine::new(config, node.id, node.disk.clone(), now));
    }

    /// Stops the process. Some of the unsynced writes reach the disk.
    pub fn crash(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        let reached = self.rng.random_range(0..=node.writes.len());
        for write in node.writes.drain(..).take(reached) {
            node.disk.apply(&write);
        }
        node.machine = None;
        node.syncing = None;
    }

    /// Stops the process and removes the last synced entries from its disk.
    pub fn cut(&mut self, n: usize, entries: usize) {
        self.crash(n);
        let disk = &mut self.nodes[n].disk;
        let left = disk.entries.len().saturating_sub(entries);
        disk.entries.truncate(left);
    }

    /// Replaces the disk by an empty one, so that the host returns under a new identity.
    pub fn wipe(&mut self, n: usize) {
        self.crash(n);
        let mut member = Member::sample(self.next_id);
        member.domain = self.nodes[n].member.domain.clone();
        self.next_id += 1;
        let node = &mut self.nodes[n];
        node.disk = Loaded::default();
        node.id = member.id;
        node.member = member;
        self.start(n);
    }

    pub fn node_of(&self, id: Id) -> Option<usize> {
        self.nodes.iter().position(|n| n.id == id)
    }

    /// Returns the leader of the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| {
            self.nodes[*n]
                .machine
                .as_ref()
                .is_some_and(|m| m.is_leader())
        };
        (0..self.nodes.len())
            .filter(leads)
            .max_by_key(|n| self.nodes[*n].machine.as_ref().map(|m| m.term()))
    }

    pub fn propose(&mut self, n: usize) -> bool {
        self.value += 1;
        let data = Arc::from(self.value.to_le_bytes());
        let machine = self.nodes[n].machine.as_mut();
        let done = machine.is_some_and(|m| m.propose(data).is_ok());
        self.process_output(n);
        done
    }

    pub fn read(&mut self, n: usize) -> bool {
        let token = self.tokens.len() as u64;
        self.tokens.insert(token, self.history.newest());
        let now = self.mono();
        let machine = self.nodes[n].machine.as_mut();
        let asked = machine.is_some_and(|m| m.request_read(now, token).is_ok());
        self.process_output(n);
        asked
    }

    pub fn change(&mut self, n: usize, change: &Change) -> bool {
        let now = self.mono();
        let machine = self.nodes[n].machine.as_mut();
        let done = machine.is_some_and(|m| m.propose_change(now, change).is_ok());
        self.process_output(n);
        done
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.mono();
        for (from, to, message) in self.network.due(self.now) {
            let Some(n) = self.node_of(to) else { continue };
            if self.nodes[n].paused {
                continue;
            }
            if let Some(machine) = self.nodes[n].machine.as_mut() {
                machine.receive(now, from, message);
                self.process_output(n);
            }
        }
        for n in 0..self.nodes.len() {
            if self.nodes[n].paused {
                continue;
            }
            match self.nodes[n].sync_millis {
                Some(span) => self.sync_slowly(n, span),
                None => {
                    let idle = self.nodes[n].slow || self.rng.random_bool(0.3);
                    if !idle {
                        self.sync(n);
                    }
                }
            }
            if let Some(machine) = self.nodes[n].machine.as_mut() {
                machine.tick(now);
            }
            self.process_output(n);
        }
        check::logs(&self.nodes);
    }

    /// Syncs all waiting writes.
    pub fn sync(&mut self, n: usize) {
        self.nodes[n].syncing = None;
        self.sync_first(n, self.nodes[n].writes.len());
    }

    /// Ends a sync whose duration has passed, and begins the next one for all waiting writes.
    fn sync_slowly(&mut self, n: usize, span: u64) {
        if let Some((end, writes)) = self.nodes[n].syncing
            && end <= self.now
        {
            self.nodes[n].syncing = None;
            self.sync_first(n, writes);
        }
        let node = &mut self.nodes[n];
        if node.syncing.is_none() && !node.writes.is_empty() {
            node.syncing = Some((self.now + span, node.writes.len()));
        }
    }

    fn sync_first(&mut self, n: usize, writes: usize) {
        let now = self.mono();
        let node = &mut self.nodes[n];
        let mut newest = None;
        for write in node.writes.drain(..writes) {
            newest = Some(write.sequence);
            node.disk.apply(&write);
        }
        if let (Some(machine), Some(newest)) = (node.machine.as_mut(), newest) {
            machine.synced(now, newest);
            self.process_output(n);
        }
    }

    fn process_output(&mut self, n: usize) {
        let now = self.mono();
        let node = &mut self.nodes[n];
        let Some(machine) = node.machine.as_mut() else {
            return;
        };
        let output = machine.take(now);
        self.history.leader(machine);
        node.writes.extend(output.write);
        if let Some(snapshot) = output.restore {
            node.state = State::restore(&snapshot.data);
            self.history.state(node.state);
        }
        for entry in output.committed {
            node.state.apply(&entry);
            self.history.accepted(&entry, node.state);
        }
        for grant in output.grants {
            if let Some(index) = grant.index {
                let before = self.tokens[&grant.token];
                assert!(
                    index >= before,
                    "read at {index}, {before} was accepted before"
                );
            }
        }
        if node.state.index.0 >= node.compacted.0 + self.compact_every {
            node.compacted = node.state.index;
            machine.compact(node.state.index, node.state.save());
        }
        let (now, from) = (self.now, node.id);
        for envelope in output.messages {
            self.network
                .send(now, from, envelope, &self.faults, &mut self.rng);
        }
    }

    /// Steps until `test` holds, and fails after two simulated minutes.
    pub fn until<F>(&mut self, what: &str, mut test: F)
    where
        F: FnMut(&Cluster) -> bool,
    {
        let limit = self.now + 120_000;
        while !test(self) {
            assert!(self.now < limit, "not reached within two minutes: {what}");
            self.step();
        }
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
        }
    }

    /// Steps until there is a leader and returns it.
    pub fn elect(&mut self) -> usize {
        self.until("a leader", |c| c.leader().is_some());
        self.leader().unwrap()
    }

    /// Proposes until an entry is committed, and returns the newest committed index.
    pub fn accept(&mut self) -> Index {
        let before = self.history.newest();
        let value = self.value;
        self.until("an accepted proposal", |c| c.leader().is_some());
        while self.history.register() <= value {
            if let Some(n) = self.leader() {
                self.propose(n);
            }
            self.run(50);
            assert!(self.now < 10_000_000, "no entry is committed");
        }
        assert!(self.history.newest() > before);
        self.history.newest()
    }
}
