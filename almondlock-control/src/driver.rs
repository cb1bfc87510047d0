//! What the leader does for plans: it asks which steps are due and takes them.
//!
//! Everything it does may be done twice, by it or by the next leader: a step
//! that was taken already is refused when it is applied.

use std::time::Duration;

use almondlock_node::clock;
use almondlock_quorum::member::Id;
use almondlock_state::{
    command::Command,
    plan::{
        self, Transition,
        next::{Action, due_actions},
    },
    replica::{self as members, Member},
};
use tokio::time::sleep;

use crate::replica::{Refusal, Replica};

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(100);

/// Takes the steps of plans for as long as the replica runs.
pub async fn run(replica: Replica) {
    loop {
        sleep(PAUSE).await;
        if !replica.is_leader() {
            continue;
        }
        let now = clock::wall();
        for action in replica.state(|machine| due_actions(machine, now)) {
            act(&replica, action).await;
        }
        copy_members(&replica).await;
    }
}

async fn act(replica: &Replica, action: Action) {
    match action {
        Action::Propose(command) => {
            if let Err(refusal) = replica.propose(command).await {
                tracing::debug!(%refusal, "a step was not taken");
            }
        }
        Action::Member {
            plan,
            index,
            member,
        } => {
            let advance = match change(replica, &member).await {
                Ok(()) => Transition::Finish,
                Err(refusal) => Transition::Fail {
                    message: refusal.to_string(),
                },
            };
            step(replica, plan, index, advance).await;
        }
    }
}

async fn step(replica: &Replica, plan: plan::Id, index: usize, advance: Transition) {
    let command = Command::Step {
        plan,
        index,
        transition: advance,
        at: clock::wall(),
    };
    if let Err(refusal) = replica.propose(command).await {
        tracing::warn!(%refusal, "the end of a change of membership was not noted");
    }
}

/// Copies the log's membership into the state when the two differ.
async fn copy_members(replica: &Replica) {
    let members = replica.status().members.into_iter();
    let members = members.map(|peer| (peer.id.0, peer.address, peer.domain));
    let Some(replicas) = replica.state(|machine| members::changed_replicas(machine, members))
    else {
        return;
    };
    let at = clock::wall();
    let copied = replica.propose(Command::Replicas { replicas, at }).await;
    if let Err(refusal) = copied {
        tracing::debug!(%refusal, "the membership was not copied yet");
    }
}

async fn change(replica: &Replica, member: &Member) -> Result<(), Refusal> {
    match member {
        Member::Add(wanted) => {
            let id = replica.add_at(wanted.address).await?;
            replica.promote(id).await
        }
        Member::Remove(id) => replica.remove(Id(*id)).await,
    }
}
