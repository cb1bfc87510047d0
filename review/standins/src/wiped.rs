//! Two core machines of five are without power for some seconds. Meanwhile two others lose their
//! disks, which is as many as may be lost. All five come back.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, ZONES},
    http,
    server::{Manner, Server},
};

const CORES: usize = 5;
const FRONTS: usize = 2;
/// Core machines without power, and for how long. The other three are in three zones.
const DARK: [usize; 2] = [3, 4];
const DARK_TIME: Duration = Duration::from_millis(7_000);
/// Core machines that lose their disks, and for how long their processes are down.
const WIPED: [usize; 2] = [0, 1];
const WIPED_TIME: Duration = Duration::from_millis(1_000);
/// `recoverS` of the platform's pages for a deployment of five.
const RECOVER: Duration = Duration::from_secs(15);
const KEY: &str = "keythatstaysvalid001";

fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-app\",\"host\":\"app.example\",\
         \"pathPrefix\":\"/app/\",\"kind\":\"safe\",\"timeoutMs\":1500,\"targetLatencyMs\":300,\
         \"priority\":1,\"service\":\"app\",\"maxAttempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConns\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"house-a\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// Sends requests to all fronts in turn, and counts those that are served.
fn served(fleet: &Fleet, name: &str, count: usize) -> usize {
    let statuses = (0..count).map(|n| {
        let id = format!("{name}-{n}");
        let headers = [
            ("Host", "app.example"),
            ("X-Almondlock-Request-Id", id.as_str()),
            ("X-Almondlock-Deadline-Ms", "1500"),
            ("X-Almondlock-Key", KEY),
        ];
        let to = fleet.fronts[n % FRONTS].at(3);
        let wait = Duration::from_millis(1500);
        let answer = http::call(to, "GET", "/app/state", &headers, "", wait);
        sleep(Duration::from_millis(20));
        answer.map_or(0, |answer| answer.status)
    });
    statuses.filter(|status| *status == 200).count()
}

pub fn run(root: &Path, record: &Path, trouble: bool) -> io::Result<bool> {
    let mut record = File::create(record)?;
    let mut fleet = Fleet::start(root, CORES, FRONTS)?;
    let result = play(&mut fleet, &mut record, trouble);
    fleet.end();
    result
}

fn play(fleet: &mut Fleet, record: &mut File, trouble: bool) -> io::Result<bool> {
    let begin = Instant::now();
    let since = |at: Instant| at.duration_since(begin).as_millis();
    // PART=dark or PART=wiped: one of both disruptions alone.
    let part = std::env::var("PART").unwrap_or_default();
    let (dark, wiped) = (trouble && part != "wiped", trouble && part != "dark");
    writeln!(
        record,
        "times in ms since the start; without power: {dark}, disks lost: {wiped}"
    )?;
    let publish = |fleet: &Fleet, version, allowed| {
        let until = Instant::now() + allowed;
        let answer = fleet.order("PUT", "/api/config", &configuration(version), until);
        answer.is_some_and(|answer| answer.status == 200)
    };
    if !publish(fleet, 10, Duration::from_secs(15)) {
        return Err(io::Error::other(
            "the first configuration isn't acknowledged",
        ));
    }
    fleet.founded()?;
    let mut servers = Vec::new();
    for n in 0..2 {
        let (ip, id, zone) = (fleet.ip(3, n), format!("i-app-{n}"), ZONES[n]);
        let manner = Manner {
            work: Duration::ZERO,
        };
        servers.push(Server::start(
            ip,
            &id,
            "app",
            zone,
            fleet.controls(),
            manner,
        )?);
    }
    while !(0..FRONTS).all(|n| fleet.is_ready(n)) {
        if begin.elapsed() > Duration::from_secs(20) {
            return Err(io::Error::other("the fronts aren't ready"));
        }
        sleep(Duration::from_millis(200));
    }
    // The two that aren't seeds join meanwhile.
    sleep(Duration::from_millis(8_000));
    let before = served(fleet, "before", 20);
    writeln!(
        record,
        "{} requests served before: {before} of 20",
        since(Instant::now())
    )?;
    if dark {
        DARK.iter().for_each(|n| fleet.cores[*n].kill());
        writeln!(
            record,
            "{} core {DARK:?} without power",
            since(Instant::now())
        )?;
    }
    let out = Instant::now();
    sleep(Duration::from_millis(3_000));
    if !publish(fleet, 20, Duration::from_secs(5)) {
        return Err(io::Error::other("version 20 isn't acknowledged"));
    }
    writeln!(record, "{} version 20 acknowledged", since(Instant::now()))?;
    sleep(Duration::from_millis(300));
    if wiped {
        for n in WIPED {
            fleet.wipe(n)?;
        }
        writeln!(
            record,
            "{} core {WIPED:?} lose their disks",
            since(Instant::now())
        )?;
        sleep(WIPED_TIME);
        WIPED.iter().try_for_each(|n| fleet.cores[*n].start())?;
        writeln!(
            record,
            "{} core {WIPED:?} start, empty",
            since(Instant::now())
        )?;
    }
    sleep(DARK_TIME.saturating_sub(out.elapsed()));
    if dark {
        DARK.iter().try_for_each(|n| fleet.cores[*n].start())?;
        writeln!(
            record,
            "{} core {DARK:?} start, their disks as they were",
            since(Instant::now())
        )?;
    }
    let back = Instant::now();
    let reads = |fleet: &Fleet| (0..CORES).map(|n| fleet.read(n)).collect::<Vec<_>>();
    while back.elapsed() < RECOVER {
        sleep(Duration::from_millis(2_500));
        writeln!(
            record,
            "{} read back: {:?}",
            since(Instant::now()),
            reads(fleet)
        )?;
    }
    // The operator reads it back for longer than contactMs.
    let mut newest = None;
    let end = Instant::now() + Duration::from_secs(6);
    while Instant::now() < end {
        let all = reads(fleet);
        writeln!(record, "{} read back: {all:?}", since(Instant::now()))?;
        newest = newest.max(all.into_iter().filter_map(Result::ok).max());
        sleep(Duration::from_millis(500));
    }
    let after = served(fleet, "after", 20);
    writeln!(
        record,
        "{} requests served after: {after} of 20",
        since(Instant::now())
    )?;
    let next = publish(fleet, 30, Duration::from_secs(6));
    writeln!(
        record,
        "{} version 30 acknowledged: {next}",
        since(Instant::now())
    )?;
    for process in fleet.cores.iter_mut().chain(&mut fleet.fronts) {
        if process.has_ended() {
            writeln!(record, "{} has ended by itself", process.name)?;
        }
    }
    servers.iter_mut().for_each(Server::crash);
    writeln!(
        record,
        "the newest version that was read back, later than {} s after all machines were back: \
         {newest:?}; 20 was acknowledged",
        RECOVER.as_secs()
    )?;
    Ok(newest.is_some_and(|version| version >= 20))
}
