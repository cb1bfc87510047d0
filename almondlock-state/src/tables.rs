//! The part of the state that plans change.
//!
//! Every such change is one [`Effect`], and each effect touches one [`Part`].
//! The tables remember when each part was touched last and by which plan, so
//! that a plan which was computed before can tell whether the ground that it
//! stands on has moved.

use std::{collections::BTreeMap, fmt};

use almondlock_base::unit::Revision;
use serde::{Deserialize, Serialize};

use crate::{
    config::{Change, Config},
    operator::Operator,
    order, plan,
    replica::{self, Member, Replica},
};

/// One change made by a plan.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Of the configuration.
    Config(Change),
    /// Of an operator; `None` takes it away.
    Operator(String, Option<Operator>),
    /// Of where a replica is reached; `None` takes it away.
    Replica(replica::Id, Option<Replica>),
}

/// What a change touches, as text such as `organisation/acme`.
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
    /// All replicas: their number matters to each change of one.
    pub fn replicas() -> Resource {
        Resource("replicas".to_owned())
    }

    /// An upstream's place in or out of service.
    pub fn drain<N>(name: N) -> Resource
    where
        N: fmt::Display,
    {
        Resource(format!("upstream/{name}"))
    }

    /// A model.
    pub fn model<N>(name: N) -> Resource
    where
        N: fmt::Display,
    {
        Resource(format!("model/{name}"))
    }
}

impl Effect {
    /// What it touches.
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

    /// The effect that would put back what is there now.
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

/// When a part was touched last.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Modification {
    /// The count of effects at that time.
    pub sequence: u64,
    /// The revision at that time.
    pub revision: Revision,
    /// The plan that did it.
    pub plan: Option<plan::Id>,
}

/// What plans change.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Tables {
    /// The configuration.
    pub config: Config,
    /// Operators by name.
    pub operators: BTreeMap<String, Operator>,
    /// Replicas by number.
    pub replicas: BTreeMap<replica::Id, Replica>,
    /// The last order to each upstream.
    pub orders: order::Table,
    /// Counts effects up, since not each of them makes a revision.
    pub sequence: u64,
    touched: BTreeMap<Resource, Modification>,
}

impl Tables {
    /// Applies an effect, and gives the change of the configuration it made. A delta whose
    /// base isn't held does nothing; publications are checked before they come here.
    pub fn apply(&mut self, effect: Effect, plan: Option<plan::Id>) -> Option<(Revision, Change)> {
        let part = effect.resource();
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
        self.touched.insert(
            part,
            Modification {
                sequence,
                revision,
                plan,
            },
        );
        change
    }

    /// Notes a change of the membership that was carried out.
    pub fn apply_member(&mut self, member: &Member, plan: plan::Id) {
        // The identity of an added one comes with the leader's next copy.
        if let Member::Remove(id) = member {
            self.apply(Effect::Replica(*id, None), Some(plan));
        }
    }

    /// Makes the replicas what the log's membership says.
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

    /// When a part was touched after `sequence`, by others than `plan`.
    pub fn modified_since(
        &self,
        part: &Resource,
        sequence: u64,
        plan: plan::Id,
    ) -> Option<&Modification> {
        let touch = self.touched.get(part)?;
        (touch.sequence > sequence && touch.plan != Some(plan)).then_some(touch)
    }

    /// Forgets touches that no plan can ask about any more: all open plans were
    /// computed at `sequence` or later.
    pub fn expire(&mut self, sequence: u64) {
        self.touched.retain(|_, touch| touch.sequence > sequence);
    }

    /// The operator whose key has this hash.
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
