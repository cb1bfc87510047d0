//! Settings of one replica.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use almondlock_base::id::{Domain, Host};
use almondlock_quorum::config as quorum;
use almondlock_task::Owner;
use almondlock_transport::Security;

/// A replica that the group starts with, as every replica's settings name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Initial {
    /// Its host's name.
    pub name: Host,
    /// Its inner listener.
    pub address: SocketAddr,
}

/// What a replica is told at its start. Made by a [`Builder`].
#[derive(Clone, Debug)]
pub struct Config {
    pub(super) name: Host,
    pub(super) address: SocketAddr,
    pub(super) domain: Domain,
    pub(super) folder: PathBuf,
    pub(super) initial: Vec<Initial>,
    pub(super) quorum: quorum::Config,
    pub(super) patience: Duration,
    pub(super) snapshot: u64,
    pub(super) lease: Duration,
    pub(super) instance_lease: Duration,
    pub(super) reinstates: bool,
    pub(super) duty_pause: Duration,
    pub(super) repairs: bool,
    pub(super) stop_time: Duration,
    pub(super) founds: bool,
    pub(super) security: Security,
    pub(super) owner: Owner,
}

impl Config {
    /// Settings of the replica on this host, which other processes reach at
    /// `address`, in this failure domain, with this data folder.
    pub fn builder<P>(name: Host, address: SocketAddr, domain: Domain, folder: P) -> Builder
    where
        P: Into<PathBuf>,
    {
        Builder {
            config: Config {
                name,
                address,
                domain,
                folder: folder.into(),
                initial: Vec::new(),
                quorum: default_quorum(),
                patience: Duration::from_secs(5),
                snapshot: 20_000,
                lease: Duration::from_secs(30),
                instance_lease: Duration::from_secs(30),
                reinstates: true,
                duty_pause: Duration::from_secs(1),
                repairs: false,
                stop_time: Duration::from_secs(5),
                founds: true,
                security: Security::Plain,
                owner: Owner::default(),
            },
        }
    }

    /// The data folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

fn default_quorum() -> quorum::Config {
    // The usual settings keep the builder's own rules; election timeouts
    // differ by the disk's identity, which is mixed into the seed.
    quorum::Config::builder()
        .build()
        .unwrap_or_else(|e| unreachable!("{e}"))
}

/// Builds a [`Config`].
#[derive(Clone, Debug)]
pub struct Builder {
    config: Config,
}

impl Builder {
    /// The replicas that the group starts with. The same on each of them; a
    /// later replica is given them too, as those to ask.
    pub fn initial<I>(mut self, members: I) -> Builder
    where
        I: IntoIterator<Item = Initial>,
    {
        self.config.initial = members.into_iter().collect();
        self
    }

    /// Settings of the log.
    pub fn quorum(mut self, config: quorum::Config) -> Builder {
        self.config.quorum = config;
        self
    }

    /// How long a proposal or a read is waited for.
    pub fn patience(mut self, span: Duration) -> Builder {
        self.config.patience = span;
        self
    }

    /// How many entries are applied between two snapshots.
    pub fn snapshot(mut self, entries: u64) -> Builder {
        self.config.snapshot = entries;
        self
    }

    /// How long an upstream stays registered without announcing itself again.
    pub fn lease(mut self, span: Duration) -> Builder {
        self.config.lease = span;
        self
    }

    /// How long an instance that is called without a sidecar stays enrolled
    /// without a heartbeat.
    pub fn instance_lease(mut self, span: Duration) -> Builder {
        self.config.instance_lease = span;
        self
    }

    /// How long a replica that is told to stop waits at most until the group has agreed to go on
    /// without it. It waits only if it may be exchanged for a spare.
    pub fn stop_time(mut self, span: Duration) -> Builder {
        self.config.stop_time = span;
        self
    }

    /// Whether an instance whose lease ended may be reinstated by a later heartbeat. Replicas of
    /// earlier versions stop at the commands that this takes.
    pub fn reinstates(mut self, on: bool) -> Builder {
        self.config.reinstates = on;
        self
    }

    /// How often a leader confirms that it still leads. Processes below hold
    /// their configuration for current from such a moment on.
    pub fn duty_pause(mut self, span: Duration) -> Builder {
        self.config.duty_pause = span;
        self
    }

    /// Whether the leader changes the membership by itself: takes in replicas
    /// that ask and puts out those they come in place of. Off, operators do it.
    pub fn repairs(mut self, on: bool) -> Builder {
        self.config.repairs = on;
        self
    }

    /// Whether this replica may begin a group. To be off on every start after
    /// the system's first one.
    pub fn founds(mut self, on: bool) -> Builder {
        self.config.founds = on;
        self
    }

    /// Owner of the process's tasks: the same as the node's.
    pub fn owner(mut self, owner: Owner) -> Builder {
        self.config.owner = owner;
        self
    }

    /// What links to other replicas are wrapped in: the same as the node's.
    pub fn security(mut self, security: Security) -> Builder {
        self.config.security = security;
        self
    }

    /// The settings.
    pub fn build(self) -> Config {
        self.config
    }
}
