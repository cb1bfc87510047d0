//! The children of a process in the distribution tree, and the report about its subtree.
//!
//! A process serves a bounded number of children. A newcomer that finds it full is
//! redirected to one of its children: one in the same failure domain if there is one,
//! else one in the same region, and among equals the one with the fewest processes
//! below it. Newcomers are never redirected to a child that has no configuration yet, so
//! after a start of all processes the tree grows from the top. On a source, a root of the
//! tree, the number of children per failure domain is limited too, so that every failure
//! domain can have direct children of a source.
//!
//! A report sums up a subtree: the lowest revision in it, the number of its processes,
//! the processes furthest behind, and those that joined and left. A child's last report
//! counts until the child has been silent for [`Config::report_lifetime`], even if its
//! session is known to have ended: the process may still run and act on its
//! configuration. After that time it no longer considers its configuration recent (see
//! [`recency`](crate::recency)), so leaving it out of the report hides no process that
//! acts as if it were current. A child that moves to another parent is counted twice
//! during that time, but never left out.

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

/// Limits on the children and the known members of one process.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Maximum number of children with an open session, exceeded only while children
    /// speak different versions.
    pub max_children: usize,
    /// Maximum number of children of a source from one failure domain.
    pub max_children_per_domain: usize,
    /// Time for which the last report of a silent child counts.
    pub report_lifetime: Duration,
    /// Maximum number of processes of the subtree that are listed individually.
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

/// The decision on a fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The fetch is served.
    Served,
    /// The fetch is refused; the processes at these addresses may serve it.
    Full(Vec<SocketAddr>),
}

/// What a source knows about all processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The lowest revision in force in any process.
    pub lowest: Revision,
    /// Number of processes.
    pub processes: u32,
    /// Some of the processes that are furthest behind.
    pub laggards: Vec<Peer>,
    /// Number of sources whose reports are included, with this one.
    pub sources: usize,
}

struct Child {
    member: Member,
    // The last report, without `joined` and `left`, which are processed on arrival.
    last_report: Report,
    last_heard: Mono,
    open: bool,
    // Whether the child has a configuration, of its own or received from here.
    has_config: bool,
    // Newcomers redirected to the child since its last report, which can't count them.
    redirected: u32,
}

/// A process below this one.
struct Descendant {
    member: Member,
    /// The child that reported the process.
    via: Process,
}

/// Changes that have not been reported to the parent yet.
#[derive(Default)]
struct Outbox {
    // Whether this process itself is still to be reported as joined.
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
    // On a source: the last report of each other source, and when it arrived.
    siblings: BTreeMap<Process, (Report, Mono)>,
    members: HashMap<Process, Descendant>,
    outbox: Outbox,
}

impl Children {
    /// Creates the state of a process without children.
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

    /// Records the report in a fetch, and decides whether its sender is served.
    pub fn admit(&mut self, now: Mono, fetch: &Fetch) -> Admission {
        self.expire(now);
        let report = &fetch.report;
        let process = Process::of(&report.from);
        if fetch.want == Want::Nothing {
            return self.record_sibling(now, process, report);
        }
        if report.processes == 0 {
            self.end_child(&process);
            return Admission::Full(Vec::new());
        }
        let is_known = self.children.contains_key(&process);
        if !is_known && let Err(others) = self.add_child(now, &process, report) {
            return Admission::Full(others);
        }
        // A process that asks for the changes after a revision has everything up to that
        // revision. In its first fetch the revision may be zero: it has nothing yet.
        let has_config =
            matches!(fetch.want, Want::After(have) if is_known || have > Revision::ZERO);
        self.record_report(now, &process, report);
        if let Some(child) = self.children.get_mut(&process) {
            child.has_config |= has_config;
        }
        Admission::Served
    }

    /// Records that a child's session has ended.
    pub fn close(&mut self, process: &Process) {
        if let Some(child) = self.children.get_mut(process) {
            child.open = false;
        }
    }

    /// Removes children and other sources that have been silent for longer than
    /// [`Config::report_lifetime`].
    pub fn expire(&mut self, now: Mono) {
        let silence = self.config.report_lifetime;
        self.siblings
            .retain(|_, (_, last_heard)| now.since(*last_heard) <= silence);
        let silent = |child: &Child| now.since(child.last_heard) > silence;
        let gone: Vec<Process> = self
            .children
            .iter()
            .filter(|(_, child)| silent(child))
            .map(|(process, _)| process.clone())
            .collect();
        gone.iter().for_each(|process| self.remove_child(process));
    }

    /// Returns the report to the parent; `from` is this process.
    pub fn report(&self, from: Peer) -> Report {
        let mut report = Report::alone(from);
        for child in self.children.values() {
            add_subtree(&mut report, &child.last_report);
        }
        let own = self.outbox.own.then(|| self.own.clone());
        let joined = self.outbox.joined.values().cloned();
        report.joined = own.into_iter().chain(joined).take(NEWS).collect();
        report.left = self.outbox.left.iter().take(NEWS).cloned().collect();
        report
    }

    /// Records that the parent has received a report.
    pub fn mark_delivered(&mut self, report: &Report) {
        for member in &report.joined {
            self.outbox.own &= member.process != self.own.process;
            self.outbox.joined.remove(&member.process);
        }
        for process in &report.left {
            self.outbox.left.remove(process);
        }
    }

    /// Queues all known members for the next reports, since a new parent knows none of
    /// them.
    pub fn queue_all_members(&mut self) {
        let members = self.members.values().map(|known| known.member.clone());
        self.outbox = Outbox {
            own: true,
            joined: members.map(|m| (m.process.clone(), m)).collect(),
            left: BTreeSet::new(),
        };
    }

    /// Returns true if there are more changes to report than fit one report.
    pub fn has_backlog(&self) -> bool {
        self.outbox.joined.len() >= NEWS || self.outbox.left.len() > NEWS
    }

    /// Returns what a source knows about all processes; `from` is this process.
    pub fn summary(&mut self, now: Mono, from: Peer) -> Summary {
        self.expire(now);
        let mut report = self.report(from);
        for (last_report, _) in self.siblings.values() {
            add_subtree(&mut report, last_report);
        }
        Summary {
            lowest: report.lowest,
            processes: report.processes,
            laggards: report.laggards,
            sources: 1 + self.siblings.len(),
        }
    }

    /// Returns the processes of the subtree that are listed individually, without this one.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|known| &known.member)
    }

    /// Returns the lowest revision in force in the subtree; `own` is this process's.
    pub fn lowest(&self, own: Revision) -> Revision {
        let below = self.children.values().map(|child| &child.last_report);
        below
            .map(|last_report| last_report.lowest.min(last_report.from.revision))
            .fold(own, Revision::min)
    }

    /// Returns the lowest revision in force in any known process, on a source; `own` is
    /// this process's.
    pub fn lowest_of_all(&self, own: Revision) -> Revision {
        let siblings = self.siblings.values();
        siblings
            .map(|(last_report, _)| last_report.lowest.min(last_report.from.revision))
            .fold(self.lowest(own), Revision::min)
    }

    /// Returns the number of children, including those whose session has ended.
    pub fn len(&self) -> usize {
        self.children.len()
    }

    /// Returns true if there are no children.
    pub fn is_empty(&self) -> bool {
        self.children.is_empty()
    }

    /// Records the report of another source.
    fn record_sibling(&mut self, now: Mono, process: Process, report: &Report) -> Admission {
        if !self.is_source {
            return Admission::Full(Vec::new());
        }
        self.siblings.insert(process, (report.clone(), now));
        Admission::Served
    }

    /// Adds a process as a child, or returns the addresses of others that may serve it.
    fn add_child(
        &mut self,
        now: Mono,
        process: &Process,
        report: &Report,
    ) -> Result<(), Vec<SocketAddr>> {
        // A process that doesn't send its address was removed here and doesn't know it.
        // Once refused, it starts again and sends its whole subtree.
        let own = report.joined.iter().find(|m| m.process == *process);
        let member = own.cloned().ok_or_else(Vec::new)?;
        // An earlier incarnation at the same address has ended, since the new one has
        // bound the address.
        let there = |child: &Child| child.member.address == member.address;
        let old = self.children.iter().filter(|(_, child)| there(child));
        let old: Vec<Process> = old.map(|(process, _)| process.clone()).collect();
        old.iter().for_each(|process| self.end_child(process));
        if !self.has_room(&member.domain) {
            let version = report.from.version;
            let others = self.redirect_targets(&member, version);
            // During an upgrade all children may speak an older version, and so can't be
            // the parent of a newer process. Then a few more children are taken.
            let fits = |child: &Child| child.open && child.last_report.from.version >= version;
            let has_fit = self.children.values().any(fits);
            if has_fit || self.open_count() >= 4 * self.config.max_children {
                return Err(others);
            }
        }
        let child = Child {
            member,
            last_report: report.clone(),
            last_heard: now,
            open: true,
            has_config: false,
            redirected: 0,
        };
        self.children.insert(process.clone(), child);
        Ok(())
    }

    fn open_count(&self) -> usize {
        self.children.values().filter(|child| child.open).count()
    }

    fn has_room(&self, domain: &Domain) -> bool {
        let open = self.children.values().filter(|child| child.open);
        let same = open.filter(|child| child.member.domain == *domain).count();
        let part = !self.is_source || same < self.config.max_children_per_domain;
        part && self.open_count() < self.config.max_children
    }

    /// Returns the addresses of children that a newcomer may try, best first.
    fn redirect_targets(&mut self, newcomer: &Member, version: u16) -> Vec<SocketAddr> {
        let mut others: Vec<&mut Child> = self
            .children
            .values_mut()
            .filter(|child| child.open && child.last_report.from.version >= version)
            .filter(|child| child.has_config)
            .collect();
        others.sort_by_key(|child| {
            let domain = child.member.domain != newcomer.domain;
            let region = child.member.region != newcomer.region;
            (
                region,
                domain,
                child.last_report.processes + child.redirected,
            )
        });
        if let Some(best) = others.first_mut() {
            best.redirected += 1;
        }
        let addresses = others.iter().map(|child| child.member.address);
        addresses.take(ADDRESSES / 2).collect()
    }

    fn record_report(&mut self, now: Mono, process: &Process, report: &Report) {
        if let Some(child) = self.children.get_mut(process) {
            child.last_report = Report {
                joined: Vec::new(),
                left: Vec::new(),
                ..report.clone()
            };
            child.last_heard = now;
            child.open = true;
            child.redirected = 0;
        }
        for member in &report.joined {
            self.add_member(member, process);
        }
        for gone in &report.left {
            // A process that moved to another child is known through that child by now,
            // and has not left.
            if self.members.get(gone).is_some_and(|m| m.via == *process) {
                self.remove_member(gone);
            }
        }
    }

    fn add_member(&mut self, member: &Member, via: &Process) {
        let process = &member.process;
        let fits = self.members.len() < self.config.max_members;
        if *process == self.own.process || !(fits || self.members.contains_key(process)) {
            return;
        }
        let known = Descendant {
            member: member.clone(),
            via: via.clone(),
        };
        self.members.insert(process.clone(), known);
        if !self.is_source {
            self.outbox.left.remove(process);
            self.outbox.joined.insert(process.clone(), member.clone());
        }
    }

    fn remove_member(&mut self, process: &Process) {
        self.members.remove(process);
        if !self.is_source {
            self.outbox.joined.remove(process);
            self.outbox.left.insert(process.clone());
        }
    }

    /// Ends a child that has announced its end or was replaced by a new incarnation. The
    /// processes below it may still run and have no new parent yet: they count until
    /// the child's last report expires.
    fn end_child(&mut self, process: &Process) {
        match self.children.get_mut(process) {
            Some(child) if child.last_report.processes > 1 => child.open = false,
            _ => self.remove_child(process),
        }
    }

    fn remove_child(&mut self, child: &Process) {
        self.children.remove(child);
        let below = self.members.iter().filter(|(_, m)| m.via == *child);
        let below: Vec<Process> = below.map(|(process, _)| process.clone()).collect();
        below.iter().for_each(|process| self.remove_member(process));
    }
}

/// Adds the report of a subtree to a report.
fn add_subtree(report: &mut Report, last_report: &Report) {
    report.lowest = report
        .lowest
        .min(last_report.lowest)
        .min(last_report.from.revision);
    report.processes = report.processes.saturating_add(last_report.processes);
    report.laggards.extend(last_report.laggards.iter().cloned());
    report.laggards.push(last_report.from.clone());
    let newest = report.from.revision;
    report.laggards.retain(|peer| peer.revision < newest);
    report.laggards.sort_by_key(|peer| peer.revision);
    report.laggards.truncate(LAGGARDS);
}
