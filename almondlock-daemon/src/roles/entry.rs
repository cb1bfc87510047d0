//! The entry role: where callers connect.

use std::net::SocketAddr;

use almondlock_entry::{
    server::{Builder, Server},
    shared,
};
use almondlock_node::Handle;
use almondlock_policy::choice::Origin;
use almondlock_settings::{Entry, Settings};
use almondlock_telemetry::metrics::Metrics;
use anyhow::{Context, Result};

use crate::roles::{intake::limits, tls::tls};

/// Worker threads of an entry host at most. Each keeps sessions of its own, so
/// more threads cost more idle sessions at every sidecar.
const WORKERS_LIMIT: usize = 4;

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
    let builder = Builder {
        config: shared::Config {
            body_limit: role.body_bytes,
            arrival: role.body_timeout,
            capacity: role.connections,
            intake: limits(host, &role.intake),
            ..shared::Config::default()
        },
        listen: role.listen,
        admin: role.admin,
        tls: role.tls.as_ref().map(tls).transpose()?,
        header_timeout: role.header_timeout,
        workers: cores.min(WORKERS_LIMIT),
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
