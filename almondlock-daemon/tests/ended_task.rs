//! A task panics that the process can't do without, in each role. The process ends with an
//! error that names the task, so that its supervisor starts it again.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::atomic::{AtomicU16, Ordering},
    thread,
    time::{Duration, Instant},
};

use almondlock_daemon::Process;
use tokio::time::{sleep, timeout};
use yare::parameterized;

/// Time within which a process must have ended.
const END_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for the process to start its tasks.
const START_TIME: Duration = Duration::from_millis(400);
/// An address where nobody listens.
const NOBODY: &str = "127.0.0.1:9";

/// Returns an unused address below the range that the system hands out.
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

/// The addresses of a process that other processes use.
struct Addresses {
    announce: SocketAddr,
    entry: SocketAddr,
    ready: SocketAddr,
}

/// Writes the settings of a process with every role. `others` are the group's other replicas.
fn every_role(folder: &Path, others: &[&str]) -> Addresses {
    let [inner, admin, directory, exchange] = [(); 4].map(|()| free_address());
    let [announce, entry, gateway, ready] = [(); 4].map(|()| free_address());
    let key = almondlock_state::operator::hash_key("key");
    let seeds = others.iter().map(|other| format!("seeds = {other}\n"));
    let seeds: String = seeds.collect();
    let members = others.iter().map(|other| format!(", two@{other}@{other}"));
    let members: String = members.collect();
    let text = format!(
        "[host]\nname = one\ndomain = d\nregion = r\nlisten = {inner}\n{seeds}\
         data = data\n\
         [replica]\nadmin = {admin}\nmembers = one@{inner}@{admin}{members}\n\
         operator_key = {key}\nrepairs = yes\n\
         [directory]\nlisten = {directory}\nexchange = {exchange}\n\
         [sidecar]\nannounce = {announce}\n\
         [entry]\nlisten = {entry}\ndrain_delay = 0\n\
         [gateway]\nlisten = {gateway}\nready = {ready}\nexchange = {exchange}\n"
    );
    fs::write(folder.join("node.ini"), text).unwrap();
    Addresses {
        announce,
        entry,
        ready,
    }
}

/// Writes the settings of a process that follows others, which are missing.
fn follower(folder: &Path) {
    let [inner, gateway, ready] = [(); 3].map(|()| free_address());
    let text = format!(
        "[host]\nname = one\ndomain = d\nregion = r\nlisten = {inner}\nseeds = {NOBODY}\n\
         [gateway]\nlisten = {gateway}\nready = {ready}\n"
    );
    fs::write(folder.join("node.ini"), text).unwrap();
}

/// Starts the process of a folder, makes its tasks of one name panic, and returns the error
/// that the process ends with. `prepare` runs in between.
fn end_by<F>(folder: &Path, task: &'static str, prepare: F) -> Option<String>
where
    F: FnOnce() + 'static,
{
    let settings = almondlock_settings::load(folder.join("node.ini")).unwrap();
    let system = ntex::rt::System::new("process", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let process = Process::start(&settings).await.unwrap();
        let owner = process.handle().owner().clone();
        sleep(START_TIME).await;
        prepare();
        sleep(START_TIME).await;
        assert!(
            owner.is_sound(),
            "{:?}",
            timeout(START_TIME, owner.failed()).await
        );
        let running = process.wait();
        let inject = async {
            // Waits until the process has begun to wait for its end.
            sleep(START_TIME).await;
            owner.inject_panic(task);
        };
        let (ended, ()) = tokio::join!(timeout(END_TIMEOUT, running), inject);
        ended.ok()?.err().map(|error| format!("{error:#}"))
    })
}

/// Guards against a task that ends alone and leaves a process that does half of its work.
#[parameterized(
    inner_listener = { "inner-listener" },
    source_exchange = { "source-exchange" },
    disk_reports = { "disk-reports" },
    replica_settle = { "replica-settle" },
    replica_tick = { "replica-tick" },
    replica_duties = { "replica-duties" },
    replica_repair = { "replica-repair" },
    replica_requests = { "replica-requests" },
    replica_sender = { "replica-sender" },
    plan_driver = { "plan-driver" },
    seed = { "seed" },
    load_relay = { "load-relay" },
    memory_renewal = { "memory-renewal" },
    probes = { "probes" },
    announcements = { "announcements" },
    versions = { "versions" },
    sweep = { "sweep" },
    lease_releases = { "lease-releases" },
    suspension_watch = { "suspension-watch" },
    host_exchange = { "host-exchange" },
    callers_listener = { "callers-listener" },
    readiness_listener = { "readiness-listener" },
    announce_listener = { "announce-listener" },
    operators_listener = { "operators-listener" },
    directory_listener = { "directory-listener" },
    hang_ups = { "hang-ups" },
    panic_count = { "panic-count" },
)]
fn process_ends(task: &'static str) {
    let folder = tempfile::tempdir().unwrap();
    every_role(folder.path(), &[NOBODY]);
    let error = end_by(folder.path(), task, || ());
    let expected = format!("the process can't go on: the task {task} panicked");
    assert_eq!(error, Some(expected));
}

/// Guards against a process that goes on for good with the configuration that it had.
#[test]
fn follower_ends() {
    let folder = tempfile::tempdir().unwrap();
    follower(folder.path());
    let error = end_by(folder.path(), "config-fetch", || ());
    assert!(error.unwrap().contains("config-fetch panicked"));
}

fn announce(to: SocketAddr) {
    let body =
        format!(r#"{{"name":"prices","address":"{NOBODY}","kind":"service","service":"prices"}}"#);
    let request = format!(
        "POST /announce HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let response = ask(to, &request);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

fn ask(to: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(END_TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    response
}

/// Guards against a sidecar that takes requests and whose queue, health checks, engine memory
/// or registration nobody looks after.
#[parameterized(
    sidecar_tick = { "sidecar-tick" },
    health_check = { "health-check" },
    memory_upkeep = { "memory-upkeep" },
    registration_renewal = { "registration-renewal" },
)]
fn sidecar_ends(task: &'static str) {
    let folder = tempfile::tempdir().unwrap();
    let to = every_role(folder.path(), &[NOBODY]).announce;
    let error = end_by(folder.path(), task, move || {
        thread::spawn(move || announce(to));
    });
    assert!(error.unwrap().contains(task));
}

/// Asks on another thread, since this one runs the process.
async fn is_ready(to: SocketAddr) -> bool {
    let get = "GET /readyz HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    let asking = tokio::task::spawn_blocking(move || ask(to, get));
    asking.await.unwrap().starts_with("HTTP/1.1 200")
}

/// Guards against a host that says it is ready, or holds callers' requests, between the end
/// of a task and its own.
#[test]
fn refused_until_end() {
    let folder = tempfile::tempdir().unwrap();
    let Addresses { entry, ready, .. } = every_role(folder.path(), &[]);
    let settings = almondlock_settings::load(folder.path().join("node.ini")).unwrap();
    let system = ntex::rt::System::new("process", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let process = Process::start(&settings).await.unwrap();
        let owner = process.handle().owner().clone();
        let begin = Instant::now();
        while !is_ready(entry).await {
            assert!(begin.elapsed() < END_TIMEOUT, "not ready");
            sleep(START_TIME).await;
        }
        owner.inject_panic("sweep");
        owner.failed().await;
        let begin = Instant::now();
        assert!(!is_ready(entry).await && !is_ready(ready).await);
        assert!(begin.elapsed() < START_TIME, "{:?}", begin.elapsed());
        let ended = timeout(END_TIMEOUT, process.wait()).await;
        assert!(ended.unwrap().is_err());
    });
}
