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

/// The version of the snapshot's format.
const FORMAT: u32 = 1;

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Machine {
    tables: Tables,
    claims: claim::Table,
    suspects: poison::Table,
    lives: registration::Table,
    instances: instance::Table,
    plans: plan::table::Table,
    history: history::Table,
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

type Changes = Vec<(Revision, Change)>;

impl Machine {
    /// The state before the first command.
    pub fn new() -> Machine {
        Machine::default()
    }

    /// The configuration in force.
    pub fn config(&self) -> &Config {
        &self.tables.config
    }

    /// What plans change.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// The plans.
    pub fn plans(&self) -> &plan::table::Table {
        &self.plans
    }

    /// What operators did.
    pub fn history(&self) -> &history::Table {
        &self.history
    }

    /// The claims.
    pub fn claims(&self) -> &claim::Table {
        &self.claims
    }

    /// Whether an instance is gone for good.
    pub fn is_gone(&self, instance: &Upstream) -> bool {
        self.instances.is_gone(instance)
    }

    /// The time by which things are forgotten.
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
                self.on_claim(command)
            }
            Command::Blame { .. }
            | Command::Charge { .. }
            | Command::Discharge { .. }
            | Command::Clear { .. } => self.on_suspect(command, changes),
            Command::Propose { .. }
            | Command::Confirm { .. }
            | Command::Stop { .. }
            | Command::Step { .. } => self.on_plan(command, changes),
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
            Command::Enrol {
                upstream, instance, ..
            } => {
                let config = &self.tables.config;
                let made = self.instances.enrol(config, &upstream, instance);
                self.change(made, changes);
                Ok(accepted())
            }
            Command::Withdraw { upstream, .. } => {
                let made = self.instances.withdraw(&self.tables.config, &upstream);
                self.change(made.into_iter().collect(), changes);
                Ok(accepted())
            }
            Command::Evacuate { domain, at } => {
                let drain = evacuation::drain("", self.time(at));
                let made = evacuation::begin(&self.tables.config, domain, drain)
                    .map_err(|evacuation::Full| refusal(almondlock_base::Code::LimitReached))?;
                self.change(made.into_iter().collect(), changes);
                Ok(accepted())
            }
            Command::Readmit { domain, .. } => {
                let made = evacuation::end(&self.tables.config, domain);
                self.change(made.into_iter().collect(), changes);
                Ok(accepted())
            }
            Command::Sources { addresses, .. } => {
                let same = self.tables.config.sources == addresses;
                let made = (!same).then_some(Change::Sources(addresses));
                self.change(made.into_iter().collect(), changes);
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

    fn on_claim(&mut self, command: Command) -> Result<Reply, Refusal> {
        match command {
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
                    retention: Duration::from_millis(keep),
                    run_limit: self.longest_run(&organisation),
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

    /// How long a request of this organisation can run.
    fn longest_run(&self, organisation: &Organisation) -> Duration {
        let known = self.config().organisations.get(organisation);
        known.map_or(limit::MAX_OPEN_CLAIM_AGE, |known| {
            Duration::from_millis(known.deadline_limit).saturating_add(limit::OPEN_CLAIM_MARGIN)
        })
    }

    fn on_suspect(&mut self, command: Command, changes: &mut Changes) -> Result<Reply, Refusal> {
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
        self.change(made, changes);
        Ok(accepted())
    }

    fn on_plan(&mut self, command: Command, changes: &mut Changes) -> Result<Reply, Refusal> {
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
            .lives
            .announce(&self.tables.config, name, registration, now);
        let made = announced.map_err(|error| Refusal {
            code: error.code,
            message: error.message,
        })?;
        self.change(made, changes);
        Ok(accepted())
    }

    fn forget(&mut self, name: &Upstream, life: Incarnation, at: Wall, changes: &mut Changes) {
        let now = self.time(at);
        let made = self.lives.forget(&self.tables.config, name, life, now);
        self.change(made, changes);
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
        self.advance(at);
        let now = self.clock;
        let config = &self.tables.config;
        self.claims.expire(now);
        self.lives.expire(config, now);
        self.plans.expire(now);
        let made = self.suspects.expire(config, now);
        let upstreams = &config.upstreams;
        self.tables
            .orders
            .expire(|name| upstreams.contains_key(name), now);
        let lowest = self.plans.lowest_sequence().unwrap_or(self.tables.sequence);
        self.tables.expire(lowest);
        self.change(made, changes);
    }

    /// Moves the clock, by one step at most; the first command sets it.
    fn advance(&mut self, at: Wall) {
        let start = self.clock == Wall::default();
        let bound = if start {
            at
        } else {
            self.clock + limit::MAX_CLOCK_STEP
        };
        self.clock = self.clock.max(at.min(bound));
    }

    /// A command's time: the leader's, or the clock when that is ahead.
    fn time(&self, at: Wall) -> Wall {
        self.clock.max(at)
    }

    fn change(&mut self, made: Vec<Change>, changes: &mut Changes) {
        for change in made {
            changes.extend(self.tables.apply(Effect::Config(change), None));
        }
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

/// A snapshot that can't be put back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error(String);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the snapshot can't be read: {}", self.0)
    }
}

impl std::error::Error for Error {}
