//! What the process has, and the limits that follow from it.

use rustix::{
    process::{Resource, getrlimit},
    system::sysinfo,
};

use std::time::Duration;

use crate::{bodies, listener::Config};

/// Memory and descriptors of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Host {
    /// Bytes of memory.
    pub memory: u64,
    /// Open files and sockets at one time.
    pub descriptors: usize,
}

/// Limits of what callers make a process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bounds of the bodies of all requests.
    pub bodies: bodies::Config,
    /// Bounds of the bodies of answers that are collected before they are passed on.
    pub answers: bodies::Config,
    /// Connections that callers may hold at one time.
    pub connections: usize,
    /// Largest head of a request, in bytes.
    pub head: usize,
    /// Buffers of each connection in the kernel, in bytes: one for each direction.
    pub socket_buffer: usize,
    /// Requests in a row on one connection that may have another one behind them.
    pub pipelined: u32,
    /// Connections to a listener for readiness checks of its own.
    pub ready_connections: usize,
}

/// What settings say of the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Set {
    /// Goes before the memory for bodies that follows from the host's.
    pub body_memory: Option<u64>,
    /// Goes before the memory for answers that follows from the host's.
    pub answer_memory: Option<u64>,
    /// Goes before the number of connections that follows from the host, if it is lower.
    pub connections: Option<usize>,
    /// Largest head of a request, in bytes.
    pub head: usize,
    /// Buffers of each connection in the kernel, in bytes: one for each direction.
    pub socket_buffer: usize,
    /// Requests in a row on one connection that may have another one behind them.
    pub pipelined: u32,
    /// Pieces that a body may come in, besides one for each 16 bytes.
    pub body_pieces: usize,
    /// Time for which the rest of a refused body is read.
    pub discard_time: Duration,
    /// Connections to a listener for readiness checks of its own.
    pub ready_connections: usize,
}

/// Descriptors that are left to files and to connections between processes: this many, and
/// one in [`OWN_SHARE`] of the rest.
const OWN_DESCRIPTORS: usize = 200;
const OWN_SHARE: usize = 4;
/// Part of the memory that bodies may take: one in this many.
const BODY_SHARE: u64 = 4;
/// Part of the memory that answers may take: one in this many.
const ANSWER_SHARE: u64 = 8;
/// Part of the memory that reading a text may take: one in this many.
const READING_SHARE: u64 = 4;
/// Part of the memory that connections may take: one in this many.
const CONNECTION_SHARE: u64 = 3;
/// Fewest connections, whatever the host has.
const FEWEST: usize = 32;

impl Host {
    /// Returns what the system says. `memory` and `descriptors` go before it.
    pub fn detect(memory: Option<u64>, descriptors: Option<usize>) -> Host {
        let limit = getrlimit(Resource::Nofile).current;
        let limit = limit.and_then(|limit| usize::try_from(limit).ok());
        Host {
            memory: memory.unwrap_or_else(total_memory),
            descriptors: descriptors.or(limit).unwrap_or(usize::MAX),
        }
    }

    /// Returns the bytes that the bodies of all requests may take.
    pub const fn body_memory(self) -> u64 {
        self.memory / BODY_SHARE
    }

    /// Returns the bytes that reading a text may take.
    pub const fn reading_memory(self) -> u64 {
        self.memory / READING_SHARE
    }

    /// Returns the number of connections that callers may hold, of `cost` bytes each.
    pub fn connections(self, cost: usize) -> usize {
        let by_memory = self.memory / CONNECTION_SHARE / cost.max(1) as u64;
        let by_memory = usize::try_from(by_memory).unwrap_or(usize::MAX);
        let left = self.descriptors.saturating_sub(OWN_DESCRIPTORS);
        by_memory.min(left - left / OWN_SHARE).max(FEWEST)
    }
}

impl Limits {
    /// Returns the limits that follow from what a host has and from the settings.
    pub fn new(host: Host, set: &Set) -> Limits {
        let cost = Config::connection_cost(set.head, set.socket_buffer);
        let derived = host.connections(cost);
        Limits {
            bodies: bodies::Config {
                name: "requests",
                capacity: set.body_memory.unwrap_or(host.body_memory()),
                pieces: set.body_pieces,
                discard_time: set.discard_time,
            },
            answers: bodies::Config {
                name: "answers",
                capacity: set.answer_memory.unwrap_or(host.memory / ANSWER_SHARE),
                // An upstream chooses the pieces that it sends.
                pieces: usize::MAX,
                discard_time: set.discard_time,
            },
            connections: set.connections.map_or(derived, |set| set.min(derived)),
            head: set.head,
            socket_buffer: set.socket_buffer,
            pipelined: set.pipelined,
            ready_connections: set.ready_connections,
        }
    }
}

impl Default for Set {
    /// Returns the defaults of the settings.
    fn default() -> Set {
        let bodies = bodies::Config::new(0);
        Set {
            body_memory: None,
            answer_memory: None,
            connections: None,
            head: 32 * 1024,
            socket_buffer: 64 * 1024,
            pipelined: 32,
            body_pieces: bodies.pieces,
            discard_time: bodies.discard_time,
            ready_connections: 64,
        }
    }
}

impl Default for Limits {
    /// Returns the limits of a host with a GiB of memory and 4,096 descriptors.
    fn default() -> Limits {
        let host = Host {
            memory: 1 << 30,
            descriptors: 4096,
        };
        Limits::new(host, &Set::default())
    }
}

#[allow(clippy::useless_conversion)] // The field's type depends on the platform.
fn total_memory() -> u64 {
    let info = sysinfo();
    u64::from(info.totalram).saturating_mul(u64::from(info.mem_unit))
}
