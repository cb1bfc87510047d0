//! The configuration in force: what every process acts on.
//!
//! A configuration is the sum of its changes. Each accepted change makes the
//! next [`Revision`]; a process that holds revision `r` and is given the
//! changes `r+1..=n` holds revision `n`, and one that has been away too long is
//! given the whole configuration instead. Applying never fails half-way: a
//! change is one assignment, already checked by the replicas that accepted it.
//! Only a delta of the published text needs something to be there, its base; where
//! that is missing nothing is changed.

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

/// A caller's key as it is kept: its BLAKE3 hash in hexadecimal. The key itself
/// is shown once, when it is made.
pub type KeyHash = String;

/// The setting that tells how many entry hosts share the organisations' limits.
pub const ENTRY_HOSTS_SETTING: &str = "entry-hosts";

/// An organisation and what it may use.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Organisation {
    /// Hashes of the keys that name it; several while keys are rotated.
    pub keys: Vec<KeyHash>,
    /// Weight of its share of the fleet against the others'. At least 1.
    pub share: u32,
    /// Requests per second it may send, over all entry hosts. 0 is no limit.
    pub rate: u32,
    /// Prompt and answer tokens it may have in flight over all entry hosts.
    /// 0 is no limit.
    pub tokens: Tokens,
    /// Milliseconds a request is given when it names no deadline.
    pub deadline: u64,
    /// The longest deadline in milliseconds it may ask for.
    pub deadline_limit: u64,
}

/// A model that callers may name.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Definition {
    /// The version that new requests run on.
    pub version: Version,
    /// Longest prompt and answer together.
    pub context: Tokens,
    /// Adapters callers may ask for, and their versions.
    #[serde(default)]
    pub adapters: BTreeMap<Adapter, Version>,
}

/// A plain service behind `/services/NAME/`.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Plain {
    /// HTTP methods that may be sent again; all others may not.
    pub repeatable: Vec<String>,
}

/// What an upstream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// An upstream as registered: what it announced, and the sidecar in front.
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
    /// The sidecar's life. A later registration replaces an earlier one.
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
    /// Whether it can go on with an answer at a given token, with the same
    /// words as before.
    #[serde(default)]
    pub resumable: bool,
    /// `prefill`, `decode` or `both`; empty counts as both.
    #[serde(default)]
    pub role: String,
}

/// Why and since when an upstream, or a whole failure domain, takes no new work.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Drain {
    /// When it was accepted.
    pub since: Wall,
    /// The operator's words.
    pub reason: String,
}

/// What an upstream is told to load, carried to its sidecar with the
/// configuration. The rules of handing it on are in [`crate::order`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// The fencing number: each order to an upstream has a higher one.
    pub fence: u64,
    /// The life of the sidecar that may hand it to the upstream, and no other.
    pub issuer: Incarnation,
    /// The model to load.
    pub model: Model,
    /// Its version.
    pub version: Version,
    /// From when on it may no longer be handed on.
    pub until: Wall,
}

/// A request that is refused everywhere because it kills engines.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Quarantine {
    /// The organisation whose request it is.
    pub organisation: almondlock_base::id::Organisation,
    /// Engines that died while it ran there.
    pub deaths: u32,
    /// From two deaths that blame it alone, or three in all, it is refused.
    pub refused: bool,
    /// When it is forgotten.
    pub until: Wall,
}

/// One accepted change of the configuration. `None` takes a thing away.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// An organisation.
    Organisation(almondlock_base::id::Organisation, Option<Organisation>),
    /// A model.
    Model(Model, Option<Definition>),
    /// A plain service.
    Service(Service, Option<Plain>),
    /// An upstream registered or was forgotten.
    Upstream(almondlock_base::id::Upstream, Option<Registration>),
    /// An upstream is drained, or returned to work. Survives its registration.
    Drain(almondlock_base::id::Upstream, Option<Drain>),
    /// A fingerprint under suspicion.
    Quarantine(#[serde(with = "hex")] Fingerprint, Option<Quarantine>),
    /// A setting that applies to all processes, by name.
    Setting(String, Option<String>),
    /// An upstream is to load something, or has done so.
    Order(almondlock_base::id::Upstream, Option<Order>),
    /// The deployment's configuration was published.
    Document(Option<Document>),
    /// The same, told as what differs from the version before. Earlier versions can't
    /// read it and ask for the whole configuration.
    Delta(Delta),
    /// An instance that is called without a sidecar came, changed or went.
    Instance(almondlock_base::id::Upstream, Option<Instance>),
    /// The replicas are others now.
    Sources(Vec<SocketAddr>),
    /// The upstreams of a failure domain take no new work, or return to it; see
    /// [`crate::evacuation`].
    Evacuation(Domain, Option<Drain>),
}

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Config {
    /// The revision. Never goes back within a process's life.
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
    /// Fingerprints under suspicion, by their hexadecimal form.
    pub quarantines: BTreeMap<String, Quarantine>,
    /// Settings that apply everywhere.
    pub settings: BTreeMap<String, String>,
    /// What upstreams are to load.
    pub orders: BTreeMap<almondlock_base::id::Upstream, Order>,
    /// The deployment's configuration, where it is published as one text.
    pub document: Option<Document>,
    /// Instances that are called without a sidecar, by name.
    pub instances: BTreeMap<almondlock_base::id::Upstream, Instance>,
    /// Inner addresses of the replicas, where their membership mends itself. A
    /// process whose settings name replicas that are gone finds them here.
    pub sources: Vec<SocketAddr>,
    /// Failure domains whose upstreams take no new work, known or not.
    pub evacuations: BTreeMap<Domain, Drain>,
}

/// The setting that names the other version of a model that requests may run
/// on while a rollout is under way.
pub fn rollout_setting(model: &Model) -> String {
    format!("rollout/{model}")
}

impl Config {
    /// Applies the change that makes the next revision.
    ///
    /// # Errors
    ///
    /// If it is a delta of another text than the one held here. Nothing has changed then.
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
            Change::Delta(delta) => self.document = Some(self.changed(&delta)?),
            Change::Instance(name, value) => assign(&mut self.instances, name, value),
            Change::Sources(addresses) => self.sources = addresses,
            Change::Evacuation(domain, value) => self.evacuate(domain, value),
        }
        self.revision = self.revision.next();
        Ok(())
    }

    fn changed(&self, delta: &Delta) -> Result<Document, Mismatch> {
        let missing = Mismatch::Missing {
            expected: delta.base,
        };
        delta.apply(self.document.as_ref().ok_or(missing)?)
    }

    fn evacuate(&mut self, domain: Domain, value: Option<Drain>) {
        if value.is_none() {
            let instances = self.instances.values_mut();
            let returned = instances.filter(|instance| instance.domain == domain);
            returned.for_each(|instance| instance.cold = true);
        }
        assign(&mut self.evacuations, domain, value);
    }

    /// Whether an upstream takes no new work: it is drained, or its failure domain is
    /// evacuated. One that isn't registered is in no domain that is known.
    pub fn is_drained(&self, name: &almondlock_base::id::Upstream) -> bool {
        let domain = self.upstreams.get(name).map(|known| &known.domain);
        self.drains.contains_key(name)
            || domain.is_some_and(|domain| self.evacuations.contains_key(domain))
    }

    /// Whether new requests for the model may run on this version: the one in
    /// force, or the other one of a rollout under way.
    pub fn serves(&self, model: &Model, version: &Version) -> bool {
        let current = self.models.get(model).map(|known| &known.version);
        let other = self.settings.get(&rollout_setting(model));
        current == Some(version) || other.is_some_and(|other| other == version.as_str())
    }

    /// What stands against a fingerprint.
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
