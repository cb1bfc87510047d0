//! Settings of one group.

use std::time::Duration;

use crate::error::Error;

/// How a machine behaves. Shared and immutable; made by a [`Builder`].
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) group: u16,
    // Invariant: at least twice `heartbeat`, so that one lost heartbeat starts no election.
    pub(crate) election_timeout: Duration,
    pub(crate) heartbeat_interval: Duration,
    pub(crate) append_bytes: usize,
    pub(crate) append_window: usize,
    pub(crate) piece_bytes: usize,
    pub(crate) retain_entries: u64,
    pub(crate) retain_bytes: usize,
    pub(crate) max_uncommitted: u64,
    pub(crate) seed: u64,
}

impl Config {
    /// Starts from the usual settings.
    pub fn builder() -> Builder {
        Builder {
            config: Config {
                group: 0,
                election_timeout: Duration::from_millis(500),
                heartbeat_interval: Duration::from_millis(100),
                append_bytes: 256 << 10,
                append_window: 32,
                piece_bytes: 256 << 10,
                retain_entries: 4096,
                retain_bytes: 32 << 20,
                max_uncommitted: 65_536,
                seed: 0,
            },
        }
    }

    /// The group's number.
    pub fn group(&self) -> u16 {
        self.group
    }

    /// The shortest election timeout; the longest is twice that.
    pub fn election_timeout(&self) -> Duration {
        self.election_timeout
    }

    /// How often a leader that has nothing to send is heard.
    pub fn heartbeat_interval(&self) -> Duration {
        self.heartbeat_interval
    }

    /// How many entries before a snapshot are kept for those a little behind.
    pub fn retain_entries(&self) -> u64 {
        self.retain_entries
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
    pub fn election_timeout(mut self, span: Duration) -> Builder {
        self.config.election_timeout = span;
        self
    }

    /// The time between heartbeats.
    pub fn heartbeat_interval(mut self, span: Duration) -> Builder {
        self.config.heartbeat_interval = span;
        self
    }

    /// The most payload bytes in one append.
    pub fn append_bytes(mut self, bytes: usize) -> Builder {
        self.config.append_bytes = bytes;
        self
    }

    /// The most appends to one replica that wait for their reply.
    pub fn append_window(mut self, appends: usize) -> Builder {
        self.config.append_window = appends;
        self
    }

    /// The most bytes of a snapshot in one message.
    pub fn piece_bytes(mut self, bytes: usize) -> Builder {
        self.config.piece_bytes = bytes;
        self
    }

    /// How many entries before a snapshot are kept in memory and on disk.
    pub fn retain_entries(mut self, entries: u64) -> Builder {
        self.config.retain_entries = entries;
        self
    }

    /// The most bytes of entries before a snapshot that are kept in memory.
    pub fn retain_bytes(mut self, bytes: usize) -> Builder {
        self.config.retain_bytes = bytes;
        self
    }

    /// The most entries that may wait for a quorum; more are refused.
    pub fn max_uncommitted(mut self, entries: u64) -> Builder {
        self.config.max_uncommitted = entries;
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
        if config.heartbeat_interval.is_zero()
            || config.election_timeout < config.heartbeat_interval * 2
        {
            return Err(Error::setting(
                "the election timeout must be at least two heartbeats, and a heartbeat not zero",
            ));
        }
        if config.append_bytes == 0
            || config.append_window == 0
            || config.piece_bytes == 0
            || config.max_uncommitted == 0
        {
            return Err(Error::setting(
                "append_bytes, append_window, piece_bytes and max_uncommitted must not be zero",
            ));
        }
        Ok(config)
    }
}
