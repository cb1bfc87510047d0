//! Greetings, sent and received; `founding` decides what they come to.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use almondlock_base::time::Mono;
use almondlock_quorum::member::{Id, Member, Members};

use super::{ADDRESSES, Core, Stage};
use crate::replica::{
    founding::{self, Greeting, Step},
    peers::Parcel,
};

impl Core {
    /// Greets as a newcomer, or as a member that hears no leader: the others may have removed
    /// it while it was away. A member greets once at its start as well, so that the others know
    /// that it is back.
    pub(super) fn greet(&mut self, now: Mono) {
        let due = |at: Mono| now.since(at) >= self.quorum.heartbeat_interval() * 2;
        let member = self.machine.members().contains(self.own.id);
        let led = member && self.greeted_at.is_some() && self.machine.hears_leader(now);
        let silent = match &self.stopping {
            Some(stop) => !stop.stays,
            None => led,
        };
        if silent || !self.greeted_at.is_none_or(due) {
            return;
        }
        self.greeted_at = Some(now);
        self.greet_all();
        if self.stage == Stage::Gathering && self.founds {
            self.advance(self.gathering.decide(&self.own, &self.initial));
        }
    }

    pub(super) fn greet_all(&mut self) {
        let initial = self.initial.iter().map(|i| i.address);
        let members = self.machine.members().iter().map(|m| m.address);
        let mut others: BTreeSet<SocketAddr> = initial.chain(members).collect();
        others.remove(&self.own.address);
        others.into_iter().for_each(|to| self.greet_one(to));
    }

    fn greet_one(&mut self, to: SocketAddr) {
        let greeting = self.greeting();
        self.peers.send(to, Parcel::Greeting(Box::new(greeting)));
    }

    /// What this replica says of itself.
    fn greeting(&self) -> Greeting {
        let members = self.machine.members();
        Greeting {
            members: Some(Members::clone(members)).filter(|m| m.contains(self.own.id)),
            leaving: self.stopping.is_some(),
            stays: self.stopping.as_ref().is_some_and(|stop| stop.stays),
            ..Greeting::newcomer(self.own.clone())
        }
    }

    pub(super) fn on_greeting(&mut self, now: Mono, sender: Id, greeting: Greeting) {
        let member = self.machine.members().contains(self.own.id);
        if self.addresses.len() < ADDRESSES {
            let from = &greeting.from;
            self.addresses.insert(from.id, from.address);
        }
        match greeting.members {
            None => {
                let address = greeting.from.address;
                self.note_newcomer(now, sender, greeting.from);
                if member {
                    self.greet_one(address);
                }
            }
            Some(members) if self.stage == Stage::Gathering => {
                self.advance(founding::join(self.own.id, members));
            }
            Some(_) if greeting.releases => {
                if let Some(stop) = &mut self.stopping {
                    stop.is_removed = true;
                }
            }
            // It doesn't know that it is out, and waits for that.
            Some(_) if greeting.stays && self.is_known_removed(greeting.from.id) => {
                let mut answer = self.greeting();
                answer.releases = true;
                self.peers
                    .send(greeting.from.address, Parcel::Greeting(Box::new(answer)));
            }
            // Passed on; a member that has answered since this replica leads is still there.
            Some(_)
                if greeting.leaving
                    && sender != greeting.from.id
                    && self.machine.last_heard(greeting.from.id).is_some() => {}
            Some(_) if greeting.leaving => {
                let is_own_word = sender == greeting.from.id;
                self.note_leaving(now, greeting.from.id, is_own_word.then_some(greeting.stays));
            }
            Some(_) if self.leaving.remove(&greeting.from.id).is_some() => {}
            // It was removed and doesn't know, or this replica doesn't know the members yet.
            Some(_) if member && !self.machine.members().contains(greeting.from.id) => {
                self.note_newcomer(now, sender, greeting.from);
            }
            Some(_) => {}
        }
    }

    /// Whether a replica is known to be out. Only a leader knows that the members in force were
    /// accepted last.
    fn is_known_removed(&self, id: Id) -> bool {
        let is_accepted = self.is_leader() && self.machine.has_committed_members();
        is_accepted && !self.machine.members().contains(id)
    }

    fn note_newcomer(&mut self, now: Mono, sender: Id, newcomer: Member) {
        self.pass_to_leader(sender, &newcomer);
        self.gathering.note(now, newcomer);
    }

    /// A newcomer knows some replicas, perhaps not the one that leads and can
    /// take it in. Passed on once, by the replica that was greeted itself.
    fn pass_to_leader(&mut self, sender: Id, from: &Member) {
        if let Some(leader) = self.leader().filter(|_| sender == from.id) {
            let greeting = Greeting::newcomer(from.clone());
            self.peers
                .send(leader, Parcel::Greeting(Box::new(greeting)));
        }
    }

    /// Tells a new leader which members said that they stop. It may have been away then, and
    /// would count them until they have been silent under it too.
    pub(super) fn tell_leaving(&mut self, now: Mono) {
        let leader = self.machine.leader();
        if self.told_leader == leader {
            return;
        }
        self.told_leader = leader;
        let Some(address) = self.leader() else {
            return;
        };
        let members = Arc::clone(self.machine.members());
        for member in members.iter() {
            if Some(member.id) == leader || !self.is_leaving(now, member.id) {
                continue;
            }
            let greeting = Greeting {
                members: Some(Members::clone(&members)),
                leaving: true,
                ..Greeting::newcomer(member.clone())
            };
            self.peers
                .send(address, Parcel::Greeting(Box::new(greeting)));
        }
    }

    fn advance(&mut self, step: Step) {
        match step {
            Step::Wait => {}
            Step::Outside => {
                tracing::warn!(name = %self.own.name, "the group exists without this disk");
                self.stage = Stage::Running;
            }
            Step::Found(members) => {
                self.stage = Stage::Founding;
                self.disk.found(members);
            }
        }
    }
}
