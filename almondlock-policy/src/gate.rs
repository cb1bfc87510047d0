//! Decides which attempts may start on an upstream, and records which of them did.
//!
//! The gate runs in the sidecar, in front of the queue. Only the gate can prove that an
//! attempt has not run: when an entry host gives an attempt up, the gate records that (a
//! *tombstone*) and refuses a copy that arrives later.
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
//! A tombstone may be forgotten only when no copy can arrive any more, and no timeout
//! proves that: the head of an attempt carries the time left at sending, so a copy that was
//! in a socket buffer for minutes looks new. To keep every tombstone for ever would need
//! unbounded memory. So forgetting is made safe in another way. The counters of one life of
//! an entry host only go up, and when a record is forgotten, the *floor* of that life is
//! raised past its counter. An attempt below the floor that has no record is refused, and
//! settling it returns [`Ran::Unknown`], because the forgotten record may have been of an
//! attempt that ran. The time for which records are kept (until both the attempt's deadline
//! and [`Config::retention`] are over) only decides how long answers stay exact; safety
//! depends on the floor alone. A floor is kept for [`Config::floor_retention`] after the
//! last message from its life, which is longer than a kernel retransmits what a dead process
//! left in its buffers.

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
    /// Time for which a closed attempt is remembered at least, unless there are more than
    /// [`Config::max_records`].
    pub retention: Duration,
    /// Maximum number of closed attempts that are remembered.
    pub max_records: usize,
    /// Time for which the floor of an entry host's life is kept after the last message from
    /// that life.
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
    /// The result code.
    pub code: Code,
    /// What is known of all copies of the attempt together.
    pub ran: Ran,
}

/// What the sidecar has to do after an attempt was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing is left to do.
    None,
    /// Remove it from the queue.
    Dequeue,
    /// Cancel it on the engine.
    Cancel,
}

/// The answer to an entry host that gave an attempt up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// Whether it ran. `No` is a promise: it will not run later either.
    pub ran: Ran,
    /// What the sidecar has to do about it.
    pub action: Action,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Queued,
    Running,
    Closed(Ran),
}

/// What the gate remembers of an attempt.
#[derive(Clone, Copy, Debug)]
struct Record {
    stage: Stage,
    /// Deadline of the attempt by this host's clock.
    deadline: Mono,
    /// Time after which the record may be forgotten, its key in `Gate::closed_by_expiry`
    /// while closed.
    forget_at: Mono,
}

/// The floor of one life of an entry host.
#[derive(Clone, Copy, Debug)]
struct Floor {
    /// Each attempt with a lower counter was either recorded here and forgotten, or never
    /// came. Only goes up.
    counter: u64,
    /// Time of the last message from that life.
    last_contact: Mono,
}

/// The gate of one life of one sidecar. Its knowledge ends with the process; a successor
/// has another incarnation and refuses attempts that were meant for this one.
#[derive(Debug)]
pub struct Gate {
    config: Config,
    incarnation: Incarnation,
    leaving: bool,
    records: HashMap<Attempt, Record>,
    // Invariant: holds exactly the closed records, by the time after which they may be
    // forgotten.
    closed_by_expiry: BTreeSet<(Mono, Attempt)>,
    floors: HashMap<(Host, Incarnation), Floor>,
}

impl Gate {
    /// Returns the gate for one life of a sidecar.
    pub fn new(config: Config, incarnation: Incarnation) -> Gate {
        Gate {
            config,
            incarnation,
            leaving: false,
            records: HashMap::new(),
            closed_by_expiry: BTreeSet::new(),
            floors: HashMap::new(),
        }
    }

    /// Returns the incarnation of the sidecar's life that the gate belongs to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether new attempts are refused because the upstream is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Sets whether the upstream is leaving. If it is, the attempts that still wait are
    /// closed as not run and returned. Each is to be answered with
    /// [`Code::UpstreamLeaving`], so that also work that may not be repeated can go
    /// elsewhere. Running attempts are not affected.
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

    /// Lets an attempt into the queue. `target` is the life of the sidecar that the attempt
    /// was meant for.
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
        // An entry host sends an attempt in one call on one connection, so a call that
        // reached this life was not delivered to an earlier one. If the earlier life
        // received the call, the call broke when that life ended; the entry host then asks
        // with `settle`, which answers `Unknown`.
        if target != self.incarnation {
            return Err(Refusal {
                code: Code::StaleIncarnation,
                ran: Ran::No,
            });
        }
        self.note_contact(attempt, now);
        if let Some(record) = self.records.get(attempt) {
            return Err(refuse_copy(record.stage));
        }
        if self.is_below_floor(attempt) {
            return Err(Refusal {
                code: Code::OutcomeLost,
                ran: Ran::Unknown,
            });
        }
        // The refusal is final: because of this answer the entry host may send the request
        // elsewhere, so a second copy must not start here if the upstream stops leaving.
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

    /// Marks an attempt as handed to the engine. Call this before the first byte is sent:
    /// from here on the attempt counts as run.
    ///
    /// # Errors
    ///
    /// Refused if the attempt was settled, given back or never admitted.
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

    /// Records that an attempt is over. A queued attempt that ends (because its deadline
    /// passed or it was refused for lack of room) is closed as not run. One that had
    /// started is closed as run, unless the engine refused it (`ran` is `No`).
    pub fn finish(&mut self, attempt: &Attempt, ran: Ran, now: Mono) {
        match self.records.get(attempt).map(|record| record.stage) {
            Some(Stage::Queued) => self.close(attempt, Ran::No, now),
            Some(Stage::Running) => self.close(attempt, ran, now),
            Some(Stage::Closed(_)) | None => {}
        }
    }

    /// Gives an attempt up and returns whether it ran.
    pub fn settle(&mut self, attempt: &Attempt, target: Incarnation, now: Mono) -> Settlement {
        let done = |ran| Settlement {
            ran,
            action: Action::None,
        };
        // The records of the earlier life are lost: it may have handed the attempt to the
        // engine.
        if target != self.incarnation {
            return done(Ran::Unknown);
        }
        self.note_contact(attempt, now);
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

    /// Forgets records and floors whose time is over. Call this now and then; the number of
    /// records is bounded also without it.
    pub fn sweep(&mut self, now: Mono) {
        while self
            .closed_by_expiry
            .first()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.forget_oldest();
        }
        let retention = self.config.floor_retention;
        let records = &self.records;
        self.floors.retain(|(host, incarnation), floor| {
            let is_known = |a: &Attempt| a.host == *host && a.incarnation == *incarnation;
            now.since(floor.last_contact) < retention || records.keys().any(is_known)
        });
    }

    /// Returns the number of attempts that are remembered, running ones included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn insert(&mut self, attempt: &Attempt, deadline: Mono) {
        let record = Record {
            stage: Stage::Queued,
            deadline,
            forget_at: Mono::ZERO,
        };
        self.records.insert(attempt.clone(), record);
    }

    fn close(&mut self, attempt: &Attempt, ran: Ran, now: Mono) {
        let Some(record) = self.records.get_mut(attempt) else {
            return;
        };
        record.stage = Stage::Closed(ran);
        record.forget_at = record.deadline.max(now) + self.config.retention;
        self.closed_by_expiry
            .insert((record.forget_at, attempt.clone()));
        while self.closed_by_expiry.len() > self.config.max_records {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((_, attempt)) = self.closed_by_expiry.pop_first() else {
            return;
        };
        self.records.remove(&attempt);
        if let Some(floor) = self.floors.get_mut(&(attempt.host, attempt.incarnation)) {
            floor.counter = floor.counter.max(attempt.counter.saturating_add(1));
        }
    }

    fn note_contact(&mut self, attempt: &Attempt, now: Mono) {
        let life = (attempt.host.clone(), attempt.incarnation);
        let floor = self.floors.entry(life).or_insert(Floor {
            counter: 0,
            last_contact: now,
        });
        floor.last_contact = floor.last_contact.max(now);
    }

    fn is_below_floor(&self, attempt: &Attempt) -> bool {
        self.floors
            .get(&(attempt.host.clone(), attempt.incarnation))
            .is_some_and(|floor| attempt.counter < floor.counter)
    }
}

/// Returns the refusal of a second copy of a known attempt. The copy never starts.
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
