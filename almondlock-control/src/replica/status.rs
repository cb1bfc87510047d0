//! How a replica stands, for operators.

use std::{net::SocketAddr, time::Duration};

use almondlock_base::id::{Domain, Host};
use almondlock_quorum::{
    entry::{Index, Term},
    machine::{Ballot, Role},
    member::Id,
};

use super::refusal::Refusal;

/// How a replica stands, as far as it knows itself.
#[derive(Clone, Debug)]
pub struct Status {
    /// The identity of its disk.
    pub id: Id,
    /// Its host.
    pub name: Host,
    /// What it is in the group.
    pub role: Role,
    /// Whether the group was founded, as far as it knows.
    pub founded: bool,
    /// It was told of a group that its disk is not in, and waits to be added.
    pub outside: bool,
    /// The term.
    pub term: Term,
    /// The leader's address.
    pub leader: Option<SocketAddr>,
    /// The last entry known to be accepted.
    pub commit: Index,
    /// The last entry applied to the state here.
    pub applied: Index,
    /// The last entry of the log here.
    pub last: Index,
    /// All members.
    pub members: Vec<Peer>,
    /// Replicas that wait to be added, by their own account.
    pub waiting: Vec<Host>,
    /// Syncs of the log so far.
    pub syncs: u64,
    /// The last round of votes that it lost, while it knows no leader.
    pub failed: Option<Ballot>,
    /// What it has seen.
    pub counts: Counts,
    /// Why it has stopped.
    pub stopped: Option<Refusal>,
}

/// What a replica has seen since its process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// How often it stood for election.
    pub elections: u64,
    /// How often another replica came to lead, or it did.
    pub leaders: u64,
    /// How often the members in force here changed.
    pub memberships: u64,
}

/// One member of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The identity of its disk.
    pub id: Id,
    /// Its host.
    pub name: Host,
    /// Its inner listener.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Whether it votes.
    pub voter: bool,
    /// Entries it still lacks; known to the leader only.
    pub lag: Option<u64>,
    /// For how long it has been silent, once that is an election timeout; known to the
    /// leader only.
    pub silent: Option<Duration>,
}
