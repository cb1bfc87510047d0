//! Greetings, sent and received; `founding` decides what they come to.

use std::net::SocketAddr;

use almondlock_base::time::Mono;
use almondlock_quorum::member::{Id, Member, Members};

use super::{ADDRESSES, Core, Stage};
use crate::replica::{
    founding::{self, Greeting, Step},
    peers::Parcel,
};

impl Core {
    pub(super) fn greet(&mut self, now: Mono) {
        let due = |at: Mono| now.since(at) >= self.quorum.heartbeat() * 2;
        let member = self.machine.members().contains(self.own.id);
        if member || !self.greeted_at.is_none_or(due) {
            return;
        }
        self.greeted_at = Some(now);
        self.greet_all();
        if self.stage == Stage::Gathering && self.founds {
            self.advance(self.gathering.decide(&self.own, &self.initial));
        }
    }

    pub(super) fn greet_all(&mut self) {
        let others = self.initial.iter().map(|i| i.address);
        let others: Vec<SocketAddr> = others.filter(|a| *a != self.own.address).collect();
        others.into_iter().for_each(|to| self.greet_one(to));
    }

    fn greet_one(&mut self, to: SocketAddr) {
        let members = self.machine.members();
        let greeting = Greeting {
            from: self.own.clone(),
            members: Some(Members::clone(members)).filter(|m| m.contains(self.own.id)),
        };
        self.peers.send(to, Parcel::Greeting(Box::new(greeting)));
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
                self.pass_to_leader(sender, &greeting.from);
                self.gathering.note(now, greeting.from);
                if member {
                    self.greet_one(address);
                }
            }
            Some(members) if self.stage == Stage::Gathering => {
                self.advance(founding::join(self.own.id, members));
            }
            Some(_) => {}
        }
    }

    /// A newcomer knows some replicas, perhaps not the one that leads and can
    /// take it in. Passed on once, by the replica that was greeted itself.
    fn pass_to_leader(&mut self, sender: Id, from: &Member) {
        if let Some(leader) = self.leader().filter(|_| sender == from.id) {
            let greeting = Greeting {
                from: from.clone(),
                members: None,
            };
            self.peers
                .send(leader, Parcel::Greeting(Box::new(greeting)));
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
