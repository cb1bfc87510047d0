//! The entry of KNOWN-RED.txt with `soak --seed 19 --replace` (issue 49), as one course: a
//! replica is replaced by one at another address, another one is killed for a while, and loses
//! its disk soon after it is back. Not a case of the review; the report names its results.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::fleet::{Fleet, TERM};

/// When the second replica is killed, the first one told to stop, the second one started again,
/// and its disk lost, after the start of the newcomer.
const KILL: Duration = Duration::from_millis(1_733);
const STOP: Duration = Duration::from_millis(1_898);
const BACK: Duration = Duration::from_millis(3_504);
const LOSS: Duration = Duration::from_millis(4_184);
/// For how long the process is down whose disk is lost.
const DOWN: Duration = Duration::from_millis(317);
/// `recoverS` of the platform's pages for a deployment of three.
const RECOVER: Duration = Duration::from_secs(12);

const CONFIGURATION: &str = r#"{"version":10,"routes":[],"services":[],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}"#;

pub fn run(root: &Path, record: &Path) -> io::Result<bool> {
    let mut record = File::create(record)?;
    let mut fleet = Fleet::start(root, 3, 1)?;
    let result = play(&mut fleet, &mut record);
    fleet.end();
    result
}

fn play(fleet: &mut Fleet, record: &mut File) -> io::Result<bool> {
    let until = Instant::now() + Duration::from_secs(15);
    let answer = fleet.order("PUT", "/api/config", CONFIGURATION, until);
    answer.ok_or(io::Error::other("the configuration isn't acknowledged"))?;
    fleet.founded()?;
    sleep(Duration::from_secs(3));
    let first = fleet.leader().ok_or(io::Error::other("nobody leads"))?;
    let (second, third) = ((first + 1) % 3, (first + 2) % 3);
    let newcomer = fleet.newcomer(first)?;
    let begin = Instant::now();
    let wait = |at: Duration| sleep(at.saturating_sub(begin.elapsed()));
    fleet.cores[newcomer].start()?;
    wait(KILL);
    fleet.cores[second].kill();
    wait(STOP);
    fleet.cores[first].signal(TERM);
    wait(BACK);
    fleet.cores[second].start()?;
    wait(LOSS);
    fleet.wipe(second)?;
    fleet.cores[first].kill();
    sleep(DOWN);
    fleet.cores[second].start()?;
    let back = Instant::now();
    let mut last = Vec::new();
    while back.elapsed() < RECOVER + Duration::from_secs(6) {
        sleep(Duration::from_secs(1));
        let places = [second, third, newcomer];
        last = places.iter().map(|n| fleet.read(*n)).collect();
        writeln!(
            record,
            "{} ms after all are back: {last:?}",
            back.elapsed().as_millis()
        )?;
    }
    Ok(last.iter().any(Result::is_ok))
}
