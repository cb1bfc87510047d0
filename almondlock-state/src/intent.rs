//! What an operator wants, before anything is worked out.

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

/// What is to be so.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "kebab-case")]
pub enum Intent {
    /// A new organisation, without keys.
    AddOrganisation {
        /// Its name.
        name: Organisation,
        /// What it may use; what isn't given has a default.
        #[serde(default)]
        limits: Limits,
    },
    /// Other limits for an organisation.
    ChangeOrganisation {
        /// Its name.
        name: Organisation,
        /// What changes; what isn't given stays.
        limits: Limits,
    },
    /// No such organisation any more.
    RemoveOrganisation {
        /// Its name.
        name: Organisation,
    },
    /// One more key for an organisation.
    AddKey {
        /// Its name.
        organisation: Organisation,
        /// The key's hash.
        hash: KeyHash,
    },
    /// A key is no longer accepted.
    RevokeKey {
        /// Its name.
        organisation: Organisation,
        /// The key's hash, or its first digits.
        hash: KeyHash,
    },
    /// A model that callers may name.
    AddModel {
        /// Its name.
        name: Model,
        /// The version that runs.
        version: Version,
        /// Longest prompt and answer together.
        context: Tokens,
    },
    /// Callers may name the model no more.
    RemoveModel {
        /// Its name.
        name: Model,
    },
    /// Another version on all upstreams of a model.
    Rollout {
        /// The model.
        model: Model,
        /// The version to come.
        version: Version,
        /// How many of a hundred upstreams must go on serving.
        #[serde(default = "default_keep")]
        keep: u8,
    },
    /// An adapter callers may ask for, or another version of it.
    SetAdapter {
        /// The model.
        model: Model,
        /// The adapter.
        adapter: Adapter,
        /// Its version.
        version: Version,
    },
    /// Callers may ask for the adapter no more.
    RemoveAdapter {
        /// The model.
        model: Model,
        /// The adapter.
        adapter: Adapter,
    },
    /// A plain service, or other rules for it.
    SetService {
        /// Its name.
        name: Service,
        /// HTTP methods that may be sent again.
        repeatable: Vec<String>,
    },
    /// The service isn't routed to any more.
    RemoveService {
        /// Its name.
        name: Service,
    },
    /// An upstream takes no new work.
    Drain {
        /// Its name.
        upstream: Upstream,
        /// Why.
        reason: String,
    },
    /// A drained upstream takes work again.
    Return {
        /// Its name.
        upstream: Upstream,
    },
    /// No upstream of a failure domain takes new work.
    Evacuate {
        /// The domain.
        domain: Domain,
        /// Why.
        reason: String,
    },
    /// The upstreams of an evacuated failure domain take work again.
    Readmit {
        /// The domain.
        domain: Domain,
    },
    /// A setting for all processes; without a value it is taken away.
    SetSetting {
        /// Its name.
        name: String,
        /// Its value.
        value: Option<String>,
    },
    /// One more control replica.
    AddReplica {
        /// Where it waits.
        replica: Replica,
    },
    /// One control replica less.
    RemoveReplica {
        /// The identity of its disk.
        id: replica::Id,
    },
    /// A control replica instead of another: added first, then removed.
    ReplaceReplica {
        /// The identity that goes.
        old: replica::Id,
        /// Where the one that comes waits.
        replica: Replica,
    },
    /// An operator, or another key or role for one.
    SetOperator {
        /// Its name.
        name: String,
        /// The hash of its key.
        hash: KeyHash,
        /// What it may do.
        role: Role,
    },
    /// No such operator any more.
    RemoveOperator {
        /// Its name.
        name: String,
    },
    /// Put back what a plan changed.
    Undo {
        /// The plan.
        plan: plan::Id,
    },
}

/// What an organisation may use, as far as given.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Weight of its share.
    pub share: Option<u32>,
    /// Requests per second; 0 is no limit.
    pub rate: Option<u32>,
    /// Tokens in flight; 0 is no limit.
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
    /// Shortens the hash of a key, for showing it.
    pub fn mask(&mut self) {
        if let Intent::AddKey { hash, .. } | Intent::SetOperator { hash, .. } = self {
            hash.truncate(api::HASH_DIGITS);
        }
    }

    /// The least role that may ask for it.
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
