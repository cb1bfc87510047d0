//! A replica as the operators' API sees it.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use almondlock_base::{Code, time::Wall, unit::Revision};
use almondlock_node::{Handle, clock};
use almondlock_spread::view::View;
use almondlock_state::{
    api::{Observation, Process},
    command::{Command, Reply},
    machine::Machine,
};
use tokio::time::sleep;

use crate::{
    admin::{Backend, Failure},
    replica::{Refusal, Remote},
};

/// How often a watcher looks for a new revision.
const WATCH_PAUSE: Duration = Duration::from_millis(20);

/// Where operators reach the replicas, by their inner addresses.
pub type Admins = Vec<(SocketAddr, SocketAddr)>;

/// The operators' way to one replica, from any thread.
#[derive(Clone, Debug)]
pub struct Operated {
    remote: Remote,
    view: View,
    admins: Admins,
    // Set once the node runs, which starts after the replica.
    node: Arc<OnceLock<Handle>>,
}

impl Operated {
    /// A way to the replica behind `remote`.
    pub fn new(remote: Remote, view: View, admins: Admins) -> Operated {
        Operated {
            remote,
            view,
            admins,
            node: Arc::default(),
        }
    }

    /// From now on the status tells what the node knows of all processes.
    pub fn attach(&self, node: Handle) {
        // A node is started once in a process.
        let _ = self.node.set(node);
    }

    /// What the tree of processes reports: who is behind, and by how much.
    fn spreading(&self) -> Observation {
        let Some(node) = self.node.get() else {
            return Observation::default();
        };
        let summary = node.summary();
        let laggards = summary.laggards.into_iter().map(|peer| Process {
            host: peer.host,
            incarnation: peer.incarnation,
            revision: peer.revision,
            version: peer.version,
        });
        Observation {
            in_force: Some(summary.lowest),
            processes: summary.processes,
            laggards: laggards.collect(),
            ..Observation::default()
        }
    }

    /// The API tells operators where the leader listens for them; the replicas
    /// among themselves know inner addresses.
    async fn failure(&self, refusal: Refusal) -> Failure {
        match refusal.code {
            Code::NotLeader => {
                let leader = self.remote.status().await.ok().and_then(|s| s.leader);
                let admin = |(inner, admin): &(SocketAddr, SocketAddr)| {
                    (Some(*inner) == leader).then_some(*admin)
                };
                Failure::NotLeader(self.admins.iter().find_map(admin))
            }
            Code::StorageFailed => Failure::Storage,
            _ => Failure::NoQuorum,
        }
    }
}

impl Backend for Operated {
    async fn propose(&self, command: Command) -> Result<Reply, Failure> {
        match self.remote.propose(command).await {
            Ok(reply) => Ok(reply),
            Err(refusal) => Err(self.failure(refusal).await),
        }
    }

    async fn read<F, R>(&self, look: F) -> Result<R, Failure>
    where
        F: FnOnce(&Machine) -> R + Send + 'static,
        R: Send + 'static,
    {
        match self.remote.read(look).await {
            Ok(found) => Ok(found),
            Err(refusal) => Err(self.failure(refusal).await),
        }
    }

    async fn peek<F, R>(&self, look: F) -> R
    where
        F: FnOnce(&Machine) -> R + Send + 'static,
        R: Send + 'static,
    {
        // The replica's thread ends with the process only: until then it looks.
        match self.remote.look(look).await {
            Ok(found) => found,
            Err(_) => std::future::pending().await,
        }
    }

    async fn changed(&self, after: Revision, wait: Duration) {
        let changed = async {
            while self.view.revision() <= after {
                sleep(WATCH_PAUSE).await;
            }
        };
        let _ = tokio::time::timeout(wait, changed).await;
    }

    async fn standing(&self) -> Observation {
        let Ok(status) = self.remote.status().await else {
            return Observation::default();
        };
        let leader = status.members.iter();
        let leader = leader.clone().find(|m| Some(m.address) == status.leader);
        let matched = status.members.iter();
        let matched = matched.filter_map(|m| Some((m.id.0, status.last.0.saturating_sub(m.lag?))));
        Observation {
            replica: status.id.0,
            leader: leader.map(|m| m.id.0),
            term: status.term.0,
            matched: matched.collect(),
            ..self.spreading()
        }
    }

    fn now(&self) -> Wall {
        clock::wall()
    }
}
