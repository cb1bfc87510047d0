//! The control role: the replica, operators' listener, and plans.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use crate::roles::tls::tls;
use almondlock_base::id::Host;
use almondlock_control::{
    admin,
    backend::{Admins, Operated},
    directory::Directory,
    driver,
    replica::{Config, Initial, Refusal, Replica},
};
use almondlock_gateway::exchange;
use almondlock_intake::{
    bodies::{self, Bodies},
    host::Host as Machine,
    reading::Reading,
};
use almondlock_node::{Handle, Vouch, clock};
use almondlock_platform::listener::{self, Intake};
use almondlock_settings::Settings;
use almondlock_spread::view::View;
use almondlock_state::{
    command::Command,
    operator::{Operator, Role},
    replica as members,
};
use almondlock_task::Owner;
use almondlock_telemetry::figures;
use almondlock_transport::{Security, listen};
use almondlock_wire::almondlock_capnp::control;
use anyhow::{Context, Result};
use tokio::{
    net::UdpSocket,
    time::{Duration, sleep, timeout},
};

/// The name of the operator whose key the settings give.
const FIRST_OPERATOR: &str = "first";
/// Pause between two tries to seed the state.
const SEED_PAUSE: Duration = Duration::from_millis(200);

/// How long calls in progress may take to end on a stop. They take milliseconds while there is
/// a quorum.
const CALLS_END: Duration = Duration::from_secs(2);

/// A running control role.
pub(crate) struct Control {
    replica: Replica,
    operated: Operated,
    admin: ntex::server::Server,
    directory: Option<(Directory, ntex::server::Server)>,
    figures: Option<ntex::server::Server>,
}

impl Control {
    /// Starts the replica and what belongs to it.
    pub(crate) fn start(
        settings: &Settings,
        role: &almondlock_settings::Replica,
        view: &View,
        vouch: &Vouch,
        (security, owner): (Security, Owner),
    ) -> Result<Control> {
        let host = &settings.host;
        let folder = host.data.clone().context("a replica needs [host] data")?;
        let mut config =
            Config::builder(host.name.clone(), host.listen, host.domain.clone(), folder)
                .initial(initial(settings, role)?)
                .security(security)
                .owner(owner.clone())
                .founds(role.founds)
                .repairs(role.repairs)
                .stop_time(role.exchange_time());
        if let Some(directory) = &settings.directory {
            config = config
                .instance_lease(directory.lease)
                .reinstates(directory.reinstate)
                .duty_pause(host.follow);
        }
        let config = config.build();
        let replica =
            Replica::start(config, view.clone(), vouch.clone()).context("starting the replica")?;
        let listener = listen::bind(role.admin)
            .with_context(|| format!("listening for operators on {}", role.admin))?;
        let admins: Admins = role.members.iter().map(|m| (m.address, m.admin)).collect();
        let operated = Operated::new(replica.remote(), view.clone(), admins);
        let admin = match &role.tls {
            Some(files) => admin::serve_tls(listener, operated.clone(), tls(files)?),
            None => admin::serve(listener, operated.clone()),
        };
        let admin = admin.context("serving operators")?;
        let intake = (settings.directory.as_ref()).map(|directory| intake(directory, host));
        let directory = match settings.directory.as_ref().zip(intake.clone()) {
            Some((directory, intake)) => {
                let parts = (&replica, intake);
                Some(serve_directory(directory, host, parts, &owner)?)
            }
            None => None,
        };
        let figures = match role.metrics {
            Some(address) => Some(serve_figures(address, &replica, intake)?),
            None => None,
        };
        owner.spawn("operators-listener", admin.clone());
        if let Some((_, server)) = &directory {
            owner.spawn("directory-listener", server.clone());
        }
        if let Some(server) = &figures {
            owner.spawn("metrics-listener", server.clone());
        }
        owner.spawn("plan-driver", driver::run(replica.clone()));
        owner.spawn_job("seed", seed(replica.clone(), role.clone()));
        Ok(Control {
            replica,
            operated,
            admin,
            directory,
            figures,
        })
    }

    /// The interface that the node offers.
    pub(crate) fn client(&self) -> control::Client {
        self.replica.control_client()
    }

    /// The node runs: operators are told what it knows of all processes.
    pub(crate) fn attach(&self, node: Handle) {
        if let Some((directory, _)) = &self.directory {
            directory.attach(node.clone());
        }
        self.operated.attach(node);
    }

    /// The replica.
    pub(crate) fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Waits until the replica can't go on.
    pub(crate) async fn stopped(&self) -> Refusal {
        self.replica.stopped().await
    }

    /// Stops at once, as a crash would: what is left of the replica can't be trusted.
    pub(crate) fn abandon(&self) {
        self.replica.kill();
    }

    /// Leaves the group, stops serving, then stops the replica.
    ///
    /// Others take the place of a replica that leaves, so they are told before calls in progress
    /// end. Without a quorum calls wait for one for seconds, so the wait for them is bounded.
    pub(crate) async fn stop(self) {
        self.replica.leave().await;
        let directory = async {
            if let Some((_, server)) = &self.directory {
                server.stop(true).await;
            }
        };
        let figures = async {
            if let Some(server) = &self.figures {
                server.stop(false).await;
            }
        };
        let stops = async { tokio::join!(directory, figures, self.admin.stop(true)) };
        if timeout(CALLS_END, stops).await.is_err() {
            tracing::warn!("stopping with calls in progress");
        }
        self.replica.stop().await;
    }
}

/// Returns the bounds on what callers of the listener for publications make it hold.
fn intake(directory: &almondlock_settings::Directory, host: &almondlock_settings::Host) -> Intake {
    let machine = Machine::detect(host.memory, host.descriptors);
    let body_memory = directory.body_memory.unwrap_or(machine.body_memory());
    let reading_memory = directory.reading_memory.unwrap_or(machine.reading_memory());
    tracing::info!(body_memory, reading_memory, "limits for publications");
    Intake {
        bodies: Bodies::new(bodies::Config {
            name: "publications",
            capacity: body_memory,
            pieces: directory.body_pieces,
            discard_time: directory.discard_time,
        }),
        reading: Arc::new(Reading::new(reading_memory)),
    }
}

/// Serves how the replica stands, also without a leader.
fn serve_figures(
    address: SocketAddr,
    replica: &Replica,
    intake: Option<Intake>,
) -> Result<ntex::server::Server> {
    let remote = replica.remote();
    let text = move || {
        let remote = remote.clone();
        let intake = intake.as_ref().map(Intake::figures);
        async move {
            let status = remote.status().await.ok()?;
            let intake = intake.unwrap_or_default();
            Some(status.figures() + &intake + &almondlock_task::figures())
        }
    };
    figures::serve(address, text).with_context(|| format!("serving figures on {address}"))
}

/// Who the group starts with: those named, or else the seeds, each by its IP
/// address.
fn initial(settings: &Settings, role: &almondlock_settings::Replica) -> Result<Vec<Initial>> {
    if !role.members.is_empty() {
        let members = role.members.iter().map(|member| Initial {
            name: member.name.clone(),
            address: member.address,
        });
        return Ok(members.collect());
    }
    let seeds = settings.host.seeds.iter().map(|seed| {
        let name = Host::new(&seed.ip().to_string()).context("naming a seed")?;
        Ok(Initial {
            name,
            address: *seed,
        })
    });
    seeds.collect()
}

/// Listens for publications and heartbeats, and for entry hosts' loads.
fn serve_directory(
    settings: &almondlock_settings::Directory,
    host: &almondlock_settings::Host,
    (replica, intake): (&Replica, Intake),
    owner: &Owner,
) -> Result<(Directory, ntex::server::Server)> {
    let address = settings.listen;
    let listener = listen::bind(address)
        .with_context(|| format!("listening for publications on {address}"))?;
    let directory =
        Directory::new(replica.remote(), address.port(), &settings.domains).deltas(settings.deltas);
    tracing::info!(deltas = settings.deltas, "directory begins");
    let server =
        listener::serve(listener, directory.clone(), intake).context("serving publications")?;
    if let Some(exchange) = settings.exchange {
        let socket = std::net::UdpSocket::bind(exchange)
            .with_context(|| format!("listening for loads on {exchange}"))?;
        socket
            .set_nonblocking(true)
            .context("setting up the socket for loads")?;
        let socket = UdpSocket::from_std(socket).context("setting up the socket for loads")?;
        let (domain, replica) = (host.domain.clone(), replica.clone());
        // There is a relay beside each replica.
        let relays = move || {
            let count = replica.state(|machine| machine.config().sources.len());
            u32::try_from(count).unwrap_or(u32::MAX)
        };
        owner.spawn("load-relay", async move {
            if let Err(error) = exchange::run_relay(socket, domain, relays).await {
                tracing::error!(%error, "loads are no longer passed on");
            }
        });
    }
    Ok((directory, server))
}

/// The first leader puts the first operator and the replicas into the state.
/// The command does nothing in a state that has an operator.
async fn seed(replica: Replica, role: almondlock_settings::Replica) {
    let Some(key) = role.operator_key.clone() else {
        return;
    };
    loop {
        sleep(SEED_PAUSE).await;
        if replica.state(|machine| !machine.tables().operators.is_empty()) {
            return;
        }
        if !replica.is_leader() {
            continue;
        }
        let operator = Operator {
            key: key.to_lowercase(),
            role: Role::Admin,
        };
        let command = Command::Seed {
            operators: BTreeMap::from([(FIRST_OPERATOR.to_owned(), operator)]),
            replicas: known_replicas(&replica, &role),
            at: clock::wall(),
        };
        if let Err(refusal) = replica.propose(command).await {
            tracing::debug!(%refusal, "the state was not seeded yet");
        }
    }
}

fn known_replicas(
    replica: &Replica,
    role: &almondlock_settings::Replica,
) -> BTreeMap<members::Id, members::Replica> {
    let status = replica.status();
    let known = status.members.into_iter().filter_map(|peer| {
        let member = role.members.iter().find(|m| m.address == peer.address)?;
        let known = members::Replica {
            address: peer.address,
            admin: member.admin,
            domain: peer.domain,
        };
        Some((peer.id.0, known))
    });
    known.collect()
}
