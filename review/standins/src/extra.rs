//! Two model servers with little free memory refuse to set some aside for long prompts. One of
//! them is faulty for some seconds: it sends answers a second time, late, where the next answer
//! on the connection is expected.

use std::{
    collections::HashMap,
    fs::File,
    io::{self, Write},
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    engine::Engine,
    fleet::{Fleet, ZONES},
    http,
    server::{Manner, Server, lock},
};

const FRONTS: usize = 2;
const ENGINES: usize = 2;
/// For how long the first of them is faulty.
const FAULTY: Duration = Duration::from_millis(5_000);

const CONFIGURATION: &str = r#"{"version":10,"routes":[{"name":"r-ask","host":"ask.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":8000,"priority":1,"service":"pool","maxAttempts":2,"public":true,"sticky":true,"resumable":false,"gapAimMs":500}],"services":[{"name":"pool","healthPath":"/health","maxConns":274,"protocol":"h1","tls":false,"engine":{"slots":16,"kvTokenCap":450000,"kvTokenBytes":327680,"linkMbps":400000.0,"stride":46,"models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"usual":{"prompt":13239,"answer":1540},"hopMs":0.1}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}"#;

struct Sent {
    id: String,
    at: Instant,
    status: Option<u16>,
    /// The id and the seal that the answer bears.
    bears: (String, String),
    body: String,
}

/// Sends prompts of one length after one another, with pauses.
fn client(
    (name, to): (&str, SocketAddr),
    (tokens, pause): (u64, Duration),
    over: &AtomicBool,
    sent: &Mutex<Vec<Sent>>,
) {
    let mut number = 0;
    while !over.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{name}-{number}");
        let at = Instant::now();
        let usage = format!("{tokens},100");
        let parts = format!("5c1e07a2:40,{number:08x}:{}", tokens - 40);
        let headers = [
            ("Host", "ask.example"),
            ("X-Almondlock-Request-Id", id.as_str()),
            ("X-Almondlock-Deadline-Ms", "10000"),
            ("X-Almondlock-Model", "m"),
            ("X-Almondlock-Token-Usage", usage.as_str()),
            ("X-Almondlock-Prompt-Prefix", parts.as_str()),
        ];
        let wait = Duration::from_secs(3);
        let answer = http::call(to, "POST", "/ask/", &headers, "{}", wait);
        let text = |answer: &http::Answer, name| answer.header(name).unwrap_or("none").to_owned();
        let bears = answer.as_ref().map(|answer| {
            let id = text(answer, "x-almondlock-request-id");
            (id, text(answer, "x-almondlock-response-seal"))
        });
        lock(sent).push(Sent {
            id,
            at,
            status: answer.as_ref().ok().map(|answer| answer.status),
            bears: bears.unwrap_or_default(),
            body: answer.map_or_else(|error| error.to_string(), |answer| answer.body),
        });
        sleep(pause);
    }
}

pub fn run(root: &Path, record: &Path, trouble: bool) -> io::Result<bool> {
    let mut record = File::create(record)?;
    let mut fleet = Fleet::start(root, FRONTS)?;
    let result = play(&mut fleet, &mut record, trouble);
    fleet.end();
    result
}

fn play(fleet: &mut Fleet, record: &mut File, trouble: bool) -> io::Result<bool> {
    let begin = Instant::now();
    let since = |at: Instant| at.duration_since(begin).as_millis();
    writeln!(record, "times in ms since the start; trouble: {trouble}")?;
    let until = begin + Duration::from_secs(15);
    let answer = fleet.order("PUT", "/api/config", CONFIGURATION, until);
    answer.ok_or(io::Error::other("the configuration isn't acknowledged"))?;
    let engines: Vec<Arc<Engine>> = (0..ENGINES).map(|_| Arc::default()).collect();
    let mut servers = Vec::new();
    for (n, engine) in engines.iter().enumerate() {
        let (ip, id, zone) = (fleet.ip(3, n), format!("i-pool-{n}"), ZONES[n]);
        let manner = Manner {
            work: Duration::ZERO,
            engine: Some(Arc::clone(engine)),
        };
        let server = Server::start(ip, &id, "pool", zone, fleet.controls(), manner)?;
        servers.push(server);
    }
    while !(0..FRONTS).all(|n| fleet.is_ready(n)) {
        if begin.elapsed() > Duration::from_secs(20) {
            return Err(io::Error::other("the fronts aren't ready"));
        }
        sleep(Duration::from_millis(200));
    }
    sleep(Duration::from_millis(3000));
    let over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for front in 0..FRONTS {
        let to = fleet.fronts[front].at(3);
        let kinds = [
            ("long", 230_000, Duration::from_millis(250)),
            ("short-a", 2_000, Duration::from_millis(20)),
            ("short-b", 2_000, Duration::from_millis(20)),
            ("short-c", 2_000, Duration::from_millis(20)),
        ];
        for (kind, tokens, pause) in kinds {
            let (over, sent) = (Arc::clone(&over), Arc::clone(&sent));
            let name = format!("{kind}-{front}");
            clients.push(thread::spawn(move || {
                client((&name, to), (tokens, pause), &over, &sent);
            }));
        }
    }
    sleep(Duration::from_millis(2000));
    let faulty = Instant::now();
    engines[0].is_faulty.store(trouble, Ordering::SeqCst);
    sleep(FAULTY);
    engines[0].is_faulty.store(false, Ordering::SeqCst);
    sleep(Duration::from_millis(1500));
    over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    servers.iter_mut().for_each(Server::crash);
    let doubled = engines[0].doubled.load(Ordering::SeqCst);
    let answers = engines[0].answers.load(Ordering::SeqCst);
    writeln!(
        record,
        "from {} on for {} ms {} sent {doubled} of its {answers} answers twice",
        since(faulty),
        FAULTY.as_millis(),
        servers[0].id
    )?;
    for (at, what, next) in &*lock(&engines[0].log) {
        writeln!(
            record,
            "{} sent again: {what}; before the answer to {next}",
            since(*at)
        )?;
    }
    let mut ran = HashMap::new();
    for server in &servers {
        for run in &*lock(&server.runs) {
            ran.insert(run.id.clone(), (server.id.clone(), run.at));
        }
    }
    let copies: Vec<String> = lock(&engines[0].log)
        .iter()
        .map(|(_, what, _)| what.clone())
        .collect();
    let (mut foreign, mut served) = (0, 0);
    for sent in &*lock(&sent) {
        served += usize::from(sent.status == Some(200));
        // Neither the request's id nor a seal, and the words of the answer to an order.
        let unmarked = sent.bears == ("none".to_owned(), "none".to_owned());
        let is_copy = copies
            .iter()
            .any(|what| !sent.body.is_empty() && what.contains(&sent.body));
        let wrong = sent.status == Some(409) && unmarked && is_copy;
        foreign += usize::from(wrong);
        if sent.status == Some(200) || sent.id.starts_with("long") {
            continue;
        }
        let place = ran
            .get(&sent.id)
            .map_or("nowhere".to_owned(), |(server, at)| {
                format!("by {server} at {}, which answered 200", since(*at))
            });
        writeln!(
            record,
            "{} {}: answer {:?}, bears id {} and seal {}, body {:?}; run {place}{}",
            since(sent.at),
            sent.id,
            sent.status,
            sent.bears.0,
            sent.bears.1,
            sent.body,
            if wrong { " FOREIGN" } else { "" }
        )?;
    }
    for process in fleet.cores.iter_mut().chain(&mut fleet.fronts) {
        if process.has_ended() {
            writeln!(record, "{} has ended by itself", process.name)?;
        }
    }
    writeln!(
        record,
        "requests served: {served}; answers to orders that clients got for their requests: {foreign}"
    )?;
    Ok(foreign == 0)
}
