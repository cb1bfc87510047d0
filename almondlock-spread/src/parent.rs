//! Selects the parent that a process asks for new changes.
//!
//! A process starts with the sources, in random order so that newcomers spread over all
//! of them. A full process redirects it to others further down the tree, until one serves
//! it. It stays with that parent until the parent doesn't answer, refuses, is cut off from
//! the sources, lags behind, or turns out to be below it in the tree. Then it tries the
//! processes on the parent's path to a source, nearest first, and then the sources.
//!
//! **No lasting cycles.** Each answer carries the sender's path to a source. A process that
//! finds its own address there leaves the parent at once. If the path is wrong, as when two
//! processes have just taken each other for a parent, the answer's age still grows: only a
//! source starts it at zero, so no process in a cycle gets a young answer, and all of them
//! leave.

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use almondlock_base::{time::Mono, unit::Revision};
use almondlock_wire::spread::{ADDRESSES, Delta, Standing};
use rand::{Rng, seq::SliceRandom};

/// Limits of the search for a parent.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Maximum age of a parent's answer, counted from the source where it started.
    pub max_answer_age: Duration,
    /// Time for which a parent may lack a revision that is known to exist.
    pub max_lag: Duration,
    /// Pause after the first round in which no address served this process.
    pub initial_pause: Duration,
    /// Longest pause; each round without success doubles the pause up to it.
    pub max_pause: Duration,
    /// Length of the parent's path to a source from which the search is repeated.
    pub max_depth: usize,
    /// Time with a parent of that depth after which the search is repeated.
    pub depth_grace: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            max_answer_age: Duration::from_secs(9),
            max_lag: Duration::from_millis(1500),
            initial_pause: Duration::from_millis(100),
            max_pause: Duration::from_secs(2),
            max_depth: 4,
            depth_grace: Duration::from_secs(60),
        }
    }
}

/// The next step of the search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the process at this address.
    Ask(SocketAddr),
    /// Wait for this time.
    Wait(Duration),
}

/// Whether an answer is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The sender is the parent, and its answer counts.
    Keep,
    /// The sender is not the parent; its answer doesn't count.
    Leave,
}

/// The present parent.
struct Parent {
    address: SocketAddr,
    // When the process at `address` became the parent.
    since: Mono,
    // The parent's own path to a source, nearest first.
    path: Vec<SocketAddr>,
}

/// The search for a parent, and the parent once it is found.
pub struct Search<R> {
    config: Config,
    own: SocketAddr,
    version: u16,
    sources: Vec<SocketAddr>,
    parent: Option<Parent>,
    // Addresses to try in this round.
    next: VecDeque<SocketAddr>,
    tried: BTreeSet<SocketAddr>,
    // Number of rounds without success, and when the next may start.
    rounds: u32,
    resume: Mono,
    // A revision that is known to exist and not in force here, and since when. This is
    // not the newest such revision: under constant changes there is always a newer one,
    // and a parent that passes on each of them would be taken for lagging.
    behind: Option<(Revision, Mono)>,
    rng: R,
}

impl<R> Search<R>
where
    R: Rng,
{
    /// Starts a search at the sources. `own` is this process's address, `version` the
    /// version of the inner protocol that it speaks.
    pub fn new(
        config: Config,
        own: SocketAddr,
        version: u16,
        sources: &[SocketAddr],
        rng: R,
    ) -> Search<R> {
        let sources = sources.iter().filter(|source| **source != own);
        let mut search = Search {
            config,
            own,
            version,
            sources: sources.copied().collect(),
            parent: None,
            next: VecDeque::new(),
            tried: BTreeSet::new(),
            rounds: 0,
            resume: Mono::ZERO,
            behind: None,
            rng,
        };
        search.start_round(&[]);
        search
    }

    /// Returns which process to ask now, or how long to wait.
    pub fn step(&mut self, now: Mono) -> Step {
        if let Some(parent) = &self.parent {
            return Step::Ask(parent.address);
        }
        let pause = self.resume.since(now);
        if !pause.is_zero() {
            return Step::Wait(pause);
        }
        while let Some(address) = self.next.pop_front() {
            if self.tried.insert(address) {
                return Step::Ask(address);
            }
        }
        let pause = self.next_pause();
        self.start_round(&[]);
        self.resume = now + pause;
        Step::Wait(pause)
    }

    /// Adds sources to those of the settings, which may be gone.
    pub fn add_sources(&mut self, sources: &[SocketAddr]) {
        for source in sources {
            if *source != self.own && !self.sources.contains(source) {
                self.sources.push(*source);
            }
        }
        // An added source that is gone costs an attempt a round. There are as many of
        // them as replicas were replaced since this process started.
        let surplus = self.sources.len().saturating_sub(ADDRESSES);
        self.sources.drain(..surplus);
    }

    /// Returns the address of the parent, if there is one.
    pub fn parent(&self) -> Option<SocketAddr> {
        self.parent.as_ref().map(|parent| parent.address)
    }

    /// Returns the addresses on the path from here to a source, nearest first.
    pub fn path_to_source(&self) -> Vec<SocketAddr> {
        let Some(parent) = &self.parent else {
            return Vec::new();
        };
        let steps = std::iter::once(parent.address).chain(parent.path.iter().copied());
        steps.take(ADDRESSES).collect()
    }

    /// Records that the process at an address didn't answer.
    pub fn record_failure(&mut self, address: SocketAddr) {
        let path = self.parent.take().map(|parent| parent.path);
        if let Some(path) = path {
            // The address may answer again later, but is not asked again in this round.
            self.start_round(&path);
            self.tried.insert(address);
        }
    }

    /// Decides whether the process at an address, which answered, is the parent. `heard`
    /// is the newest revision known to exist, `have` the one in force here after the
    /// answer's content was applied.
    pub fn handle_answer(
        &mut self,
        now: Mono,
        address: SocketAddr,
        delta: &Delta,
        have: Revision,
        heard: Revision,
    ) -> Verdict {
        match &delta.standing {
            Standing::Full(others) | Standing::Informed(_, others) => {
                self.handle_refusal(others);
                Verdict::Leave
            }
            Standing::Served(age, path) => {
                let lacks = self.is_lagging(now, delta, have, heard);
                // A process that speaks an older version drops the parts of the
                // configuration that it doesn't know, so it can't be the parent.
                let is_source = self.sources.contains(&address);
                let older = delta.from.version < self.version && !is_source;
                if *age > self.config.max_answer_age || path.contains(&self.own) || older || lacks {
                    self.reject(address, path);
                    return Verdict::Leave;
                }
                self.keep_parent(now, address, path);
                Verdict::Keep
            }
        }
    }

    fn keep_parent(&mut self, now: Mono, address: SocketAddr, path: &[SocketAddr]) {
        let since = match &self.parent {
            Some(parent) if parent.address == address => parent.since,
            _ => now,
        };
        self.rounds = 0;
        self.next.clear();
        self.tried.clear();
        let deep = path.len() >= self.config.max_depth;
        if deep && now.since(since) > self.config.depth_grace {
            // Lost parents only ever move processes down the tree. Searching again from
            // the sources bounds the depth; the present parent is among the processes
            // that this one may be redirected to.
            self.parent = None;
            self.start_round(&[]);
            return;
        }
        self.parent = Some(Parent {
            address,
            since,
            path: path.to_vec(),
        });
    }

    /// Rejects a process that answers but can't be the parent. It is not asked again in
    /// this round: two processes that redirect to each other would be asked in turn.
    fn reject(&mut self, address: SocketAddr, path: &[SocketAddr]) {
        if self.parent.take().is_some() {
            self.start_round(path);
        }
        self.tried.insert(address);
    }

    fn handle_refusal(&mut self, others: &[SocketAddr]) {
        if let Some(parent) = self.parent.take() {
            self.start_round(&parent.path);
        }
        // The first of the others is tried next.
        let (own, tried) = (self.own, &self.tried);
        let new = |other: &&SocketAddr| **other != own && !tried.contains(*other);
        for other in others.iter().filter(new).rev() {
            self.next.push_front(*other);
        }
    }

    /// Returns true if the parent has lacked a revision that exists for too long.
    fn is_lagging(&mut self, now: Mono, delta: &Delta, have: Revision, heard: Revision) -> bool {
        self.behind.take_if(|(revision, _)| *revision <= have);
        if heard <= have {
            return false;
        }
        let (revision, since) = *self.behind.get_or_insert((heard, now));
        delta.newest < revision && now.since(since) > self.config.max_lag
    }

    /// Starts a round that tries the addresses in `first`, then the sources.
    fn start_round(&mut self, first: &[SocketAddr]) {
        let mut sources = self.sources.clone();
        sources.shuffle(&mut self.rng);
        self.tried.clear();
        let order = first.iter().copied().chain(sources);
        self.next = order.filter(|address| *address != self.own).collect();
        self.resume = Mono::ZERO;
    }

    fn next_pause(&mut self) -> Duration {
        let doubled = self
            .config
            .initial_pause
            .saturating_mul(1 << self.rounds.min(10));
        self.rounds = self.rounds.saturating_add(1);
        let span = doubled.min(self.config.max_pause);
        span.mul_f64(self.rng.random_range(0.5..1.0))
    }
}
