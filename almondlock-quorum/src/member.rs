//! Who takes part, who votes, and how voters are spread over failure domains.
//!
//! A member is a disk, not a host: [`Id`] is drawn once, when a data folder is
//! made, and dies with the folder. A host that lost its disk comes back as
//! another member, so the votes and entries that the old disk promised can
//! never be promised a second time by an empty one.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use almondlock_base::id::{Domain, Host};
use serde::{Deserialize, Serialize};

use crate::error::Error;

/// The identity of a replica's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// The identity of its disk.
    pub id: Id,
    /// The host's name.
    pub name: Host,
    /// Where it listens for other processes.
    pub address: SocketAddr,
    /// What it may be lost together with.
    pub domain: Domain,
}

impl Member {
    /// A member made up from a number, for examples and tests: each tenth
    /// number shares a failure domain with the number below it.
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

/// The members at one place of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Members {
    /// Those whose acknowledgement counts. No id stands here and in `learners`.
    pub voters: BTreeMap<Id, Member>,
    /// Those that are sent everything and count for nothing yet.
    pub learners: BTreeMap<Id, Member>,
}

/// A change of the members. One at a time: two sets that differ by one voter
/// always have a replica in common between any majority of each.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// A new member that doesn't vote yet.
    Add(Member),
    /// A learner that has caught up gets a vote.
    Promote(Id),
    /// A voter or learner goes.
    Remove(Id),
}

impl Members {
    /// Members that all vote.
    pub fn of_voters<I>(members: I) -> Members
    where
        I: IntoIterator<Item = Member>,
    {
        Members {
            voters: members.into_iter().map(|m| (m.id, m)).collect(),
            learners: BTreeMap::new(),
        }
    }

    /// Whether the replica votes.
    pub fn is_voter(&self, id: Id) -> bool {
        self.voters.contains_key(&id)
    }

    /// Whether the replica takes part at all.
    pub fn contains(&self, id: Id) -> bool {
        self.get(id).is_some()
    }

    /// The member with this identity.
    pub fn get(&self, id: Id) -> Option<&Member> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// All members, voters first.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.voters.values().chain(self.learners.values())
    }

    /// How many voters make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether those for which `test` holds are a majority of the voters.
    pub fn has_quorum<F>(&self, test: F) -> bool
    where
        F: Fn(Id) -> bool,
    {
        self.voters.keys().filter(|id| test(**id)).count() >= self.quorum()
    }

    /// The members after a change, if it makes sense and keeps the voters
    /// spread.
    pub fn changed(&self, change: &Change) -> Result<Members, Error> {
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
            Some(_) if self.voters.is_empty() => Err(Error::refused("the last voter can't go")),
            Some(_) => Ok(()),
        }
    }

    /// Refuses voters whose majority one failure domain could take away, if the
    /// members' domains allow for better. With too few domains, or an even
    /// number of voters half-way through a replacement, the most even spread is
    /// asked for instead; a change that leaves the voters alone is not judged.
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
