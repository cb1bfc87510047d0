//! A server that names a `Server-Limit` crashes, and starts again under the id that it had.
//! Afterwards a configuration moves a route to another service.

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
    fleet::{Fleet, ZONES},
    http,
    server::{Manner, Server, lock},
};

const FRONTS: usize = 5;
/// Servers of the first service, one of which crashes.
const SERVERS: usize = 7;
/// For how long it is down.
const DOWN: Duration = Duration::from_millis(3_000);
/// `configApplyMs` of the platform's pages.
const APPLY: Duration = Duration::from_millis(2_000);
const MANNER: Manner = Manner {
    work: Duration::from_millis(30),
};

fn configuration(version: u64, service: &str) -> String {
    let service_entry = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":110,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-app\",\"host\":\"app.example\",\
         \"pathPrefix\":\"/app/\",\"kind\":\"unsafe\",\"timeoutMs\":1500,\
         \"targetLatencyMs\":300,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\
         \"public\":true}}],\"services\":[{},{}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[]}}",
        service_entry("first"),
        service_entry("second"),
    )
}

struct Sent {
    id: String,
    front: usize,
    at: Instant,
    status: String,
}

/// Sends a request each 100 ms to each front in turn, until told to end.
fn client(fronts: &[SocketAddr], over: &AtomicBool, sent: &Mutex<Vec<Sent>>) {
    let mut number = 0;
    while !over.load(Ordering::SeqCst) {
        let front = number % fronts.len();
        number += 1;
        let id = format!("q{number}");
        let at = Instant::now();
        let headers = [
            ("Host", "app.example"),
            ("X-Almondlock-Request-Id", id.as_str()),
            ("X-Almondlock-Deadline-Ms", "1500"),
        ];
        let wait = Duration::from_millis(1500);
        let answer = http::call(fronts[front], "POST", "/app/order", &headers, "{}", wait);
        let status = match answer {
            Ok(answer) => answer.status.to_string(),
            Err(error) => format!("none ({:?})", error.kind()),
        };
        lock(sent).push(Sent {
            id,
            front,
            at,
            status,
        });
        sleep(Duration::from_millis(10));
    }
}

pub fn run(root: &Path, record: &Path, trouble: bool) -> io::Result<bool> {
    let mut record = File::create(record)?;
    let mut fleet = Fleet::start(root, 3, FRONTS)?;
    let result = play(&mut fleet, &mut record, trouble);
    fleet.end();
    result
}

fn play(fleet: &mut Fleet, record: &mut File, trouble: bool) -> io::Result<bool> {
    let begin = Instant::now();
    let since = |at: Instant| at.duration_since(begin).as_millis();
    // LIMIT=0: the server names no limit. Its restart alone does no harm.
    let limited = std::env::var("LIMIT").map_or(true, |text| text != "0");
    writeln!(
        record,
        "times in ms since the start; trouble: {trouble}, limit named: {limited}"
    )?;
    let until = begin + Duration::from_secs(15);
    let first = configuration(10, "first");
    let answer = fleet.order("PUT", "/api/config", &first, until);
    answer.ok_or(io::Error::other("the configuration isn't acknowledged"))?;
    let mut servers = Vec::new();
    for n in 0..SERVERS + 2 {
        let service = if n < SERVERS { "first" } else { "second" };
        let (ip, id) = (fleet.ip(3, n), format!("i-{service}-{n}"));
        let zone = ZONES[n % ZONES.len()];
        servers.push(Server::start(
            ip,
            &id,
            service,
            zone,
            fleet.controls(),
            MANNER,
        )?);
    }
    let ready = |fleet: &Fleet| (0..FRONTS).all(|n| fleet.is_ready(n));
    while !ready(fleet) {
        if begin.elapsed() > Duration::from_secs(20) {
            return Err(io::Error::other("the fronts aren't ready"));
        }
        sleep(Duration::from_millis(200));
    }
    sleep(Duration::from_millis(2500));
    let (over, sent) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(Mutex::new(Vec::new())),
    );
    let fronts: Vec<SocketAddr> = fleet.fronts.iter().map(|front| front.at(3)).collect();
    let caller = {
        let (over, sent) = (Arc::clone(&over), Arc::clone(&sent));
        thread::spawn(move || client(&fronts, &over, &sent))
    };
    sleep(Duration::from_millis(1000));
    if limited {
        *lock(&servers[0].limit) = Some("20.0");
        let now = since(Instant::now());
        writeln!(record, "{now} {} names Server-Limit: 20.0", servers[0].id)?;
    }
    sleep(Duration::from_millis(3000));
    if trouble {
        servers[0].crash();
        writeln!(
            record,
            "{} {} crashes",
            since(Instant::now()),
            servers[0].id
        )?;
    }
    sleep(DOWN);
    if trouble {
        servers[0].start_again()?;
        let now = since(Instant::now());
        writeln!(record, "{now} {} starts again under its id", servers[0].id)?;
    }
    sleep(Duration::from_millis(4000));
    let until = Instant::now() + Duration::from_secs(4);
    let second = configuration(20, "second");
    let answer = fleet.order("PUT", "/api/config", &second, until);
    let acknowledged = Instant::now();
    if !answer.is_some_and(|answer| answer.status == 200) {
        return Err(io::Error::other("version 20 isn't acknowledged"));
    }
    let now = since(acknowledged);
    writeln!(
        record,
        "{now} version 20 acknowledged: the route goes to the service second"
    )?;
    sleep(APPLY + Duration::from_millis(6000));
    over.store(true, Ordering::SeqCst);
    let _ = caller.join();
    servers.iter_mut().for_each(Server::crash);
    judge(fleet, record, &servers, &lock(&sent), (begin, acknowledged))
}

fn judge(
    fleet: &mut Fleet,
    record: &mut File,
    servers: &[Server],
    sent: &[Sent],
    (begin, acknowledged): (Instant, Instant),
) -> io::Result<bool> {
    let since = |at: Instant| at.duration_since(begin).as_millis();
    let mut ran = HashMap::new();
    for server in servers {
        for run in &*lock(&server.runs) {
            ran.insert(run.id.clone(), (server.id.clone(), run.at));
        }
    }
    let mut old = [0; FRONTS];
    let mut new = [0; FRONTS];
    for sent in sent {
        let run = ran.get(&sent.id);
        let place = run.map_or("nowhere".to_owned(), |(server, at)| {
            format!("by {server} at {}", since(*at))
        });
        let is_late = sent.at > acknowledged + APPLY;
        let by = |service: &str| run.is_some_and(|(server, _)| server.contains(service));
        let wrong = is_late && by("first");
        old[sent.front] += usize::from(wrong);
        new[sent.front] += usize::from(is_late && by("second"));
        if sent.status == "200" && sent.at < acknowledged {
            continue;
        }
        writeln!(
            record,
            "{} {} to front-{}: answer {}; run {place}{}",
            since(sent.at),
            sent.id,
            sent.front,
            sent.status,
            if wrong { " BROKEN" } else { "" }
        )?;
    }
    for process in fleet.cores.iter_mut().chain(&mut fleet.fronts) {
        if process.has_ended() {
            writeln!(record, "{} has ended by itself", process.name)?;
        }
    }
    writeln!(
        record,
        "requests sent over {} ms after the acknowledgement, by front: run by the old service \
         {old:?}, by the new one {new:?}",
        APPLY.as_millis()
    )?;
    Ok(old.iter().all(|count| *count == 0))
}
