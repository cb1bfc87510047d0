//! The entry role: where callers connect.

use std::net::SocketAddr;

use almondlock_entry::{
    server::{Builder, Server},
    shared,
};
use almondlock_intake::host::Host;
use almondlock_node::Handle;
use almondlock_policy::choice::Origin;
use almondlock_settings::{Entry, Settings};
use almondlock_telemetry::metrics::Metrics;
use anyhow::{Context, Result};

use crate::roles::{intake::limits, tls::tls};

/// Worker threads of an entry host at most. Each keeps sessions of its own, so
/// more threads cost more idle sessions at every sidecar.
const WORKERS_LIMIT: usize = 4;
/// Memory of the host for each worker thread. The allocator keeps freed memory for each
/// thread.
const WORKER_MEMORY: u64 = 64 << 20;

/// Starts the entry role.
pub(crate) fn start(
    settings: &Settings,
    role: &Entry,
    handle: Handle,
    replicas: Vec<SocketAddr>,
    metrics: Metrics,
    seed: u64,
) -> Result<Server> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let host = &settings.host;
    let memory = Host::detect(host.memory, host.descriptors).memory;
    let workers = usize::try_from(memory / WORKER_MEMORY).unwrap_or(usize::MAX);
    let mut intake = limits(host, &role.intake);
    // A body is copied for reading and sending in pieces, on several threads.
    if role.intake.body_memory.is_none() {
        intake.bodies.capacity /= 2;
    }
    let builder = Builder {
        config: shared::Config {
            body_limit: role.body_bytes,
            arrival: role.body_timeout,
            capacity: role.connections,
            intake,
            ..shared::Config::default()
        },
        listen: role.listen,
        admin: role.admin,
        tls: role.tls.as_ref().map(tls).transpose()?,
        header_timeout: role.header_timeout,
        workers: workers.clamp(1, cores.min(WORKERS_LIMIT)),
        replicas,
        home: Origin {
            host: host.name.clone(),
            domain: host.domain.clone(),
            region: host.region.clone(),
        },
        seed,
        notice: role.drain_delay,
        grace: role.drain_grace,
        metrics,
    };
    let listen = role.listen;
    builder
        .start(handle)
        .with_context(|| format!("listening for callers on {listen}"))
}
