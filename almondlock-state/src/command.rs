//! What the replicas agree on, one by one, and what each gets for an answer.
//!
//! A command is proposed to the leader, written to the log, and applied by
//! every replica in the same order. Commands are kept on disk as JSON, each
//! with its name in `command`; fields are only ever added, with a default, so
//! that a log written by the version before can be applied. The time in `at`
//! is the leader's: a replica that applies a command reads no clock.

use std::{collections::BTreeMap, net::SocketAddr};

use almondlock_base::{
    Code, Ran,
    id::{Attempt, Domain, Fingerprint, Host, Incarnation, Organisation, Upstream},
    time::Wall,
    unit::Revision,
};
use serde::{Deserialize, Serialize};

use crate::{
    blob::Blob,
    claim::Verdict,
    config::Registration,
    document::Publication,
    instance::Instance,
    intent::Intent,
    operator::Operator,
    plan::{self, Plan, Transition},
    replica::{self, Replica},
};

/// A command, as it stands in the log.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Command {
    /// An upstream says what it is; see [`crate::registration`].
    Announce {
        /// Its name.
        upstream: Upstream,
        /// What it says of itself.
        registration: Registration,
        /// The leader's time.
        at: Wall,
    },
    /// An upstream's lease ended without renewal.
    Forget {
        /// Its name.
        upstream: Upstream,
        /// The life whose lease ended.
        incarnation: Incarnation,
        /// The leader's time.
        at: Wall,
    },
    /// An operator published the deployment's configuration; see
    /// [`crate::document`].
    Publish {
        /// The text and its version, or what differs from the version in force.
        #[serde(flatten)]
        publication: Publication,
        /// The leader's time.
        at: Wall,
    },
    /// An instance that is called without a sidecar says what it is; see
    /// [`crate::instance`].
    Enrol {
        /// Its name.
        upstream: Upstream,
        /// What it says of itself.
        instance: Instance,
        /// The leader's time.
        at: Wall,
    },
    /// An operator empties a failure domain; see [`crate::evacuation`].
    Evacuate {
        /// The domain.
        domain: Domain,
        /// The leader's time.
        at: Wall,
    },
    /// The upstreams of an evacuated failure domain take work again.
    Readmit {
        /// The domain.
        domain: Domain,
        /// The leader's time.
        at: Wall,
    },
    /// The leader found other replicas than processes are told of.
    Sources {
        /// Their inner addresses, in order.
        addresses: Vec<SocketAddr>,
        /// The leader's time.
        at: Wall,
    },
    /// An instance is gone: it said so, or its lease ended.
    Withdraw {
        /// Its name.
        upstream: Upstream,
        /// The leader's time.
        at: Wall,
    },
    /// A request that may not be repeated wants to run; see [`crate::claim`].
    Claim {
        /// Whose request it is.
        organisation: Organisation,
        /// Its idempotency key.
        key: String,
        /// A hash of its body.
        body: Blob,
        /// The attempt that will run it.
        holder: Attempt,
        /// Milliseconds to remember it after its end.
        keep: u64,
        /// The leader's time.
        at: Wall,
    },
    /// A claimed request ended.
    SettleClaim {
        /// Whose request it is.
        organisation: Organisation,
        /// Its idempotency key.
        key: String,
        /// The attempt that held the claim.
        holder: Attempt,
        /// Whether it ran. `no` frees the claim.
        ran: Ran,
        /// What later copies are answered with.
        #[serde(default)]
        outcome: Blob,
        /// The leader's time.
        at: Wall,
    },
    /// An entry host's life ended: its open claims may have run.
    HolderGone {
        /// The host.
        host: Host,
        /// The life that ended.
        incarnation: Incarnation,
        /// The leader's time.
        at: Wall,
    },
    /// An upstream died while this request ran there; see [`crate::poison`].
    Blame {
        /// The request.
        fingerprint: Fingerprint,
        /// Whose request it is.
        organisation: Organisation,
        /// The upstream that died.
        upstream: Upstream,
        /// The life that ended.
        incarnation: Incarnation,
        /// The leader's time.
        at: Wall,
    },
    /// A suspect is about to run: the death it may cause is entered in advance.
    Charge {
        /// The request.
        fingerprint: Fingerprint,
        /// Whose request it is.
        organisation: Organisation,
        /// The upstream that is to run it.
        upstream: Upstream,
        /// The life that would end.
        incarnation: Incarnation,
        /// The leader's time.
        at: Wall,
    },
    /// A charged run ended with the upstream alive, though not well: the death
    /// entered in advance is taken back, the suspicion stays.
    Discharge {
        /// The request.
        fingerprint: Fingerprint,
        /// Whose request it is.
        organisation: Organisation,
        /// The upstream that ran it.
        upstream: Upstream,
        /// The life that didn't end.
        incarnation: Incarnation,
        /// The leader's time.
        at: Wall,
    },
    /// A suspect finished without harm.
    Clear {
        /// The request.
        fingerprint: Fingerprint,
        /// Whose request it is.
        organisation: Organisation,
        /// The leader's time.
        at: Wall,
    },
    /// The first start: operators and replicas as the settings give them. Does
    /// nothing once there is an operator.
    Seed {
        /// Operators by name.
        operators: BTreeMap<String, Operator>,
        /// Replicas by number.
        #[serde(with = "pairs")]
        replicas: BTreeMap<replica::Id, Replica>,
        /// The leader's time.
        at: Wall,
    },
    /// The replicas as the log's membership has them; proposed by the leader
    /// when the state says otherwise.
    Replicas {
        /// Replicas by identity.
        #[serde(with = "pairs")]
        replicas: BTreeMap<replica::Id, Replica>,
        /// The leader's time.
        at: Wall,
    },
    /// An operator wants something; makes a plan of it.
    Propose {
        /// The operator's number for the change.
        number: String,
        /// What is wanted.
        intent: Intent,
        /// Who wants it.
        operator: String,
        /// The leader's time.
        at: Wall,
    },
    /// A plan is to be carried out.
    Confirm {
        /// The plan.
        plan: plan::Id,
        /// Who says so.
        operator: String,
        /// The leader's time.
        at: Wall,
    },
    /// A plan is to stop.
    Stop {
        /// The plan.
        plan: plan::Id,
        /// Who says so.
        operator: String,
        /// The leader's time.
        at: Wall,
    },
    /// A step of a plan goes on.
    Step {
        /// The plan.
        plan: plan::Id,
        /// Which step.
        index: usize,
        /// How.
        #[serde(rename = "advance")]
        transition: Transition,
        /// The leader's time.
        at: Wall,
    },
    /// Time passes: what has been kept long enough is forgotten.
    Expire {
        /// The leader's time.
        at: Wall,
    },
}

impl Command {
    /// The bytes that are written to the log.
    pub fn to_bytes(&self) -> Result<Vec<u8>, serde_json::Error> {
        serde_json::to_vec(self)
    }

    /// Reads a command from the log.
    pub fn from_slice(bytes: &[u8]) -> Result<Command, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Reply {
    /// Accepted; in force from this revision.
    Accepted {
        /// The revision.
        revision: Revision,
    },
    /// The answer to a claim.
    Claimed {
        /// What the claimant may do.
        verdict: Verdict,
    },
    /// The plan that a command was about, as it stands now.
    Planned {
        /// The plan.
        plan: Box<Plan>,
    },
    /// A publication told what differs from another version than the one in force.
    /// Nothing has changed; its proposer sends the whole.
    BaseMoved {
        /// The version in force.
        held: Option<u64>,
    },
    /// Refused: nothing has changed.
    Refused {
        /// Why.
        code: Code,
        /// Why, for people.
        message: String,
    },
}

impl Reply {
    /// A refusal with the code's own text.
    pub fn refused(code: Code) -> Reply {
        let message = code.text().to_owned();
        Reply::Refused { code, message }
    }

    /// The code of a refusal.
    pub const fn code(&self) -> Option<Code> {
        match self {
            Reply::Refused { code, .. } => Some(*code),
            Reply::Claimed { verdict } => verdict.code(),
            Reply::Accepted { .. } | Reply::Planned { .. } | Reply::BaseMoved { .. } => None,
        }
    }
}

/// Replicas as a list of pairs. In a command, which is told by a tag among its
/// fields, a map whose keys are numbers would be written but could not be read.
mod pairs {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serializer};

    use crate::replica::{Id, Replica};

    pub(super) fn serialize<S>(map: &BTreeMap<Id, Replica>, to: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        to.collect_seq(map)
    }

    pub(super) fn deserialize<'de, D>(from: D) -> Result<BTreeMap<Id, Replica>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let pairs: Vec<(Id, Replica)> = Vec::deserialize(from)?;
        Ok(pairs.into_iter().collect())
    }
}
