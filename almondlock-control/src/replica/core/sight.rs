//! What a leader sees of the members.

use almondlock_base::time::Mono;
use almondlock_quorum::member::{Change, Id};

use super::{Core, Leaving};
use crate::replica::repair::{self, Peer, Sight};

impl Core {
    /// The next step of a membership that mends itself, if this replica leads.
    pub(in crate::replica) fn repair_step(&self, now: Mono) -> Option<Change> {
        if !self.is_leader() || self.stopping.is_some() {
            return None;
        }
        let sight = Sight {
            own: self.own.id,
            members: self.machine.members(),
            newcomers: self.gathering.present(now, repair::PRESENT),
            led_since: self.machine.leader_since(),
            patience: self.quorum.election_timeout(),
            now,
        };
        sight.step(|id| Peer {
            heard: self.machine.last_heard(id),
            advanced: self.machine.last_advanced(id),
            caught_up: self.machine.is_caught_up(id),
            leaving: self.is_leaving(now, id),
            stays: self.leaving.get(&id).is_some_and(|said| said.stays),
        })
    }

    /// A member stops. `stays` is what it said of itself; another one's word leaves that as it is.
    pub(super) fn note_leaving(&mut self, now: Mono, id: Id, stays: Option<bool>) {
        self.leaving
            .retain(|_, said| now.since(said.at) < repair::SILENCE);
        if !self.machine.members().contains(id) {
            return;
        }
        let before = self.leaving.get(&id).copied();
        let stays = stays.unwrap_or(before.is_some_and(|said| said.stays));
        self.leaving.insert(id, Leaving { at: now, stays });
        if before.is_none() {
            self.log_leaving(id, stays);
        }
    }

    /// Whether the member said lately that it stops. Later its silence tells, or it has come
    /// back.
    pub(super) fn is_leaving(&self, now: Mono, id: Id) -> bool {
        let said = self.leaving.get(&id);
        said.is_some_and(|said| now.since(said.at) < repair::SILENCE)
    }
}
