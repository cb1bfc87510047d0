//! Callers send calls that may not be repeated on connections that they opened before the
//! host was told to stop. A call that the host has passed to an upstream must be answered
//! completely; a call that comes too late for that must be refused as not run.

mod fake;
mod gateway;

use std::{
    collections::HashSet,
    env,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
    sync::mpsc::Receiver,
    thread,
    time::Duration,
};

use fake::{Step, answer, field, serve};
use gateway::{read, start_until_exit, status};
use yare::parameterized;

/// Time from the start of a host to its stop.
const STOP: Duration = Duration::from_millis(200);
/// Number of hosts in one case, since it takes chance for a call to meet the end of a stop.
const HOSTS: usize = 6;

/// Environment variable that makes the process a host. It holds the address of the upstream
/// and the duration of the stop in milliseconds.
const HOST: &str = "READ_CALLS_HOST";
/// Text that a host's process prints before its address.
const LISTENS: &str = "listens on ";

/// Starts a process of this program that is a host and ends when the host has stopped.
fn start_process(upstream: SocketAddr, grace: u64) -> (Child, SocketAddr) {
    let mut child = Command::new(env::current_exe().unwrap())
        .args(["--exact", "host_process", "--nocapture"])
        .env(HOST, format!("{upstream} {grace}"))
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let address = lines.find_map(|line| {
        let line = line.unwrap();
        let (_, address) = line.split_once(LISTENS)?;
        Some(address.parse().unwrap())
    });
    thread::spawn(move || lines.for_each(drop));
    (child, address.unwrap())
}

/// Not a test: runs a host if the environment asks for it.
#[test]
fn host_process() {
    let Ok(told) = env::var(HOST) else {
        return;
    };
    let (upstream, grace) = told.split_once(' ').unwrap();
    let grace = Duration::from_millis(grace.parse().unwrap());
    let gateway = start_until_exit(&[upstream.parse().unwrap()], STOP, grace);
    println!("{LISTENS}{gateway}");
    thread::sleep(STOP + grace + Duration::from_secs(5));
}

/// Starts an upstream that takes 120 ms for an answer.
fn upstream() -> (SocketAddr, Receiver<String>) {
    serve(|_| vec![Step::Pause(120), answer("200 OK", "done")])
}

/// Sends one call after another, with a pause between, until the connection ends. Returns
/// the ids of the calls that were answered completely.
fn call(gateway: SocketAddr, caller: usize, pause: Duration) -> Vec<String> {
    let mut answered = Vec::new();
    let mut stream = TcpStream::connect(gateway).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(4)))
        .unwrap();
    for number in 0.. {
        let id = format!("{caller}-{number}");
        let request = format!(
            "POST /unsafe/ HTTP/1.1\r\nhost: h\r\nx-id: {id}\r\nx-deadline: 1500\r\n\
             content-length: 2\r\n\r\nhi"
        );
        if stream.write_all(request.as_bytes()).is_err() {
            break;
        }
        let mut bytes = vec![0; 1024];
        let length = stream.read(&mut bytes).unwrap_or(0);
        let response = String::from_utf8_lossy(&bytes[..length]).into_owned();
        if status(&response) != 200 {
            let is_refusal = response.is_empty() || status(&response) == 503;
            assert!(is_refusal, "{response}");
            break;
        }
        assert!(response.ends_with("done"), "{response}");
        answered.push(id);
        if response.to_ascii_lowercase().contains("connection: close") {
            stream = match TcpStream::connect(gateway) {
                Ok(stream) => stream,
                Err(_) => break,
            };
            stream
                .set_read_timeout(Some(Duration::from_secs(4)))
                .unwrap();
        }
        thread::sleep(pause);
    }
    answered
}

/// Guards against a host that ends while an upstream still runs a call that the host has
/// read.
#[parameterized(
    few = { 2, 15, 2_000 },
    steady = { 24, 1, 1_000 },
)]
fn answered_whole(callers: usize, pause: u64, grace: u64) {
    let hosts = (0..HOSTS).map(|host| {
        thread::spawn(move || {
            let (address, seen) = upstream();
            let (mut process, gateway) = start_process(address, grace);
            let callers = (0..callers).map(|caller| {
                let pause = Duration::from_millis(pause + (host + caller) as u64 % 7);
                thread::spawn(move || call(gateway, caller, pause))
            });
            let callers: Vec<_> = callers.collect();
            let answered = callers
                .into_iter()
                .flat_map(|caller| caller.join().unwrap());
            let answered: HashSet<String> = answered.collect();
            process.wait().unwrap();
            let ran = seen.try_iter().filter_map(|head| field(&head, "x-id"));
            let cut: Vec<String> = ran.filter(|id| !answered.contains(id)).collect();
            (answered.len(), cut)
        })
    });
    for host in hosts.collect::<Vec<_>>() {
        let (answered, cut) = host.join().unwrap();
        assert!(answered > 0);
        assert!(cut.is_empty(), "cut: {cut:?}, of {answered}");
    }
}

/// Guards against a host that accepts calls at the very end of its stop, which it can't
/// finish. They must be refused at once with a time to try again.
#[test]
fn refused_at_the_end() {
    let (address, _seen) = serve(|_| vec![Step::Pause(1_900), answer("200 OK", "done")]);
    let (mut process, gateway) = start_process(address, 2_000);
    let mut busy = TcpStream::connect(gateway).unwrap();
    let mut late = TcpStream::connect(gateway).unwrap();
    gateway::write(&mut busy, "/unsafe/", 2_200);
    thread::sleep(STOP + Duration::from_millis(1_400));
    gateway::write(&mut late, "/unsafe/", 1_500);
    let refused = read(&mut late, Duration::from_millis(300));
    assert_eq!(status(&refused), 503, "{refused}");
    let head = refused.to_ascii_lowercase();
    assert!(head.contains("retry-after: "), "{refused}");
    assert!(head.contains("connection: close"), "{refused}");
    assert_eq!(status(&read(&mut busy, Duration::from_secs(2))), 200);
    process.wait().unwrap();
}
