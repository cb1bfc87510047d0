//! The part of the state that plans change.
//!
//! Each such change is one [`Effect`], which changes one [`Resource`]. The tables record
//! when each resource was last modified and by which plan, so that a plan can be refused as
//! stale if a resource that it changes was modified after the plan had been computed.

use std::{collections::BTreeMap, fmt};

use almondlock_base::unit::Revision;
use serde::{Deserialize, Serialize};

use crate::{
    config::{Change, Config},
    operator::Operator,
    order, plan,
    replica::{self, Member, Replica},
};

/// A change of the tables. `None` removes the entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Changes the configuration.
    Config(Change),
    /// Sets or removes an operator.
    Operator(String, Option<Operator>),
    /// Sets or removes the addresses and failure domain of a replica.
    Replica(replica::Id, Option<Replica>),
}

/// The name of a resource that an effect changes, such as `organisation/acme`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Resource(pub String);

impl fmt::Display for Resource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Resource {
    /// The resource of all replicas. They are one resource, because each change of a replica
    /// depends on their number.
    pub fn replicas() -> Resource {
        Resource("replicas".to_owned())
    }

    /// The resource of an upstream's drain.
    pub fn drain<N>(name: N) -> Resource
    where
        N: fmt::Display,
    {
        Resource(format!("upstream/{name}"))
    }

    /// The resource of a model.
    pub fn model<N>(name: N) -> Resource
    where
        N: fmt::Display,
    {
        Resource(format!("model/{name}"))
    }
}

impl Effect {
    /// Returns the resource that the effect changes.
    pub fn resource(&self) -> Resource {
        let text = match self {
            Effect::Config(Change::Organisation(name, _)) => format!("organisation/{name}"),
            Effect::Config(Change::Model(name, _)) => return Resource::model(name),
            Effect::Config(Change::Service(name, _)) => format!("service/{name}"),
            Effect::Config(Change::Upstream(name, _)) => format!("registration/{name}"),
            Effect::Config(Change::Drain(name, _)) => return Resource::drain(name),
            Effect::Config(Change::Quarantine(print, _)) => format!("quarantine/{print}"),
            Effect::Config(Change::Setting(name, _)) => format!("setting/{name}"),
            Effect::Config(Change::Order(name, _)) => format!("order/{name}"),
            Effect::Config(Change::Sources(_)) => "sources".to_owned(),
            Effect::Config(Change::Document(_) | Change::Delta(_)) => "document".to_owned(),
            Effect::Config(Change::Instance(name, _)) => format!("instance/{name}"),
            Effect::Config(Change::Evacuation(name, _)) => format!("domain/{name}"),
            Effect::Operator(name, _) => format!("operator/{name}"),
            Effect::Replica(..) => return Resource::replicas(),
        };
        Resource(text)
    }

    /// Returns the effect that restores the present value of the resource.
    pub fn inverse(&self, tables: &Tables) -> Effect {
        let config = &tables.config;
        let change = match self {
            Effect::Operator(name, _) => {
                return Effect::Operator(name.clone(), tables.operators.get(name).cloned());
            }
            Effect::Replica(id, _) => {
                return Effect::Replica(*id, tables.replicas.get(id).cloned());
            }
            Effect::Config(change) => change,
        };
        Effect::Config(match change {
            Change::Organisation(name, _) => {
                Change::Organisation(name.clone(), config.organisations.get(name).cloned())
            }
            Change::Model(name, _) => Change::Model(name.clone(), config.models.get(name).cloned()),
            Change::Service(name, _) => {
                Change::Service(name.clone(), config.services.get(name).cloned())
            }
            Change::Upstream(name, _) => {
                Change::Upstream(name.clone(), config.upstreams.get(name).cloned())
            }
            Change::Drain(name, _) => Change::Drain(name.clone(), config.drains.get(name).cloned()),
            Change::Quarantine(print, _) => {
                Change::Quarantine(*print, config.quarantine(*print).cloned())
            }
            Change::Setting(name, _) => {
                Change::Setting(name.clone(), config.settings.get(name).cloned())
            }
            Change::Order(name, _) => Change::Order(name.clone(), config.orders.get(name).cloned()),
            Change::Document(_) | Change::Delta(_) => Change::Document(config.document.clone()),
            Change::Sources(_) => Change::Sources(config.sources.clone()),
            Change::Instance(name, _) => {
                Change::Instance(name.clone(), config.instances.get(name).cloned())
            }
            Change::Evacuation(name, _) => {
                Change::Evacuation(name.clone(), config.evacuations.get(name).cloned())
            }
        })
    }
}

/// The last modification of a resource.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Modification {
    /// The value of [`Tables::sequence`] after it.
    pub sequence: u64,
    /// The revision after it.
    pub revision: Revision,
    /// The plan that made it, if any.
    pub plan: Option<plan::Id>,
}

/// The tables that plans change.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Tables {
    /// The configuration.
    pub config: Config,
    /// Operators by name.
    pub operators: BTreeMap<String, Operator>,
    /// Replicas by identity.
    pub replicas: BTreeMap<replica::Id, Replica>,
    /// The last order to each upstream.
    pub orders: order::Table,
    /// The number of effects applied. Not each effect makes a revision.
    pub sequence: u64,
    #[serde(rename = "touched")]
    modifications: BTreeMap<Resource, Modification>,
}

impl Tables {
    /// Applies an effect, and returns the change that it makes to the configuration, if any.
    /// A delta without its base does nothing; publications are checked beforehand.
    pub fn apply(&mut self, effect: Effect, plan: Option<plan::Id>) -> Option<(Revision, Change)> {
        let resource = effect.resource();
        let change = match effect {
            Effect::Config(change) => {
                self.config.apply(change.clone()).ok()?;
                Some((self.config.revision, change))
            }
            Effect::Operator(name, operator) => {
                assign(&mut self.operators, name, operator);
                None
            }
            Effect::Replica(id, replica) => {
                assign(&mut self.replicas, id, replica);
                None
            }
        };
        self.sequence += 1;
        let (sequence, revision) = (self.sequence, self.config.revision);
        self.modifications.insert(
            resource,
            Modification {
                sequence,
                revision,
                plan,
            },
        );
        change
    }

    /// Applies a membership change that has been carried out.
    pub fn apply_member(&mut self, member: &Member, plan: plan::Id) {
        // An added replica is entered with its identity by the leader's next
        // `Command::Replicas`.
        if let Member::Remove(id) = member {
            self.apply(Effect::Replica(*id, None), Some(plan));
        }
    }

    /// Sets the replicas to the log's membership.
    pub fn set_replicas(&mut self, replicas: BTreeMap<replica::Id, Replica>) {
        if self.replicas != replicas {
            let gone = self
                .replicas
                .keys()
                .filter(|id| !replicas.contains_key(*id));
            let gone: Vec<replica::Id> = gone.copied().collect();
            for id in gone {
                self.apply(Effect::Replica(id, None), None);
            }
            for (id, replica) in replicas {
                self.apply(Effect::Replica(id, Some(replica)), None);
            }
        }
    }

    /// Returns the last modification of a resource if it came after `sequence` and was not
    /// made by `plan`.
    pub fn modified_since(
        &self,
        resource: &Resource,
        sequence: u64,
        plan: plan::Id,
    ) -> Option<&Modification> {
        let modification = self.modifications.get(resource)?;
        (modification.sequence > sequence && modification.plan != Some(plan))
            .then_some(modification)
    }

    /// Removes the modifications up to `sequence`. No plan needs them when all were computed
    /// at `sequence` or later.
    pub fn expire(&mut self, sequence: u64) {
        self.modifications
            .retain(|_, modification| modification.sequence > sequence);
    }

    /// Returns the name and entry of the operator whose key has this hash.
    pub fn find_operator(&self, hash: &str) -> Option<(&str, &Operator)> {
        let mut all = self.operators.iter();
        let found = all.find(|(_, operator)| operator.key == hash)?;
        Some((found.0, found.1))
    }
}

fn assign<K, V>(map: &mut BTreeMap<K, V>, key: K, value: Option<V>)
where
    K: Ord,
{
    match value {
        Some(value) => drop(map.insert(key, value)),
        None => drop(map.remove(&key)),
    }
}
