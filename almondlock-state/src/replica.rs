//! The table of control replicas, the members of the replicated log.
//!
//! The membership entries of the log decide which replicas vote. The leader copies them to
//! this table ([`Command::Replicas`]) whenever they differ. The table holds the addresses
//! and failure domain of each replica, so that clients can be redirected to the leader and
//! plans can assess the loss of a domain.
//!
//! [`Command::Replicas`]: crate::command::Command::Replicas

use std::{collections::BTreeMap, net::SocketAddr};

use almondlock_base::id::Domain;
use serde::{Deserialize, Serialize};

use crate::{machine::Machine, plan::Step};

/// The identity of a replica's disk, which the replica draws at random. After a disk is
/// wiped it has another identity.
pub type Id = u64;

/// The addresses and failure domain of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Replica {
    /// The address at which it listens for other processes of the deployment.
    pub address: SocketAddr,
    /// The address at which it listens for operators.
    pub admin: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
}

/// A change of the log's membership, carried out by the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Member {
    /// Adds the replica that waits at this address to join. It votes once it has caught up
    /// and synced, and its identity is known only then.
    Add(Replica),
    /// Removes a replica: it no longer votes.
    Remove(Id),
}

/// Returns the table of replicas for the log's members, or `None` if it is up to date.
///
/// The log doesn't have the replicas' addresses for operators. They are taken from the
/// table, or from the plan that added the replica, by its [`address`](Replica::address).
/// `None` is returned also before the state has been initialised.
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

/// Returns the failure domains whose loss would leave no majority of replicas.
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
