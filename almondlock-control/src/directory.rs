//! The way from an HTTP listener to what a deployment publishes: its
//! configuration as one text, and the instances that are called directly.
//!
//! An acknowledgement is a promise to others. A configuration is acknowledged
//! once a quorum has synced it, and so is a heartbeat that says something new. One
//! that says that its sender leaves is acknowledged once, besides, the known
//! processes act on it, because the sender counts from the acknowledgement until it
//! stops serving.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use crate::{
    admin::Failure,
    replica::{Refusal, Remote, Taken},
};
use almondlock_base::{
    Code,
    id::{Domain, Upstream},
    time::Wall,
    unit::Revision,
};
use almondlock_node::{Handle, clock};
use almondlock_state::{
    command::{Command, Reply},
    document::{Document, Publication},
    evacuation,
    instance::Instance,
    machine::Machine,
};

/// How long an acknowledgement waits for processes that are behind. Senders of
/// heartbeats wait a second for it; a process that takes longer is cut off and
/// counts as such.
const IN_FORCE_WAIT: Duration = Duration::from_millis(600);

/// What a replica has applied.
#[derive(Clone, Debug)]
pub struct Applied {
    /// The published configuration.
    pub document: Option<Document>,
    /// The instance that was asked for is enrolled.
    pub is_known: bool,
    /// How many instances are enrolled.
    pub instances: usize,
}

/// A handle to the replica of this process, for any thread.
#[derive(Clone, Debug)]
pub struct Directory {
    remote: Remote,
    // Set once the node runs, which starts after the replica.
    node: Arc<OnceLock<Handle>>,
    // Where replicas listen for operators; the same port on all of them.
    port: u16,
    // The failure domains that there are. Empty: those that the state knows of.
    domains: Arc<[Domain]>,
    // Whether all replicas read deltas, and keep the pieces of a text.
    deltas: bool,
}

impl Directory {
    /// A way to the replica behind `remote`. All replicas listen for operators
    /// on `port`. Orders may name the failure domains of `domains`; if it is empty, those
    /// in which an upstream or a replica is known.
    pub fn new(remote: Remote, port: u16, domains: &[Domain]) -> Directory {
        Directory {
            remote,
            node: Arc::default(),
            port,
            domains: Arc::from(domains),
            deltas: false,
        }
    }

    /// Whether publications are written as what differs from the version in force. Replicas
    /// of earlier versions stop at one, and don't keep the pieces of a text, to which the
    /// places in a delta refer: without deltas, a text is kept in one piece.
    pub fn deltas(mut self, on: bool) -> Directory {
        self.deltas = on;
        self
    }

    /// From now on heartbeats wait until the processes known to the node act
    /// on them.
    pub fn attach(&self, node: Handle) {
        // A node is started once in a process.
        let _ = self.node.set(node);
    }

    /// Publishes a configuration; one that isn't newer changes nothing.
    pub async fn publish(&self, document: Document) -> Result<Revision, Failure> {
        if !self.deltas {
            return self.publish_whole(document.into_single_piece()).await;
        }
        let held = |state: &Machine| state.config().document.clone();
        let held = self.remote.look(held).await.ok().flatten();
        let publication = Publication::of(held.as_ref(), document.clone());
        tracing::info!(
            version = document.version,
            base = publication.base(),
            bytes = publication.text_bytes(),
            of = document.len(),
            "configuration proposed"
        );
        let at = clock::wall();
        let reply = self.remote.propose(Command::Publish { publication, at });
        match self.outcome(reply.await).await? {
            Reply::BaseMoved { held: found } => {
                tracing::warn!(
                    version = document.version,
                    base = held.map(|held| held.version),
                    found,
                    "another configuration was published meanwhile, proposes the whole"
                );
                self.publish_whole(document).await
            }
            reply => accepted(&reply),
        }
    }

    async fn publish_whole(&self, document: Document) -> Result<Revision, Failure> {
        let publication = Publication::Whole(document);
        let at = clock::wall();
        self.change(Command::Publish { publication, at }).await
    }

    /// Gives the upstreams of a failure domain no new work. None: there is no such domain.
    /// An evacuation that is in force already changes nothing.
    pub async fn evacuate(&self, domain: Domain) -> Result<Option<Revision>, Failure> {
        if !self.knows(&domain).await {
            return Ok(None);
        }
        let at = clock::wall();
        self.change(Command::Evacuate { domain, at })
            .await
            .map(Some)
    }

    /// Gives the upstreams of an evacuated failure domain work again. None: there is no
    /// such domain. Without an evacuation nothing changes.
    pub async fn readmit(&self, domain: Domain) -> Result<Option<Revision>, Failure> {
        if !self.knows(&domain).await {
            return Ok(None);
        }
        let at = clock::wall();
        self.change(Command::Readmit { domain, at }).await.map(Some)
    }

    /// A replica that has stopped says so to what it is told next.
    async fn knows(&self, domain: &Domain) -> bool {
        if !self.domains.is_empty() {
            return self.domains.contains(domain);
        }
        let domain = domain.clone();
        let look = move |state: &Machine| evacuation::is_known(state.tables(), &domain);
        self.remote.look(look).await.unwrap_or(true)
    }

    /// The configuration in force, confirmed by a quorum.
    pub async fn document(&self) -> Result<Option<Document>, Failure> {
        let found = self.remote.read(|state| state.config().document.clone());
        self.outcome(found.await).await
    }

    /// The configuration as this replica last applied it, which may be old, and
    /// whether an instance is known there. `None` if the replica has stopped.
    pub async fn applied(&self, upstream: &Upstream) -> Option<Applied> {
        let upstream = upstream.clone();
        let look = move |state: &Machine| Applied {
            document: state.config().document.clone(),
            is_known: state.config().instances.contains_key(&upstream),
            instances: state.config().instances.len(),
        };
        self.remote.look(look).await.ok()
    }

    /// Takes a heartbeat. Gives whether the sender should come here with later ones: to
    /// a follower. The leader, which takes all that is new, would otherwise keep every
    /// server that it once entered.
    pub async fn beat(
        &self,
        upstream: Upstream,
        sequence: u64,
        instance: Instance,
    ) -> Result<bool, Failure> {
        let told = self.remote.beat(upstream, sequence, instance).await;
        match self.outcome(told).await? {
            Taken::Passed => return Ok(true),
            Taken::Decided(None) => {}
            Taken::Decided(Some(revision)) => self.in_force(revision).await,
        }
        Ok(false)
    }

    /// Takes the notice that an instance is gone.
    pub async fn withdraw(&self, upstream: Upstream) -> Result<(), Failure> {
        let told = self.remote.withdraw(upstream).await;
        let revision = self.outcome(told).await?;
        self.in_force(revision).await;
        Ok(())
    }

    /// The present time of this host.
    pub fn now(&self) -> Wall {
        clock::wall()
    }

    async fn change(&self, command: Command) -> Result<Revision, Failure> {
        let reply = self.remote.propose(command).await;
        accepted(&self.outcome(reply).await?)
    }

    async fn in_force(&self, revision: Revision) {
        let Some(node) = self.node.get() else {
            return;
        };
        if !node.in_force(revision, IN_FORCE_WAIT).await {
            let summary = node.summary();
            let behind = summary.laggards.iter();
            let behind = behind.map(|peer| format!("{}@{}", peer.host, peer.revision));
            tracing::warn!(
                revision = revision.0,
                lowest = summary.lowest.0,
                processes = summary.processes,
                sources = summary.sources,
                behind = behind.collect::<Vec<_>>().join(","),
                "acknowledged before all processes act on it"
            );
        }
    }

    async fn outcome<T>(&self, result: Result<T, Refusal>) -> Result<T, Failure> {
        let refusal = match result {
            Ok(value) => return Ok(value),
            Err(refusal) => refusal,
        };
        Err(match refusal.code {
            Code::NotLeader => Failure::NotLeader(self.leader().await),
            Code::StorageFailed => Failure::Storage,
            Code::LimitReached => Failure::Full,
            _ => Failure::NoQuorum,
        })
    }

    async fn leader(&self) -> Option<SocketAddr> {
        let status = self.remote.status().await.ok()?;
        let inner = status.leader?;
        Some(SocketAddr::new(inner.ip(), self.port))
    }
}

fn accepted(reply: &Reply) -> Result<Revision, Failure> {
    match reply {
        Reply::Accepted { revision } => Ok(*revision),
        reply if reply.code() == Some(Code::LimitReached) => Err(Failure::Full),
        _ => Err(Failure::NoQuorum),
    }
}
