//! Commands, the entries of the replicated log, and their replies.
//!
//! A command is proposed to the leader, written to the log, and applied by all replicas
//! in the same order. Commands are stored as JSON with their name in `command`. Fields are
//! only ever added, with a default, so that a log written by the previous version can be
//! applied. The time in `at` is the leader's: applying a command reads no clock.

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
    instance::{Heartbeat, Instance, silence::Watermark},
    intent::Intent,
    operator::Operator,
    plan::{self, Plan, Transition},
    replica::{self, Replica},
};

/// A command, as it is stored in the log.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Command {
    /// Registers an upstream that announced itself; see [`crate::registration`].
    Announce {
        /// The name of the upstream.
        upstream: Upstream,
        /// The upstream's description of itself.
        registration: Registration,
        /// The leader's time.
        at: Wall,
    },
    /// Removes the registration of an upstream whose lease ended without renewal.
    Forget {
        /// The name of the upstream.
        upstream: Upstream,
        /// The incarnation whose lease ended.
        incarnation: Incarnation,
        /// The leader's time.
        at: Wall,
    },
    /// Publishes a version of the deployment's configuration; see [`crate::document`].
    Publish {
        /// The text and its version, or the difference to the version in force.
        #[serde(flatten)]
        publication: Publication,
        /// The leader's time.
        at: Wall,
    },
    /// Enrols an instance, an upstream without a sidecar, that sent a heartbeat with news;
    /// see [`crate::instance`].
    Enrol {
        /// The name of the instance.
        upstream: Upstream,
        /// The instance's description of itself.
        instance: Instance,
        /// The leader's time.
        at: Wall,
    },
    /// Evacuates a failure domain; see [`crate::evacuation`].
    Evacuate {
        /// The failure domain.
        domain: Domain,
        /// The leader's time.
        at: Wall,
    },
    /// Ends the evacuation of a failure domain.
    Readmit {
        /// The failure domain.
        domain: Domain,
        /// The leader's time.
        at: Wall,
    },
    /// Sets the addresses of the replicas in the configuration, from which the processes
    /// fetch it. The leader proposes this when they differ from the log's membership.
    Sources {
        /// The inner addresses of the replicas, in order.
        addresses: Vec<SocketAddr>,
        /// The leader's time.
        at: Wall,
    },
    /// Removes an instance that gave notice. A leader of an earlier version also removes one
    /// whose lease ended by it.
    Withdraw {
        /// The name of the instance.
        upstream: Upstream,
        /// The leader's time.
        at: Wall,
    },
    /// Withdraws an instance whose lease ended. It may be reinstated.
    Lapse {
        /// The name of the instance.
        upstream: Upstream,
        /// Its last heartbeat.
        watermark: Watermark,
        /// The leader's time.
        at: Wall,
    },
    /// Applies a heartbeat of an instance that was withdrawn because its lease ended.
    Reinstate {
        /// The name of the instance.
        upstream: Upstream,
        /// The number of the heartbeat.
        sequence: u64,
        /// The instance's description of itself.
        instance: Instance,
        /// The leader's time.
        at: Wall,
    },
    /// Records the numbers of the instances' last heartbeats, for later leaders.
    Heard {
        /// The heartbeats whose numbers exceed the recorded ones.
        heard: Vec<Heartbeat>,
        /// The leader's time.
        at: Wall,
    },
    /// Claims the idempotency key of a request that may not be repeated; see
    /// [`crate::claim`].
    Claim {
        /// The organisation that sent the request.
        organisation: Organisation,
        /// The request's idempotency key.
        key: String,
        /// Hash of the request's body.
        body: Blob,
        /// The attempt that will run the request.
        holder: Attempt,
        /// Milliseconds to keep the claim after its end.
        #[serde(rename = "keep")]
        retention_ms: u64,
        /// The leader's time.
        at: Wall,
    },
    /// Ends the claim of a request.
    SettleClaim {
        /// The organisation that sent the request.
        organisation: Organisation,
        /// The request's idempotency key.
        key: String,
        /// The attempt that holds the claim.
        holder: Attempt,
        /// Whether the request ran. `no` frees the claim.
        ran: Ran,
        /// The answer for later copies of the request.
        #[serde(default)]
        outcome: Blob,
        /// The leader's time.
        at: Wall,
    },
    /// Marks the open claims of an entry host's ended incarnation as lost: their requests
    /// may have run.
    HolderGone {
        /// The entry host.
        host: Host,
        /// The incarnation that ended.
        incarnation: Incarnation,
        /// The leader's time.
        at: Wall,
    },
    /// Blames a request for the death of an upstream that ran it; see [`crate::poison`].
    Blame {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The organisation that sent the request.
        organisation: Organisation,
        /// The upstream that died.
        upstream: Upstream,
        /// The incarnation that ended.
        incarnation: Incarnation,
        /// The leader's time.
        at: Wall,
    },
    /// Records in advance the death that the next run of a suspect may cause.
    Charge {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The organisation that sent the request.
        organisation: Organisation,
        /// The upstream that is to run the request.
        upstream: Upstream,
        /// The incarnation that would end.
        incarnation: Incarnation,
        /// The leader's time.
        at: Wall,
    },
    /// Takes back a charge: the run failed, but the upstream is alive. The suspicion stays.
    Discharge {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The organisation that sent the request.
        organisation: Organisation,
        /// The upstream that ran the request.
        upstream: Upstream,
        /// The incarnation that the charge names.
        incarnation: Incarnation,
        /// The leader's time.
        at: Wall,
    },
    /// Clears a suspect that finished without harm.
    Clear {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The organisation that sent the request.
        organisation: Organisation,
        /// The leader's time.
        at: Wall,
    },
    /// Enters the operators and replicas of the settings at the first start. Does nothing
    /// once there is an operator.
    Seed {
        /// Operators by name.
        operators: BTreeMap<String, Operator>,
        /// Replicas by identity.
        #[serde(with = "pairs")]
        replicas: BTreeMap<replica::Id, Replica>,
        /// The leader's time.
        at: Wall,
    },
    /// Sets the table of replicas to the log's membership. The leader proposes this when
    /// they differ.
    Replicas {
        /// Replicas by identity.
        #[serde(with = "pairs")]
        replicas: BTreeMap<replica::Id, Replica>,
        /// The leader's time.
        at: Wall,
    },
    /// Makes a plan of an operator's intent.
    Propose {
        /// The change number, chosen by the operator.
        number: String,
        /// The intent.
        intent: Intent,
        /// The operator's name.
        operator: String,
        /// The leader's time.
        at: Wall,
    },
    /// Starts or resumes carrying out a plan.
    Confirm {
        /// The number of the plan.
        plan: plan::Id,
        /// The operator's name.
        operator: String,
        /// The leader's time.
        at: Wall,
    },
    /// Stops a plan.
    Stop {
        /// The number of the plan.
        plan: plan::Id,
        /// The operator's name.
        operator: String,
        /// The leader's time.
        at: Wall,
    },
    /// Applies a transition to a step of a plan.
    Step {
        /// The number of the plan.
        plan: plan::Id,
        /// The index of the step.
        index: usize,
        /// The transition.
        #[serde(rename = "advance")]
        transition: Transition,
        /// The leader's time.
        at: Wall,
    },
    /// Advances the clock of the state, and removes what has expired.
    Expire {
        /// The leader's time.
        at: Wall,
    },
}

impl Command {
    /// Returns the bytes that are written to the log.
    pub fn to_bytes(&self) -> Result<Vec<u8>, serde_json::Error> {
        serde_json::to_vec(self)
    }

    /// Reads a command from the log.
    pub fn from_slice(bytes: &[u8]) -> Result<Command, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Reply {
    /// The command was accepted.
    Accepted {
        /// The revision after the command.
        revision: Revision,
    },
    /// The claim was decided.
    Claimed {
        /// Whether the claimant may run the request, or why not.
        verdict: Verdict,
    },
    /// The command about a plan was accepted; this is the plan after it.
    Planned {
        /// The plan.
        plan: Box<Plan>,
    },
    /// The published difference applies to another version than the one in force. Nothing
    /// has changed; the proposer has to send the whole text.
    BaseMoved {
        /// The version in force.
        held: Option<u64>,
    },
    /// The command was refused, and nothing has changed.
    Refused {
        /// The code of the refusal.
        code: Code,
        /// The reason, for people.
        message: String,
    },
}

impl Reply {
    /// Creates a refusal with the code's own text.
    pub fn refused(code: Code) -> Reply {
        let message = code.text().to_owned();
        Reply::Refused { code, message }
    }

    /// Returns the code, if the reply is a refusal.
    pub const fn code(&self) -> Option<Code> {
        match self {
            Reply::Refused { code, .. } => Some(*code),
            Reply::Claimed { verdict } => verdict.code(),
            Reply::Accepted { .. } | Reply::Planned { .. } | Reply::BaseMoved { .. } => None,
        }
    }
}

/// Serialises replicas as a list of pairs. In an internally tagged enum such as
/// [`Command`], serde can write a map with numeric keys but not read it.
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
