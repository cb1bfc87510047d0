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

use crate::{machine::Machine, plan::Step};

/// The identity of a replica's disk, which it draws by itself. A wiped disk
/// comes back with another one.
pub type Id = u64;

/// Where a replica is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Replica {
    /// Its inner listener.
    pub address: SocketAddr,
    /// Its listener for operators.
    pub admin: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
}

/// One change of the log's membership, carried out by the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Member {
    /// The replica that waits there is added; it votes once it has caught up
    /// and synced. Its identity is known only then.
    Add(Replica),
    /// It votes no more.
    Remove(Id),
}

/// The table as it should be for the log's members, unless it is that already.
///
/// The log doesn't know where a replica listens for operators: that is taken
/// from the table or from the plan that added the replica, by its inner address.
/// Nothing is copied before the state was seeded.
pub fn changed_replicas<I>(machine: &Machine, members: I) -> Option<BTreeMap<Id, Replica>>
where
    I: IntoIterator<Item = (Id, SocketAddr, Domain)>,
{
    let known = &machine.tables().replicas;
    if machine.tables().operators.is_empty() {
        return None;
    }
    let stages = machine.plans().iter().rev().flat_map(|plan| &plan.stages);
    let planned = stages.filter_map(|stage| match &stage.step {
        Step::Member(Member::Add(replica)) => Some(replica),
        _ => None,
    });
    let all: Vec<&Replica> = known.values().chain(planned).collect();
    let admin = |address| {
        let found = all.iter().find(|replica| replica.address == address);
        found.map_or(address, |replica| replica.admin)
    };
    let members = members.into_iter().map(|(id, address, domain)| {
        let admin = admin(address);
        (
            id,
            Replica {
                address,
                admin,
                domain,
            },
        )
    });
    let members: BTreeMap<Id, Replica> = members.collect();
    (members != *known).then_some(members)
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
