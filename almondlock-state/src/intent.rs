//! The changes that an operator can ask for.

use almondlock_base::{
    id::{Adapter, Domain, Model, Organisation, Service, Upstream, Version},
    unit::Tokens,
};
use serde::{Deserialize, Serialize};

use crate::{
    api,
    config::KeyHash,
    operator::Role,
    plan,
    replica::{self, Replica},
};

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "kebab-case")]
pub enum Intent {
    /// Adds an organisation, without keys.
    AddOrganisation {
        /// The name of the organisation.
        name: Organisation,
        /// Its limits. Those that are not given get a default.
        #[serde(default)]
        limits: Limits,
    },
    /// Changes the limits of an organisation.
    ChangeOrganisation {
        /// The name of the organisation.
        name: Organisation,
        /// The new limits. Those that are not given stay.
        limits: Limits,
    },
    /// Removes an organisation.
    RemoveOrganisation {
        /// The name of the organisation.
        name: Organisation,
    },
    /// Adds a key to an organisation.
    AddKey {
        /// The name of the organisation.
        organisation: Organisation,
        /// The key's hash.
        hash: KeyHash,
    },
    /// Revokes a key of an organisation.
    RevokeKey {
        /// The name of the organisation.
        organisation: Organisation,
        /// The key's hash, or the first eight or more of its digits.
        hash: KeyHash,
    },
    /// Adds a model that callers may request.
    AddModel {
        /// The name of the model.
        name: Model,
        /// The version that requests run on.
        version: Version,
        /// The maximum length of prompt and answer together.
        context: Tokens,
    },
    /// Removes a model: callers may no longer request it.
    RemoveModel {
        /// The name of the model.
        name: Model,
    },
    /// Upgrades all upstreams of a model to a version.
    Rollout {
        /// The model.
        model: Model,
        /// The new version.
        version: Version,
        /// The percentage of the model's upstreams that must go on serving.
        #[serde(default = "default_keep")]
        keep: u8,
    },
    /// Adds an adapter that callers may request, or changes its version.
    SetAdapter {
        /// The model.
        model: Model,
        /// The adapter.
        adapter: Adapter,
        /// The adapter's version.
        version: Version,
    },
    /// Removes an adapter: callers may no longer request it.
    RemoveAdapter {
        /// The model.
        model: Model,
        /// The adapter.
        adapter: Adapter,
    },
    /// Adds a plain service, or changes its rules.
    SetService {
        /// The name of the service.
        name: Service,
        /// The HTTP methods whose requests may be repeated.
        repeatable: Vec<String>,
    },
    /// Removes a plain service: requests are no longer routed to it.
    RemoveService {
        /// The name of the service.
        name: Service,
    },
    /// Drains an upstream: it takes no new requests.
    Drain {
        /// The name of the upstream.
        upstream: Upstream,
        /// The operator's reason.
        reason: String,
    },
    /// Returns a drained upstream to work.
    Return {
        /// The name of the upstream.
        upstream: Upstream,
    },
    /// Evacuates a failure domain: its upstreams take no new requests.
    Evacuate {
        /// The failure domain.
        domain: Domain,
        /// The operator's reason.
        reason: String,
    },
    /// Ends the evacuation of a failure domain.
    Readmit {
        /// The failure domain.
        domain: Domain,
    },
    /// Sets or removes a setting that applies to all processes.
    SetSetting {
        /// The name of the setting.
        name: String,
        /// The new value; `None` removes the setting.
        value: Option<String>,
    },
    /// Adds a control replica.
    AddReplica {
        /// The addresses and failure domain of the new replica.
        replica: Replica,
    },
    /// Removes a control replica.
    RemoveReplica {
        /// The identity of its disk.
        id: replica::Id,
    },
    /// Replaces a control replica: adds the new one, then removes the old one.
    ReplaceReplica {
        /// The identity of the old replica's disk.
        old: replica::Id,
        /// The addresses and failure domain of the new replica.
        replica: Replica,
    },
    /// Adds an operator, or changes an operator's key and role.
    SetOperator {
        /// The name of the operator.
        name: String,
        /// The hash of the operator's key.
        hash: KeyHash,
        /// The operator's role.
        role: Role,
    },
    /// Removes an operator.
    RemoveOperator {
        /// The name of the operator.
        name: String,
    },
    /// Undoes the changes that a plan has made.
    Undo {
        /// The number of the plan.
        plan: plan::Id,
    },
}

/// New limits of an organisation. `None` leaves a limit as it is.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Weight of the organisation's share of the fleet.
    pub share: Option<u32>,
    /// Requests per second; 0 means no limit.
    pub rate: Option<u32>,
    /// Tokens in flight; 0 means no limit.
    pub tokens: Option<Tokens>,
    /// Default deadline in milliseconds.
    pub deadline: Option<u64>,
    /// Longest deadline in milliseconds.
    pub deadline_limit: Option<u64>,
}

const fn default_keep() -> u8 {
    50
}

impl Intent {
    /// Shortens the hash of a key for display.
    pub fn mask(&mut self) {
        if let Intent::AddKey { hash, .. } | Intent::SetOperator { hash, .. } = self {
            hash.truncate(api::HASH_DIGITS);
        }
    }

    /// Returns the least role that may ask for this change.
    pub const fn required_role(&self) -> Role {
        match self {
            Intent::AddReplica { .. }
            | Intent::RemoveReplica { .. }
            | Intent::ReplaceReplica { .. }
            | Intent::SetOperator { .. }
            | Intent::RemoveOperator { .. } => Role::Admin,
            _ => Role::Operator,
        }
    }
}
