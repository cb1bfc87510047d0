//! A dialect whose pieces are lines, and a gateway that versions are published to.
//!
//! | piece | says |
//! |---|---|
//! | `v N` | the version; the first piece |
//! | `s NAME` | a service |
//! | `r NAME SERVICE MILLIS` | a route `/NAME/` that takes so long to read |
//! | `r NAME SERVICE stream` | a route `/NAME/` to event streams |
//! | `k NAME KEY` | an organisation with a key |

#![allow(dead_code, reason = "each test uses a part of it")]

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU16, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use almondlock_base::{
    id::{Domain, Host, Incarnation, Region, Service, Upstream},
    unit::Revision,
};
use almondlock_gateway::{
    budget,
    dialect::{Call, Dialect, Names, Outline, Section},
    memory::Command,
    rules::{Entry, Error, Kind, Limits, Organisation, Route, Rules, Target},
    server::{self, Bounds, Config, Features},
};
use almondlock_node::{Node, Parts};
use almondlock_policy::budget::Bound;
use almondlock_spread::view::View;
use almondlock_state::{
    config,
    document::{Document, Piece},
    instance::{Birth, Instance},
};
use almondlock_task::Owner;
use ntex::http::header::HeaderName;

pub const LIMITS: Limits = Limits {
    head: 16_384,
    body: 1 << 20,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};

/// A dialect that records which pieces it has parsed.
#[derive(Clone)]
pub struct Lines {
    names: Names,
    pub read: Arc<Mutex<Vec<String>>>,
}

impl Lines {
    pub fn new() -> Lines {
        let name = HeaderName::from_static;
        let names = Names {
            request_id: name("x-id"),
            deadline: name("x-deadline"),
            key: name("x-key"),
            organisation: name("x-organisation"),
            instance: name("x-instance"),
            priority: name("x-priority"),
            usage: name("x-usage"),
            parts: name("x-parts"),
            helpers: name("x-helpers"),
            seal: name("x-seal"),
            not_run: name("x-not-run"),
            at_fault: name("x-at-fault"),
            load: name("x-load"),
            limit: name("x-limit"),
            backoff: name("retry-after"),
            leaving: name("x-leaving"),
            last_event: name("last-event-id"),
        };
        Lines {
            names,
            read: Arc::default(),
        }
    }

    /// Returns how often a piece was parsed.
    pub fn times(&self, piece: &str) -> usize {
        let read = self.read.lock().unwrap();
        read.iter().filter(|other| *other == piece).count()
    }
}

fn range(pieces: &[Piece], sort: char) -> std::ops::Range<usize> {
    let is_it = |piece: &Piece| piece.as_str().starts_with(sort);
    let begin = pieces.iter().position(is_it).unwrap_or(0);
    let count = pieces.iter().filter(|piece| is_it(piece)).count();
    begin..begin + count
}

impl Dialect for Lines {
    fn names(&self) -> &Names {
        &self.names
    }

    fn parse(&self, _: &str) -> Result<Rules, Error> {
        Err(Error::new("it has one piece"))
    }

    fn parse_outline(&self, pieces: &[Piece]) -> Option<Outline> {
        let version = pieces.first()?.as_str().strip_prefix("v ")?;
        Some(Outline {
            version: version.parse().ok()?,
            limits: LIMITS,
            sections: [range(pieces, 's'), range(pieces, 'r'), range(pieces, 'k')],
        })
    }

    fn parse_entry(&self, _: Section, piece: &str) -> Result<Entry, Error> {
        self.read.lock().unwrap().push(piece.to_owned());
        match piece.split(' ').collect::<Vec<_>>().as_slice() {
            ["s", name] => {
                let target = Target {
                    connections: 100,
                    cold: None,
                    engine: None,
                };
                Ok(Entry::Service(Service::new(name).unwrap(), target))
            }
            ["r", name, service, "stream"] => {
                let kind = Kind::Stream {
                    resumable: false,
                    pause: Duration::from_millis(200),
                };
                let route = route(name, service);
                Ok(Entry::Route(Box::new(Route { kind, ..route })))
            }
            ["r", name, service, millis] => {
                let end = Instant::now() + Duration::from_millis(millis.parse().unwrap());
                while Instant::now() < end {
                    std::hint::spin_loop();
                }
                Ok(Entry::Route(Box::new(route(name, service))))
            }
            ["k", name, key] => {
                let organisation = Organisation {
                    name: (*name).into(),
                    priority: None,
                };
                Ok(Entry::Organisation(organisation, vec![(*key).into()]))
            }
            _ => Err(Error::new(format!("unreadable: {piece}"))),
        }
    }

    fn encode_command(&self, _: &Command<'_>) -> Call {
        unreachable!("there are no engines")
    }

    fn format_helper(&self, _: SocketAddr, _: Option<&str>) -> String {
        unreachable!("there are no engines")
    }
}

pub fn route(name: &str, service: &str) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        prefix: format!("/{name}/").into(),
        kind: Kind::Safe,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(300),
        priority: 1,
        split: vec![(Service::new(service).unwrap(), 1)],
        attempts: 2,
        public: false,
    }
}

/// Returns a version that consists of these pieces.
pub fn document(version: u64, pieces: &[&str]) -> Document {
    let first = format!("v {version}");
    let all = [first.as_str()].into_iter().chain(pieces.iter().copied());
    Document::new(version, all.map(Piece::from))
}

/// How a gateway ends.
enum End {
    Stop,
    Abandon,
}

/// A running gateway.
pub struct Gateway {
    pub address: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Owner of the gateway's tasks.
    pub owner: Owner,
    pub dialect: Lines,
    view: View,
    upstream: SocketAddr,
    stop: tokio::sync::mpsc::Sender<End>,
    stopped: Mutex<mpsc::Receiver<Duration>>,
}

impl Gateway {
    /// Starts a gateway with its first version, in front of an upstream of the service `s`.
    pub fn start(upstream: SocketAddr, first: Document) -> Gateway {
        Gateway::start_with_relays(upstream, first, Vec::new())
    }

    /// Like [`Gateway::start`], as one of several hosts that share these relays.
    pub fn start_with_relays(
        upstream: SocketAddr,
        first: Document,
        relays: Vec<SocketAddr>,
    ) -> Gateway {
        // The fields of log lines are evaluated only if somebody takes the lines.
        let _ = tracing::subscriber::set_global_default(tracing_subscriber::registry());
        let (listen, ready) = (free_address(), free_address());
        let (started, running) = mpsc::channel();
        let (stop, mut stops) = tokio::sync::mpsc::channel(1);
        let (ended, stopped) = mpsc::channel();
        let (view, dialect, owner) = (View::new(), Lines::new(), Owner::default());
        let gateway = Gateway {
            address: listen,
            ready,
            owner: owner.clone(),
            dialect: dialect.clone(),
            view: view.clone(),
            upstream,
            stop,
            stopped: Mutex::new(stopped),
        };
        gateway.publish(first);
        thread::spawn(move || {
            let system = ntex::rt::System::new("gateway", ntex::rt::DefaultRuntime);
            system.block_on(async move {
                let parts = Parts {
                    is_source: true,
                    owner,
                    ..Parts::default()
                };
                let node = Node::start(node(), view, parts).await.unwrap();
                let handle = node.handle().clone();
                let settings = Config {
                    relays,
                    ..settings(listen, ready)
                };
                let server = server::start(settings, dialect, handle).unwrap();
                started.send(()).unwrap();
                let end = stops.recv().await.unwrap();
                let begin = Instant::now();
                match end {
                    End::Stop => server.stop().await,
                    End::Abandon => server.abandon().await,
                }
                ended.send(begin.elapsed()).unwrap();
                std::future::pending::<()>().await;
            });
        });
        running.recv().unwrap();
        gateway
    }

    /// Publishes another version.
    pub fn publish(&self, document: Document) {
        self.publish_with(document, Birth::default());
    }

    /// Publishes a version, and that the upstream's present life began at `birth`.
    pub fn publish_with(&self, document: Document, birth: Birth) {
        let instance = Instance {
            service: Service::new("s").unwrap(),
            address: self.upstream,
            domain: Domain::new("d").unwrap(),
            slots: 8,
            leaving: false,
            birth,
            cold: false,
        };
        let config = config::Config {
            revision: self.view.revision().next(),
            document: Some(document),
            instances: [(Upstream::new("i-0").unwrap(), instance)].into(),
            ..config::Config::default()
        };
        assert!(config.revision > Revision::ZERO && self.view.replace(config));
    }

    /// Stops the gateway and returns how long that took.
    pub fn stop(&self) -> Duration {
        self.end(End::Stop)
    }

    /// Stops the gateway as after a lost task, and returns how long that took.
    pub fn abandon(&self) -> Duration {
        self.end(End::Abandon)
    }

    fn end(&self, end: End) -> Duration {
        self.stop.blocking_send(end).unwrap();
        let stopped = self.stopped.lock().unwrap();
        let stopped = stopped.recv_timeout(Duration::from_secs(10));
        stopped.unwrap()
    }
}

fn node() -> almondlock_node::Config {
    almondlock_node::Config {
        host: Host::new("h1").unwrap(),
        domain: Domain::new("d").unwrap(),
        region: Region::new("r").unwrap(),
        incarnation: Incarnation(1),
        listen: "127.0.0.1:0".parse().unwrap(),
        seeds: Vec::new(),
        security: almondlock_transport::Security::Plain,
        pace: Default::default(),
    }
}

fn settings(listen: SocketAddr, ready: SocketAddr) -> Config {
    let retries = budget::Config {
        bound: Bound {
            window: Duration::from_secs(10),
            ratio: 22.0, // The first request earns five retries.
            slack: 0.0,
        },
        min_hosts: 1,
        has_relays: false,
    };
    Config {
        listen,
        ready,
        intake: almondlock_intake::host::Limits {
            bodies: almondlock_intake::bodies::Config::new(LIMITS.body as u64),
            ..almondlock_intake::host::Limits::default()
        },
        metrics: None,
        relays: Vec::new(),
        domain: Domain::new("d").unwrap(),
        bounds: Bounds {
            max_config_age: Duration::from_secs(3),
            retries,
            memory_hold: Duration::from_millis(400),
            slow_reader: Duration::from_secs(2),
        },
        features: Features::default(),
        seed: 1,
        notice: Duration::ZERO,
        grace: Duration::from_secs(4),
    }
}

/// Returns an unused address. Tests run at the same time, so no port is returned twice, and
/// ports lie below the range that the system hands out.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = 10_000 + (std::process::id() % 200) as u16 * 50;
    loop {
        let port = start + NEXT.fetch_add(1, Ordering::Relaxed);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap();
        }
    }
}
