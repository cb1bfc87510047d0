//! Changing who the replicas are.
//!
//! An operator replaces a replica in three accepted steps: the newcomer is added
//! as a learner, gets its vote once it has caught up and synced, and only then
//! the old one goes. A second loss right after the repair therefore meets a
//! newcomer that holds everything. Each step may be asked for again. Where the
//! leader mends the membership by itself, the old one goes first; see `repair`.

use std::net::SocketAddr;

use almondlock_base::{Code, id::Host, time::Mono};
use almondlock_node::clock;
use almondlock_quorum::member::{Change, Id, Member};
use almondlock_state::command::Command;
use tokio::time::sleep;

use super::{Replica, refusal::Refusal};

impl Replica {
    /// Adds a replica that has greeted this one, as a learner.
    pub async fn add(&self, name: &Host) -> Result<Id, Refusal> {
        let member = self.newcomer(name)?;
        let id = member.id;
        if !self.inner.core.borrow().members().contains(id) {
            self.change(Change::Add(member)).await?;
        }
        Ok(id)
    }

    /// Adds the replica that has greeted this one from an inner address.
    pub async fn add_at(&self, address: SocketAddr) -> Result<Id, Refusal> {
        let host = {
            let core = self.inner.core.borrow();
            let mut known = core.gathering.known.values();
            let found = known.find(|member| member.address == address);
            found.map(|member| member.name.clone())
        };
        let message = format!("no replica at {address} has asked to join; start it first");
        let host = host.ok_or_else(|| Refusal::new(Code::BadChange, message))?;
        self.add(&host).await
    }

    /// Gives a learner its vote; waits until it has caught up.
    pub async fn promote(&self, id: Id) -> Result<(), Refusal> {
        if self.inner.core.borrow().members().is_voter(id) {
            return Ok(());
        }
        self.change(Change::Promote(id)).await
    }

    /// Takes a replica out.
    pub async fn remove(&self, id: Id) -> Result<(), Refusal> {
        if !self.inner.core.borrow().members().contains(id) {
            return Ok(());
        }
        self.change(Change::Remove(id)).await
    }

    /// Puts the replica that waits on host `new` in the place of `old`.
    pub async fn replace(&self, old: Id, new: &Host) -> Result<Id, Refusal> {
        let id = self.add(new).await?;
        self.promote(id).await?;
        self.remove(old).await?;
        Ok(id)
    }

    /// Takes the next step of a membership that mends itself. One that can't be
    /// made yet is looked at again in the next round. Gives whether one was made.
    pub(super) async fn repair(&self, now: Mono) -> bool {
        let Some(change) = self.inner.core.borrow().repair_step(now) else {
            return false;
        };
        let asked = self.with(|core| core.change(clock::mono(), &change));
        let result = match asked {
            Ok(answer) => {
                self.wait_for(self.inner.config.quorum.election_timeout(), answer)
                    .await
            }
            Err(refusal) => Err(refusal),
        };
        match &result {
            Ok(()) => tracing::info!(?change, "membership changed"),
            Err(refusal) => tracing::debug!(?change, %refusal, "membership not changed yet"),
        }
        result.is_ok()
    }

    /// Tells processes where the replicas are, when that has changed.
    pub(super) async fn tell_sources(&self) {
        let members = self.inner.core.borrow().members();
        let mut addresses: Vec<SocketAddr> = members.voters.values().map(|m| m.address).collect();
        addresses.sort_unstable();
        addresses.dedup();
        if self.state(|state| state.config().sources == addresses) {
            return;
        }
        let at = clock::wall();
        match self.propose(Command::Sources { addresses, at }).await {
            Ok(_) => tracing::info!(
                voters = members.voters.len(),
                "processes are told of the replicas"
            ),
            Err(refusal) => tracing::debug!(%refusal, "processes not told of the replicas yet"),
        }
    }

    fn newcomer(&self, name: &Host) -> Result<Member, Refusal> {
        let core = self.inner.core.borrow();
        let known = core.gathering.known.get(name).cloned();
        known.ok_or_else(|| {
            let message = format!("no replica on {name} has asked to join; start it first");
            Refusal::new(Code::BadChange, message)
        })
    }

    /// Makes a change; one that can't be made yet (another is under way, a
    /// learner catches up) is tried again until the time is over.
    async fn change(&self, change: Change) -> Result<(), Refusal> {
        let until = clock::mono() + self.inner.config.patience * 6;
        loop {
            let asked = self.with(|core| core.change(clock::mono(), &change));
            match asked {
                Ok(answer) => return self.wait(answer).await,
                Err(refusal) if refusal.code != Code::NoQuorum || clock::mono() >= until => {
                    return Err(refusal);
                }
                Err(_) => sleep(self.inner.config.quorum.heartbeat_interval()).await,
            }
        }
    }
}
