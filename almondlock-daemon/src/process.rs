//! One process with the roles that its settings give.
//!
//! Order of the start: the replica first, since the node offers its interface;
//! then the node; then the roles that fetch their configuration through it. The
//! start order of different processes doesn't matter.

use std::{future::Future, net::SocketAddr, time::Duration};

use almondlock_base::id::Incarnation;
use almondlock_entry::server::Server;
use almondlock_gateway::server as gateway_server;
use almondlock_node::{Config, Node, Pace, Parts, Sidecars, Vouch, clock, links::Links};
use almondlock_node::{Handle, replicas::Replicas};
use almondlock_settings::Settings;
use almondlock_sidecar::stop::Stop;
use almondlock_spread::view::View;
use almondlock_task::{Failure, Owner, Panics};
use almondlock_telemetry::metrics::{self, Metrics};
use almondlock_transport::Security;
use anyhow::{Context, Result};
use tokio::time::timeout;

use crate::{
    roles::{control::Control, entry, gateway, sidecar},
    signal,
};

/// Longest time that a process takes to end once it lacks a task: more than the usual time for
/// answers in progress.
const ABANDON_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs a future on this thread's runtime.
pub(crate) fn block_on<F, T>(work: F) -> T
where
    F: Future<Output = T> + 'static,
    T: 'static,
{
    ntex::rt::System::new("almondlockd", ntex::rt::DefaultRuntime).block_on(work)
}

/// A running process.
pub struct Process {
    owner: Owner,
    node: Node,
    entry: Option<Server>,
    gateway: Option<gateway_server::Server>,
    control: Option<Control>,
    announce: Option<(SocketAddr, ntex::server::Server)>,
    // Of the sidecars, and how long their running work may take on a stop.
    stop: Stop,
    grace: Duration,
}

/// A number that no other start of any process has drawn.
pub(crate) fn random() -> Result<u64> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).context("drawing a random number")?;
    Ok(u64::from_le_bytes(bytes))
}

fn security(settings: &Settings) -> Result<Security> {
    match &settings.security {
        None => Ok(Security::Plain),
        Some(files) => Security::load(&files.ca, &files.certificate, &files.key)
            .context("reading the certificates of [security]"),
    }
}

impl Process {
    /// Starts all roles.
    pub async fn start(settings: &Settings) -> Result<Process> {
        let owner = Owner::default();
        let started = Process::start_owned(settings, owner.clone()).await;
        if started.is_err() {
            // The tasks that were started end with the process.
            owner.stop();
        }
        started
    }

    async fn start_owned(settings: &Settings, owner: Owner) -> Result<Process> {
        let view = View::new();
        let incarnation = Incarnation::new(clock::wall(), random()?);
        let vouch = Vouch::new();
        let security = security(settings)?;
        let control = match &settings.replica {
            Some(replica) => {
                let shared = (security.clone(), owner.clone());
                Some(Control::start(settings, replica, &view, &vouch, shared)?)
            }
            None => None,
        };
        let sidecars = Sidecars::default();
        let parts = Parts {
            sidecars: sidecars.clone(),
            control: control.as_ref().map(Control::client),
            is_source: control.is_some(),
            vouch: control.is_some().then_some(vouch),
            owner: owner.clone(),
        };
        let host = &settings.host;
        let config = Config {
            host: host.name.clone(),
            domain: host.domain.clone(),
            region: host.region.clone(),
            incarnation,
            listen: host.listen,
            seeds: host.seeds.clone(),
            security,
            pace: pace(host),
        };
        let node = Node::start(config, view, parts)
            .await
            .with_context(|| format!("listening on {}", host.listen))?;
        if let Some(control) = &control {
            control.attach(node.handle().clone());
        }
        let mut process = Process {
            owner,
            node,
            entry: None,
            gateway: None,
            control,
            announce: None,
            stop: Stop::default(),
            grace: Duration::ZERO,
        };
        process.start_roles(settings, incarnation, sidecars)?;
        tracing::info!(host = %host.name, inner = %process.node.address(), "started");
        Ok(process)
    }

    fn start_roles(
        &mut self,
        settings: &Settings,
        incarnation: Incarnation,
        sidecars: Sidecars,
    ) -> Result<()> {
        let handle = self.node.handle().clone();
        let replicas = replica_addresses(settings);
        let metrics = Metrics::open(&metrics::Config {
            statsd: settings.metrics.statsd,
            prefix: settings.metrics.prefix.clone(),
        })
        .context("opening the metrics socket")?;
        let counting = count_panics(metrics.clone());
        self.owner.spawn("panic-count", counting);
        if let Some(role) = &settings.sidecar {
            let client = Replicas::new(Links::new(handle.clone()), replicas.clone());
            let inner = self.node.address();
            let site = sidecar::site(
                settings,
                role,
                incarnation,
                inner,
                (metrics.clone(), self.stop.clone()),
            );
            self.grace = role.drain_grace;
            let started = sidecar::start(role, site, handle.clone(), client, sidecars)?;
            self.announce = Some(started);
        }
        if let Some(role) = &settings.entry {
            let seed = random()?;
            self.entry = Some(entry::start(
                settings, role, handle, replicas, metrics, seed,
            )?);
        }
        if let Some(role) = &settings.gateway {
            let node = self.node.handle().clone();
            self.gateway = Some(gateway::start(settings, role, node, random()?)?);
        }
        Ok(())
    }

    /// The node's handle.
    pub fn handle(&self) -> &Handle {
        self.node.handle()
    }

    /// The inner listener's address.
    pub fn inner(&self) -> SocketAddr {
        self.node.address()
    }

    /// Where upstreams announce themselves.
    pub fn announce(&self) -> Option<SocketAddr> {
        self.announce.as_ref().map(|(address, _)| *address)
    }

    /// The entry role.
    pub fn entry(&self) -> Option<&Server> {
        self.entry.as_ref()
    }

    /// The control role.
    pub(crate) fn control(&self) -> Option<&Control> {
        self.control.as_ref()
    }

    /// Waits for the order to stop, or until the replica can't go on, and
    /// stops gracefully. Fails when a task has ended that the process can't do without; its
    /// supervisor starts it again.
    pub async fn wait(self) -> Result<()> {
        let failed = async {
            match &self.control {
                Some(control) => control.stopped().await,
                None => std::future::pending().await,
            }
        };
        self.owner.spawn("hang-ups", signal::hang_up());
        let result = tokio::select! {
            failure = self.owner.failed() => {
                self.abandon(failure).await;
                return Err(anyhow::Error::new(failure).context("the process can't go on"));
            }
            stopped = signal::stop() => stopped.context("waiting for signals"),
            refusal = failed => Err(anyhow::Error::new(refusal).context("the replica stopped")),
        };
        self.stop().await;
        result
    }

    /// Ends a process that lacks a task. The replica stops at once, since what is left of it
    /// must not vote; callers' answers in progress finish.
    async fn abandon(self, failure: Failure) {
        tracing::error!(task = failure.task, end = %failure.end, "the process ends");
        self.owner.stop();
        if let Some(control) = &self.control {
            control.abandon();
        }
        let entry = async {
            if let Some(entry) = self.entry {
                entry.abandon().await;
            }
        };
        let gateway = async {
            if let Some(gateway) = self.gateway {
                gateway.abandon().await;
            }
        };
        let attempts = async {
            if self.announce.is_some() {
                let left = self.stop.drain(self.grace).await;
                tracing::info!(left, "attempts drained");
            }
        };
        let ends = async { tokio::join!(entry, gateway, attempts) };
        // Each of them keeps its own bound, unless the task that ended was a part of it.
        if timeout(ABANDON_TIMEOUT, ends).await.is_err() {
            tracing::warn!("ending with work in progress");
        }
    }

    /// Stops gracefully: answers in progress finish first.
    pub async fn stop(self) {
        tracing::info!("stopping");
        self.owner.stop();
        if let Some(entry) = self.entry {
            entry.stop().await;
        }
        if let Some(gateway) = self.gateway {
            gateway.stop().await;
        }
        if let Some((_, server)) = self.announce {
            let left = self.stop.drain(self.grace).await;
            if left > 0 {
                tracing::warn!(left, "stopping with work in progress");
            }
            server.stop(true).await;
        }
        if let Some(control) = self.control {
            control.stop().await;
        }
        self.node.stop().await;
        tracing::info!("stopped");
    }
}

/// Counts panics in the metrics as they come.
async fn count_panics(metrics: Metrics) {
    let mut panics = almondlock_task::panics();
    let mut counted = Panics::default();
    loop {
        let all = panics.borrow_and_update().clone();
        for (task, count) in &all {
            let before = counted.get(task).copied().unwrap_or_default();
            metrics.panics(task, count - before);
        }
        counted = all;
        if panics.changed().await.is_err() {
            return;
        }
    }
}

/// A silent parent is left after twice the time that it may hold an answer. An
/// answer as old as several levels of the tree make it is no reason to leave.
fn pace(host: &almondlock_settings::Host) -> Pace {
    let usual = Pace::default();
    Pace {
        hold: host.follow,
        silence: host.follow.min(usual.silence),
        stale: (host.follow * 5).min(usual.stale),
        search: (host.follow / 2).min(usual.search),
    }
}

/// Where claims, blame and announcements go.
fn replica_addresses(settings: &Settings) -> Vec<SocketAddr> {
    let members = settings.replica.iter().flat_map(|replica| &replica.members);
    let mut addresses: Vec<SocketAddr> = members.map(|member| member.address).collect();
    addresses.extend(&settings.host.seeds);
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}
