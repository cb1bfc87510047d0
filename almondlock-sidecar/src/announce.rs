//! How an upstream becomes known.
//!
//! No list of upstreams exists: each one announces itself over HTTP to the
//! sidecar on its host, again and again. The sidecar stands in front of it
//! from the first announcement on, registers it with the control replicas, and
//! keeps the registration alive for as long as the upstream goes on announcing
//! itself or answers.

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
    task::spawn_local,
    time::sleep,
};

use crate::{
    openai::Engine, plain, protocol::Protocol, sidecar::Sidecar, stop::Stop, table::Config,
};

/// How often a registration is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// How long the replicas are tried for each.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a refused registration.
const REFUSED_RETRY_DELAY: Duration = Duration::from_secs(1);
/// An upstream that neither announces itself nor answers for this long is no
/// longer renewed; its lease at the replicas then ends.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// The most memory an upstream may claim, in tokens: what the replicas accept.
const MAX_CAPACITY_TOKENS: u64 = limit::MAX_CAPACITY_TOKENS;
/// Announcements that wait to be taken.
const MAX_QUEUED_ANNOUNCEMENTS: usize = 64;
/// Batch places when an upstream names none.
const DEFAULT_SLOTS: u32 = 64;

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Its name.
    pub name: Upstream,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Engine or plain service.
    pub kind: Kind,
    /// The model it has loaded, for an engine.
    #[serde(default)]
    pub model: Option<Model>,
    /// That model's version.
    #[serde(default)]
    pub version: Option<Version>,
    /// The service it belongs to, for a plain service.
    #[serde(default)]
    pub service: Option<Name>,
    /// Engine memory in tokens.
    #[serde(default)]
    pub capacity: u64,
    /// Requests it runs together at most.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Prompt tokens it processes in a second, for the first estimates; what is
    /// observed counts more with every answer.
    #[serde(default)]
    pub prefill_rate: Option<f64>,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// Whether it can go on with an answer at a given token.
    #[serde(default)]
    pub resumable: bool,
}

/// Where the sidecar's host stands.
#[derive(Clone, Debug)]
pub struct Site {
    /// The host.
    pub host: Host,
    /// Its failure domain.
    pub domain: Domain,
    /// Its region.
    pub region: Region,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// The inner listener, as other processes reach it.
    pub inner: SocketAddr,
    /// The order of work beside each upstream.
    pub queue: queue::Config,
    /// Percent of an engine's memory that may be filled; the rest absorbs late
    /// and wrong figures.
    pub memory_share: u8,
    /// Requests handed to one upstream at a time at most.
    pub running: u32,
    /// Where metrics go.
    pub metrics: Metrics,
    /// Tells when the process stops.
    pub stop: Stop,
}

/// The upstreams that announced themselves here.
#[derive(Clone)]
pub struct Registry {
    inner: Rc<Inner>,
}

struct Inner {
    site: Site,
    handle: Handle,
    replicas: Replicas,
    sidecars: Sidecars,
    upstreams: RefCell<HashMap<Upstream, Entry>>,
}

struct Entry {
    announcement: Announcement,
    last_heard: Mono,
}

/// Why an announcement is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal(pub String);

impl Registry {
    /// No upstreams yet; sidecars will be offered in `sidecars`.
    pub fn new(site: Site, handle: Handle, replicas: Replicas, sidecars: Sidecars) -> Registry {
        let inner = Rc::new(Inner {
            site,
            handle,
            replicas,
            sidecars,
            upstreams: RefCell::default(),
        });
        Registry { inner }
    }

    /// Takes an announcement: the first of a name starts a sidecar, a repeated
    /// one renews it, one with another address replaces it.
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
        let unusable = |e: &dyn std::fmt::Display| Refusal(e.to_string());
        match announcement.kind {
            Kind::Engine => {
                let engine = Engine::new(announcement.address).await;
                self.start_sidecar(announcement, engine.map_err(|e| unusable(&e))?);
            }
            Kind::Service => {
                let service = plain::Service::new(announcement.address).await;
                self.start_sidecar(announcement, service.map_err(|e| unusable(&e))?);
            }
        }
        Ok(())
    }

    fn start_sidecar<P>(&self, announcement: Announcement, protocol: P)
    where
        P: Protocol,
    {
        let inner = &self.inner;
        let config = Config {
            capacity: inner.site.capacity(&announcement),
            slots: inner.site.slots(&announcement),
            queue: queue::Config {
                initial_speed: announcement
                    .prefill_rate
                    .unwrap_or(inner.site.queue.initial_speed),
                ..inner.site.queue
            },
            gate: gate::Config::default(),
        };
        let sidecar = Sidecar::new(
            announcement.name.clone(),
            inner.site.incarnation,
            config,
            protocol,
            inner.handle.clone(),
            inner.replicas.clone(),
            (inner.site.metrics.clone(), inner.site.stop.clone()),
        );
        let client = capnp_rpc::new_client(sidecar.clone());
        inner.sidecars.insert(announcement.name.clone(), client);
        spawn_local(Rc::clone(inner).renew_registration(
            announcement.name,
            announcement.address,
            sidecar,
        ));
    }
}

impl Site {
    /// Engine memory that may be filled. A plain service has none to run out of.
    fn capacity(&self, announcement: &Announcement) -> Tokens {
        match announcement.kind {
            Kind::Engine => {
                let share = u64::from(self.memory_share.min(100));
                Tokens(announcement.capacity / 100 * share)
            }
            Kind::Service => Tokens(MAX_CAPACITY_TOKENS),
        }
    }

    fn slots(&self, announcement: &Announcement) -> u32 {
        let slots = announcement.slots.unwrap_or(DEFAULT_SLOTS);
        slots.min(self.running).max(1)
    }
}

fn validate(announcement: &Announcement) -> Result<(), Refusal> {
    let fault = |text: &str| Err(Refusal(text.to_owned()));
    if announcement.address.ip().is_unspecified() || announcement.address.port() == 0 {
        return fault("the address is not one to connect to");
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
            fault("an engine names its `model` and `version`")
        }
        Kind::Engine if !(1..=MAX_CAPACITY_TOKENS).contains(&announcement.capacity) => {
            fault("an engine's `capacity` is its memory in tokens")
        }
        Kind::Service if announcement.service.is_none() => {
            fault("a plain service names its `service`")
        }
        Kind::Engine | Kind::Service => Ok(()),
    }
}

impl Inner {
    fn registration(&self, announcement: &Announcement) -> Registration {
        let site = &self.site;
        Registration {
            address: site.inner,
            host: site.host.clone(),
            domain: site.domain.clone(),
            region: site.region.clone(),
            incarnation: site.incarnation,
            kind: announcement.kind,
            model: announcement.model.clone().zip(announcement.version.clone()),
            service: announcement.service.clone(),
            capacity: site.capacity(announcement),
            fenced: announcement.fenced,
            resumable: announcement.resumable,
            role: String::new(),
        }
    }

    /// Keeps one upstream's registration alive until it is replaced here.
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
            let told = self
                .replicas
                .announce(&name, &registration, REGISTER_TIMEOUT);
            match told.await {
                Ok(_) | Err(Code::NoQuorum) => sleep(RENEWAL_INTERVAL).await,
                Err(code) => {
                    tracing::warn!(upstream = %name, %code, "the registration was refused");
                    sleep(REFUSED_RETRY_DELAY).await;
                }
            }
        }
    }

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

/// The listener's way to the registry, which belongs to another thread.
#[derive(Clone)]
struct Endpoint {
    requests: mpsc::Sender<(Announcement, Answer)>,
}

/// Serves announcements on a listener: `POST /announce` with an
/// [`Announcement`] in JSON. Must be called on the registry's thread.
pub fn serve(listener: TcpListener, registry: Registry) -> io::Result<Server> {
    let (requests, mut queue) = mpsc::channel::<(Announcement, Answer)>(MAX_QUEUED_ANNOUNCEMENTS);
    spawn_local(async move {
        while let Some((announcement, answer)) = queue.recv().await {
            // Whoever asked may be gone; it will announce itself again.
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
    Ok(server.listen(listener)?.run())
}

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
