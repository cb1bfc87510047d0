//! The state machine: applies commands, one after another.
//!
//! Two replicas that applied the same commands are equal, and a snapshot put
//! back is equal to the machine that it was taken of. A command is applied in
//! whole or refused with nothing changed.
//!
//! # Time
//!
//! Each command brings its leader's time. The machine's own clock, by which it
//! forgets things, never goes back and moves only by [`Command::Expire`], by a
//! bounded step each time: a leader whose clock is a day ahead can't make all
//! claims expire at once, which would let re-sent requests run again. After a
//! long stop the clock lags, and things are kept longer, which is the safe side.

use std::{fmt, time::Duration};

use almondlock_base::{id::Upstream, time::Wall, unit::Revision};
use serde::{Deserialize, Serialize};

use crate::{
    claim,
    command::{Command, Reply},
    config::{Change, Config, Registration},
    limit, poison, registration,
};

/// The version of the snapshot's format.
const FORMAT: u32 = 1;

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Machine {
    config: Config,
    claims: claim::Table,
    suspects: poison::Table,
    lives: registration::Table,
    /// Invariant: never goes back.
    clock: Wall,
}

/// What a command did.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// The answer to whoever proposed it.
    pub reply: Reply,
    /// The changes of the configuration, each with the revision that it made.
    pub changes: Vec<(Revision, Change)>,
}

impl Machine {
    /// The state before the first command.
    pub fn new() -> Machine {
        Machine::default()
    }

    /// The configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The claims.
    pub fn claims(&self) -> &claim::Table {
        &self.claims
    }

    /// The time by which things are forgotten.
    pub fn clock(&self) -> Wall {
        self.clock
    }

    /// Applies the next command of the log.
    pub fn apply(&mut self, command: Command) -> Applied {
        let mut changes = Vec::new();
        let reply = self.dispatch(command, &mut changes);
        let changes = changes
            .into_iter()
            .map(|change| self.change(change))
            .collect();
        let reply = match reply {
            Reply::Accepted { .. } => Reply::Accepted {
                revision: self.config.revision,
            },
            other => other,
        };
        Applied { reply, changes }
    }

    fn dispatch(&mut self, command: Command, changes: &mut Vec<Change>) -> Reply {
        match command {
            Command::Announce {
                upstream,
                registration,
                at,
            } => self.announce(&upstream, registration, at, changes),
            Command::Forget {
                upstream,
                incarnation,
                at,
            } => {
                let now = self.time(at);
                changes.extend(self.lives.forget(&self.config, &upstream, incarnation, now));
                accepted()
            }
            Command::Claim {
                organisation,
                key,
                body,
                holder,
                keep,
                at,
            } => {
                let request = claim::Request {
                    organisation: &organisation,
                    key: &key,
                    body: &body,
                    holder: &holder,
                    keep: Duration::from_millis(keep),
                };
                let verdict = self.claims.claim(request, self.time(at));
                Reply::Claimed { verdict }
            }
            Command::SettleClaim {
                organisation,
                key,
                holder,
                ran,
                outcome,
                at,
            } => {
                let now = self.time(at);
                let settled =
                    self.claims
                        .settle((&organisation, &key), &holder, (ran, outcome), now);
                settled.map_or_else(Reply::refused, |()| accepted())
            }
            Command::HolderGone {
                host,
                incarnation,
                at,
            } => {
                self.claims.lose(&host, incarnation, self.time(at));
                accepted()
            }
            Command::Blame {
                fingerprint,
                organisation,
                upstream,
                incarnation,
                at,
            } => {
                let now = self.time(at);
                let death = (upstream, incarnation);
                let blamed =
                    self.suspects
                        .blame(&self.config, fingerprint, &organisation, death, now);
                blamed.map_or_else(Reply::refused, |made| {
                    changes.extend(made);
                    accepted()
                })
            }
            Command::Clear {
                fingerprint,
                organisation,
                ..
            } => {
                changes.extend(
                    self.suspects
                        .clear(&self.config, fingerprint, &organisation),
                );
                accepted()
            }
            Command::Expire { at } => {
                self.expire(at, changes);
                accepted()
            }
        }
    }

    fn announce(
        &mut self,
        name: &Upstream,
        registration: Registration,
        at: Wall,
        changes: &mut Vec<Change>,
    ) -> Reply {
        let now = self.time(at);
        match self.lives.announce(&self.config, name, registration, now) {
            Ok(made) => {
                changes.extend(made);
                accepted()
            }
            Err(error) => Reply::Refused {
                code: error.code,
                message: error.message,
            },
        }
    }

    fn expire(&mut self, at: Wall, changes: &mut Vec<Change>) {
        self.advance(at);
        self.claims.expire(self.clock);
        self.lives.expire(&self.config, self.clock);
        changes.extend(self.suspects.expire(&self.config, self.clock));
    }

    /// Moves the clock, by one step at most; the first command sets it.
    fn advance(&mut self, at: Wall) {
        let start = self.clock == Wall::default();
        let bound = if start {
            at
        } else {
            self.clock + limit::CLOCK_STEP
        };
        self.clock = self.clock.max(at.min(bound));
    }

    /// A command's time: the leader's, or the clock when that is ahead.
    fn time(&self, at: Wall) -> Wall {
        self.clock.max(at)
    }

    fn change(&mut self, change: Change) -> (Revision, Change) {
        self.config.apply(change.clone());
        (self.config.revision, change)
    }

    /// The whole state as bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        let snapshot = Snapshot {
            format: FORMAT,
            machine: self,
        };
        // Every map of the state has strings or numbers for keys, so that
        // writing it can't fail; an empty snapshot is refused when restored.
        serde_json::to_vec(&snapshot).unwrap_or_default()
    }

    /// Puts a snapshot back.
    pub fn restore(bytes: &[u8]) -> Result<Machine, Error> {
        let snapshot: Snapshot<Machine> =
            serde_json::from_slice(bytes).map_err(|error| Error(error.to_string()))?;
        if snapshot.format != FORMAT {
            return Err(Error(format!(
                "the format is {}, not {FORMAT}",
                snapshot.format
            )));
        }
        Ok(snapshot.machine)
    }
}

fn accepted() -> Reply {
    Reply::Accepted {
        revision: Revision::ZERO,
    }
}

#[derive(Serialize, Deserialize)]
struct Snapshot<M> {
    format: u32,
    machine: M,
}

/// A snapshot that can't be put back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error(String);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the snapshot can't be read: {}", self.0)
    }
}

impl std::error::Error for Error {}
