//! A gateway on loopback ports, in front of upstreams whose behaviour the test defines.

#![allow(dead_code, reason = "each test uses a part of it")]

pub mod dialect;
mod unique;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream, UdpSocket},
    sync::mpsc,
    thread,
    time::Duration,
};

use almondlock_base::{
    id::{Domain, Host, Incarnation, Region, Service, Upstream},
    time::Wall,
    unit::Revision,
};
use almondlock_gateway::{
    budget, exchange,
    server::{self, Bounds, Config, Features},
};
use almondlock_node::{Node, Parts};
use almondlock_policy::budget::Bound;
use almondlock_spread::view::View;
use almondlock_state::{
    config,
    document::Document,
    instance::{Birth, Instance},
};

use self::dialect::Plain;
use unique::{free_address, next_host};

/// Default time for which memory may outlive its use.
const MEMORY_HOLD: Duration = Duration::from_millis(400);

/// Tokens of the default prompt: more than one engine holds.
const PROMPT: u64 = 1_500;

/// Options for starting a gateway.
struct Setup {
    /// Service of all upstreams: `s`, or `e` for engines.
    service: &'static str,
    /// How long the gateway has to wait for its configuration.
    delay: Duration,
    /// How long after that the configuration says that all upstreams have started again.
    restart: Option<Duration>,
    /// How long memory may outlive its use.
    hold: Duration,
    /// How long after its start the gateway is told to stop.
    stop: Option<Duration>,
    /// How long the stop may take.
    grace: Duration,
    /// Whether the process ends once the gateway has stopped.
    exits: bool,
    /// Relays that add up the hosts' loads.
    relays: Option<[SocketAddr; 2]>,
    /// Number of upstreams that are cold, counted from the first one.
    cold_upstreams: usize,
    /// How long after the start the host's failure domain is evacuated. Only the first
    /// upstream is in that domain.
    evacuate: Option<Duration>,
    /// Whether requests need the key of one of two organisations.
    needs_keys: bool,
    /// Whether organisations get fair shares.
    fair_shares: bool,
    /// Whether short prompts are admitted by the engines' free slots.
    slot_admission: bool,
    /// Whether upstreams are judged by what hosts observe of them.
    observes_pace: bool,
}

const SETUP: Setup = Setup {
    service: "s",
    delay: Duration::ZERO,
    restart: None,
    hold: MEMORY_HOLD,
    stop: None,
    grace: Duration::ZERO,
    exits: false,
    relays: None,
    cold_upstreams: 0,
    evacuate: None,
    needs_keys: false,
    fair_shares: false,
    slot_admission: false,
    observes_pace: false,
};

const ENGINES: Setup = Setup {
    service: "e",
    ..SETUP
};

/// Starts a gateway in front of `upstreams` and returns its address.
pub fn start(upstreams: &[SocketAddr]) -> SocketAddr {
    start_for(SETUP, upstreams)
}

/// Like [`start`], but the gateway gets its configuration only after a while.
pub fn start_cold(upstreams: &[SocketAddr], after: Duration) -> SocketAddr {
    let delay = after;
    start_for(Setup { delay, ..SETUP }, upstreams)
}

/// Like [`start`], in front of engines.
pub fn start_engines(upstreams: &[SocketAddr]) -> SocketAddr {
    start_for(ENGINES, upstreams)
}

/// Like [`start_engines`], with the time for which memory may outlive its use.
pub fn start_engines_with_hold(upstreams: &[SocketAddr], hold: Duration) -> SocketAddr {
    start_for(Setup { hold, ..ENGINES }, upstreams)
}

/// Like [`start_engines`], but after a while the configuration says that all engines have
/// started again.
pub fn start_engines_restarting(upstreams: &[SocketAddr], after: Duration) -> SocketAddr {
    let restart = Some(after);
    start_for(Setup { restart, ..ENGINES }, upstreams)
}

/// Like [`start_engines`], but after a while the gateway is told to stop within `grace`.
pub fn start_engines_stopping(
    upstreams: &[SocketAddr],
    after: Duration,
    grace: Duration,
) -> SocketAddr {
    let stop = Some(after);
    let setup = Setup {
        stop,
        grace,
        ..ENGINES
    };
    start_for(setup, upstreams)
}

/// Like [`start`], but after a while the gateway is told to stop within `grace`. Then the
/// process ends.
pub fn start_until_exit(upstreams: &[SocketAddr], after: Duration, grace: Duration) -> SocketAddr {
    let stop = Some(after);
    let setup = Setup {
        stop,
        grace,
        exits: true,
        ..SETUP
    };
    start_for(setup, upstreams)
}

/// Like [`start`], as one of several hosts that share these relays. Stops after a while, if
/// `stop` is given.
pub fn start_with_relays(
    upstreams: &[SocketAddr],
    relays: [SocketAddr; 2],
    stop: Option<Duration>,
) -> SocketAddr {
    let setup = Setup {
        relays: Some(relays),
        stop,
        ..SETUP
    };
    start_for(setup, upstreams)
}

/// Like [`start`], with some cold upstreams, and with relays if they are given.
pub fn start_with_cold_upstreams(
    upstreams: &[SocketAddr],
    relays: Option<[SocketAddr; 2]>,
    cold_upstreams: usize,
) -> SocketAddr {
    let setup = Setup {
        relays,
        cold_upstreams,
        ..SETUP
    };
    start_for(setup, upstreams)
}

/// Like [`start_engines`], with admission by free slots. Stops after a while, if `stop` is
/// given.
pub fn start_engines_with_admission(
    upstreams: &[SocketAddr],
    relays: Option<[SocketAddr; 2]>,
    stop: Option<Duration>,
) -> SocketAddr {
    let setup = Setup {
        relays,
        stop,
        grace: Duration::from_secs(4),
        slot_admission: true,
        ..ENGINES
    };
    start_for(setup, upstreams)
}

/// Like [`start`], but the first upstream's failure domain is evacuated after a while.
pub fn start_evacuating(upstreams: &[SocketAddr], after: Duration) -> SocketAddr {
    let evacuate = Some(after);
    start_for(Setup { evacuate, ..SETUP }, upstreams)
}

/// Like [`start_engines`], for two organisations, as one of several hosts that share these
/// relays.
pub fn start_engines_shared(
    upstreams: &[SocketAddr],
    relays: [SocketAddr; 2],
    fair_shares: bool,
) -> SocketAddr {
    let setup = Setup {
        relays: Some(relays),
        needs_keys: true,
        fair_shares,
        ..ENGINES
    };
    start_for(setup, upstreams)
}

/// Like [`start`], as one of several hosts if relays are given. With `observes_pace`, upstreams
/// are judged by what hosts observe of them.
pub fn start_observing_pace(
    upstreams: &[SocketAddr],
    relays: Option<[SocketAddr; 2]>,
    observes_pace: bool,
) -> SocketAddr {
    let setup = Setup {
        relays,
        observes_pace,
        ..SETUP
    };
    start_for(setup, upstreams)
}

/// Starts a relay and returns its address.
pub fn start_relay() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    socket.set_nonblocking(true).unwrap();
    thread::spawn(move || {
        let system = ntex::rt::System::new("relay", ntex::rt::DefaultRuntime);
        system.block_on(async move {
            let socket = tokio::net::UdpSocket::from_std(socket).unwrap();
            let domain = Domain::new("d").unwrap();
            exchange::run_relay(socket, domain, || 2).await.unwrap();
        });
    });
    address
}

fn start_for(setup: Setup, upstreams: &[SocketAddr]) -> SocketAddr {
    let instances = (0..).zip(upstreams);
    let instances = instances.map(|(n, address)| instance(&setup, n, address));
    let instances: Vec<(Upstream, Instance)> = instances.collect();
    // The fields of log lines are evaluated only if somebody takes the lines.
    let _ = tracing::subscriber::set_global_default(tracing_subscriber::registry());
    let (listen, ready) = (free_address(), free_address());
    let (started, running) = mpsc::channel();
    thread::spawn(move || {
        let system = ntex::rt::System::new("gateway", ntex::rt::DefaultRuntime);
        system.block_on(async move {
            let mut config = config::Config {
                revision: Revision(1),
                document: Some(Document::whole(1, "")),
                instances: instances.into_iter().collect(),
                ..config::Config::default()
            };
            let view = View::new();
            if setup.delay.is_zero() {
                view.replace(config.clone());
            }
            let parts = Parts {
                is_source: true,
                ..Parts::default()
            };
            let node = Node::start(node(), view, parts).await.unwrap();
            let handle = node.handle().clone();
            let settings = settings(listen, ready, &setup);
            let dialect = match setup.needs_keys {
                true => Plain::with_organisations(),
                false => Plain::new(),
            };
            let server = server::start(settings, dialect, handle).unwrap();
            started.send(()).unwrap();
            ntex::time::sleep(setup.delay).await;
            node.handle().view().replace(config.clone());
            if let Some(restart) = setup.restart {
                ntex::time::sleep(restart).await;
                config.revision = Revision(2);
                for instance in config.instances.values_mut() {
                    instance.birth = Birth(1);
                }
                node.handle().view().replace(config.clone());
            }
            if let Some(evacuate) = setup.evacuate {
                ntex::time::sleep(evacuate).await;
                config.revision = Revision(2);
                let drain = config::Drain {
                    since: Wall::from_millis(1),
                    reason: String::new(),
                };
                config.evacuations.insert(Domain::new("d").unwrap(), drain);
                node.handle().view().replace(config);
            }
            if let Some(stop) = setup.stop {
                ntex::time::sleep(stop).await;
                server.stop().await;
                if setup.exits {
                    std::process::exit(0);
                }
            }
            std::future::pending::<()>().await;
        });
    });
    running.recv().unwrap();
    listen
}

fn instance(setup: &Setup, n: u32, address: &SocketAddr) -> (Upstream, Instance) {
    let domain = match n {
        1.. if setup.evacuate.is_some() => "e",
        _ => "d",
    };
    let instance = Instance {
        service: Service::new(setup.service).unwrap(),
        address: *address,
        domain: Domain::new(domain).unwrap(),
        slots: 8,
        leaving: false,
        birth: Birth::default(),
        cold: (n as usize) < setup.cold_upstreams,
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

fn settings(listen: SocketAddr, ready: SocketAddr, setup: &Setup) -> Config {
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
        metrics: None,
        relays: setup.relays.into_iter().flatten().collect(),
        domain: Domain::new("d").unwrap(),
        bounds: Bounds {
            max_config_age: Duration::from_secs(3),
            retries,
            memory_hold: setup.hold,
            slow_reader: Duration::from_secs(2),
        },
        intake: Default::default(),
        features: Features {
            fair_shares: setup.fair_shares,
            slot_admission: setup.slot_admission,
            observed_pace: setup.observes_pace,
            ..Features::default()
        },
        seed: next_host(),
        notice: Duration::ZERO,
        grace: setup.grace,
    }
}

/// Sends a request and reads until the response is complete, the connection ends, or
/// nothing arrives for a while. Returns all bytes, and whether the connection ended.
pub fn ask(gateway: SocketAddr, path: &str) -> (String, bool) {
    ask_within(gateway, path, 1_500)
}

/// Like [`ask`], with a deadline in milliseconds.
pub fn ask_within(gateway: SocketAddr, path: &str, deadline: u64) -> (String, bool) {
    ask_for(gateway, path, deadline, PROMPT)
}

/// Like [`ask_within`], with a prompt of this many tokens.
pub fn ask_for(gateway: SocketAddr, path: &str, deadline: u64, prompt: u64) -> (String, bool) {
    let mut stream = TcpStream::connect(gateway).unwrap();
    write_for(&mut stream, path, deadline, prompt);
    stream
        .set_read_timeout(Some(Duration::from_millis(deadline + 1_500)))
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

/// Sends a request and disconnects after a while.
pub fn ask_and_disconnect(gateway: SocketAddr, path: &str, after: Duration) {
    let _stream = send(gateway, path, 5_000);
    thread::sleep(after);
}

fn send(gateway: SocketAddr, path: &str, deadline: u64) -> TcpStream {
    let mut stream = TcpStream::connect(gateway).unwrap();
    write(&mut stream, path, deadline);
    stream
}

/// Sends a request on an open connection.
pub fn write(stream: &mut TcpStream, path: &str, deadline: u64) {
    write_for(stream, path, deadline, PROMPT);
}

fn write_for(stream: &mut TcpStream, path: &str, deadline: u64, prompt: u64) {
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nx-id: r-1\r\nx-deadline: {deadline}\r\n\
         x-usage: {prompt},10\r\ncontent-length: 2\r\n\r\nhi"
    );
    stream.write_all(request.as_bytes()).unwrap();
}

/// Sends a short prompt to an engine with an organisation's key. The caller disconnects
/// when the connection is dropped.
pub fn send_as(gateway: SocketAddr, key: &str) -> TcpStream {
    let mut stream = TcpStream::connect(gateway).unwrap();
    let request = format!(
        "POST /engine/ HTTP/1.1\r\nhost: h\r\nx-id: {key}\r\nx-key: {key}\r\nx-deadline: 9000\r\n\
         x-usage: 100,10\r\ncontent-length: 2\r\n\r\nhi"
    );
    stream.write_all(request.as_bytes()).unwrap();
    stream
}

/// Reads from a connection until its end, or until nothing arrives for `patience`.
pub fn read(stream: &mut TcpStream, patience: Duration) -> String {
    stream.set_read_timeout(Some(patience)).unwrap();
    let mut bytes = Vec::new();
    // After an error, the bytes received so far are returned.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

fn is_whole(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length:"));
    length.is_some_and(|length| length.trim().parse() == Ok(body.len()))
}

/// Returns the status of a response, or 0 if there is none.
pub fn status(response: &str) -> u16 {
    let code = response.split(' ').nth(1);
    code.and_then(|code| code.parse().ok()).unwrap_or(0)
}
