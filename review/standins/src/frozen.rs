//! A follower is suspended. Meanwhile a key is taken away. The follower wakes when the time for
//! that is long over; at this moment the leader's process and those of half of the entry hosts
//! are killed, and are started again within a second.

use std::{
    fs::File,
    io::{self, Write},
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    fleet::{CONT, Fleet, Process, STOP, ZONES},
    http,
    server::{Manner, Server},
};

const FRONTS: usize = 16;
/// Entry hosts that are killed, the first of them.
const KILLED: usize = 8;
/// Links between replicas that answer nothing are given up after a second: what is accepted
/// later than that doesn't wait for the follower on an old link.
const UNTIL_CHANGE: Duration = Duration::from_millis(1_300);
/// `revokeMs` of the platform's pages.
const REVOKE: Duration = Duration::from_millis(5_000);
/// For how long after the wake requests are sent.
const AFTER: Duration = Duration::from_millis(3_500);
/// A process that was killed is started again after this long; the replica after a second.
const RESTART: Duration = Duration::from_millis(200);
const RESTART_CORE: Duration = Duration::from_millis(1_000);

fn configuration(version: u64, keys: &[(&str, &str)]) -> String {
    let tenants: Vec<String> = keys
        .iter()
        .map(|(name, key)| {
            format!("{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"priority\":1}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-app\",\"host\":\"app.example\",\
         \"pathPrefix\":\"/app/\",\"kind\":\"unsafe\",\"timeoutMs\":1500,\"targetLatencyMs\":300,\
         \"priority\":1,\"service\":\"app\",\"maxAttempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConns\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
        tenants.join(",")
    )
}

struct Sent {
    id: String,
    key: &'static str,
    front: usize,
    at: Instant,
    status: String,
}

/// Sends one request with a key and notes what came of it.
fn send((front, to): (usize, SocketAddr), key: &'static str, id: String) -> Sent {
    let at = Instant::now();
    let headers = [
        ("Host", "app.example"),
        ("X-Almondlock-Request-Id", id.as_str()),
        ("X-Almondlock-Deadline-Ms", "1500"),
        ("X-Almondlock-Key", key),
    ];
    let wait = Duration::from_millis(1500);
    let answer = http::call(to, "POST", "/app/order", &headers, "{}", wait);
    let status = match answer {
        Ok(answer) => answer.status.to_string(),
        Err(error) => format!("none ({:?})", error.kind()),
    };
    Sent {
        id,
        key,
        front,
        at,
        status,
    }
}

const TAKEN: &str = "keythatistakenaway01";
const KEPT: &str = "keythatstaysvalid001";

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
    writeln!(record, "times in ms since the start; trouble: {trouble}")?;
    let first = configuration(10, &[("house-a", TAKEN), ("house-b", KEPT)]);
    let until = begin + Duration::from_secs(15);
    let answer = fleet.order("PUT", "/api/config", &first, until);
    let answer = answer.ok_or(io::Error::other(
        "the first configuration isn't acknowledged",
    ))?;
    writeln!(
        record,
        "{} version 10 sent, answer {}",
        since(Instant::now()),
        answer.status
    )?;
    fleet.founded()?;
    let mut servers = Vec::new();
    for n in 0..2 {
        let ip = fleet.ip(3, n);
        let zone = ZONES[n];
        let (id, manner) = (
            format!("i-app-{n}"),
            Manner {
                work: Duration::ZERO,
            },
        );
        servers.push(Server::start(
            ip,
            &id,
            "app",
            zone,
            fleet.controls(),
            manner,
        )?);
    }
    let all_serve = |fleet: &Fleet| {
        (0..FRONTS).all(|n| {
            fleet.is_ready(n)
                && send((n, fleet.fronts[n].at(3)), TAKEN, format!("warm-{n}")).status == "200"
        })
    };
    while !all_serve(fleet) {
        if begin.elapsed() > Duration::from_secs(20) {
            return Err(io::Error::other("the fronts don't serve"));
        }
        sleep(Duration::from_millis(200));
    }
    sleep(Duration::from_millis(1500));
    let leader = fleet.leader().ok_or(io::Error::other("nobody leads"))?;
    let follower = (leader + 1) % 3;
    writeln!(
        record,
        "{} leader core-{leader}, follower core-{follower}",
        since(Instant::now())
    )?;
    if trouble {
        fleet.cores[follower].signal(STOP);
        writeln!(
            record,
            "{} suspended core-{follower}",
            since(Instant::now())
        )?;
    }
    let suspended = Instant::now();
    sleep(UNTIL_CHANGE);
    let second = configuration(20, &[("house-b", KEPT)]);
    let until = Instant::now() + Duration::from_secs(4);
    let answer = fleet.order_from(leader, "PUT", "/api/config", &second, until);
    let acknowledged = Instant::now();
    match answer {
        Some(answer) if answer.status == 200 => {}
        _ => return Err(io::Error::other("version 20 isn't acknowledged")),
    }
    writeln!(
        record,
        "{} version 20 acknowledged, without the key {TAKEN}",
        since(acknowledged)
    )?;
    sleep(REVOKE + Duration::from_millis(300));
    if trouble {
        fleet.cores[leader].kill();
        fleet.fronts.iter_mut().take(KILLED).for_each(Process::kill);
        fleet.cores[follower].signal(CONT);
        writeln!(
            record,
            "{} core-{follower} wakes after {} ms; the processes of core-{leader} and of {KILLED} of {FRONTS} fronts are killed",
            since(Instant::now()),
            suspended.elapsed().as_millis()
        )?;
    }
    let woken = Instant::now();
    if trouble {
        sleep(RESTART);
        fleet
            .fronts
            .iter_mut()
            .take(KILLED)
            .try_for_each(Process::start)?;
        writeln!(
            record,
            "{} these fronts are started again",
            since(Instant::now())
        )?;
    }
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for front in 0..FRONTS {
        for (word, key) in [("taken", TAKEN), ("kept", KEPT)] {
            let (sent, to) = (Arc::clone(&sent), fleet.fronts[front].at(3));
            callers.push(thread::spawn(move || {
                let mut n = 0;
                while woken.elapsed() < AFTER {
                    n += 1;
                    let one = send((front, to), key, format!("{word}-{front}-{n}"));
                    sent.lock().unwrap_or_else(|e| e.into_inner()).push(one);
                    sleep(Duration::from_millis(20));
                }
            }));
        }
    }
    if trouble {
        sleep(RESTART_CORE.saturating_sub(woken.elapsed()));
        fleet.cores[leader].start()?;
        writeln!(
            record,
            "{} core-{leader} is started again",
            since(Instant::now())
        )?;
    }
    for caller in callers {
        let _ = caller.join();
    }
    sleep(Duration::from_millis(1500));
    servers.iter_mut().for_each(Server::crash);
    let mut sent = sent.lock().unwrap_or_else(|e| e.into_inner());
    sent.sort_by_key(|sent| sent.at);
    let mut broken = 0;
    for sent in &*sent {
        let run = servers
            .iter()
            .find_map(|server| Some((server, server.ran(&sent.id)?)));
        let ran = run.as_ref().map_or("not run".to_owned(), |(server, run)| {
            format!(
                "run by {} at {} for {}",
                server.id,
                since(run.at),
                run.tenant
            )
        });
        let late = sent.at.duration_since(acknowledged);
        let wrong = sent.key == TAKEN && run.is_some() && late > REVOKE;
        broken += usize::from(wrong);
        if sent.key == KEPT && sent.status == "200" {
            // Counted below.
            continue;
        }
        writeln!(
            record,
            "{} {} to front-{}, {} ms after the acknowledgement: answer {}, {ran}{}",
            since(sent.at),
            sent.id,
            sent.front,
            late.as_millis(),
            sent.status,
            if wrong { " BROKEN" } else { "" }
        )?;
    }
    for process in fleet.cores.iter_mut().chain(&mut fleet.fronts) {
        if process.has_ended() {
            writeln!(record, "{} has ended by itself", process.name)?;
        }
    }
    let kept = sent
        .iter()
        .filter(|sent| sent.key == KEPT && sent.status == "200")
        .count();
    writeln!(
        record,
        "requests with the taken key that ran, sent over {} ms after the acknowledgement: {broken}; \
         requests with the other key that were served: {kept}",
        REVOKE.as_millis()
    )?;
    Ok(broken == 0)
}
