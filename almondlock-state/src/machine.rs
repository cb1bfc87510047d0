//! The replicated state machine, which applies the commands of the log in order.
//!
//! Two replicas that have applied the same commands hold equal states, and a state
//! restored from a snapshot equals the one that the snapshot was taken of. A
//! command is applied as a whole, or refused with nothing changed.
//!
//! # Time
//!
//! Each command carries its leader's time. The machine has a clock of its own for
//! expiring things. It never goes back and is advanced only by
//! [`Command::Expire`], by a bounded step each time, so that a leader whose clock is
//! a day ahead can't expire all claims at once, which would let re-sent requests run
//! again. After a long outage the clock lags and things are kept longer, which is
//! safe.

mod instances;
mod published;

use std::{collections::BTreeMap, fmt, time::Duration};

use almondlock_base::{
    id::{Incarnation, Organisation, Upstream},
    time::Wall,
    unit::Revision,
};
use serde::{Deserialize, Serialize};

use crate::{
    claim,
    command::{Command, Reply},
    config::{Change, Config, Registration},
    evacuation, history, instance, limit,
    operator::Operator,
    plan::{
        self,
        compile::Error as Refusal,
        execute::{Executor, Proposal},
    },
    poison, registration,
    replica::{self, Replica},
    tables::{Effect, Tables},
};

/// The version of the snapshot format.
const FORMAT: u32 = 1;

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Machine {
    tables: Tables,
    claims: claim::Table,
    suspects: poison::Table,
    #[serde(rename = "lives")]
    registrations: registration::Table,
    instances: instance::Table,
    plans: plan::table::Table,
    history: history::Table,
    /// The time by which things expire. Invariant: never goes back.
    clock: Wall,
}

/// The result of applying a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// The answer to the command's proposer.
    pub reply: Reply,
    /// The changes of the configuration, each with the revision that it makes.
    pub changes: Vec<(Revision, Change)>,
}

type Changes = Vec<(Revision, Change)>;

impl Machine {
    /// Creates the state before the first command.
    pub fn new() -> Machine {
        Machine::default()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Config {
        &self.tables.config
    }

    /// Returns the tables that plans change.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Returns the plans.
    pub fn plans(&self) -> &plan::table::Table {
        &self.plans
    }

    /// Returns the history of plans.
    pub fn history(&self) -> &history::Table {
        &self.history
    }

    /// Returns the claims.
    pub fn claims(&self) -> &claim::Table {
        &self.claims
    }

    /// Returns the time by which things expire.
    pub fn clock(&self) -> Wall {
        self.clock
    }

    /// Applies the next command of the log.
    pub fn apply(&mut self, command: Command) -> Applied {
        let mut changes = Vec::new();
        let reply = match self.dispatch(command, &mut changes) {
            Ok(Reply::Accepted { .. }) => Reply::Accepted {
                revision: self.config().revision,
            },
            Ok(reply) => reply,
            Err(Refusal { code, message }) => Reply::Refused { code, message },
        };
        Applied { reply, changes }
    }

    fn dispatch(&mut self, command: Command, changes: &mut Changes) -> Result<Reply, Refusal> {
        match command {
            Command::Claim { .. } | Command::SettleClaim { .. } | Command::HolderGone { .. } => {
                self.apply_claim(command)
            }
            Command::Blame { .. }
            | Command::Charge { .. }
            | Command::Discharge { .. }
            | Command::Clear { .. } => self.apply_suspect(command, changes),
            Command::Propose { .. }
            | Command::Confirm { .. }
            | Command::Stop { .. }
            | Command::Step { .. } => self.apply_plan(command, changes),
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
                self.forget(&upstream, incarnation, at, changes);
                Ok(accepted())
            }
            Command::Publish { publication, .. } => self.publish(publication, changes),
            Command::Enrol { .. }
            | Command::Withdraw { .. }
            | Command::Lapse { .. }
            | Command::Reinstate { .. }
            | Command::Heard { .. } => {
                self.apply_instance(command, changes);
                Ok(accepted())
            }
            Command::Evacuate { domain, at } => {
                let drain = evacuation::drain("", self.time(at));
                let made = evacuation::begin(&self.tables.config, domain, drain)
                    .map_err(|evacuation::Full| refusal(almondlock_base::Code::LimitReached))?;
                self.apply_changes(made.into_iter().collect(), changes);
                Ok(accepted())
            }
            Command::Readmit { domain, .. } => {
                let made = evacuation::end(&self.tables.config, domain);
                self.apply_changes(made.into_iter().collect(), changes);
                Ok(accepted())
            }
            Command::Sources { addresses, .. } => {
                let same = self.tables.config.sources == addresses;
                let made = (!same).then_some(Change::Sources(addresses));
                self.apply_changes(made.into_iter().collect(), changes);
                Ok(accepted())
            }
            Command::Seed {
                operators,
                replicas,
                ..
            } => {
                self.seed(operators, replicas);
                Ok(accepted())
            }
            Command::Replicas { replicas, .. } => {
                self.tables.set_replicas(replicas);
                Ok(accepted())
            }
            Command::Expire { at } => {
                self.expire(at, changes);
                Ok(accepted())
            }
        }
    }

    fn apply_claim(&mut self, command: Command) -> Result<Reply, Refusal> {
        match command {
            Command::Claim {
                organisation,
                key,
                body,
                holder,
                retention_ms,
                at,
            } => {
                let request = claim::Request {
                    organisation: &organisation,
                    key: &key,
                    body: &body,
                    holder: &holder,
                    retention: Duration::from_millis(retention_ms),
                    run_limit: self.open_claim_limit(&organisation),
                };
                let verdict = self.claims.claim(request, self.time(at));
                return Ok(Reply::Claimed { verdict });
            }
            Command::SettleClaim {
                organisation,
                key,
                holder,
                ran,
                outcome,
                at,
            } => {
                let (name, now) = ((&organisation, key.as_str()), self.time(at));
                self.claims
                    .settle(name, &holder, (ran, outcome), now)
                    .map_err(refusal)?;
            }
            Command::HolderGone {
                host,
                incarnation,
                at,
            } => {
                self.claims.mark_lost(&host, incarnation, self.time(at));
            }
            _ => {}
        }
        Ok(accepted())
    }

    /// Returns the time after which an open claim of this organisation counts as lost.
    fn open_claim_limit(&self, organisation: &Organisation) -> Duration {
        let known = self.config().organisations.get(organisation);
        known.map_or(limit::MAX_OPEN_CLAIM_AGE, |known| {
            Duration::from_millis(known.deadline_limit).saturating_add(limit::OPEN_CLAIM_MARGIN)
        })
    }

    fn apply_suspect(&mut self, command: Command, changes: &mut Changes) -> Result<Reply, Refusal> {
        let config = &self.tables.config;
        let made = match command {
            Command::Blame {
                fingerprint,
                organisation,
                upstream,
                incarnation,
                at,
            } => {
                let (death, now) = ((upstream, incarnation), self.time(at));
                let blamed = self
                    .suspects
                    .blame(config, fingerprint, &organisation, death, now);
                blamed.map_err(refusal)?
            }
            Command::Charge {
                fingerprint,
                organisation,
                upstream,
                incarnation,
                at,
            } => {
                let (death, now) = ((upstream, incarnation), self.time(at));
                let charged = self.suspects.charge(fingerprint, &organisation, death, now);
                charged.map_err(refusal)?
            }
            Command::Discharge {
                fingerprint,
                organisation,
                upstream,
                incarnation,
                at,
            } => {
                let (death, now) = ((upstream, incarnation), self.time(at));
                let taken = self
                    .suspects
                    .discharge(fingerprint, &organisation, &death, now);
                taken.into_iter().collect()
            }
            Command::Clear {
                fingerprint,
                organisation,
                ..
            } => {
                let cleared = self.suspects.clear(config, fingerprint, &organisation);
                cleared.into_iter().collect()
            }
            _ => Vec::new(),
        };
        self.apply_changes(made, changes);
        Ok(accepted())
    }

    fn apply_plan(&mut self, command: Command, changes: &mut Changes) -> Result<Reply, Refusal> {
        let clock = self.clock;
        let mut context = Executor {
            tables: &mut self.tables,
            plans: &mut self.plans,
            history: &mut self.history,
            changes,
            now: clock,
        };
        let id = match command {
            Command::Propose {
                number,
                intent,
                operator,
                at,
            } => {
                context.now = clock.max(at);
                context.propose(Proposal {
                    number,
                    intent,
                    operator,
                })?
            }
            Command::Confirm { plan, operator, at } => {
                context.now = clock.max(at);
                context.confirm(plan, &operator).map(|()| plan)?
            }
            Command::Stop { plan, operator, at } => {
                context.now = clock.max(at);
                context.stop(plan, &operator).map(|()| plan)?
            }
            Command::Step {
                plan,
                index,
                transition: advance,
                at,
            } => {
                context.now = clock.max(at);
                context
                    .apply_transition(plan, index, advance)
                    .map(|()| plan)?
            }
            _ => return Ok(accepted()),
        };
        let plan = self.plans.get(id).cloned().map(Box::new);
        Ok(plan.map_or_else(accepted, |plan| Reply::Planned { plan }))
    }

    fn announce(
        &mut self,
        name: &Upstream,
        registration: Registration,
        at: Wall,
        changes: &mut Changes,
    ) -> Result<Reply, Refusal> {
        let now = self.time(at);
        let announced = self
            .registrations
            .announce(&self.tables.config, name, registration, now);
        let made = announced.map_err(|error| Refusal {
            code: error.code,
            message: error.message,
        })?;
        self.apply_changes(made, changes);
        Ok(accepted())
    }

    fn forget(&mut self, name: &Upstream, life: Incarnation, at: Wall, changes: &mut Changes) {
        let now = self.time(at);
        let made = self
            .registrations
            .forget(&self.tables.config, name, life, now);
        self.apply_changes(made, changes);
    }

    fn seed(
        &mut self,
        operators: BTreeMap<String, Operator>,
        replicas: BTreeMap<replica::Id, Replica>,
    ) {
        if !self.tables.operators.is_empty() {
            return;
        }
        for (name, operator) in operators {
            self.tables
                .apply(Effect::Operator(name, Some(operator)), None);
        }
        self.tables.set_replicas(replicas);
    }

    fn expire(&mut self, at: Wall, changes: &mut Changes) {
        self.advance_clock(at);
        let now = self.clock;
        let config = &self.tables.config;
        self.claims.expire(now);
        self.registrations.expire(config, now);
        self.plans.expire(now);
        let made = self.suspects.expire(config, now);
        let upstreams = &config.upstreams;
        self.tables
            .orders
            .expire(|name| upstreams.contains_key(name), now);
        let lowest = self.plans.lowest_sequence().unwrap_or(self.tables.sequence);
        self.tables.expire(lowest);
        self.apply_changes(made, changes);
    }

    /// Advances the clock by at most [`limit::MAX_CLOCK_STEP`]; the first call sets it.
    fn advance_clock(&mut self, at: Wall) {
        let start = self.clock == Wall::default();
        let bound = if start {
            at
        } else {
            self.clock + limit::MAX_CLOCK_STEP
        };
        self.clock = self.clock.max(at.min(bound));
    }

    /// Returns the time of a command: its leader's, or the clock's if that is later.
    fn time(&self, at: Wall) -> Wall {
        self.clock.max(at)
    }

    fn apply_changes(&mut self, made: Vec<Change>, changes: &mut Changes) {
        for change in made {
            changes.extend(self.tables.apply(Effect::Config(change), None));
        }
    }

    /// Returns the whole state as bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        let snapshot = Snapshot {
            format: FORMAT,
            machine: self,
        };
        // All maps of the state have strings or numbers as keys, so serialisation
        // can't fail. An empty snapshot would be refused by `restore`.
        serde_json::to_vec(&snapshot).unwrap_or_default()
    }

    /// Restores the state from a snapshot, unless it is damaged or of another format.
    pub fn restore(bytes: &[u8]) -> Result<Machine, Error> {
        let snapshot: Snapshot<Machine> =
            serde_json::from_slice(bytes).map_err(|error| Error(error.to_string()))?;
        if snapshot.format != FORMAT {
            return Err(Error(format!(
                "its format version is {}, expected {FORMAT}",
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

fn refusal(code: almondlock_base::Code) -> Refusal {
    Refusal {
        code,
        message: code.text().to_owned(),
    }
}

#[derive(Serialize, Deserialize)]
struct Snapshot<M> {
    format: u32,
    machine: M,
}

/// The error for a snapshot that can't be restored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error(String);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the snapshot can't be read: {}", self.0)
    }
}

impl std::error::Error for Error {}
