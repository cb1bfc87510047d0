//! Whom a process asks for what is new.
//!
//! It starts at a source, in random order so that newcomers spread over all of
//! them, and goes down the tree from one that is full to one that it is sent
//! to, until somebody serves it. It stays there until its parent falls silent,
//! refuses, is cut off from the sources, is behind, or turns out to stand below
//! it. Then it tries the parent's own way up, nearest first, and the sources
//! after that.
//!
//! **No lasting cycles.** Each answer carries the sender's way up to a source.
//! Whoever finds its own address there leaves at once. Should the way be wrong,
//! as in the moment when two processes take each other for a parent, the answer's
//! age still grows: only a source starts it at nothing, so in a cycle nobody
//! hears of a young answer and all of them leave.

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use almondlock_base::{time::Mono, unit::Revision};
use almondlock_wire::spread::{ADDRESSES, Delta, Standing};
use rand::{Rng, seq::SliceRandom};

/// Bounds of the search.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The oldest answer that a parent may give.
    pub max_answer_age: Duration,
    /// How long a parent may lack what is known to exist.
    pub max_lag: Duration,
    /// The first pause after all addresses were tried in vain.
    pub initial_pause: Duration,
    /// The longest.
    pub max_pause: Duration,
    /// Longer ways up than this are looked over after a while.
    pub max_depth: usize,
    /// How long that while is.
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

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the process at this address.
    Ask(SocketAddr),
    /// Wait.
    Wait(Duration),
}

/// What an answer came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The sender is the parent, and its answer counts.
    Keep,
    /// The sender is not the parent; its answer doesn't count.
    Leave,
}

struct Parent {
    address: SocketAddr,
    since: Mono,
    way: Vec<SocketAddr>,
}

/// The search for a parent.
pub struct Search<R> {
    config: Config,
    own: SocketAddr,
    version: u16,
    sources: Vec<SocketAddr>,
    parent: Option<Parent>,
    // Invariant: none of these was tried in this round.
    next: VecDeque<SocketAddr>,
    tried: BTreeSet<SocketAddr>,
    // Rounds in vain, and when the next one may start.
    rounds: u32,
    resume: Mono,
    // A revision known to exist and not in force here, and since when. Not the
    // newest such: where changes never end there is always a newer one, and a
    // parent that hands on each of them would be held for lagging.
    behind: Option<(Revision, Mono)>,
    rng: R,
}

impl<R> Search<R>
where
    R: Rng,
{
    /// Starts at the sources. `own` is this process's address, `version` the
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

    /// Whom to ask now.
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
        let pause = self.pause();
        self.start_round(&[]);
        self.resume = now + pause;
        Step::Wait(pause)
    }

    /// Sources are known besides those of the settings, which may be gone.
    pub fn add_sources(&mut self, sources: &[SocketAddr]) {
        for source in sources {
            if *source != self.own && !self.sources.contains(source) {
                self.sources.push(*source);
            }
        }
        // Those that were learned and are gone cost an attempt a round; there
        // are as many as replicas were ever replaced in this process's life.
        let surplus = self.sources.len().saturating_sub(ADDRESSES);
        self.sources.drain(..surplus);
    }

    /// The parent, once there is one.
    pub fn parent(&self) -> Option<SocketAddr> {
        self.parent.as_ref().map(|parent| parent.address)
    }

    /// The way from here up to a source, nearest first.
    pub fn path_to_source(&self) -> Vec<SocketAddr> {
        let Some(parent) = &self.parent else {
            return Vec::new();
        };
        let steps = std::iter::once(parent.address).chain(parent.way.iter().copied());
        steps.take(ADDRESSES).collect()
    }

    /// The process at an address didn't answer.
    pub fn record_failure(&mut self, address: SocketAddr) {
        let way = self.parent.take().map(|parent| parent.way);
        if let Some(way) = way {
            // The address may well answer again later, but not in this round.
            self.start_round(&way);
            self.tried.insert(address);
        }
    }

    /// The process at an address answered. `heard` is the newest revision known
    /// to exist, `have` the one in force here, the answer's content included.
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
                self.refused(others);
                Verdict::Leave
            }
            Standing::Served(age, way) => {
                let lacks = self.lacks(now, delta, have, heard);
                // A process that speaks an older version drops what it doesn't
                // know from the configuration, and may not hand it on.
                let is_source = self.sources.contains(&address);
                let older = delta.from.version < self.version && !is_source;
                if *age > self.config.max_answer_age || way.contains(&self.own) || older || lacks {
                    self.leave(address, way);
                    return Verdict::Leave;
                }
                self.keep(now, address, way);
                Verdict::Keep
            }
        }
    }

    fn keep(&mut self, now: Mono, address: SocketAddr, way: &[SocketAddr]) {
        let since = match &self.parent {
            Some(parent) if parent.address == address => parent.since,
            _ => now,
        };
        self.rounds = 0;
        self.next.clear();
        self.tried.clear();
        let deep = way.len() >= self.config.max_depth;
        if deep && now.since(since) > self.config.depth_grace {
            // Losses only ever push processes down. Looking again from the top
            // bounds the depth; until somebody serves it, the parent of now is
            // among those it is sent to.
            self.parent = None;
            self.start_round(&[]);
            return;
        }
        self.parent = Some(Parent {
            address,
            since,
            way: way.to_vec(),
        });
    }

    /// Passes over a process that answers but is of no use. Within a round it is
    /// not asked again: two that lead to each other would be asked in turn.
    fn leave(&mut self, address: SocketAddr, way: &[SocketAddr]) {
        if self.parent.take().is_some() {
            self.start_round(way);
        }
        self.tried.insert(address);
    }

    fn refused(&mut self, others: &[SocketAddr]) {
        if let Some(parent) = self.parent.take() {
            self.start_round(&parent.way);
        }
        // The first of them is tried next.
        let (own, tried) = (self.own, &self.tried);
        let new = |other: &&SocketAddr| **other != own && !tried.contains(*other);
        for other in others.iter().filter(new).rev() {
            self.next.push_front(*other);
        }
    }

    /// Whether a parent has lacked something that exists for too long.
    fn lacks(&mut self, now: Mono, delta: &Delta, have: Revision, heard: Revision) -> bool {
        self.behind.take_if(|(revision, _)| *revision <= have);
        if heard <= have {
            return false;
        }
        let (revision, since) = *self.behind.get_or_insert((heard, now));
        delta.newest < revision && now.since(since) > self.config.max_lag
    }

    /// Begins again: first these, then the sources.
    fn start_round(&mut self, first: &[SocketAddr]) {
        let mut sources = self.sources.clone();
        sources.shuffle(&mut self.rng);
        self.tried.clear();
        let order = first.iter().copied().chain(sources);
        self.next = order.filter(|address| *address != self.own).collect();
        self.resume = Mono::ZERO;
    }

    fn pause(&mut self) -> Duration {
        let doubled = self
            .config
            .initial_pause
            .saturating_mul(1 << self.rounds.min(10));
        self.rounds = self.rounds.saturating_add(1);
        let span = doubled.min(self.config.max_pause);
        span.mul_f64(self.rng.random_range(0.5..1.0))
    }
}
