//! A gateway on loopback ports, in front of upstreams that do as they are told.

#![allow(dead_code, reason = "each test uses a part of it")]

pub mod dialect;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        atomic::{AtomicU16, AtomicU64, Ordering},
        mpsc,
    },
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
use almondlock_spread::view::View;
use almondlock_state::{
    config,
    document::Document,
    instance::{Birth, Instance},
};

use self::dialect::Plain;

/// For how long memory may outlive its use, unless a test says otherwise.
const MEMORY_HOLD: Duration = Duration::from_millis(400);

/// Tokens of the usual prompt: more than one engine holds.
const PROMPT: u64 = 1_500;

/// How a gateway is started.
struct Setup {
    service: &'static str,
    /// It gets its configuration only after this time.
    cold: Duration,
    /// All upstreams are known to have started again this long after that.
    reborn: Option<Duration>,
    /// For how long memory may outlive its use.
    hold: Duration,
    /// It is told to stop this long after its start.
    stop: Option<Duration>,
    /// How long it may then take.
    grace: Duration,
    /// The process ends once it has stopped.
    ends: bool,
    /// Where hosts' loads are added up.
    relays: Option<[SocketAddr; 2]>,
    /// So many of the first upstreams are cold.
    cold_upstreams: usize,
    /// The first upstream stands alone in the host's failure domain, which is evacuated this
    /// long after the start.
    evacuate: Option<Duration>,
    /// Requests need a key of one of two organisations.
    organised: bool,
    /// Organisations get fair shares.
    shares: bool,
    /// Short prompts are admitted by the engines' free slots.
    places: bool,
    /// It judges upstreams by what hosts observe of them.
    judges: bool,
}

const SETUP: Setup = Setup {
    service: "s",
    cold: Duration::ZERO,
    reborn: None,
    hold: MEMORY_HOLD,
    stop: None,
    grace: Duration::ZERO,
    ends: false,
    relays: None,
    cold_upstreams: 0,
    evacuate: None,
    organised: false,
    shares: false,
    places: false,
    judges: false,
};

const ENGINES: Setup = Setup {
    service: "e",
    ..SETUP
};

/// Starts a gateway in front of these upstreams; gives its address.
pub fn start(upstreams: &[SocketAddr]) -> SocketAddr {
    start_for(SETUP, upstreams)
}

/// The same, but the gateway gets its configuration only after a while.
pub fn start_cold(upstreams: &[SocketAddr], after: Duration) -> SocketAddr {
    let cold = after;
    start_for(Setup { cold, ..SETUP }, upstreams)
}

/// The same in front of engines.
pub fn start_engines(upstreams: &[SocketAddr]) -> SocketAddr {
    start_for(ENGINES, upstreams)
}

/// The same, where memory may outlive its use for so long.
pub fn start_engines_holding(upstreams: &[SocketAddr], hold: Duration) -> SocketAddr {
    start_for(Setup { hold, ..ENGINES }, upstreams)
}

/// The same, but after a while all engines are known to have started again.
pub fn start_engines_reborn(upstreams: &[SocketAddr], after: Duration) -> SocketAddr {
    let reborn = Some(after);
    start_for(Setup { reborn, ..ENGINES }, upstreams)
}

/// The same, but after a while it is told to stop, and may take so long for it.
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

/// The same as [`start`], but after a while it is told to stop, and may take so long for it.
/// Then the process ends.
pub fn start_ending(upstreams: &[SocketAddr], after: Duration, grace: Duration) -> SocketAddr {
    let stop = Some(after);
    let setup = Setup {
        stop,
        grace,
        ends: true,
        ..SETUP
    };
    start_for(setup, upstreams)
}

/// The same as [`start`], as one host of several that share these relays. Stops after a
/// while, if that is given.
pub fn start_beside(
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

/// The same, where so many of the first upstreams are cold.
pub fn start_beside_cold(
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

/// The same in front of engines whose slots are accounted for. Stops after a while, if that
/// is given.
pub fn start_admitting(
    upstreams: &[SocketAddr],
    relays: Option<[SocketAddr; 2]>,
    stop: Option<Duration>,
) -> SocketAddr {
    let setup = Setup {
        relays,
        stop,
        grace: Duration::from_secs(4),
        places: true,
        ..ENGINES
    };
    start_for(setup, upstreams)
}

/// The same as [`start`], where the first upstream's failure domain is evacuated after a
/// while.
pub fn start_evacuating(upstreams: &[SocketAddr], after: Duration) -> SocketAddr {
    let evacuate = Some(after);
    start_for(Setup { evacuate, ..SETUP }, upstreams)
}

/// The same as [`start_engines`], for two organisations, as one host of several that share
/// these relays.
pub fn start_engines_shared(
    upstreams: &[SocketAddr],
    relays: [SocketAddr; 2],
    shares: bool,
) -> SocketAddr {
    let setup = Setup {
        relays: Some(relays),
        organised: true,
        shares,
        ..ENGINES
    };
    start_for(setup, upstreams)
}

/// The same as [`start`], as one host of several if there are relays, that may judge upstreams
/// by what hosts observe of them.
pub fn start_judging(
    upstreams: &[SocketAddr],
    relays: Option<[SocketAddr; 2]>,
    judges: bool,
) -> SocketAddr {
    let setup = Setup {
        relays,
        judges,
        ..SETUP
    };
    start_for(setup, upstreams)
}

/// Starts a relay; gives its address.
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
    let instances: Vec<(Upstream, Instance)> = instances
        .map(|(n, address)| instance(&setup, n, address))
        .collect();
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
            if setup.cold.is_zero() {
                view.replace(config.clone());
            }
            let parts = Parts {
                is_source: true,
                ..Parts::default()
            };
            let node = Node::start(node(), view, parts).await.unwrap();
            let handle = node.handle().clone();
            let settings = settings(listen, ready, &setup);
            let dialect = match setup.organised {
                true => Plain::with_organisations(),
                false => Plain::new(),
            };
            let server = server::start(settings, dialect, handle).unwrap();
            started.send(()).unwrap();
            ntex::time::sleep(setup.cold).await;
            node.handle().view().replace(config.clone());
            if let Some(reborn) = setup.reborn {
                ntex::time::sleep(reborn).await;
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
                if setup.ends {
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
        window: Duration::from_secs(10),
        ratio: 0.2,
        min_retries: 5,
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
        },
        features: Features {
            fair_shares: setup.shares,
            slot_admission: setup.places,
            observed_pace: setup.judges,
            ..Features::default()
        },
        seed: next_host(),
        notice: Duration::ZERO,
        grace: setup.grace,
    }
}

/// Hosts that share relays are told apart by their number.
fn next_host() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Tests draw addresses at the same time, so none is drawn twice, and from below
/// the range that the system hands out.
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

/// Sends a request and reads until the connection ends or nothing comes for a
/// while. Gives all bytes, and whether the connection ended.
pub fn ask(gateway: SocketAddr, path: &str) -> (String, bool) {
    ask_within(gateway, path, 1_500)
}

/// The same, with so many milliseconds until its deadline.
pub fn ask_within(gateway: SocketAddr, path: &str, deadline: u64) -> (String, bool) {
    ask_for(gateway, path, deadline, PROMPT)
}

/// The same with a prompt of so many tokens.
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

/// Sends a request and leaves after a while.
pub fn leave(gateway: SocketAddr, path: &str, after: Duration) {
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

/// Sends a short prompt to an engine with an organisation's key. The caller leaves when the
/// connection is dropped.
pub fn send_as(gateway: SocketAddr, key: &str) -> TcpStream {
    let mut stream = TcpStream::connect(gateway).unwrap();
    let request = format!(
        "POST /engine/ HTTP/1.1\r\nhost: h\r\nx-id: {key}\r\nx-key: {key}\r\nx-deadline: 9000\r\n\
         x-usage: 100,10\r\ncontent-length: 2\r\n\r\nhi"
    );
    stream.write_all(request.as_bytes()).unwrap();
    stream
}

/// Reads what comes on a connection until its end, or until nothing comes for so long.
pub fn read(stream: &mut TcpStream, patience: Duration) -> String {
    stream.set_read_timeout(Some(patience)).unwrap();
    let mut bytes = Vec::new();
    // An error ends it as well: what has come is judged.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
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
