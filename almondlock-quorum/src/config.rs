//! Settings of one group.

use std::time::Duration;

use crate::error::Error;

/// How a machine behaves. Shared and immutable; made by a [`Builder`].
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) group: u16,
    // Invariant: at least twice `heartbeat`, so that one lost heartbeat starts no election.
    pub(crate) election: Duration,
    pub(crate) heartbeat: Duration,
    pub(crate) batch: usize,
    pub(crate) window: usize,
    pub(crate) piece: usize,
    pub(crate) retain: u64,
    pub(crate) retain_bytes: usize,
    pub(crate) backlog: u64,
    pub(crate) seed: u64,
}

impl Config {
    /// Starts from the usual settings.
    pub fn builder() -> Builder {
        Builder {
            config: Config {
                group: 0,
                election: Duration::from_millis(500),
                heartbeat: Duration::from_millis(100),
                batch: 256 << 10,
                window: 32,
                piece: 256 << 10,
                retain: 4096,
                retain_bytes: 32 << 20,
                backlog: 65_536,
                seed: 0,
            },
        }
    }

    /// The group's number.
    pub fn group(&self) -> u16 {
        self.group
    }

    /// The shortest election timeout; the longest is twice that.
    pub fn election(&self) -> Duration {
        self.election
    }

    /// How often a leader that has nothing to send is heard.
    pub fn heartbeat(&self) -> Duration {
        self.heartbeat
    }

    /// How many entries before a snapshot are kept for those a little behind.
    pub fn retain(&self) -> u64 {
        self.retain
    }
}

/// Builds a [`Config`].
#[derive(Clone, Debug)]
pub struct Builder {
    config: Config,
}

impl Builder {
    /// The group's number, carried by each message.
    pub fn group(mut self, group: u16) -> Builder {
        self.config.group = group;
        self
    }

    /// The shortest election timeout.
    pub fn election(mut self, span: Duration) -> Builder {
        self.config.election = span;
        self
    }

    /// The time between heartbeats.
    pub fn heartbeat(mut self, span: Duration) -> Builder {
        self.config.heartbeat = span;
        self
    }

    /// The most payload bytes in one append.
    pub fn batch(mut self, bytes: usize) -> Builder {
        self.config.batch = bytes;
        self
    }

    /// The most appends to one replica that wait for their reply.
    pub fn window(mut self, appends: usize) -> Builder {
        self.config.window = appends;
        self
    }

    /// The most bytes of a snapshot in one message.
    pub fn piece(mut self, bytes: usize) -> Builder {
        self.config.piece = bytes;
        self
    }

    /// How many entries before a snapshot are kept in memory and on disk.
    pub fn retain(mut self, entries: u64) -> Builder {
        self.config.retain = entries;
        self
    }

    /// The most bytes of entries before a snapshot that are kept in memory.
    pub fn retain_bytes(mut self, bytes: usize) -> Builder {
        self.config.retain_bytes = bytes;
        self
    }

    /// The most entries that may wait for a quorum; more are refused.
    pub fn backlog(mut self, entries: u64) -> Builder {
        self.config.backlog = entries;
        self
    }

    /// Seeds the generator that spreads election timeouts. It must differ
    /// between replicas, or they time out together again and again.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.config.seed = seed;
        self
    }

    /// Checks the settings.
    pub fn build(self) -> Result<Config, Error> {
        let config = self.config;
        if config.heartbeat.is_zero() || config.election < config.heartbeat * 2 {
            return Err(Error::setting(
                "the election timeout must be at least two heartbeats, and a heartbeat not zero",
            ));
        }
        if config.batch == 0 || config.window == 0 || config.piece == 0 || config.backlog == 0 {
            return Err(Error::setting(
                "batch, window, piece and backlog can't be zero",
            ));
        }
        Ok(config)
    }
}
