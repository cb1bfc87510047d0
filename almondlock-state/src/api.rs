//! The JSON types of the operators' HTTP API, shared by server and client.
//!
//! Fields are only ever added, with a default, so that a client and a replica of adjacent
//! versions understand each other.
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
//! | `POST /v1/plans` with [`Proposal`] | [`Planned`] |
//! | `POST /v1/plans/ID/confirm`, `.../stop` | [`Planned`] |
//! | `POST /v1/plans/ID/undo` with [`Undo`] | [`Planned`] |
//!
//! Refusals are answered with a [`Failure`], whose code is also in the header
//! [`CODE_HEADER`].

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

/// Number of digits shown of a key's hash: enough to tell keys apart and to revoke one.
pub const HASH_DIGITS: usize = 12;

/// The answer to a refused request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Failure {
    /// The reason of the refusal.
    pub error: Problem,
}

/// The reason of a refusal.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Problem {
    /// The code's number. May be unknown, if the server is of a newer version.
    pub code: u16,
    /// The code's name.
    #[serde(rename = "type")]
    pub kind: String,
    /// The reason, for people.
    pub message: String,
    /// Whether the change was made, as far as known.
    pub ran: Ran,
    /// The leader's address for operators, if another replica leads.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<SocketAddr>,
}

impl Problem {
    /// Creates a problem with a code and a specific message.
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

/// The proposal of a change.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Proposal {
    /// The change number, chosen by the operator.
    pub number: String,
    /// The intent to plan.
    #[serde(flatten)]
    pub intent: Intent,
}

/// A request to undo a plan.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Undo {
    /// The change number of the undoing, chosen by the operator.
    pub number: String,
}

/// Shortens the hashes of keys in a plan. No client needs a whole hash, and a key that was
/// not made at random could be guessed from one.
pub fn mask_hashes(mut plan: Plan) -> Plan {
    plan.intent.mask();
    for stage in &mut plan.stages {
        if let plan::Step::Apply(effect) = &mut stage.step {
            mask_effect(effect);
        }
        if let Some(inverse) = &mut stage.inverse {
            mask_effect(inverse);
        }
    }
    plan
}

fn mask_effect(effect: &mut Effect) {
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

/// A plan, and whether its changes so far are in force.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Planned {
    /// The plan.
    pub plan: Plan,
    /// Whether no live process is behind the plan's last revision. `None` if the plan has
    /// changed nothing yet, or this isn't known.
    #[serde(default)]
    pub in_force: Option<bool>,
}

/// Summaries of plans, newest first.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Plans {
    /// The plans.
    pub plans: Vec<Summary>,
}

/// The summary of a plan.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Summary {
    /// The plan's number.
    pub id: plan::Id,
    /// The change number.
    pub number: String,
    /// The operator who proposed the plan.
    pub operator: String,
    /// When the plan was proposed.
    pub proposed: Wall,
    /// The intent that the plan carries out.
    pub intent: Intent,
    /// The state of the plan.
    pub state: State,
    /// Number of steps that succeeded.
    pub done: usize,
    /// Number of all steps.
    pub steps: usize,
    /// Why the plan failed. Empty otherwise.
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
    /// The host on which it runs.
    pub host: Host,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The revision of the configuration that it acts on.
    pub revision: Revision,
    /// The version of the inner protocol that it uses.
    #[serde(default)]
    pub version: u16,
}

/// A replica's view of its group, and of the processes that act on the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Observation {
    /// The replica that answers.
    pub replica: replica::Id,
    /// The leader, if known.
    pub leader: Option<replica::Id>,
    /// The current term.
    pub term: u64,
    /// The index of the last log entry that each replica is known to hold.
    pub matched: BTreeMap<replica::Id, u64>,
    /// The lowest revision that a live process acts on.
    pub in_force: Option<Revision>,
    /// Number of known live processes.
    pub processes: u32,
    /// The live processes that are furthest behind.
    pub laggards: Vec<Process>,
    /// Number of refusals by code since this replica started.
    pub refusals: BTreeMap<u16, u64>,
}

/// The status of the system.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// Whether a quorum has confirmed that this is the current state. If not, it is the last
    /// state that this replica knew.
    pub current: bool,
    /// The revision of the configuration.
    pub revision: Revision,
    /// The replica's view of the group and the processes.
    #[serde(rename = "standing")]
    pub observation: Observation,
    /// The replicas.
    pub replicas: BTreeMap<replica::Id, Replica>,
    /// Number of organisations.
    pub organisations: usize,
    /// The models.
    pub models: Vec<ModelRow>,
    /// Number of registered upstreams.
    pub upstreams: usize,
    /// Number of drained upstreams, registered or not.
    pub drained: usize,
    /// Number of registered upstreams by failure domain.
    pub domains: BTreeMap<String, usize>,
    /// Evacuated failure domains, whose upstreams take no new requests.
    pub evacuated: BTreeMap<id::Domain, Drain>,
    /// Number of suspected or refused fingerprints, and of refused ones.
    pub suspects: (usize, usize),
    /// Number of claims, open or ended.
    pub claims: usize,
    /// Plans that are waiting or running.
    pub plans: Vec<Summary>,
}

/// The summary of a model.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ModelRow {
    /// The name of the model.
    pub name: Model,
    /// The version in force.
    pub version: Version,
    /// Number of upstreams that may be given requests for the model.
    pub serving: usize,
}

impl Status {
    /// Creates the status from the state.
    pub fn new(machine: &Machine, observation: Observation, current: bool) -> Status {
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
            observation,
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

/// All organisations, with shortened key hashes.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Organisations {
    /// The revision.
    pub revision: Revision,
    /// Organisations by name.
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
    /// Upstreams by name.
    pub upstreams: BTreeMap<id::Upstream, UpstreamRow>,
}

/// The registration, drain and order of an upstream.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamRow {
    /// The registration, unless the upstream is gone.
    pub registration: Option<Registration>,
    /// The drain, if the upstream takes no new requests.
    pub drain: Option<Drain>,
    /// The load order, if there is one.
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
    /// Replicas by identity.
    pub replicas: BTreeMap<replica::Id, Replica>,
    /// The answering replica's view of the group and the processes.
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

/// The history of plans, newest first.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct History {
    /// The records.
    pub records: Vec<Record>,
}

/// The answer to a watch: the state after a change, or after the wait ended without one.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Watch {
    /// The revision, to be given with the next watch.
    pub revision: Revision,
    /// The lowest revision that a live process acts on.
    #[serde(default)]
    pub in_force: Option<Revision>,
    /// Plans that are waiting or running.
    #[serde(default)]
    pub plans: Vec<Summary>,
}

impl Watch {
    /// Creates the answer from the state.
    pub fn new(machine: &Machine, observation: &Observation) -> Watch {
        let open = machine.plans().iter().filter(|plan| !plan.state.is_over());
        Watch {
            revision: machine.config().revision,
            in_force: observation.in_force,
            plans: open.map(Summary::from).collect(),
        }
    }
}
