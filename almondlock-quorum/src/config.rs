//! Settings of a replica in one group.

use std::time::Duration;

use crate::error::Error;

/// The settings of a [`Machine`](crate::machine::Machine), immutable once built by a [`Builder`].
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) group: u16,
    // Invariant: at least twice `heartbeat_interval`, so that losing one heartbeat starts no
    // election.
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
    /// Returns a builder with the default settings.
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

    /// Returns the group's number.
    pub fn group(&self) -> u16 {
        self.group
    }

    /// Returns the shortest election timeout. The longest is twice that.
    pub fn election_timeout(&self) -> Duration {
        self.election_timeout
    }

    /// Returns the time between the heartbeats of a leader.
    pub fn heartbeat_interval(&self) -> Duration {
        self.heartbeat_interval
    }

    /// Returns the number of entries before a snapshot's end that are kept for replicas that lag.
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
    /// Sets the group's number, which each message carries on the wire.
    pub fn group(mut self, group: u16) -> Builder {
        self.config.group = group;
        self
    }

    /// Sets the shortest election timeout.
    pub fn election_timeout(mut self, span: Duration) -> Builder {
        self.config.election_timeout = span;
        self
    }

    /// Sets the time between heartbeats.
    pub fn heartbeat_interval(mut self, span: Duration) -> Builder {
        self.config.heartbeat_interval = span;
        self
    }

    /// Sets the maximum number of payload bytes in one append.
    pub fn append_bytes(mut self, bytes: usize) -> Builder {
        self.config.append_bytes = bytes;
        self
    }

    /// Sets the maximum number of unanswered appends to one replica.
    pub fn append_window(mut self, appends: usize) -> Builder {
        self.config.append_window = appends;
        self
    }

    /// Sets the maximum number of bytes of a snapshot in one message.
    pub fn piece_bytes(mut self, bytes: usize) -> Builder {
        self.config.piece_bytes = bytes;
        self
    }

    /// Sets the number of entries before a snapshot's end that are kept in memory and on disk.
    pub fn retain_entries(mut self, entries: u64) -> Builder {
        self.config.retain_entries = entries;
        self
    }

    /// Sets the number of payload bytes above which entries that a snapshot covers are dropped
    /// from memory.
    pub fn retain_bytes(mut self, bytes: usize) -> Builder {
        self.config.retain_bytes = bytes;
        self
    }

    /// Sets the maximum number of entries that wait to be committed. Further proposals are refused.
    pub fn max_uncommitted(mut self, entries: u64) -> Builder {
        self.config.max_uncommitted = entries;
        self
    }

    /// Sets the seed of the generator that randomises election timeouts. It is combined with the
    /// replica's identity, so that replicas don't time out together.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.config.seed = seed;
        self
    }

    /// Checks the settings and builds the [`Config`].
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
