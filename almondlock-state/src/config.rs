//! The configuration in force, which all processes act on.
//!
//! A configuration is the result of its changes. Each accepted change makes the next
//! [`Revision`]: a process that holds revision `r` and applies the changes `r+1..=n` holds
//! revision `n`. A process that is too far behind is sent the whole configuration instead.
//! Applying a change can't fail half-way: a change is one assignment, which the replicas
//! checked when they accepted it. Only a delta of the published text needs its base; where
//! the base is missing, nothing is changed.

use std::{collections::BTreeMap, net::SocketAddr};

use almondlock_base::{
    id::{Adapter, Domain, Fingerprint, Host, Incarnation, Model, Region, Service, Version},
    time::Wall,
    unit::{Revision, Tokens},
};
use serde::{Deserialize, Serialize};

use crate::{
    document::{Delta, Document, Mismatch},
    instance::Instance,
};

/// The BLAKE3 hash of a key in hexadecimal. Only the hash is stored; the key itself is
/// shown once, when it is made.
pub type KeyHash = String;

/// The setting that holds the number of entry hosts that share the organisations' limits.
pub const ENTRY_HOSTS_SETTING: &str = "entry-hosts";

/// An organisation's keys and limits.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Organisation {
    /// Hashes of the keys that identify it; several while keys are rotated.
    pub keys: Vec<KeyHash>,
    /// Weight of its share of the fleet, relative to the others'. At least 1.
    pub share: u32,
    /// Requests per second that it may send over all entry hosts; 0 means no limit.
    pub rate: u32,
    /// Prompt and answer tokens that it may have in flight over all entry hosts; 0 means
    /// no limit.
    pub tokens: Tokens,
    /// Default deadline of its requests, in milliseconds.
    pub deadline: u64,
    /// Longest deadline that its requests may have, in milliseconds.
    pub deadline_limit: u64,
}

/// A model that callers may request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Definition {
    /// The version that new requests run on.
    pub version: Version,
    /// Maximum length of prompt and answer together.
    pub context: Tokens,
    /// Adapters that callers may request, and their versions.
    #[serde(default)]
    pub adapters: BTreeMap<Adapter, Version>,
}

/// A plain service behind `/services/NAME/`.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Plain {
    /// HTTP methods whose requests may be repeated; those of all others may not.
    pub repeatable: Vec<String>,
}

/// The kind of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A registered upstream with its sidecar, as announced.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Registration {
    /// Address of the sidecar's inner listener.
    pub address: SocketAddr,
    /// The host the sidecar runs on.
    pub host: Host,
    /// Its failure domain.
    pub domain: Domain,
    /// Its region.
    pub region: Region,
    /// The sidecar's incarnation. A later one replaces an earlier one.
    pub incarnation: Incarnation,
    /// Engine or plain service.
    pub kind: Kind,
    /// The model and version it has loaded, for an engine.
    pub model: Option<(Model, Version)>,
    /// The service it belongs to, for a plain service.
    pub service: Option<Service>,
    /// Engine memory in tokens.
    pub capacity: Tokens,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
    /// Whether it can resume an answer at a given token with the same output.
    #[serde(default)]
    pub resumable: bool,
    /// `prefill`, `decode` or `both`; empty means both.
    #[serde(default)]
    pub role: String,
}

/// A drain of an upstream or evacuation of a failure domain, which takes no new requests.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Drain {
    /// When the drain was accepted.
    pub since: Wall,
    /// The operator's reason.
    pub reason: String,
}

/// An order to an upstream to load a version, sent to its sidecar with the configuration.
/// [`crate::order`] has the rules for forwarding it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// The fencing number: each order to an upstream has a higher one.
    pub fence: u64,
    /// The only incarnation of the sidecar that may forward it to the upstream.
    pub issuer: Incarnation,
    /// The model to load.
    pub model: Model,
    /// The version to load.
    pub version: Version,
    /// When it expires, and may no longer be forwarded.
    pub until: Wall,
}

/// A request that is suspected of crashing engines, or refused everywhere because of it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Quarantine {
    /// The organisation that sent the request.
    pub organisation: almondlock_base::id::Organisation,
    /// Number of engine deaths that it is blamed for or charged with.
    pub deaths: u32,
    /// Whether the request is refused; see [`crate::poison`].
    pub refused: bool,
    /// When the quarantine expires.
    pub until: Wall,
}

/// An accepted change of the configuration. `None` removes the entry.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Sets or removes an organisation.
    Organisation(almondlock_base::id::Organisation, Option<Organisation>),
    /// Sets or removes a model.
    Model(Model, Option<Definition>),
    /// Sets or removes a plain service.
    Service(Service, Option<Plain>),
    /// Sets or removes the registration of an upstream.
    Upstream(almondlock_base::id::Upstream, Option<Registration>),
    /// Drains an upstream or returns it to work. A drain outlives the registration.
    Drain(almondlock_base::id::Upstream, Option<Drain>),
    /// Sets or removes the quarantine of a fingerprint.
    Quarantine(#[serde(with = "hex")] Fingerprint, Option<Quarantine>),
    /// Sets or removes a setting that applies to all processes.
    Setting(String, Option<String>),
    /// Sets the load order of an upstream, or removes it after the load.
    Order(almondlock_base::id::Upstream, Option<Order>),
    /// Publishes a version of the deployment's configuration.
    Document(Option<Document>),
    /// Publishes a version of the deployment's configuration as the difference to the
    /// version before. Earlier releases can't read it and ask for the whole configuration.
    Delta(Delta),
    /// Sets or removes an instance, an upstream without a sidecar.
    Instance(almondlock_base::id::Upstream, Option<Instance>),
    /// Sets the addresses of the replicas.
    Sources(Vec<SocketAddr>),
    /// Evacuates a failure domain or ends its evacuation; see [`crate::evacuation`].
    Evacuation(Domain, Option<Drain>),
}

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Config {
    /// The revision. Never decreases while a process runs.
    pub revision: Revision,
    /// Organisations by name.
    pub organisations: BTreeMap<almondlock_base::id::Organisation, Organisation>,
    /// Models by name.
    pub models: BTreeMap<Model, Definition>,
    /// Plain services by name.
    pub services: BTreeMap<Service, Plain>,
    /// Registered upstreams by name.
    pub upstreams: BTreeMap<almondlock_base::id::Upstream, Registration>,
    /// Drained upstreams, registered or not.
    pub drains: BTreeMap<almondlock_base::id::Upstream, Drain>,
    /// Suspected and refused fingerprints, by their hexadecimal form.
    pub quarantines: BTreeMap<String, Quarantine>,
    /// Settings that apply to all processes, by name.
    pub settings: BTreeMap<String, String>,
    /// Load orders by upstream.
    pub orders: BTreeMap<almondlock_base::id::Upstream, Order>,
    /// The published configuration of the deployment, if it is published as one text.
    pub document: Option<Document>,
    /// Instances, which are upstreams without a sidecar, by name.
    pub instances: BTreeMap<almondlock_base::id::Upstream, Instance>,
    /// Inner addresses of the replicas, where their membership repairs itself. A process
    /// whose settings name replicas that are gone finds the present ones here.
    pub sources: Vec<SocketAddr>,
    /// Evacuated failure domains, whose upstreams take no new requests, known or not.
    pub evacuations: BTreeMap<Domain, Drain>,
}

/// Returns the name of the setting that holds the other version that requests for a model
/// may run on during a rollout.
pub fn rollout_setting(model: &Model) -> String {
    format!("rollout/{model}")
}

impl Config {
    /// Applies the change that makes the next revision.
    ///
    /// # Errors
    ///
    /// If the change is a delta of another text than the one held here. Nothing is changed
    /// then.
    pub fn apply(&mut self, change: Change) -> Result<(), Mismatch> {
        match change {
            Change::Organisation(name, value) => assign(&mut self.organisations, name, value),
            Change::Model(name, value) => assign(&mut self.models, name, value),
            Change::Service(name, value) => assign(&mut self.services, name, value),
            Change::Upstream(name, value) => assign(&mut self.upstreams, name, value),
            Change::Drain(name, value) => assign(&mut self.drains, name, value),
            Change::Quarantine(print, value) => {
                assign(&mut self.quarantines, print.to_string(), value);
            }
            Change::Setting(name, value) => assign(&mut self.settings, name, value),
            Change::Order(name, value) => assign(&mut self.orders, name, value),
            Change::Document(value) => self.document = value,
            Change::Delta(delta) => self.document = Some(self.apply_delta(&delta)?),
            Change::Instance(name, value) => assign(&mut self.instances, name, value),
            Change::Sources(addresses) => self.sources = addresses,
            Change::Evacuation(domain, value) => self.apply_evacuation(domain, value),
        }
        self.revision = self.revision.next();
        Ok(())
    }

    /// Returns the document that a delta makes of the one held here.
    fn apply_delta(&self, delta: &Delta) -> Result<Document, Mismatch> {
        let missing = Mismatch::Missing {
            expected: delta.base,
        };
        delta.apply(self.document.as_ref().ok_or(missing)?)
    }

    /// Sets or ends an evacuation. At its end the domain's instances count as cold.
    fn apply_evacuation(&mut self, domain: Domain, value: Option<Drain>) {
        if value.is_none() {
            let instances = self.instances.values_mut();
            let returned = instances.filter(|instance| instance.domain == domain);
            returned.for_each(|instance| instance.cold = true);
        }
        assign(&mut self.evacuations, domain, value);
    }

    /// Returns whether an upstream takes no new requests because it is drained or its
    /// failure domain is evacuated. The domain of an unregistered upstream isn't known.
    pub fn is_drained(&self, name: &almondlock_base::id::Upstream) -> bool {
        let domain = self.upstreams.get(name).map(|known| &known.domain);
        self.drains.contains_key(name)
            || domain.is_some_and(|domain| self.evacuations.contains_key(domain))
    }

    /// Returns whether new requests for the model may run on this version: the one in
    /// force, or the other one during a rollout.
    pub fn serves(&self, model: &Model, version: &Version) -> bool {
        let current = self.models.get(model).map(|known| &known.version);
        let other = self.settings.get(&rollout_setting(model));
        current == Some(version) || other.is_some_and(|other| other == version.as_str())
    }

    /// Returns the quarantine of a fingerprint, if any.
    pub fn quarantine(&self, print: Fingerprint) -> Option<&Quarantine> {
        self.quarantines.get(&print.to_string())
    }
}

fn assign<K, V>(map: &mut BTreeMap<K, V>, key: K, value: Option<V>)
where
    K: Ord,
{
    match value {
        Some(value) => {
            map.insert(key, value);
        }
        None => {
            map.remove(&key);
        }
    }
}

/// Serialises a fingerprint in hexadecimal.
mod hex {
    use almondlock_base::id::Fingerprint;
    use serde::{Deserialize, Deserializer, Serializer, de};

    pub(super) fn serialize<S>(print: &Fingerprint, to: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        to.collect_str(print)
    }

    pub(super) fn deserialize<'de, D>(from: D) -> Result<Fingerprint, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(from)?;
        parse(&text).ok_or_else(|| de::Error::custom("a fingerprint is 32 hexadecimal digits"))
    }

    fn parse(text: &str) -> Option<Fingerprint> {
        let mut bytes = [0; 16];
        if text.len() != 32 || !text.is_ascii() {
            return None;
        }
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(text.get(2 * i..2 * i + 2)?, 16).ok()?;
        }
        Some(Fingerprint(bytes))
    }
}
