//! Members of a group, changes of the membership, and the spread of voters over failure domains.
//!
//! A member is a disk, not a host: its [`Id`] is drawn at random when the data folder is
//! created, and is lost with the folder. A host that lost its disk returns as another member.
//! Under its old identity it could vote twice in one term, and would be counted as holding
//! entries that it lost.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use almondlock_base::id::{Domain, Host};
use serde::{Deserialize, Serialize};

use crate::error::Error;

/// The identity of a replica's disk, which identifies the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A member of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// The identity of the member's disk.
    pub id: Id,
    /// The name of the member's host.
    pub name: Host,
    /// The address on which the member listens for other processes.
    pub address: SocketAddr,
    /// The failure domain of the member's host.
    pub domain: Domain,
}

impl Member {
    /// Returns a made-up member for examples and tests. Numbers with the same last digit share a
    /// failure domain.
    #[doc(hidden)]
    pub fn sample(number: u64) -> Member {
        let name = |text: String| Host::new(&text).unwrap_or_else(|e| panic!("{e}"));
        let domain = |text: String| Domain::new(&text).unwrap_or_else(|e| panic!("{e}"));
        Member {
            id: Id(number),
            name: name(format!("replica-{number}")),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            domain: domain(format!("domain-{}", number % 10)),
        }
    }
}

/// The members of a group at one index of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Members {
    /// The members that count towards majorities. No member is in both `voters` and `learners`.
    pub voters: BTreeMap<Id, Member>,
    /// The members that are sent all entries and don't vote yet.
    pub learners: BTreeMap<Id, Member>,
}

/// A change of the members, by one member at a time: if two sets differ by one voter, any
/// majority of one shares a replica with any majority of the other.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Adds a learner.
    Add(Member),
    /// Makes a voter of a learner that has caught up.
    Promote(Id),
    /// Removes a voter or a learner.
    Remove(Id),
}

impl Members {
    /// Returns a membership in which all members vote.
    pub fn of_voters<I>(members: I) -> Members
    where
        I: IntoIterator<Item = Member>,
    {
        Members {
            voters: members.into_iter().map(|m| (m.id, m)).collect(),
            learners: BTreeMap::new(),
        }
    }

    /// Whether the replica is a voter.
    pub fn is_voter(&self, id: Id) -> bool {
        self.voters.contains_key(&id)
    }

    /// Whether the replica is a voter or a learner.
    pub fn contains(&self, id: Id) -> bool {
        self.get(id).is_some()
    }

    /// Returns the member with this identity.
    pub fn get(&self, id: Id) -> Option<&Member> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// Iterates over all members, voters first.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.voters.values().chain(self.learners.values())
    }

    /// Returns the number of voters that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `test` holds for a majority of the voters.
    pub fn has_quorum<F>(&self, test: F) -> bool
    where
        F: Fn(Id) -> bool,
    {
        self.voters.keys().filter(|id| test(**id)).count() >= self.quorum()
    }

    /// Returns the members after a change, or an error if the change doesn't fit the members or
    /// concentrates the voters in too few failure domains.
    pub fn with_change(&self, change: &Change) -> Result<Members, Error> {
        let mut members = self.clone();
        match change {
            Change::Add(member) => members.add(member)?,
            Change::Promote(id) => match members.learners.remove(id) {
                Some(member) => {
                    members.voters.insert(*id, member);
                }
                None => return Err(Error::refused(format!("{id} is not a learner"))),
            },
            Change::Remove(id) => members.remove(*id)?,
        }
        members.check_spread(self)?;
        Ok(members)
    }

    fn add(&mut self, member: &Member) -> Result<(), Error> {
        if self.contains(member.id) {
            return Err(Error::refused(format!("{} is a member already", member.id)));
        }
        self.learners.insert(member.id, member.clone());
        Ok(())
    }

    fn remove(&mut self, id: Id) -> Result<(), Error> {
        let gone = self
            .voters
            .remove(&id)
            .or_else(|| self.learners.remove(&id));
        match gone {
            None => Err(Error::refused(format!("{id} is not a member"))),
            Some(_) if self.voters.is_empty() => {
                Err(Error::refused("the last voter can't be removed"))
            }
            Some(_) => Ok(()),
        }
    }

    /// Refuses a set of voters that would lose its majority with one failure domain, if the
    /// members' domains allow a better spread. With too few domains, or an even number of
    /// voters in the middle of a replacement, the most even spread is required instead. A
    /// change that leaves the voters as they are is not checked.
    fn check_spread(&self, before: &Members) -> Result<(), Error> {
        if self.voters.keys().eq(before.voters.keys()) {
            return Ok(());
        }
        let mut domains: BTreeMap<&Domain, usize> = BTreeMap::new();
        for member in self.iter().chain(before.iter()) {
            domains.entry(&member.domain).or_default();
        }
        for member in self.voters.values() {
            *domains.entry(&member.domain).or_default() += 1;
        }
        let voters = self.voters.len();
        let most = domains.values().copied().max().unwrap_or(0);
        let spare = voters - self.quorum();
        let even = voters.div_ceil(domains.len().max(1));
        if most > spare.max(even) {
            let reason = format!(
                "{most} of {voters} voters would share a failure domain; at most {} may",
                spare.max(even)
            );
            return Err(Error::refused(reason));
        }
        Ok(())
    }
}
