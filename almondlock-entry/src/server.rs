//! The entry role as it runs: listeners and worker threads.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use almondlock_intake::{connections::Connections, listener};
use almondlock_node::{Handle, links::Links, replicas::Replicas};
use almondlock_policy::choice::Origin;
use almondlock_telemetry::metrics::Metrics;
use ntex::{
    time::Seconds,
    web::{self, App},
};
use tokio::time::{sleep, timeout};

use crate::{
    explain, http,
    life::Worker,
    probe,
    shared::{Config, Shared},
};

/// What the entry role is told at its start.
pub struct Builder {
    /// Bounds and defaults.
    pub config: Config,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators ask what happened to a request, if anywhere.
    pub admin: Option<SocketAddr>,
    /// How long a request's head may take to arrive.
    pub header_timeout: Duration,
    /// Where metrics go.
    pub metrics: Metrics,
    /// Callers' TLS, if any.
    pub tls: Option<rustls::ServerConfig>,
    /// Worker threads.
    pub workers: usize,
    /// The control replicas' inner addresses.
    pub replicas: Vec<SocketAddr>,
    /// Where this host stands.
    pub home: Origin,
    /// Seeds the workers' generators.
    pub seed: u64,
    /// How long the listener stays after readiness has failed, so that the
    /// balancer can notice.
    pub notice: Duration,
    /// How long answers in progress may take after that.
    pub grace: Duration,
}

/// A running entry role.
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: ntex::server::Server,
    admin: Option<ntex::server::Server>,
    notice: Duration,
    grace: Duration,
}

/// How long an idle connection of a caller is kept.
const KEEP_ALIVE: Seconds = Seconds(5);
/// How often the end of answers in progress is looked for.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);
/// How long the listeners of a host that lost a task may take to stop once no request is in
/// progress. The HTTP library may take 30 s, also without a connection.
const ABANDON_STOP: Duration = Duration::from_secs(5);

impl Builder {
    /// Binds and starts serving.
    pub fn start(self, handle: Handle) -> io::Result<Server> {
        let shared = Shared::new(self.config, handle.clone(), self.home, self.metrics);
        let listener = TcpListener::bind(self.listen)?;
        let address = listener.local_addr()?;
        let seed = AtomicU64::new(self.seed);
        let seed = Arc::new(seed);
        let probing = Arc::new(AtomicBool::new(false));
        let tables = Arc::clone(&shared);
        let replicas = self.replicas;
        let limits = shared.config.intake;
        let factory = async move |connections: Connections| {
            let links = Links::new(handle.clone());
            let worker = Rc::new(Worker::new(
                Arc::clone(&tables),
                links.clone(),
                Replicas::new(links, replicas.clone()),
                connections,
                seed.fetch_add(1, Ordering::Relaxed),
            ));
            let (debts, links) = (worker.debts.clone(), worker.links.clone());
            let renewing = debts.renew(links, handle.clone(), tables.config.lease);
            let owner = handle.owner();
            owner.spawn("memory-renewal", renewing);
            if !probing.swap(true, Ordering::Relaxed) {
                owner.spawn("probes", probe::run(Rc::clone(&worker)));
            }
            App::new()
                .state(worker)
                .configure(http::routes)
                .default_service(web::route().to(http::unknown))
        };
        let millis = u32::try_from(self.header_timeout.as_millis()).unwrap_or(u32::MAX);
        let timeout = Seconds::checked_new((millis / 1000).max(1) as usize);
        let settings = listener::Config {
            name: "callers",
            workers: self.workers,
            connections: limits.connections,
            head: limits.head,
            head_time: timeout,
            idle_time: KEEP_ALIVE,
            socket_buffer: limits.socket_buffer,
            pipelined: limits.pipelined,
            tls: self.tls,
        };
        let server = listener::serve(listener, settings, factory)?;
        let admin = match self.admin {
            Some(admin) => Some(explain::serve(admin, Arc::clone(&shared))?),
            None => None,
        };
        let owner = shared.handle.owner();
        owner.spawn("callers-listener", server.clone());
        if let Some(admin) = &admin {
            owner.spawn("explain-listener", admin.clone());
        }
        Ok(Server {
            address,
            shared,
            server,
            admin,
            notice: self.notice,
            grace: self.grace,
        })
    }
}

impl Server {
    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The host's tables.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops gracefully: readiness fails first, the listener stays until the
    /// balancer has noticed, answers in progress finish.
    pub async fn stop(self) {
        self.shared.stop();
        sleep(self.notice).await;
        self.drain().await;
        self.close().await;
    }

    /// Stops because a task has ended that the host needs: refuses new requests from now
    /// on, and lets answers in progress finish.
    pub async fn abandon(self) {
        self.shared.stop();
        self.drain().await;
        if timeout(ABANDON_STOP, self.close()).await.is_err() {
            tracing::warn!("listeners did not stop in time");
        }
    }

    /// Waits until the answers in progress have finished.
    async fn drain(&self) {
        let drained = async {
            while self.shared.active() > 0 {
                sleep(DRAIN_PAUSE).await;
            }
        };
        if timeout(self.grace, drained).await.is_err() {
            tracing::warn!(
                active = self.shared.active(),
                "stopping with answers in progress"
            );
        }
    }

    /// Closes the listeners.
    async fn close(self) {
        self.server.stop(true).await;
        if let Some(admin) = self.admin {
            admin.stop(true).await;
        }
    }
}
