//! What the process has, and the limits that follow from it.

use rustix::{
    process::{Resource, getrlimit},
    system::sysinfo,
};

use crate::listener::Config;

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
    /// Bytes that the bodies of all requests may take.
    pub body_memory: u64,
    /// Connections that callers may hold at one time.
    pub connections: usize,
    /// Largest head of a request, in bytes.
    pub head: usize,
    /// Buffers of each connection in the kernel, in bytes: one for each direction.
    pub socket_buffer: usize,
    /// Requests in a row on one connection that may have another one behind them.
    pub pipelined: u32,
}

/// Descriptors that are left to files and to connections between processes: this many, and
/// one in [`OWN_SHARE`] of the rest.
const OWN_DESCRIPTORS: usize = 200;
const OWN_SHARE: usize = 4;
/// Part of the memory that bodies may take: one in this many.
const BODY_SHARE: u64 = 4;
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
    /// Returns the limits that follow from what a host has. A `body_memory` that is set goes
    /// before them, and `connections` if it is lower.
    pub fn new(
        host: Host,
        (head, socket_buffer, pipelined): (usize, usize, u32),
        body_memory: Option<u64>,
        connections: Option<usize>,
    ) -> Limits {
        let derived = host.connections(Config::connection_cost(head, socket_buffer));
        Limits {
            body_memory: body_memory.unwrap_or(host.body_memory()),
            connections: connections.map_or(derived, |set| set.min(derived)),
            head,
            socket_buffer,
            pipelined,
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
        Limits::new(host, (32 * 1024, 64 * 1024, 32), None, None)
    }
}

#[allow(clippy::useless_conversion)] // The field's type depends on the platform.
fn total_memory() -> u64 {
    let info = sysinfo();
    u64::from(info.totalram).saturating_mul(u64::from(info.mem_unit))
}
