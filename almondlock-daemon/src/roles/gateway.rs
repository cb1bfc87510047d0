//! The gateway role, in the dialect of the users' platform.

use almondlock_gateway::{
    budget,
    server::{self, Bounds, Config, Features, Server},
};
use almondlock_node::Handle;
use almondlock_platform::header::Dialect;
use almondlock_policy::budget::Bound;
use almondlock_settings::{Gateway, Settings};
use anyhow::{Context, Result};

use crate::roles::intake::limits;

/// Starts the role.
pub(crate) fn start(
    settings: &Settings,
    role: &Gateway,
    node: Handle,
    seed: u64,
) -> Result<Server> {
    let bounds = Bounds {
        max_config_age: role.oldest(),
        retries: budget::Config {
            bound: Bound {
                window: role.retry_window,
                ratio: role.retry_ratio(),
                slack: role.retry_slack,
            },
            min_hosts: role.retry_hosts,
            has_relays: !role.exchange.is_empty(),
        },
        memory_hold: role.memory_hold,
        slow_reader: role.slow_reader,
    };
    let features = Features {
        settling: role.settling,
        slot_admission: role.places,
        fair_shares: role.shares,
        observed_pace: role.observed_pace,
    };
    let mut intake = limits(&settings.host, &role.intake);
    intake.ready_connections = role.ready_connections;
    let config = Config {
        listen: role.listen,
        ready: role.ready,
        metrics: role.metrics,
        relays: role.exchange.clone(),
        domain: settings.host.domain.clone(),
        bounds,
        intake,
        features,
        seed,
        notice: role.notice(),
        grace: role.drain_time(),
    };
    server::start(config, Dialect::new(), node).context("starting the gateway")
}
