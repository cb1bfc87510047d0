//! The control replicas, as the state knows them.
//!
//! Who votes is decided by the log's own membership entries. The leader copies
//! them here ([`Command::Replicas`]) whenever they differ; this table says
//! where each replica is reached and in which failure domain it stands, so that
//! clients are sent to the leader and a plan can tell what a loss would mean.
//!
//! [`Command::Replicas`]: crate::command::Command::Replicas

use std::{collections::BTreeMap, net::SocketAddr};

use almondlock_base::id::Domain;
use serde::{Deserialize, Serialize};

/// The identity of a replica's disk, which it draws by itself. A wiped disk
/// comes back with another one.
pub type Id = u64;

/// Where a replica is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Its inner listener.
    pub address: SocketAddr,
    /// Its listener for operators.
    pub admin: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
}

/// One change of the log's membership, carried out by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Member {
    /// The replica that waits there is added; it votes once it has caught up
    /// and synced. Its identity is known only then.
    Add(Replica),
    /// It votes no more.
    Remove(Id),
}

/// The failure domains whose loss would leave no majority.
pub fn critical_domains(replicas: &BTreeMap<Id, Replica>) -> Vec<Domain> {
    let mut counts: BTreeMap<&Domain, usize> = BTreeMap::new();
    for replica in replicas.values() {
        *counts.entry(&replica.domain).or_default() += 1;
    }
    let majority = replicas.len() / 2 + 1;
    let critical = |count: &usize| replicas.len() - count < majority;
    counts
        .into_iter()
        .filter(|(_, count)| critical(count))
        .map(|(domain, _)| domain.clone())
        .collect()
}
