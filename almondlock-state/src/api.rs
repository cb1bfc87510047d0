//! The JSON of the operators' API, shared by server and client.
//!
//! Fields are only ever added, with a default, so that a client and a replica
//! of adjacent versions understand each other.
//!
//! | request | answer |
//! |---|---|
//! | `GET /v1/status` | [`Status`] |
//! | `GET /v1/organisations` | [`Organisations`] |
//! | `GET /v1/models` | [`Models`] |
//! | `GET /v1/upstreams` | [`Upstreams`] |
//! | `GET /v1/replicas` | [`Replicas`] |
//! | `GET /v1/operators` | [`Operators`] |
//! | `GET /v1/history?limit=N` | [`History`] |
//! | `GET /v1/plans`, `GET /v1/plans/ID` | [`Plans`], [`Planned`] |
//! | `GET /v1/watch?after=REVISION&wait=MILLIS` | [`Watch`] |
//! | `POST /v1/plans` with [`Propose`] | [`Planned`] |
//! | `POST /v1/plans/ID/confirm`, `.../stop` | [`Planned`] |
//! | `POST /v1/plans/ID/undo` with [`Undo`] | [`Planned`] |
//!
//! Everything else is answered with a [`Failure`], whose code is also in the
//! header [`CODE_HEADER`].

use std::{collections::BTreeMap, net::SocketAddr};

use almondlock_base::{
    Code, Ran,
    id::{self, Host, Incarnation, Model, Service, Version},
    time::Wall,
    unit::Revision,
};
use serde::{Deserialize, Serialize};

use crate::{
    config::{self, Definition, Drain, Order, Plain, Registration},
    history::Record,
    intent::Intent,
    machine::Machine,
    operator::Role,
    plan::{self, Plan, State, rollout},
    replica::{self, Replica},
    tables::Effect,
};

/// The header that carries the number of a refusal's code.
pub const CODE_HEADER: &str = "x-almondlock-code";

/// Digits shown of a key's hash: enough to tell keys apart and to revoke one.
pub const HASH_DIGITS: usize = 12;

/// A refusal.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Failure {
    /// What went wrong.
    pub error: Problem,
}

/// What went wrong.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Problem {
    /// The code's number; perhaps of a newer version.
    pub code: u16,
    /// The code's name.
    #[serde(rename = "type")]
    pub kind: String,
    /// What is wrong, for people.
    pub message: String,
    /// Whether the change was made, as far as is known.
    pub ran: Ran,
    /// The leader's address for operators, when another replica leads.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<SocketAddr>,
}

impl Problem {
    /// A problem with a code and a message of its own.
    pub fn new<M>(code: Code, message: M) -> Problem
    where
        M: Into<String>,
    {
        Problem {
            code: code.number(),
            kind: code.name().to_owned(),
            message: message.into(),
            ran: code.ran(),
            leader: None,
        }
    }
}

impl From<Code> for Problem {
    fn from(code: Code) -> Problem {
        Problem::new(code, code.text())
    }
}

/// A proposal.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Proposal {
    /// The operator's number for the change.
    pub number: String,
    /// What is wanted.
    #[serde(flatten)]
    pub intent: Intent,
}

/// The wish to undo a plan.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Undo {
    /// The operator's number for the change.
    pub number: String,
}

/// Shortens the hashes of keys: nobody needs a whole one back, and a hash of a
/// key that was not made by chance may be guessed.
pub fn mask_hashes(mut plan: Plan) -> Plan {
    plan.intent.mask();
    for stage in &mut plan.stages {
        if let plan::Step::Apply(effect) = &mut stage.step {
            mask(effect);
        }
        if let Some(inverse) = &mut stage.inverse {
            mask(inverse);
        }
    }
    plan
}

fn mask(effect: &mut Effect) {
    match effect {
        Effect::Config(config::Change::Organisation(_, Some(known))) => {
            known
                .keys
                .iter_mut()
                .for_each(|key| key.truncate(HASH_DIGITS));
        }
        Effect::Operator(_, Some(known)) => known.key.truncate(HASH_DIGITS),
        _ => {}
    }
}

/// A plan, and whether what it has done so far is in force.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Planned {
    /// The plan.
    pub plan: Plan,
    /// Whether no live process is behind the plan's last revision; `None` when
    /// it has changed nothing yet, or nobody knows.
    #[serde(default)]
    pub in_force: Option<bool>,
}

/// Plans in short, newest first.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Plans {
    /// The plans.
    pub plans: Vec<Summary>,
}

/// A plan in short.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Summary {
    /// Its number.
    pub id: plan::Id,
    /// The change number.
    pub number: String,
    /// Who proposed it.
    pub operator: String,
    /// When.
    pub proposed: Wall,
    /// What is wanted.
    pub intent: Intent,
    /// Where it stands.
    pub state: State,
    /// Steps that ended well.
    pub done: usize,
    /// Steps in all.
    pub steps: usize,
    /// Why it stopped or failed.
    #[serde(default)]
    pub message: String,
}

impl From<&Plan> for Summary {
    fn from(plan: &Plan) -> Summary {
        let mut intent = plan.intent.clone();
        intent.mask();
        Summary {
            id: plan.id,
            number: plan.number.clone(),
            operator: plan.operator.clone(),
            proposed: plan.proposed_at,
            intent,
            state: plan.state,
            done: plan.completed_count(),
            steps: plan.stages.len(),
            message: plan.message.clone(),
        }
    }
}

/// A live process of the system.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Process {
    /// Where it runs.
    pub host: Host,
    /// Its life.
    pub incarnation: Incarnation,
    /// The revision that it acts on.
    pub revision: Revision,
    /// The version of the inner protocol that it speaks.
    #[serde(default)]
    pub version: u16,
}

/// What a replica knows of itself and of the processes below it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Observation {
    /// The replica that answers.
    pub replica: replica::Id,
    /// The leader, when it knows one.
    pub leader: Option<replica::Id>,
    /// The term.
    pub term: u64,
    /// The last entry of the log that each replica is known to hold.
    pub matched: BTreeMap<replica::Id, u64>,
    /// The lowest revision that a live process acts on.
    pub in_force: Option<Revision>,
    /// How many live processes are known.
    pub processes: u32,
    /// The furthest behind.
    pub laggards: Vec<Process>,
    /// Refusals by code since this replica started.
    pub refusals: BTreeMap<u16, u64>,
}

/// How the system is.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// Whether a quorum has confirmed that this is the present state. If not,
    /// it is what this replica knew last.
    pub current: bool,
    /// The revision of the configuration.
    pub revision: Revision,
    /// What the replica knows of itself.
    #[serde(rename = "standing")]
    pub observation: Observation,
    /// The replicas.
    pub replicas: BTreeMap<replica::Id, Replica>,
    /// How many organisations there are.
    pub organisations: usize,
    /// The models.
    pub models: Vec<ModelRow>,
    /// How many upstreams are registered.
    pub upstreams: usize,
    /// How many upstreams are drained, registered or not.
    pub drained: usize,
    /// Upstreams by failure domain.
    pub domains: BTreeMap<String, usize>,
    /// Failure domains whose upstreams take no new work.
    pub evacuated: BTreeMap<id::Domain, Drain>,
    /// Fingerprints under suspicion, and how many of them are refused.
    pub suspects: (usize, usize),
    /// Claims held.
    pub claims: usize,
    /// Plans that wait or run.
    pub plans: Vec<Summary>,
}

/// A model in short.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ModelRow {
    /// Its name.
    pub name: Model,
    /// The version in force.
    pub version: Version,
    /// Upstreams that requests for it may be given to.
    pub serving: usize,
}

impl Status {
    /// What the state tells.
    pub fn new(machine: &Machine, standing: Observation, current: bool) -> Status {
        let config = machine.config();
        let row = |(name, known): (&Model, &Definition)| ModelRow {
            name: name.clone(),
            version: known.version.clone(),
            serving: rollout::serving_upstreams(config, name).count(),
        };
        let mut domains = BTreeMap::new();
        for known in config.upstreams.values() {
            *domains.entry(known.domain.to_string()).or_default() += 1;
        }
        let refused = config
            .quarantines
            .values()
            .filter(|known| known.refused)
            .count();
        let open = machine.plans().iter().filter(|plan| !plan.state.is_over());
        Status {
            current,
            revision: config.revision,
            observation: standing,
            replicas: machine.tables().replicas.clone(),
            organisations: config.organisations.len(),
            models: config.models.iter().map(row).collect(),
            upstreams: config.upstreams.len(),
            drained: config.drains.len(),
            domains,
            evacuated: config.evacuations.clone(),
            suspects: (config.quarantines.len(), refused),
            claims: machine.claims().len(),
            plans: open.map(Summary::from).collect(),
        }
    }
}

/// All organisations; of their keys' hashes the first digits.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Organisations {
    /// The revision.
    pub revision: Revision,
    /// By name.
    pub organisations: BTreeMap<id::Organisation, config::Organisation>,
}

impl From<&Machine> for Organisations {
    fn from(machine: &Machine) -> Organisations {
        let config = machine.config();
        let mut organisations = config.organisations.clone();
        for key in organisations
            .values_mut()
            .flat_map(|known| known.keys.iter_mut())
        {
            key.truncate(HASH_DIGITS);
        }
        Organisations {
            revision: config.revision,
            organisations,
        }
    }
}

/// All models, services and settings.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Models {
    /// The revision.
    pub revision: Revision,
    /// Models by name.
    pub models: BTreeMap<Model, Definition>,
    /// Plain services by name.
    #[serde(default)]
    pub services: BTreeMap<Service, Plain>,
    /// Settings by name.
    #[serde(default)]
    pub settings: BTreeMap<String, String>,
}

impl From<&Machine> for Models {
    fn from(machine: &Machine) -> Models {
        let config = machine.config();
        Models {
            revision: config.revision,
            models: config.models.clone(),
            services: config.services.clone(),
            settings: config.settings.clone(),
        }
    }
}

/// All upstreams, registered or drained.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Upstreams {
    /// The revision.
    pub revision: Revision,
    /// By name.
    pub upstreams: BTreeMap<id::Upstream, UpstreamRow>,
}

/// An upstream.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamRow {
    /// What it registered with, unless it is gone.
    pub registration: Option<Registration>,
    /// Why it takes no new work.
    pub drain: Option<Drain>,
    /// What it was told to load.
    pub order: Option<Order>,
}

impl From<&Machine> for Upstreams {
    fn from(machine: &Machine) -> Upstreams {
        let config = machine.config();
        let row = |name: &id::Upstream| UpstreamRow {
            registration: config.upstreams.get(name).cloned(),
            drain: config.drains.get(name).cloned(),
            order: config.orders.get(name).cloned(),
        };
        let names = config.upstreams.keys().chain(config.drains.keys());
        let upstreams = names.map(|name| (name.clone(), row(name))).collect();
        Upstreams {
            revision: config.revision,
            upstreams,
        }
    }
}

/// All replicas.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Replicas {
    /// By number.
    pub replicas: BTreeMap<replica::Id, Replica>,
    /// What the replica that answers knows.
    #[serde(default, rename = "standing")]
    pub observation: Observation,
}

/// All operators, without their keys.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Operators {
    /// Roles by name.
    pub operators: BTreeMap<String, Role>,
}

impl From<&Machine> for Operators {
    fn from(machine: &Machine) -> Operators {
        let all = machine.tables().operators.iter();
        let operators = all
            .map(|(name, known)| (name.clone(), known.role))
            .collect();
        Operators { operators }
    }
}

/// What happened, newest first.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct History {
    /// The records.
    pub records: Vec<Record>,
}

/// News, or that there is none yet.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Watch {
    /// The revision. Ask again with it.
    pub revision: Revision,
    /// The lowest revision that a live process acts on.
    #[serde(default)]
    pub in_force: Option<Revision>,
    /// Plans that wait or run.
    #[serde(default)]
    pub plans: Vec<Summary>,
}

impl Watch {
    /// What the state tells.
    pub fn new(machine: &Machine, standing: &Observation) -> Watch {
        let open = machine.plans().iter().filter(|plan| !plan.state.is_over());
        Watch {
            revision: machine.config().revision,
            in_force: standing.in_force,
            plans: open.map(Summary::from).collect(),
        }
    }
}
