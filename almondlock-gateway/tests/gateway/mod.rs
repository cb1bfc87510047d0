//! A gateway on loopback ports, in front of upstreams that do as they are told.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

use almondlock_base::id::{Domain, Host, Incarnation, Region, Service, Upstream};
use almondlock_gateway::{
    budget,
    dialect::{Dialect, Names},
    rules::{Error, Kind, Limits, Route, Rules, Target},
    server::{self, Bounds, Config},
};
use almondlock_node::{Node, Parts};
use almondlock_spread::view::View;
use almondlock_state::{config, document::Document, instance::Instance};
use ntex::http::header::HeaderName;

const KINDS: [(&str, Kind); 4] = [
    ("safe", Kind::Safe),
    ("unsafe", Kind::Unsafe),
    (
        "stream",
        Kind::Stream {
            resumable: true,
            pause: Duration::from_millis(200),
        },
    ),
    (
        "once",
        Kind::Stream {
            resumable: false,
            pause: Duration::from_millis(200),
        },
    ),
];

/// A dialect with one route of each kind, `/KIND/`.
#[derive(Clone)]
struct Plain(Names);

impl Plain {
    fn new() -> Plain {
        let name = HeaderName::from_static;
        Plain(Names {
            request_id: name("x-id"),
            deadline: name("x-deadline"),
            key: name("x-key"),
            organisation: name("x-organisation"),
            instance: name("x-instance"),
            priority: name("x-priority"),
            usage: name("x-usage"),
            helpers: name("x-helpers"),
            seal: name("x-seal"),
            not_run: name("x-not-run"),
            at_fault: name("x-at-fault"),
            load: name("x-load"),
            last_event: name("last-event-id"),
        })
    }
}

impl Dialect for Plain {
    fn names(&self) -> &Names {
        &self.0
    }

    fn read(&self, _: &str) -> Result<Rules, Error> {
        let limits = Limits {
            head: 16_384,
            body: 1 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        };
        let mut rules = Rules::builder(1, limits);
        let service = Service::new("s").unwrap();
        let target = Target {
            connections: 100,
            engine: None,
        };
        rules.service(service.clone(), target)?;
        for (name, kind) in KINDS {
            rules.route(Route {
                name: name.into(),
                host: "h".into(),
                prefix: format!("/{name}/").into(),
                kind,
                timeout: Duration::from_secs(2),
                objective: Duration::from_millis(300),
                priority: 1,
                split: vec![(service.clone(), 1)],
                attempts: 2,
                public: false,
            })?;
        }
        Ok(rules.build())
    }
}

/// Starts a gateway in front of these upstreams; gives its address.
pub fn start(upstreams: &[SocketAddr]) -> SocketAddr {
    let instances: Vec<(Upstream, Instance)> = (0..).zip(upstreams).map(instance).collect();
    let (listen, ready) = (free_address(), free_address());
    let (started, running) = mpsc::channel();
    thread::spawn(move || {
        let system = ntex::rt::System::new("gateway", ntex::rt::DefaultRuntime);
        system.block_on(async move {
            let view = View::new();
            view.replace(config::Config {
                revision: almondlock_base::unit::Revision(1),
                document: Some(Document {
                    version: 1,
                    text: "".into(),
                }),
                instances: instances.into_iter().collect(),
                ..config::Config::default()
            });
            let parts = Parts {
                is_source: true,
                ..Parts::default()
            };
            let node = Node::start(node(), view, parts).await.unwrap();
            let handle = node.handle().clone();
            let _server = server::start(settings(listen, ready), Plain::new(), handle).unwrap();
            started.send(()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    running.recv().unwrap();
    listen
}

fn instance((n, address): (u32, &SocketAddr)) -> (Upstream, Instance) {
    let instance = Instance {
        service: Service::new("s").unwrap(),
        address: *address,
        domain: Domain::new("d").unwrap(),
        slots: 8,
        leaving: false,
    };
    (Upstream::new(&format!("i-{n}")).unwrap(), instance)
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
        window: Duration::from_secs(10),
        ratio: 0.2,
        free: 5,
    };
    Config {
        listen,
        ready,
        metrics: None,
        relays: Vec::new(),
        domain: Domain::new("d").unwrap(),
        bounds: Bounds {
            stale: Duration::from_secs(3),
            retries,
        },
        seed: 1,
        notice: Duration::ZERO,
        grace: Duration::ZERO,
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Sends a request and reads until the connection ends or nothing comes for a
/// while. Gives all bytes, and whether the connection ended.
pub fn ask(gateway: SocketAddr, path: &str) -> (String, bool) {
    let mut stream = TcpStream::connect(gateway).unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nx-id: r-1\r\nx-deadline: 1500\r\n\
         content-length: 2\r\n\r\nhi"
    );
    stream.write_all(request.as_bytes()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(3)))
        .unwrap();
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    loop {
        match stream.read(&mut piece) {
            Ok(0) => break (String::from_utf8_lossy(&bytes).into_owned(), true),
            Ok(length) => bytes.extend_from_slice(&piece[..length]),
            Err(error) => {
                let ended = error.kind() == std::io::ErrorKind::ConnectionReset;
                break (String::from_utf8_lossy(&bytes).into_owned(), ended);
            }
        }
        if bytes.ends_with(b"0\r\n\r\n") || is_whole(&bytes) {
            break (String::from_utf8_lossy(&bytes).into_owned(), false);
        }
    }
}

fn is_whole(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let lower = head.to_ascii_lowercase();
    let mut lines = lower.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length:"));
    length.is_some_and(|length| length.trim().parse() == Ok(body.len()))
}

/// The status of a response.
pub fn status(response: &str) -> u16 {
    let code = response.split(' ').nth(1);
    code.and_then(|code| code.parse().ok()).unwrap_or(0)
}
