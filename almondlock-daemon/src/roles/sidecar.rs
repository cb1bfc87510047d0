//! The sidecar role: where upstreams announce themselves.

use std::net::{SocketAddr, TcpListener};

use almondlock_base::id::Incarnation;
use almondlock_node::{Handle, Sidecars, replicas::Replicas};
use almondlock_policy::queue;
use almondlock_settings::{Order, Settings, Sidecar};
use almondlock_sidecar::{
    announce::{self, Environment, Registry},
    stop::Stop,
};
use almondlock_telemetry::metrics::Metrics;
use anyhow::{Context, Result};

/// Where the sidecar's host stands, and how work is ordered there.
pub(crate) fn site(
    settings: &Settings,
    role: &Sidecar,
    incarnation: Incarnation,
    inner: SocketAddr,
    (metrics, stop): (Metrics, Stop),
) -> Environment {
    let order = match role.order {
        Order::Short => queue::Config::short(),
        Order::Even => queue::Config::even(),
        Order::Fifo => queue::Config::fifo(),
    };
    let reserve = match role.order {
        Order::Fifo => 0,
        Order::Short | Order::Even => u32::from(role.short_reserve),
    };
    Environment {
        host: settings.host.name.clone(),
        domain: settings.host.domain.clone(),
        region: settings.host.region.clone(),
        incarnation,
        inner_address: inner,
        queue: queue::Config {
            reserve_percent: reserve,
            max_waiting: role.waiting,
            ..order
        },
        memory_percent: role.memory_share,
        max_running: u32::try_from(role.running).unwrap_or(u32::MAX),
        metrics,
        stop,
    }
}

/// Starts the listener for announcements; gives its address.
pub(crate) fn start(
    role: &Sidecar,
    site: Environment,
    handle: Handle,
    replicas: Replicas,
    sidecars: Sidecars,
) -> Result<(SocketAddr, ntex::server::Server)> {
    let listener = TcpListener::bind(role.announce)
        .with_context(|| format!("listening for announcements on {}", role.announce))?;
    let address = listener.local_addr().context("the listener's address")?;
    let registry = Registry::new(site, handle, replicas, sidecars);
    let server = announce::serve(listener, registry).context("serving announcements")?;
    Ok((address, server))
}
