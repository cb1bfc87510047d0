//! Which attempts may start on an upstream, and which of them did.
//!
//! The gate stands in the sidecar, in front of the queue. It alone can prove
//! that an attempt has not run: when an entry host gives an attempt up, the
//! gate notes that (a *tombstone*), and a copy that arrives later is refused.
//!
//! ```
//! use almondlock_base::{Code, Ran, id::{Attempt, Host, Incarnation}, time::Mono};
//! use almondlock_policy::gate::{Config, Gate};
//!
//! let life = Incarnation(7);
//! let mut gate = Gate::new(Config::default(), life);
//! let attempt = Attempt { host: Host::new("entry-1")?, incarnation: Incarnation(1), counter: 1 };
//! let now = Mono::from_millis(10);
//! // The entry host gave up before the attempt arrived.
//! assert_eq!(gate.settle(&attempt, life, now).ran, Ran::No);
//! // The late copy is dropped.
//! let refusal = gate.admit(&attempt, life, now, now).unwrap_err();
//! assert_eq!(refusal.code, Code::Tombstoned);
//! # Ok::<(), almondlock_base::id::Error>(())
//! ```
//!
//! # How long a tombstone lasts
//!
//! A tombstone may be forgotten only after no copy can arrive. No timeout
//! proves that: a head carries the time left at sending, so a copy that sat in
//! a socket buffer for minutes looks fresh. Keeping every tombstone for ever is
//! not bounded. So forgetting is made safe by itself: counters of one entry
//! host's life only go up, and when a record is forgotten, the *floor* of that
//! life is raised past it. An attempt below the floor without a record is
//! refused, and settling it says [`Ran::Unknown`], because the forgotten record
//! may have been of an attempt that ran. Time (until the attempt's deadline and
//! [`Config::retention`] are both past) only decides how long answers stay exact;
//! safety rests on the floor. A floor itself is kept for [`Config::floor_retention`]
//! after its life was last heard of, which exceeds the time for which a kernel
//! retransmits what a dead process left in its buffers.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use almondlock_base::{
    Code, Ran,
    id::{Attempt, Host, Incarnation},
    time::Mono,
};

/// Bounds of a [`Gate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// How long a closed attempt is remembered at least, unless there are more
    /// than [`Config::max_records`].
    pub retention: Duration,
    /// How many closed attempts are remembered at most.
    pub max_records: usize,
    /// How long the floor of an entry host's life outlasts the last word of it.
    pub floor_retention: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            retention: Duration::from_secs(600),
            max_records: 65_536,
            floor_retention: Duration::from_secs(3_600),
        }
    }
}

/// Why an attempt may not start, and whether an earlier copy of it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The numbered reason.
    pub code: Code,
    /// What is known of the attempt, all its copies together.
    pub ran: Ran,
}

/// What is left to do after an attempt was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    None,
    /// Take it out of the queue.
    Dequeue,
    /// Cancel it on the engine.
    Cancel,
}

/// The answer to a settled attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// Whether it ran. `No` is a promise: it will not run later either.
    pub ran: Ran,
    /// What the sidecar does about it.
    pub action: Action,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Queued,
    Running,
    Closed(Ran),
}

#[derive(Clone, Copy, Debug)]
struct Record {
    stage: Stage,
    /// When the attempt's time is over, by this host's clock.
    deadline: Mono,
    /// Key in `Gate::closing` while closed.
    until: Mono,
}

#[derive(Clone, Copy, Debug)]
struct Floor {
    /// Every counter below this one was either recorded here and forgotten, or
    /// never came. Only goes up.
    counter: u64,
    heard: Mono,
}

/// The gate of one life of one sidecar. Its knowledge ends with the process;
/// a successor has another incarnation and refuses what was meant for this one.
#[derive(Debug)]
pub struct Gate {
    config: Config,
    incarnation: Incarnation,
    leaving: bool,
    records: HashMap<Attempt, Record>,
    // Invariant: holds exactly the closed records, by the time to forget them.
    closing: BTreeSet<(Mono, Attempt)>,
    floors: HashMap<(Host, Incarnation), Floor>,
}

impl Gate {
    /// A gate for one life of a sidecar.
    pub fn new(config: Config, incarnation: Incarnation) -> Gate {
        Gate {
            config,
            incarnation,
            leaving: false,
            records: HashMap::new(),
            closing: BTreeSet::new(),
            floors: HashMap::new(),
        }
    }

    /// The life this gate belongs to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether new attempts are refused because the upstream is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Says whether the upstream is leaving. When it is, the attempts that
    /// still waited are given back: they are closed as not run, and each is to
    /// be answered with [`Code::UpstreamLeaving`], so that also work which may
    /// not be repeated can go elsewhere. What runs is left alone.
    pub fn set_leaving(&mut self, leaving: bool, now: Mono) -> Vec<Attempt> {
        self.leaving = leaving;
        if !leaving {
            return Vec::new();
        }
        let mut queued: Vec<Attempt> = self
            .records
            .iter()
            .filter(|(_, record)| record.stage == Stage::Queued)
            .map(|(attempt, _)| attempt.clone())
            .collect();
        queued.sort();
        for attempt in &queued {
            self.close(attempt, Ran::No, now);
        }
        queued
    }

    /// Lets an attempt into the queue.
    ///
    /// `target` is the life of the sidecar it was meant for, `deadline` when
    /// its time is over.
    ///
    /// # Errors
    ///
    /// A refusal whose `ran` is `No` proves that no copy of the attempt ran.
    pub fn admit(
        &mut self,
        attempt: &Attempt,
        target: Incarnation,
        deadline: Mono,
        now: Mono,
    ) -> Result<(), Refusal> {
        // An entry host sends an attempt in one call on one connection, so a
        // call that reached this life was not delivered to the earlier one.
        // When the earlier life took the call, the call broke with that life,
        // and what the entry host asks then is `settle`, which says `Unknown`.
        if target != self.incarnation {
            return Err(Refusal {
                code: Code::StaleIncarnation,
                ran: Ran::No,
            });
        }
        self.hear(attempt, now);
        if let Some(record) = self.records.get(attempt) {
            return Err(refuse_copy(record.stage));
        }
        if self.is_below_floor(attempt) {
            return Err(Refusal {
                code: Code::OutcomeLost,
                ran: Ran::Unknown,
            });
        }
        // Refused for good: the entry host may send the request elsewhere on
        // the strength of this answer, so a second copy must not slip in if
        // the upstream stops leaving.
        if self.leaving {
            self.insert(attempt, deadline);
            self.close(attempt, Ran::No, now);
            return Err(Refusal {
                code: Code::UpstreamLeaving,
                ran: Ran::No,
            });
        }
        self.insert(attempt, deadline);
        Ok(())
    }

    /// Marks an attempt as handed to the engine. To be called before the first
    /// byte goes out: from here on it counts as run.
    ///
    /// # Errors
    ///
    /// Refused when it was settled, given back or never admitted.
    pub fn start(&mut self, attempt: &Attempt) -> Result<(), Refusal> {
        match self.records.get_mut(attempt) {
            Some(record) if record.stage == Stage::Queued => {
                record.stage = Stage::Running;
                Ok(())
            }
            Some(record) => Err(refuse_copy(record.stage)),
            None => Err(Refusal {
                code: Code::Tombstoned,
                ran: Ran::Unknown,
            }),
        }
    }

    /// Notes that an attempt is over. A queued attempt that ends (its deadline
    /// passed, it was refused for room) is closed as not run; one that had
    /// started is closed as run, unless the engine refused it (`ran` is `No`).
    pub fn finish(&mut self, attempt: &Attempt, ran: Ran, now: Mono) {
        match self.records.get(attempt).map(|record| record.stage) {
            Some(Stage::Queued) => self.close(attempt, Ran::No, now),
            Some(Stage::Running) => self.close(attempt, ran, now),
            Some(Stage::Closed(_)) | None => {}
        }
    }

    /// Gives an attempt up and says whether it ran.
    pub fn settle(&mut self, attempt: &Attempt, target: Incarnation, now: Mono) -> Settlement {
        let done = |ran| Settlement {
            ran,
            action: Action::None,
        };
        // The earlier life's knowledge is gone: it may have passed it on.
        if target != self.incarnation {
            return done(Ran::Unknown);
        }
        self.hear(attempt, now);
        match self.records.get(attempt).map(|record| record.stage) {
            Some(Stage::Queued) => {
                self.close(attempt, Ran::No, now);
                Settlement {
                    ran: Ran::No,
                    action: Action::Dequeue,
                }
            }
            Some(Stage::Running) => Settlement {
                ran: Ran::Yes,
                action: Action::Cancel,
            },
            Some(Stage::Closed(ran)) => done(ran),
            None if self.is_below_floor(attempt) => done(Ran::Unknown),
            None => {
                self.insert(attempt, now);
                self.close(attempt, Ran::No, now);
                done(Ran::No)
            }
        }
    }

    /// Forgets what may be forgotten. To be called now and then; the number of
    /// records is bounded also without.
    pub fn sweep(&mut self, now: Mono) {
        while self.closing.first().is_some_and(|(until, _)| *until <= now) {
            self.forget_first();
        }
        let silence = self.config.floor_retention;
        let records = &self.records;
        self.floors.retain(|(host, incarnation), floor| {
            let known = |a: &Attempt| a.host == *host && a.incarnation == *incarnation;
            now.since(floor.heard) < silence || records.keys().any(known)
        });
    }

    /// How many attempts are remembered, running ones included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn insert(&mut self, attempt: &Attempt, deadline: Mono) {
        let record = Record {
            stage: Stage::Queued,
            deadline,
            until: Mono::ZERO,
        };
        self.records.insert(attempt.clone(), record);
    }

    fn close(&mut self, attempt: &Attempt, ran: Ran, now: Mono) {
        let Some(record) = self.records.get_mut(attempt) else {
            return;
        };
        record.stage = Stage::Closed(ran);
        record.until = record.deadline.max(now) + self.config.retention;
        self.closing.insert((record.until, attempt.clone()));
        while self.closing.len() > self.config.max_records {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        let Some((_, attempt)) = self.closing.pop_first() else {
            return;
        };
        self.records.remove(&attempt);
        if let Some(floor) = self.floors.get_mut(&(attempt.host, attempt.incarnation)) {
            floor.counter = floor.counter.max(attempt.counter.saturating_add(1));
        }
    }

    fn hear(&mut self, attempt: &Attempt, now: Mono) {
        let life = (attempt.host.clone(), attempt.incarnation);
        let floor = self.floors.entry(life).or_insert(Floor {
            counter: 0,
            heard: now,
        });
        floor.heard = floor.heard.max(now);
    }

    fn is_below_floor(&self, attempt: &Attempt) -> bool {
        self.floors
            .get(&(attempt.host.clone(), attempt.incarnation))
            .is_some_and(|floor| attempt.counter < floor.counter)
    }
}

/// What a second copy of a known attempt is told. It never starts.
fn refuse_copy(stage: Stage) -> Refusal {
    match stage {
        Stage::Queued => Refusal {
            code: Code::AlreadyRunning,
            ran: Ran::Unknown,
        },
        Stage::Running => Refusal {
            code: Code::AlreadyRunning,
            ran: Ran::Yes,
        },
        Stage::Closed(Ran::No) => Refusal {
            code: Code::Tombstoned,
            ran: Ran::No,
        },
        Stage::Closed(ran) => Refusal {
            code: Code::OutcomeLost,
            ran,
        },
    }
}
