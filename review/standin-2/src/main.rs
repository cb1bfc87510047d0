//! Trials of the second independent review. `trial CASE FOLDER` runs one against the project's
//! own programs, writes FOLDER/record.txt, and exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case couldn't run. With `TROUBLE=0` it leaves the disruption out.

mod client;
mod fleet;
mod http;
mod record;
mod server;
mod template;

use std::{
    net::SocketAddr,
    path::Path as Folder,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{sleep, spawn},
    time::Duration,
};

use client::{End, HOST, KEY};
use fleet::{Class, Fleet, call_control};
use http::Reader;
use record::Record;
use server::{Manner, NOT_FREE, Path, Server, unix_millis};

/// A service that the configuration names.
const SERVICE: &str = "quote-api";
/// Another one.
const OTHER: &str = "hours-api";
/// One of model servers.
const ENGINES: &str = "almondlock-pool";
/// For so long a server is faulty.
const FAULTY: Duration = Duration::from_secs(5);
/// Bounds of the site: an acknowledged configuration is in force everywhere after this long, and
/// machines are in touch this long after what kept them from it.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
const CONTACT: Duration = Duration::from_secs(3);
/// A server that leaves serves on for this long after the acknowledgement.
const DRAIN: Duration = Duration::from_secs(2);
/// For this long a partition holds up what was sent.
const HELD_UP: Duration = Duration::from_secs(3);
/// Time for which a machine that is new, or that is back, still counts as lost.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Bound of the site: from this long after the machines are back, a quarter has to be served.
const RECOVER: Duration = Duration::from_secs(12);
/// The longest time that the operator wants a stream of these trials kept waiting.
const STREAM_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Objective and pause of these streams.
const OBJECTIVE: Duration = Duration::from_millis(1_500);
const PAUSE: Duration = Duration::from_millis(500);

type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: trial CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let trouble = !trouble;
    let record = match Record::create(&Folder::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    let outcome = match case.as_str() {
        "cut-control" => cut_control(&record, trouble),
        "stranger" => stranger(&record, trouble),
        "endless-body" => endless_body(&record, trouble),
        "moved-core" => moved_core(&record, trouble),
        "late-notice" => late_notice(&record, trouble),
        "order-answer" => order_answer(&record, trouble),
        "replaced-core" => replaced_core(&record, trouble),
        _ => Err(format!("there is no case {case}")),
    };
    match outcome {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("the rule was BROKEN");
            ExitCode::from(1)
        }
        Err(reason) => {
            record.say(&format!("the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
    }
}

/// The operator's configuration. Requests for opening hours go to `open`, and need no key.
fn configuration(version: u64, open: &str) -> String {
    let route = |name: &str, (kind, service): (&str, &str), more: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\
             {more}}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":400,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let plain = route(
        "slot-check",
        ("safe", SERVICE),
        "\"public\":false,\"timeoutMs\":1500,\"targetLatencyMs\":300",
    );
    let hours = route(
        "opening-hours",
        ("safe", open),
        "\"public\":true,\"timeoutMs\":1500,\"targetLatencyMs\":300",
    );
    let (timeout, objective) = (STREAM_TIMEOUT.as_millis(), OBJECTIVE.as_millis());
    let stream = route(
        "event-file",
        ("streaming", SERVICE),
        &format!(
            "\"public\":false,\"timeoutMs\":{timeout},\"targetLatencyMs\":{objective},\
             \"sticky\":true,\"resumable\":true,\"gapAimMs\":{}",
            PAUSE.as_millis()
        ),
    );
    let contract = route(
        "contract-read",
        ("streaming", ENGINES),
        "\"public\":false,\"timeoutMs\":10000,\"targetLatencyMs\":8000,\"sticky\":true,\
         \"resumable\":false,\"gapAimMs\":500",
    );
    let engines = format!(
        "{{\"name\":\"{ENGINES}\",\"healthPath\":\"/health\",\"maxConns\":274,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":16,\"kvTokenCap\":450000,\
         \"kvTokenBytes\":327680,\"linkMbps\":400000.0,\"stride\":46,\"models\":[{{\"name\":\"m\"}}],\
         \"step_ms\":0.925,\"per_seq_ms\":0.00483,\"context_per_k\":0.00254,\
         \"read_per_s\":256000.0,\"pairs_per_m\":0.0917,\"chunk\":2048,\
         \"report_lag_ms\":200.0,\"usual\":{{\"prompt\":13239,\"answer\":1540}},\"hopMs\":0.1}}}}"
    );
    let services = [service(SERVICE), service(OTHER), engines].join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{plain},{hours},{stream},{contract}],\"services\":[{services}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"hule930\",\
         \"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// A deployment that serves, with its servers.
struct Running {
    fleet: Fleet,
    servers: Vec<Arc<Server>>,
    path: Path,
    fronts: Vec<SocketAddr>,
}

fn start(record: &Record, manners: &[Manner]) -> Result<Running, String> {
    start_service(record, SERVICE, manners)
}

/// Starts a deployment whose servers are all of one service.
fn start_service(
    record: &Record,
    service: &'static str,
    manners: &[Manner],
) -> Result<Running, String> {
    let mut fleet = Fleet::new(record).map_err(|error| error.to_string())?;
    fleet.start(true).map_err(|error| error.to_string())?;
    let path = Path::default();
    // Those that take the place of others are on the operator's list from the start; until they
    // run, a call there is refused at once.
    let control: Vec<SocketAddr> = (0..6).map(|place| fleet.control(place)).collect();
    let zones = ["mladost-hall", "lozenets-hall", "obelya-hall"];
    let mut servers = Vec::new();
    for (place, manner) in manners.iter().enumerate() {
        let named = (format!("i-7f3a91c{place}"), service, zones[place % 3]);
        let address = SocketAddr::new(fleet.ip(4, place).into(), 0);
        let server = Server::start(named, address, *manner, control.clone(), &path, record);
        servers.push(server.map_err(|error| error.to_string())?);
    }
    if !fleet.publish(&configuration(1, SERVICE), Duration::from_secs(15)) {
        return Err("the first configuration isn't acknowledged".to_owned());
    }
    if !fleet.wait_ready(Duration::from_secs(15)) {
        return Err("the fronts aren't ready".to_owned());
    }
    let fronts = (0..2).map(|place| fleet.front(place)).collect();
    // All servers have been heard by then.
    sleep(Duration::from_secs(3));
    Ok(Running {
        fleet,
        servers,
        path,
        fronts,
    })
}

/// The final fault of the pages: right after a configuration was acknowledged all processes are
/// killed, and are back within a second. Then RECOVER, as the rule says it.
fn final_fault(running: &mut Running, record: &Record, before: (usize, usize)) -> Outcome {
    let Running { fleet, fronts, .. } = running;
    if fleet.ended() > 0 {
        return Err("a process ended by itself".to_owned());
    }
    if !fleet.publish(&configuration(2, SERVICE), Duration::from_secs(10)) {
        return Err("the last configuration isn't acknowledged".to_owned());
    }
    fleet.kill();
    sleep(Duration::from_millis(500));
    fleet.start(false).map_err(|error| error.to_string())?;
    sleep(RECOVER);
    let beats = |servers: &[Arc<Server>]| -> u64 {
        let counts = servers.iter();
        counts
            .map(|server| server.acknowledged.load(Ordering::SeqCst))
            .sum()
    };
    let acknowledged = beats(&running.servers);
    let (asked, served) = client::ask(fronts, Duration::from_secs(5), "after", record);
    let acknowledged = beats(&running.servers) - acknowledged;
    record.say(&format!(
        "before the final fault {} of {} requests were served; from {} s after the machines were \
         back {served} of {asked}; {acknowledged} heartbeats of {} servers were acknowledged in \
         these 5 s",
        before.1,
        before.0,
        RECOVER.as_secs(),
        running.servers.len(),
    ));
    if before.1 * 4 < before.0 {
        return Err("less than a quarter was served before".to_owned());
    }
    Ok(served * 4 >= asked)
}

/// All servers lose their way to control for some seconds.
fn cut_control(record: &Record, trouble: bool) -> Outcome {
    let mut running = start(record, &[Manner::Plain; 4])?;
    let mut before = client::ask(&running.fronts, Duration::from_secs(10), "calm", record);
    if trouble {
        record.say("servers are partitioned from control");
        running.path.cut(true);
    }
    let during = client::ask(&running.fronts, Duration::from_secs(13), "during", record);
    running.path.cut(false);
    if trouble {
        record.say("the partition has healed");
    }
    let healed = client::ask(&running.fronts, Duration::from_secs(5), "healed", record);
    record.say(&format!(
        "served: calm {} of {}, during the partition {} of {}, after it {} of {}",
        before.1, before.0, during.1, during.0, healed.1, healed.0
    ));
    before.0 += during.0 + healed.0;
    before.1 += during.1 + healed.1;
    final_fault(&mut running, record, before)
}

/// Heartbeats come from another writer: under the servers' ids, for a service that no
/// configuration names.
fn stranger(record: &Record, trouble: bool) -> Outcome {
    let mut running = start(record, &[Manner::Plain; 4])?;
    let mut before = client::ask(&running.fronts, Duration::from_secs(10), "calm", record);
    if trouble {
        for server in &running.servers {
            let address = SocketAddr::new(running.fleet.ip(5, 0).into(), 9);
            let body = server.beat("ledger-of-others", address, unix_millis(), 1);
            let call = format!("/api/instances/{}", server.id);
            let answer = call_control(running.fleet.control(0), ("PUT", &call), &body);
            let status = answer.map(|answer| answer.status()).unwrap_or(0);
            record.say(&format!(
                "another writer: heartbeat for {} of service ledger-of-others, answered {status}",
                server.id
            ));
        }
    }
    let after = client::ask(&running.fronts, Duration::from_secs(6), "then", record);
    record.say(&format!(
        "served: calm {} of {}, after the other writer's heartbeats {} of {}",
        before.1, before.0, after.1, after.0
    ));
    before.0 += after.0;
    before.1 += after.1;
    final_fault(&mut running, record, before)
}

/// One server of four sends an event and then bytes that are no event, without end.
fn endless_body(record: &Record, trouble: bool) -> Outcome {
    let bad = match trouble {
        true => Manner::Endless,
        false => Manner::Stream,
    };
    let manners = [bad, Manner::Stream, Manner::Stream, Manner::Stream];
    let running = start(record, &manners)?;
    // What clients bear: two seconds, four objectives or eight pauses without an event.
    let patience = Duration::from_secs(2).max(OBJECTIVE * 4).max(PAUSE * 8);
    let deadline = Duration::from_secs(10);
    let streams = (0..60).map(|n| {
        let (to, record) = (running.fronts[n % 2], record.clone());
        sleep(Duration::from_millis(20));
        spawn(move || client::stream(to, &format!("s-{n}"), deadline, patience, &record))
    });
    let streams: Vec<_> = streams.collect();
    let ends = streams.into_iter().map(|thread| thread.join());
    let ends: Vec<End> = ends.filter_map(|end| end.ok()?.ok()).collect();
    let span = |end: &End| match end {
        End::Final(span) | End::Closed(span) | End::Abandoned(span) => *span,
    };
    let bound = STREAM_TIMEOUT + Duration::from_millis(500);
    let longer = ends.iter().filter(|end| span(end) > STREAM_TIMEOUT).count();
    let late = ends.iter().filter(|end| span(end) > bound).count();
    let longest = ends.iter().map(span).max().unwrap_or_default();
    let abandoned = ends.iter().filter(|end| matches!(end, End::Abandoned(_)));
    record.say(&format!(
        "{} streams; {longer} lasted longer than timeoutMs ({} ms); {late} of them had no final \
         answer half a second later; the longest {} ms; {} were abandoned by their clients",
        ends.len(),
        STREAM_TIMEOUT.as_millis(),
        longest.as_millis(),
        abandoned.count(),
    ));
    if ends.len() < 50 {
        return Err("too few streams".to_owned());
    }
    Ok(!(late >= 8 && late * 4 > longer))
}

/// A front is suspended while the cores are replaced one after the other by new ones, and goes on.
fn moved_core(record: &Record, trouble: bool) -> Outcome {
    let mut running = start(record, &[Manner::Plain; 2])?;
    let fleet = &mut running.fleet;
    let control: Vec<SocketAddr> = (0..6).map(|place| fleet.control(place)).collect();
    let named = ("i-90ab1200".to_owned(), OTHER, "obelya-hall");
    let path = Path::default();
    let address = SocketAddr::new(fleet.ip(4, 9).into(), 0);
    let other = Server::start(
        named,
        address,
        Manner::Plain,
        control.clone(),
        &path,
        record,
    );
    other.map_err(|error| error.to_string())?;
    sleep(Duration::from_secs(2));
    let fail = |error: std::io::Error| error.to_string();
    // Clients keep their connections.
    let patience = Duration::from_secs(2);
    let mut kept = Vec::new();
    for (n, front) in running.fronts.iter().enumerate() {
        let mut reader = Reader::new(http::connect(*front, patience).map_err(fail)?);
        let (status, body) = client::ask_on(
            &mut reader,
            "/opening-hours/a",
            &format!("first-{n}"),
            record,
        )
        .map_err(fail)?;
        if status != 200 || !body.ends_with(SERVICE) {
            return Err(format!("front {n} doesn't serve: {status} {body}"));
        }
        kept.push(reader);
    }
    if trouble {
        record.say("front 0 is suspended");
        fleet.signal(Class::Front, 0, "STOP").map_err(fail)?;
    }
    for old in 0..3 {
        fleet
            .replace(old, old + 3, Duration::from_secs(1))
            .map_err(fail)?;
        // The new one counts as lost until it has had this time.
        sleep(CATCH_UP - Duration::from_secs(1));
    }
    if trouble {
        fleet.signal(Class::Front, 0, "CONT").map_err(fail)?;
        record.say("front 0 goes on");
    }
    // Its settings name the new cores, and it is told so.
    for front in 0..2 {
        fleet.change_settings(front).map_err(fail)?;
    }
    sleep(CONTACT);
    if !fleet.publish(&configuration(2, OTHER), Duration::from_secs(10)) {
        return Err("the new configuration isn't acknowledged".to_owned());
    }
    sleep(CONFIG_APPLY.max(CONTACT));
    let mut stale = 0;
    for round in 0..20 {
        for (n, reader) in kept.iter_mut().enumerate() {
            let id = format!("later-{n}-{round}");
            let answer = client::ask_on(reader, "/opening-hours/a", &id, record);
            if let Ok((200, body)) = answer
                && body.ends_with(SERVICE)
            {
                stale += 1;
            }
        }
        sleep(Duration::from_millis(250));
    }
    record.say(&format!(
        "from {} s after the acknowledgement of the new configuration, {stale} of 40 requests were \
         run by the old service",
        CONFIG_APPLY.max(CONTACT).as_secs()
    ));
    Ok(stale == 0)
}

/// Servers are replaced in place, one after the other: each says that it leaves, is gone, and
/// starts again under its id. A partition holds up the first copy of the notice that it is gone.
fn late_notice(record: &Record, trouble: bool) -> Outcome {
    let mut running = start(record, &[Manner::Plain; 4])?;
    let mut before = client::ask(&running.fronts, Duration::from_secs(8), "calm", record);
    let control: Vec<SocketAddr> = (0..3).map(|n| running.fleet.control(n)).collect();
    let (fronts, asking) = (running.fronts.clone(), record.clone());
    let span = Duration::from_secs(25);
    let during = spawn(move || client::ask(&fronts, span, "release", &asking));
    let zones = ["mladost-hall", "lozenets-hall", "obelya-hall"];
    for place in 0..running.servers.len() {
        let server = Arc::clone(&running.servers[place]);
        server.leave();
        // By then a heartbeat has said so and was acknowledged.
        sleep(Duration::from_millis(1_300) + DRAIN);
        let call = format!("/api/instances/{}", server.id);
        if trouble {
            let (to, call, late) = (control[place % 3], call.clone(), record.clone());
            let id = server.id.clone();
            record.say(&format!(
                "server {id}: DELETE sent to {to}, where a partition holds it up"
            ));
            spawn(move || {
                sleep(HELD_UP);
                let answer = call_control(to, ("DELETE", &call), "");
                let status = answer.map(|answer| answer.status()).unwrap_or(0);
                late.say(&format!(
                    "server {id}: held up DELETE arrives, answered {status}"
                ));
            });
            // No answer within a second: the next node is called.
            sleep(Duration::from_secs(1));
        }
        let others = (0..3).map(|n| control[(place + 1 + n) % 3]);
        let answers = others.map(|to| call_control(to, ("DELETE", &call), ""));
        let mut answers = answers.filter_map(Result::ok);
        if !answers.any(|answer| answer.status() == 200) {
            return Err("a notice isn't acknowledged".to_owned());
        }
        record.write(&format!("server {}: DELETE acknowledged", server.id));
        server.exit();
        sleep(Duration::from_millis(500));
        let named = (server.id.clone(), SERVICE, zones[place % 3]);
        let all: Vec<SocketAddr> = (0..6).map(|n| running.fleet.control(n)).collect();
        let again = Server::start(
            named,
            server.address,
            Manner::Plain,
            all,
            &running.path,
            record,
        );
        running.servers[place] = again.map_err(|error| error.to_string())?;
        record.write(&format!("server {}: started again", server.id));
        sleep(Duration::from_secs(1));
    }
    let during = during.join().map_err(|_| "a thread failed")?;
    let after = client::ask(&running.fronts, Duration::from_secs(3), "then", record);
    record.say(&format!(
        "served: calm {} of {}, during the release {} of {}, after it {} of {}",
        before.1, before.0, during.1, during.0, after.1, after.0
    ));
    before.0 += during.0 + after.0;
    before.1 += during.1 + after.1;
    final_fault(&mut running, record, before)
}

/// One of two model servers sends some of its answers a second time, late. Among these are
/// refusals of orders for memory, which long prompts make the fronts send.
fn order_answer(record: &Record, trouble: bool) -> Outcome {
    let running = start_service(record, ENGINES, &[Manner::Engine; 2])?;
    let over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (n, front) in running.fronts.iter().copied().enumerate() {
        let long = ("long", 230_000, Duration::from_millis(250));
        let short = |name| (name, 2_000, Duration::from_millis(20));
        for (kind, tokens, pause) in [long, short("short-a"), short("short-b"), short("short-c")] {
            let (over, record) = (Arc::clone(&over), record.clone());
            clients.push(spawn(move || {
                let (mut asked, mut foreign) = (0, 0);
                while !over.load(Ordering::SeqCst) {
                    let id = format!("{kind}-{n}-{asked}");
                    asked += 1;
                    if let Ok((_, is_own, body)) = client::prompt(front, &id, tokens, &record)
                        && !is_own
                        && body == NOT_FREE
                    {
                        foreign += 1;
                        record.write(&format!("client: {id} got the answer to an order"));
                    }
                    sleep(pause);
                }
                (asked, foreign)
            }));
        }
    }
    sleep(Duration::from_secs(2));
    let faulty = &running.servers[0];
    faulty.faulty.store(trouble, Ordering::SeqCst);
    sleep(FAULTY);
    faulty.faulty.store(false, Ordering::SeqCst);
    sleep(Duration::from_secs(2));
    over.store(true, Ordering::SeqCst);
    let counts = clients.into_iter().filter_map(|client| client.join().ok());
    let (asked, foreign) = counts.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    record.say(&format!(
        "{asked} requests; the faulty server sent {} of its {} answers twice; {foreign} requests \
         got the answer to an order, without an id and a seal",
        faulty.doubled.load(Ordering::SeqCst),
        faulty.answers.load(Ordering::SeqCst),
    ));
    if asked < 100 {
        return Err("too few requests".to_owned());
    }
    Ok(foreign == 0)
}

/// A core is replaced as planned: the new one has run for seconds, and the old one is told to
/// stop. Just before, another core has lost its disk, right after it acknowledged a
/// configuration.
fn replaced_core(record: &Record, trouble: bool) -> Outcome {
    let mut running = start(record, &[Manner::Plain; 2])?;
    let before = client::ask(&running.fronts, Duration::from_secs(3), "calm", record);
    let fleet = &mut running.fleet;
    let fail = |error: std::io::Error| error.to_string();
    fleet.add_core(3).map_err(fail)?;
    sleep(CATCH_UP * 3);
    let leader = fleet.leader(&configuration(1, SERVICE));
    let leader = leader.ok_or("nobody leads")?;
    let old = (0..3).find(|core| *core != leader).unwrap_or_default();
    if !fleet.publish(&configuration(2, SERVICE), Duration::from_secs(5)) {
        return Err("the configuration isn't acknowledged".to_owned());
    }
    if trouble {
        record.say(&format!(
            "core {leader} loses its disk after its acknowledgement"
        ));
        fleet.lose_disk(leader).map_err(fail)?;
    }
    sleep(Duration::from_millis(200));
    record.say(&format!(
        "core {old} is told to stop, core 3 is in its place"
    ));
    fleet.signal(Class::Core, old, "TERM").map_err(fail)?;
    sleep(Duration::from_secs(1));
    if trouble {
        fleet.add_core(leader).map_err(fail)?;
    }
    fleet.remove_core(old).map_err(fail)?;
    sleep(RECOVER);
    let mut read = None;
    for _ in 0..10 {
        read = read.max(fleet.read());
        sleep(Duration::from_millis(500));
    }
    let is_taken = fleet.publish(&configuration(3, SERVICE), Duration::from_secs(5));
    let after = client::ask(&running.fronts, Duration::from_secs(3), "after", record);
    record.say(&format!(
        "version 2 was acknowledged; from {} s after all were back, for 5 s, reads gave {}; version \
         3 is acknowledged: {is_taken}; requests served: {} of {} before, {} of {} after",
        RECOVER.as_secs(),
        read.map_or("nothing".to_owned(), |version| format!("version {version}")),
        before.1,
        before.0,
        after.1,
        after.0
    ));
    Ok(read.is_some_and(|version| version >= 2))
}
