//! What the process has, and the limits that follow from it.

use rustix::{
    process::{Resource, getrlimit},
    system::sysinfo,
};

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
}

/// Part of the memory that bodies may take: one in this many.
const BODY_SHARE: u64 = 4;

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
}

impl Limits {
    /// Returns the limits that follow from what a host has. A `body_memory` that is set goes
    /// before them.
    pub fn new(host: Host, body_memory: Option<u64>) -> Limits {
        Limits {
            body_memory: body_memory.unwrap_or(host.body_memory()),
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
        Limits::new(host, None)
    }
}

#[allow(clippy::useless_conversion)] // The field's type depends on the platform.
fn total_memory() -> u64 {
    let info = sysinfo();
    u64::from(info.totalram).saturating_mul(u64::from(info.mem_unit))
}
