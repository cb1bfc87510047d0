//! Whenever enough voters run with their disks and reach each other, one of them soon leads.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::{collections::BTreeSet, ops::Range, sync::Arc};

use almondlock_quorum::{
    member::{Change, Id, Member, Members},
    storage::Loaded,
};
use cluster::{CALM, Cluster, Faults};
use rand::Rng;
use yare::parameterized;

/// The time within which a leader must be found, in milliseconds: five of the longest election
/// timeouts.
const LEADER_TIMEOUT_MS: u64 = 5_000;

struct Schedule {
    c: Cluster,
    founding: Arc<Members>,
    // Replicas that never return.
    gone: BTreeSet<usize>,
    // Replicas that run with a disk that hangs.
    hung: BTreeSet<usize>,
}

impl Schedule {
    fn new(seed: u64, size: u64) -> Schedule {
        let c = Cluster::new(seed, size);
        let founding = Arc::new(Members::of_voters((1..=size).map(Member::sample)));
        let (gone, hung) = Default::default();
        Schedule {
            c,
            founding,
            gone,
            hung,
        }
    }

    fn any(&mut self) -> usize {
        self.c.rng.random_range(0..self.c.nodes.len())
    }

    fn members(&self, n: usize) -> Option<Arc<Members>> {
        let machine = self.c.nodes[n].machine.as_ref();
        machine.map(|m| Arc::clone(m.members()))
    }

    fn runs(&self, id: Id) -> bool {
        let n = self.c.node_of(id);
        n.is_some_and(|n| self.c.nodes[n].machine.is_some() && !self.hung.contains(&n))
    }

    /// Whether the running replicas could elect a leader under any membership that one of them may
    /// use.
    fn should_lead(&self) -> bool {
        let logs = (0..self.c.nodes.len()).filter_map(|n| self.members(n));
        let accepted = self.c.history.members();
        let accepted = accepted.unwrap_or_else(|| Arc::clone(&self.founding));
        let mut sets = logs.chain([accepted]);
        sets.all(|set| set.voters.is_empty() || set.has_quorum(|id| self.runs(id)))
    }

    /// Adds, promotes or removes a replica. Any step may be left incomplete.
    fn change(&mut self) {
        let Some(leader) = self.c.leader() else {
            return;
        };
        let members = self.members(leader).unwrap();
        let removes = self.c.rng.random_bool(0.3);
        let outside = self.c.nodes.iter().find(|n| !members.contains(n.id));
        let lost = |id: &&Id| self.c.node_of(**id).is_some_and(|n| self.gone.contains(&n));
        let change = match (outside, members.learners.keys().next()) {
            _ if removes => members
                .voters
                .keys()
                .find(lost)
                .copied()
                .map(Change::Remove),
            (Some(node), None) if !self.gone.contains(&self.c.node_of(node.id).unwrap()) => {
                Some(Change::Add(node.member.clone()))
            }
            (_, Some(id)) => Some(Change::Promote(*id)),
            _ => None,
        };
        if let Some(change) = change
            && self.c.change(leader, &change)
            && self.c.rng.random_bool(0.3)
        {
            self.interrupt(leader);
        }
    }

    /// Interrupts a change of the members, so that only some replicas hold it and it may never be
    /// committed.
    fn interrupt(&mut self, leader: usize) {
        let rest = self.c.rng.random_range(0..60);
        self.c.run(rest);
        match self.c.rng.random_range(0..4) {
            0 => self.c.crash(leader),
            1 => self.restart_all(),
            2 if self.gone.len() < 2 => self.lose(),
            _ => {
                let ids: Vec<Id> = self.c.nodes.iter().map(|n| n.id).collect();
                self.c.network.isolate(ids[leader], ids);
            }
        }
    }

    fn transfer_leadership(&mut self) {
        if let Some(leader) = self.c.leader() {
            let now = self.c.mono();
            let machine = self.c.nodes[leader].machine.as_mut().unwrap();
            machine.transfer_leadership(now);
            let rest = self.c.rng.random_range(0..300);
            self.c.run(rest);
            self.c.crash(leader);
        }
    }

    fn lose(&mut self) {
        let n = self.any();
        self.c.crash(n);
        self.gone.insert(n);
    }

    fn restart_all(&mut self) {
        (0..self.c.nodes.len()).for_each(|n| self.c.crash(n));
        let rest = self.c.rng.random_range(0..500);
        self.c.run(rest);
        self.start_all();
    }

    fn start_all(&mut self) {
        for n in 0..self.c.nodes.len() {
            if self.c.nodes[n].machine.is_none() && !self.gone.contains(&n) {
                self.c.start(n);
            }
        }
    }

    fn join(&mut self) {
        let member = Member::sample(self.c.next_id);
        self.c.next_id += 1;
        self.c.add_node(member, Loaded::default());
        self.c.start(self.c.nodes.len() - 1);
    }

    fn cut(&mut self) {
        let ids: Vec<Id> = self.c.nodes.iter().map(|n| n.id).collect();
        let (a, b) = (self.any(), self.any());
        match self.c.rng.random_range(0..3) {
            0 => self.c.network.heal(),
            1 => self.c.network.isolate(ids[a], ids),
            _ => drop(self.c.network.cut.insert((ids[a], ids[b]))),
        }
    }

    fn disk(&mut self) {
        let n = self.any();
        let millis = self.c.rng.random_range(0..1500);
        self.c.nodes[n].sync_millis = Some(millis).filter(|m| *m > 300);
    }

    fn act(&mut self) {
        match self.c.rng.random_range(0..1000) {
            0..300 => {
                let n = self.any();
                self.c.propose(n);
            }
            300..330 => self.change(),
            330..336 => self.cut(),
            336..344 => self.disk(),
            344..348 => {
                let n = self.any();
                self.c.crash(n);
            }
            348..352 => self.start_all(),
            352..354 => self.transfer_leadership(),
            354 => self.restart_all(),
            355 if self.gone.len() < 2 => self.lose(),
            356 if self.c.nodes.len() < 5 => self.join(),
            _ => {}
        }
        self.c.step();
    }

    fn mend_disks(&mut self) {
        self.hung.clear();
        for node in &mut self.c.nodes {
            node.sync_millis = None;
        }
    }

    /// Ends all faults, except that some replicas stay down or hang. Returns the milliseconds until
    /// the others have committed an entry, or `None` if they don't.
    fn recover(&mut self) -> Option<u64> {
        self.c.faults = CALM;
        self.c.network.heal();
        self.mend_disks();
        if self.c.rng.random_bool(0.5) {
            self.restart_all();
        } else {
            self.start_all();
        }
        for n in 0..self.c.nodes.len() {
            match self.c.rng.random_range(0..8) {
                0 | 1 => self.c.crash(n),
                2 => {
                    self.hung.insert(n);
                    self.c.nodes[n].sync_millis = Some(u64::MAX / 2);
                }
                _ => {}
            }
        }
        let start = self.c.now;
        if !self.should_lead() {
            return None;
        }
        let before = self.c.history.register();
        while self.c.history.register() <= before && self.c.now < start + LEADER_TIMEOUT_MS {
            if let Some(leader) = self.c.leader() {
                self.c.propose(leader);
            }
            self.c.step();
        }
        Some(self.c.now - start)
    }
}

/// Runs a schedule of faults, with a recovery after each of its sections.
fn run(seed: u64, size: u64) {
    let faults = Faults {
        drop: 0.02,
        double: 0.02,
        delay: 30,
        ..CALM
    };
    let mut schedule = Schedule::new(seed, size);
    for _ in 0..6 {
        schedule.c.faults = faults;
        schedule.mend_disks();
        let steps = schedule.c.rng.random_range(50..800);
        (0..steps).for_each(|_| schedule.act());
        let span = schedule.recover();
        assert!(
            span.is_none_or(|span| span < LEADER_TIMEOUT_MS),
            "seed {seed}: {span:?} ms without a leader"
        );
    }
}

/// Guards against a group that elects no leader, or whose leader commits nothing, although it
/// could: after restarts of all replicas, losses, incomplete membership changes, interrupted
/// leadership transfers, slow syncs and cut links, while some replicas are down or hang.
#[parameterized(
    three = { 3, 0..150 },
    five = { 5, 10_000..10_040 },
)]
fn soon(size: u64, seeds: Range<u64>) {
    for seed in seeds {
        run(seed, size);
    }
}

/// Guards against a replica whose disk hangs and which keeps starting elections: its terms, which
/// it never synced, end the elections of the others. The others need every vote, and only one
/// of them holds all committed entries. Both seeds reproduced the failure.
#[parameterized(
    from_three = { 1316, 3 },
    from_five = { 10_175, 5 },
)]
fn regression_hung_disk(seed: u64, size: u64) {
    run(seed, size);
}
