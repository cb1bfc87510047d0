//! Registration of upstreams by their own announcements.
//!
//! There is no configured list of upstreams. Each upstream regularly announces
//! itself over HTTP to the sidecar process on its host. The first announcement
//! starts a sidecar for the upstream, which is registered with the control
//! replicas. The registration is renewed for as long as the upstream announces
//! itself or answers health checks.

use std::{
    cell::RefCell,
    collections::HashMap,
    io,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};

use almondlock_base::{
    Code,
    id::{Domain, Host, Incarnation, Model, Region, Service as Name, Upstream, Version},
    time::Mono,
    unit::Tokens,
};
use almondlock_node::{Handle, Sidecars, clock, replicas::Replicas};
use almondlock_policy::{gate, queue};
use almondlock_state::{
    config::{Kind, Registration},
    limit,
};
use almondlock_telemetry::metrics::Metrics;
use ntex::{
    server::Server,
    web::{self, App, HttpResponse, HttpServer},
};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep,
};

use crate::{
    openai::Engine, plain, protocol::Protocol, sidecar::Sidecar, stop::Stop, table::Config,
};

/// Interval between renewals of a registration.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// Time-out of one registration at the replicas.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a refused registration.
const REFUSED_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time since the last announcement after which a registration is only renewed
/// while the upstream answers health checks. Without renewals, its lease at the
/// replicas ends.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum memory that an upstream may announce, in tokens. The replicas accept
/// no more.
const MAX_CAPACITY_TOKENS: u64 = limit::MAX_CAPACITY_TOKENS;
/// Maximum number of announcements that wait to be processed.
const MAX_QUEUED_ANNOUNCEMENTS: usize = 64;
/// Number of batch slots of an upstream that announces none.
const DEFAULT_SLOTS: u32 = 64;

/// An announcement by which an upstream describes itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the upstream.
    pub name: Upstream,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Whether it is an engine or a plain service.
    pub kind: Kind,
    /// Model that an engine has loaded.
    #[serde(default)]
    pub model: Option<Model>,
    /// Version of that model.
    #[serde(default)]
    pub version: Option<Version>,
    /// Service to which a plain service belongs.
    #[serde(default)]
    pub service: Option<Name>,
    /// Engine memory in tokens.
    #[serde(default)]
    pub capacity: u64,
    /// Maximum number of requests that it runs at the same time.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Prompt tokens that it processes per second, for the first estimates.
    /// Measured speeds replace this figure gradually.
    #[serde(default)]
    pub prefill_rate: Option<f64>,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// Whether it can resume an answer at a given token.
    #[serde(default)]
    pub resumable: bool,
}

/// Location and settings that all sidecars of a process share.
#[derive(Clone, Debug)]
pub struct Environment {
    /// Host on which the process runs.
    pub host: Host,
    /// Failure domain of the host.
    pub domain: Domain,
    /// Region of the host.
    pub region: Region,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Address of the inner listener at which other processes reach the
    /// sidecars.
    pub inner_address: SocketAddr,
    /// Configuration of the queue in front of each upstream.
    pub queue: queue::Config,
    /// Percentage of an engine's memory that may be filled. The rest makes up
    /// for late and inaccurate figures.
    pub memory_percent: u8,
    /// Maximum number of requests handed to one upstream at a time.
    pub max_running: u32,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Shutdown state of the process.
    pub stop: Stop,
}

/// Registry of the upstreams that announced themselves to this process.
#[derive(Clone)]
pub struct Registry {
    inner: Rc<Inner>,
}

/// State shared by the clones of a registry.
struct Inner {
    environment: Environment,
    handle: Handle,
    replicas: Replicas,
    sidecars: Sidecars,
    upstreams: RefCell<HashMap<Upstream, Entry>>,
}

/// A known upstream: its latest announcement and when it arrived.
struct Entry {
    announcement: Announcement,
    last_heard: Mono,
}

/// The reason why an announcement is refused, as a text for the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal(pub String);

impl Registry {
    /// Creates an empty registry. The sidecars that it starts are added to
    /// `sidecars`.
    pub fn new(
        environment: Environment,
        handle: Handle,
        replicas: Replicas,
        sidecars: Sidecars,
    ) -> Registry {
        let inner = Rc::new(Inner {
            environment,
            handle,
            replicas,
            sidecars,
            upstreams: RefCell::default(),
        });
        Registry { inner }
    }

    /// Processes an announcement. The first one of a name starts a sidecar, a
    /// repeated one renews it, and one with another address replaces it.
    pub async fn announce(&self, announcement: Announcement) -> Result<(), Refusal> {
        validate(&announcement)?;
        let now = clock::mono();
        {
            let mut upstreams = self.inner.upstreams.borrow_mut();
            if let Some(known) = upstreams.get_mut(&announcement.name)
                && known.announcement.address == announcement.address
            {
                known.announcement = announcement;
                known.last_heard = now;
                return Ok(());
            }
        }
        let name = announcement.name.clone();
        let known = Entry {
            announcement: announcement.clone(),
            last_heard: now,
        };
        self.inner.upstreams.borrow_mut().insert(name, known);
        match announcement.kind {
            Kind::Engine => {
                let engine = Engine::new(announcement.address);
                self.start_sidecar(announcement, engine);
            }
            Kind::Service => {
                let service = plain::Service::new(announcement.address);
                self.start_sidecar(announcement, service);
            }
        }
        Ok(())
    }

    /// Starts a sidecar for an upstream and keeps its registration renewed.
    fn start_sidecar<P>(&self, announcement: Announcement, protocol: P)
    where
        P: Protocol,
    {
        let inner = &self.inner;
        let config = Config {
            capacity: inner.environment.capacity(&announcement),
            slots: inner.environment.slots(&announcement),
            queue: queue::Config {
                initial_speed: announcement
                    .prefill_rate
                    .unwrap_or(inner.environment.queue.initial_speed),
                ..inner.environment.queue
            },
            gate: gate::Config::default(),
        };
        let sidecar = Sidecar::new(
            announcement.name.clone(),
            inner.environment.incarnation,
            config,
            protocol,
            inner.handle.clone(),
            inner.replicas.clone(),
            (
                inner.environment.metrics.clone(),
                inner.environment.stop.clone(),
            ),
        );
        let client = capnp_rpc::new_client(sidecar.clone());
        inner.sidecars.insert(announcement.name.clone(), client);
        let (name, address) = (announcement.name, announcement.address);
        let renewal = Rc::clone(inner).renew_registration(name, address, sidecar);
        let owner = inner.handle.owner();
        owner.spawn_job("registration-renewal", renewal);
    }
}

impl Environment {
    /// Returns the engine memory that may be filled. A plain service has no
    /// memory limit.
    fn capacity(&self, announcement: &Announcement) -> Tokens {
        match announcement.kind {
            Kind::Engine => {
                let share = u64::from(self.memory_percent.min(100));
                Tokens(announcement.capacity / 100 * share)
            }
            Kind::Service => Tokens(MAX_CAPACITY_TOKENS),
        }
    }

    /// Returns the number of requests that may be handed to the upstream at a time.
    fn slots(&self, announcement: &Announcement) -> u32 {
        let slots = announcement.slots.unwrap_or(DEFAULT_SLOTS);
        slots.min(self.max_running).max(1)
    }
}

/// Refuses an announcement that is incomplete or has a value out of range.
fn validate(announcement: &Announcement) -> Result<(), Refusal> {
    let fault = |text: &str| Err(Refusal(text.to_owned()));
    if announcement.address.ip().is_unspecified() || announcement.address.port() == 0 {
        return fault("`address` must name an IP address and a port that can be connected to");
    }
    if announcement
        .prefill_rate
        .is_some_and(|rate| rate.is_nan() || rate < 1.0)
    {
        return fault("`prefill_rate` must be at least 1");
    }
    if announcement.slots == Some(0) {
        return fault("`slots` must be at least 1");
    }
    match announcement.kind {
        Kind::Engine if announcement.model.is_none() || announcement.version.is_none() => {
            fault("an engine must name its `model` and `version`")
        }
        Kind::Engine if !(1..=MAX_CAPACITY_TOKENS).contains(&announcement.capacity) => fault(
            "an engine must give its memory in tokens as `capacity`, within the accepted range",
        ),
        Kind::Service if announcement.service.is_none() => {
            fault("a plain service must name its `service`")
        }
        Kind::Engine | Kind::Service => Ok(()),
    }
}

impl Inner {
    /// Builds the registration that is sent to the replicas.
    fn registration(&self, announcement: &Announcement) -> Registration {
        let environment = &self.environment;
        Registration {
            address: environment.inner_address,
            host: environment.host.clone(),
            domain: environment.domain.clone(),
            region: environment.region.clone(),
            incarnation: environment.incarnation,
            kind: announcement.kind,
            model: announcement.model.clone().zip(announcement.version.clone()),
            service: announcement.service.clone(),
            capacity: environment.capacity(announcement),
            fenced: announcement.fenced,
            resumable: announcement.resumable,
            role: String::new(),
        }
    }

    /// Renews one upstream's registration until an announcement with another
    /// address replaces it.
    async fn renew_registration<P>(
        self: Rc<Self>,
        name: Upstream,
        address: SocketAddr,
        sidecar: Sidecar<P>,
    ) where
        P: Protocol,
    {
        loop {
            let current = self.current_announcement(&name, address);
            let Some((announcement, last_heard)) = current else {
                return;
            };
            let fresh =
                clock::mono().since(last_heard) < SILENCE_TIMEOUT || sidecar.is_alive().await;
            if !fresh {
                sleep(RENEWAL_INTERVAL).await;
                continue;
            }
            let registration = self.registration(&announcement);
            let registered = self
                .replicas
                .announce(&name, &registration, REGISTER_TIMEOUT);
            match registered.await {
                Ok(_) | Err(Code::NoQuorum) => sleep(RENEWAL_INTERVAL).await,
                Err(code) => {
                    tracing::warn!(upstream = %name, %code, "replicas refused the registration");
                    sleep(REFUSED_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Returns the latest announcement of an upstream and when it arrived, unless
    /// another address has replaced the given one.
    fn current_announcement(
        &self,
        name: &Upstream,
        address: SocketAddr,
    ) -> Option<(Announcement, Mono)> {
        let upstreams = self.upstreams.borrow();
        let known = upstreams.get(name)?;
        let same = known.announcement.address == address;
        same.then(|| (known.announcement.clone(), known.last_heard))
    }
}

type Answer = oneshot::Sender<Result<(), Refusal>>;

/// Passes announcements from the HTTP listener to the registry, which belongs
/// to another thread.
#[derive(Clone)]
struct Endpoint {
    requests: mpsc::Sender<(Announcement, Answer)>,
}

/// Serves announcements on a listener: `POST /announce` with an
/// [`Announcement`] in JSON. Must be called on the registry's thread.
pub fn serve(listener: TcpListener, registry: Registry) -> io::Result<Server> {
    let (requests, mut queue) = mpsc::channel::<(Announcement, Answer)>(MAX_QUEUED_ANNOUNCEMENTS);
    let owner = registry.inner.handle.owner().clone();
    owner.spawn("announcements", async move {
        while let Some((announcement, answer)) = queue.recv().await {
            // An error means that the upstream has closed its connection. It
            // will announce itself again.
            let _ = answer.send(registry.announce(announcement).await);
        }
    });
    let endpoint = Endpoint { requests };
    let factory = async move || {
        App::new()
            .state(endpoint.clone())
            .route("/announce", web::post().to(handle_announcement))
    };
    let server = HttpServer::new(factory).workers(1).disable_signals();
    let server = server.listen(listener)?.run();
    owner.spawn("announce-listener", server.clone());
    Ok(server)
}

/// Handles `POST /announce`.
async fn handle_announcement(
    endpoint: web::types::State<Endpoint>,
    body: web::types::Json<Announcement>,
) -> HttpResponse {
    let (answer, answered) = oneshot::channel();
    let asked = endpoint.requests.send((body.into_inner(), answer)).await;
    let result = match asked {
        Ok(()) => answered.await.ok(),
        Err(_) => None,
    };
    match result {
        Some(Ok(())) => HttpResponse::Ok()
            .content_type("application/json")
            .body("{}"),
        Some(Err(Refusal(text))) => error_response(HttpResponse::BadRequest(), &text),
        None => error_response(
            HttpResponse::ServiceUnavailable(),
            "the sidecar is stopping",
        ),
    }
}

fn error_response(mut response: ntex::http::ResponseBuilder, text: &str) -> HttpResponse {
    response.json(&serde_json::json!({"error": {"message": text}}))
}
