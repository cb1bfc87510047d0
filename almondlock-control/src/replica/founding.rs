//! How a group begins, and how a newcomer finds it.
//!
//! Settings name the hosts of the first replicas, but members are disks. So
//! each replica on an empty folder greets the named hosts with its disk's
//! identity. Once the first of them, by name, was greeted by all the others, it
//! decides: these disks are the group. It writes that down and tells them.
//!
//! The settings stay the same for ever, which is what makes a wiped disk safe.
//! Its host starts it with the same settings, it greets the others, and is told
//! of a group that its new identity is not in. It then neither votes nor
//! decides; it waits until an operator adds it. The one that decides needs a
//! greeting from every other first replica, and one that is in the group
//! already doesn't greet but says so; therefore a wiped decider can't begin a
//! second group beside the first.

use std::{collections::BTreeMap, time::Duration};

use almondlock_base::{id::Host, time::Mono};
use almondlock_quorum::member::{Id, Member, Members};
use serde::{Deserialize, Serialize};

use super::{config::Initial, repair::Newcomer};

/// The most newcomers remembered. Enough for any sensible group.
const LIMIT: usize = 64;

/// What replicas tell each other outside the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct Greeting {
    /// Who speaks.
    pub(super) from: Member,
    /// The group's members, if the speaker is of a group.
    pub(super) members: Option<Members>,
    /// The speaker stops.
    #[serde(default)]
    pub(super) leaving: bool,
    /// Until it is out of the group, it goes on voting and acknowledging.
    #[serde(default)]
    pub(super) stays: bool,
    /// The speaker leads, and its accepted members lack the one that is spoken to.
    #[serde(default)]
    pub(super) releases: bool,
}

impl Greeting {
    /// The greeting of a replica that is in no group.
    pub(super) fn newcomer(from: Member) -> Greeting {
        Greeting {
            from,
            members: None,
            leaving: false,
            stays: false,
            releases: false,
        }
    }
}

/// What to do about a greeting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing yet.
    Wait,
    /// These are the group, and this replica is one of them.
    Found(Members),
    /// There is a group without this replica.
    Outside,
}

/// What is known of hosts that are not in a group, by name.
#[derive(Debug, Default)]
pub(super) struct Gathering {
    pub(super) known: BTreeMap<Host, Member>,
    // When each was last heard. Invariant: the same names as in `known`.
    heard: BTreeMap<Host, Mono>,
}

impl Gathering {
    /// Takes note of a newcomer.
    pub(super) fn note(&mut self, now: Mono, member: Member) {
        if self.known.len() < LIMIT || self.known.contains_key(&member.name) {
            self.heard.insert(member.name.clone(), now);
            self.known.insert(member.name.clone(), member);
        }
    }

    /// Forgets what greeted before: only a later greeting says that it is there.
    pub(super) fn forget(&mut self, id: Id) {
        self.known.retain(|_, member| member.id != id);
        self.heard.retain(|name, _| self.known.contains_key(name));
    }

    /// The newcomers that were heard within this span.
    pub(super) fn present(&self, now: Mono, span: Duration) -> Vec<Newcomer> {
        let heard = self.heard.values().copied();
        let newcomers = self.known.values().cloned().zip(heard);
        newcomers
            .filter(|(_, heard)| now.since(*heard) < span)
            .map(|(member, heard)| Newcomer { member, heard })
            .collect()
    }

    /// Decides for a replica that is in no group yet.
    pub(super) fn decide(&self, own: &Member, initial: &[Initial]) -> Step {
        let first = initial.iter().map(|i| &i.name).min();
        if first != Some(&own.name) {
            return Step::Wait;
        }
        let found = |i: &Initial| {
            let known = Some(own).filter(|own| own.name == i.name);
            known.or_else(|| self.known.get(&i.name)).cloned()
        };
        let members: Option<Vec<Member>> = initial.iter().map(found).collect();
        members.map_or(Step::Wait, |members| {
            Step::Found(Members::of_voters(members))
        })
    }
}

/// What a replica that is in no group yet makes of a group that it is told of.
/// A voter on an empty disk can only be one of the first; a learner gets the
/// members with the log.
pub(super) fn join(own: Id, members: Members) -> Step {
    if members.is_voter(own) {
        Step::Found(members)
    } else {
        Step::Outside
    }
}
