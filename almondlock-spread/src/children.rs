//! Whom a process serves, and what it reports of all below it.
//!
//! A process serves a bounded number of others. Whoever comes when it is full
//! is sent on to one of those it serves: one in the same failure domain if
//! there is one, else in the same region, and among equals the one with the
//! fewest processes below it. A child that holds no configuration yet is named to nobody:
//! after a start of all processes the tree grows from the top. A source keeps no failure domain from having
//! children of its own directly: each may take only a part of its places.
//!
//! A report sums up a subtree: the lowest revision in it, how many processes it
//! has, who is furthest behind, who appeared and who is gone. What a child last
//! reported counts until the child has been silent for [`Config::silence`],
//! also when its session is known to have ended: it may live and act on what it
//! has. After that span it no longer holds itself for recent (see
//! [`recency`](crate::recency)), so leaving it out hides nobody who acts as if
//! he were current. A child that moves to another parent counts twice for that
//! span, never not at all.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use almondlock_base::{id::Domain, time::Mono, unit::Revision};
use almondlock_wire::{
    peer::Peer,
    spread::{ADDRESSES, Fetch, LAGGARDS, Member, NEWS, Process, Report, Want},
};

/// Bounds of what one process serves.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Children at one time.
    pub max_children: usize,
    /// Children of a source from one failure domain.
    pub max_children_per_domain: usize,
    /// How long a child's last report counts.
    pub report_lifetime: Duration,
    /// Processes of the subtree that are known by name.
    pub max_members: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            max_children: 12,
            max_children_per_domain: 4,
            report_lifetime: Duration::from_secs(12),
            max_members: 8192,
        }
    }
}

/// What becomes of a fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is served.
    Served,
    /// It is not; these may serve it.
    Full(Vec<SocketAddr>),
}

/// What a source knows of all processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The lowest revision in force anywhere.
    pub lowest: Revision,
    /// How many processes there are.
    pub processes: u32,
    /// Some of those furthest behind.
    pub laggards: Vec<Peer>,
    /// How many sources take part, this one included.
    pub sources: usize,
}

struct Child {
    member: Member,
    // What it last reported; `joined` and `left` are worked off on arrival.
    told: Report,
    heard: Mono,
    open: bool,
    // It has a configuration, which it had before or was given here.
    holds: bool,
    // Newcomers sent to it since it last reported: its own count lags.
    handed: u32,
}

struct Known {
    member: Member,
    /// The child through which it was reported.
    via: Process,
}

/// What the parent has not been told yet.
#[derive(Default)]
struct Outbox {
    own: bool,
    joined: BTreeMap<Process, Member>,
    left: BTreeSet<Process>,
}

/// The children of one process.
pub struct Children {
    config: Config,
    own: Member,
    is_source: bool,
    children: BTreeMap<Process, Child>,
    // The other sources, as they last reported, on a source.
    siblings: BTreeMap<Process, (Report, Mono)>,
    members: HashMap<Process, Known>,
    outbox: Outbox,
}

impl Children {
    /// No children yet.
    pub fn new(config: Config, own: Member, is_source: bool) -> Children {
        Children {
            config,
            own,
            is_source,
            children: BTreeMap::new(),
            siblings: BTreeMap::new(),
            members: HashMap::new(),
            outbox: Outbox::default(),
        }
    }

    /// Takes a fetch's report, and decides whether its sender is served.
    pub fn admit(&mut self, now: Mono, fetch: &Fetch) -> Admission {
        self.expire(now);
        let report = &fetch.report;
        let process = Process::of(&report.from);
        if fetch.want == Want::Nothing {
            return self.exchange(now, process, report);
        }
        if report.processes == 0 {
            self.end(&process);
            return Admission::Full(Vec::new());
        }
        let is_known = self.children.contains_key(&process);
        if !is_known && let Err(others) = self.newcomer(now, &process, report) {
            return Admission::Full(others);
        }
        // Who asks for what comes after its revision has all up to there; at first that
        // may be nothing.
        let holds = matches!(fetch.want, Want::After(have) if is_known || have > Revision::ZERO);
        self.update(now, &process, report);
        if let Some(child) = self.children.get_mut(&process) {
            child.holds |= holds;
        }
        Admission::Served
    }

    /// A child's session has ended.
    pub fn close(&mut self, process: &Process) {
        if let Some(child) = self.children.get_mut(process) {
            child.open = false;
        }
    }

    /// Leaves out whoever has been silent for too long.
    pub fn expire(&mut self, now: Mono) {
        let silence = self.config.report_lifetime;
        self.siblings
            .retain(|_, (_, heard)| now.since(*heard) <= silence);
        let silent = |child: &Child| now.since(child.heard) > silence;
        let gone: Vec<Process> = self
            .children
            .iter()
            .filter(|(_, child)| silent(child))
            .map(|(process, _)| process.clone())
            .collect();
        gone.iter().for_each(|process| self.forget(process));
    }

    /// What the parent is told now; `from` is this process.
    pub fn report(&self, from: Peer) -> Report {
        let mut report = Report::alone(from);
        for child in self.children.values() {
            merge(&mut report, &child.told);
        }
        let own = self.outbox.own.then(|| self.own.clone());
        let joined = self.outbox.joined.values().cloned();
        report.joined = own.into_iter().chain(joined).take(NEWS).collect();
        report.left = self.outbox.left.iter().take(NEWS).cloned().collect();
        report
    }

    /// The parent has taken a report.
    pub fn mark_delivered(&mut self, report: &Report) {
        for member in &report.joined {
            self.outbox.own &= member.process != self.own.process;
            self.outbox.joined.remove(&member.process);
        }
        for process in &report.left {
            self.outbox.left.remove(process);
        }
    }

    /// A new parent knows nobody: it is told of all.
    pub fn queue_all_members(&mut self) {
        let members = self.members.values().map(|known| known.member.clone());
        self.outbox = Outbox {
            own: true,
            joined: members.map(|m| (m.process.clone(), m)).collect(),
            left: BTreeSet::new(),
        };
    }

    /// Whether more is to be told than fits one report.
    pub fn has_backlog(&self) -> bool {
        self.outbox.joined.len() >= NEWS || self.outbox.left.len() > NEWS
    }

    /// What is known of all processes, on a source; `from` is this process.
    pub fn summary(&mut self, now: Mono, from: Peer) -> Summary {
        self.expire(now);
        let mut report = self.report(from);
        for (told, _) in self.siblings.values() {
            merge(&mut report, told);
        }
        Summary {
            lowest: report.lowest,
            processes: report.processes,
            laggards: report.laggards,
            sources: 1 + self.siblings.len(),
        }
    }

    /// The processes below that are known by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|known| &known.member)
    }

    /// The lowest revision in force here and below.
    pub fn lowest(&self, own: Revision) -> Revision {
        let below = self.children.values().map(|child| &child.told);
        below
            .map(|told| told.lowest.min(told.from.revision))
            .fold(own, Revision::min)
    }

    /// The lowest revision in force in any process that is known, on a source, which
    /// has `own` itself.
    pub fn lowest_of_all(&self, own: Revision) -> Revision {
        let siblings = self.siblings.values();
        siblings
            .map(|(told, _)| told.lowest.min(told.from.revision))
            .fold(self.lowest(own), Revision::min)
    }

    /// How many children there are.
    pub fn len(&self) -> usize {
        self.children.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.children.is_empty()
    }

    fn exchange(&mut self, now: Mono, process: Process, report: &Report) -> Admission {
        if !self.is_source {
            return Admission::Full(Vec::new());
        }
        self.siblings.insert(process, (report.clone(), now));
        Admission::Served
    }

    /// Makes room for a process that is no child yet, or says who else may.
    fn newcomer(
        &mut self,
        now: Mono,
        process: &Process,
        report: &Report,
    ) -> Result<(), Vec<SocketAddr>> {
        // Who doesn't say where it is was forgotten here and doesn't know it:
        // sent away, it starts anew and says all of it.
        let own = report.joined.iter().find(|m| m.process == *process);
        let member = own.cloned().ok_or_else(Vec::new)?;
        // Another life at the same address: the address is bound by the new
        // one, so the old one is over.
        let there = |child: &Child| child.member.address == member.address;
        let old = self.children.iter().filter(|(_, child)| there(child));
        let old: Vec<Process> = old.map(|(process, _)| process.clone()).collect();
        old.iter().for_each(|process| self.end(process));
        if !self.has_room(&member.domain) {
            let version = report.from.version;
            let others = self.others(&member, version);
            // While versions differ everyone below may speak an older one and
            // be no parent for a newer one; then there is room for a few more.
            let fits = |child: &Child| child.open && child.told.from.version >= version;
            let has_fit = self.children.values().any(fits);
            if has_fit || self.open() >= 4 * self.config.max_children {
                return Err(others);
            }
        }
        let child = Child {
            member,
            told: report.clone(),
            heard: now,
            open: true,
            holds: false,
            handed: 0,
        };
        self.children.insert(process.clone(), child);
        Ok(())
    }

    fn open(&self) -> usize {
        self.children.values().filter(|child| child.open).count()
    }

    fn has_room(&self, domain: &Domain) -> bool {
        let open = self.children.values().filter(|child| child.open);
        let same = open.filter(|child| child.member.domain == *domain).count();
        let part = !self.is_source || same < self.config.max_children_per_domain;
        part && self.open() < self.config.max_children
    }

    /// Children that a newcomer may try, best first.
    fn others(&mut self, newcomer: &Member, version: u16) -> Vec<SocketAddr> {
        let mut others: Vec<&mut Child> = self
            .children
            .values_mut()
            .filter(|child| child.open && child.told.from.version >= version)
            .filter(|child| child.holds)
            .collect();
        others.sort_by_key(|child| {
            let domain = child.member.domain != newcomer.domain;
            let region = child.member.region != newcomer.region;
            (region, domain, child.told.processes + child.handed)
        });
        if let Some(best) = others.first_mut() {
            best.handed += 1;
        }
        let addresses = others.iter().map(|child| child.member.address);
        addresses.take(ADDRESSES / 2).collect()
    }

    fn update(&mut self, now: Mono, process: &Process, report: &Report) {
        if let Some(child) = self.children.get_mut(process) {
            child.told = Report {
                joined: Vec::new(),
                left: Vec::new(),
                ..report.clone()
            };
            child.heard = now;
            child.open = true;
            child.handed = 0;
        }
        for member in &report.joined {
            self.learn(member, process);
        }
        for gone in &report.left {
            // Who moved from this child to another is known through that one
            // by now, and is not gone.
            if self.members.get(gone).is_some_and(|m| m.via == *process) {
                self.lose(gone);
            }
        }
    }

    fn learn(&mut self, member: &Member, via: &Process) {
        let process = &member.process;
        let fits = self.members.len() < self.config.max_members;
        if *process == self.own.process || !(fits || self.members.contains_key(process)) {
            return;
        }
        let known = Known {
            member: member.clone(),
            via: via.clone(),
        };
        self.members.insert(process.clone(), known);
        if !self.is_source {
            self.outbox.left.remove(process);
            self.outbox.joined.insert(process.clone(), member.clone());
        }
    }

    fn lose(&mut self, process: &Process) {
        self.members.remove(process);
        if !self.is_source {
            self.outbox.joined.remove(process);
            self.outbox.left.insert(process.clone());
        }
    }

    /// A child is over, by its own word or its successor's. What was below it
    /// may live on and not be anybody's child yet: it counts until it would
    /// have lapsed.
    fn end(&mut self, process: &Process) {
        match self.children.get_mut(process) {
            Some(child) if child.told.processes > 1 => child.open = false,
            _ => self.forget(process),
        }
    }

    fn forget(&mut self, child: &Process) {
        self.children.remove(child);
        let below = self.members.iter().filter(|(_, m)| m.via == *child);
        let below: Vec<Process> = below.map(|(process, _)| process.clone()).collect();
        below.iter().for_each(|process| self.lose(process));
    }
}

/// Adds a subtree to a report.
fn merge(report: &mut Report, told: &Report) {
    report.lowest = report.lowest.min(told.lowest).min(told.from.revision);
    report.processes = report.processes.saturating_add(told.processes);
    report.laggards.extend(told.laggards.iter().cloned());
    report.laggards.push(told.from.clone());
    let newest = report.from.revision;
    report.laggards.retain(|peer| peer.revision < newest);
    report.laggards.sort_by_key(|peer| peer.revision);
    report.laggards.truncate(LAGGARDS);
}
