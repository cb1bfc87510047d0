//! The system as it is deployed: each role a process of its own.

mod fleet;

use std::{
    io::Write,
    net::TcpStream,
    time::{Duration, Instant},
};

use almondlock_platform::counterpart::{self, Beat};
use almondlock_standin::answer;
use fleet::{Fleet, eventually, fast};

/// How long a replica that is told to stop may take: less than the 5 s for which calls wait for
/// a quorum, and half of the time after which it is ended by force.
const STOP_TIME: Duration = Duration::from_secs(4);

/// One request goes through an entry host, a sidecar and an engine, with the
/// configuration made by an operator on the replicas.
#[ntex::test]
async fn end_to_end() {
    let fleet = Fleet::start().await;
    let _sidecar = fleet.sidecar("engine-1", fast()).await;
    let entry = fleet.entry("entry-1").await;
    let whole = Ok(answer::whole("hello", 8));
    eventually(async || fleet.text(&entry, "hello", &[]).await == Some(whole.clone())).await;
}

/// The leader is killed, and then paused while another leads: callers'
/// traffic, also such that may not be repeated, goes on; a change accepted
/// before is still there after it came back, and after all replicas were
/// killed and started again.
#[ntex::test]
async fn leader_lost() {
    let fleet = Fleet::start().await;
    let sidecar = fleet.sidecar("engine-1", fast()).await;
    let entry = fleet.entry("entry-1").await;
    let whole = |prompt: &str| Some(Ok(answer::whole(prompt, 8)));
    eventually(async || fleet.text(&entry, "first", &[]).await == whole("first")).await;
    for round in 0..3 {
        fleet.replicas[round].kill();
        let prompt = format!("round {round}");
        assert_eq!(fleet.text(&entry, &prompt, &[]).await, whole(&prompt));
        let key = format!("key-{round}");
        let headers = [("Idempotency-Key", key.as_str())];
        let once = format!("payment {round}");
        eventually(async || fleet.text(&entry, &once, &headers).await == whole(&once)).await;
        assert_eq!(sidecar.engine.runs(&once), 1);
        fleet.replicas[round].start();
        fleet
            .change(serde_json::json!({"intent": "set-setting", "name": format!("s{round}"), "value": "1"}))
            .await;
    }
    fleet.replicas.iter().for_each(|r| r.kill());
    // No replica at all: repeatable work goes on, the rest is refused as not run.
    assert_eq!(fleet.text(&entry, "alone", &[]).await, whole("alone"));
    let headers = [
        ("Idempotency-Key", "alone"),
        ("X-Almondlock-Deadline-Ms", "1000"),
    ];
    let refused = fleet.text(&entry, "alone once", &headers).await;
    assert_eq!(refused, Some(Err((2008, "no".to_owned()))));
    assert_eq!(sidecar.engine.runs("alone once"), 0);
    fleet.replicas.iter().for_each(|r| r.start());
    // The outcome of a payment from before is still given again.
    let headers = [("Idempotency-Key", "key-0")];
    let again = async || fleet.text(&entry, "payment 0", &headers).await == whole("payment 0");
    eventually(again).await;
    assert_eq!(sidecar.engine.runs("payment 0"), 1);
}

/// An entry host stops as planned: readiness fails first, the answer in
/// progress ends whole, and the process ends with status 0.
#[ntex::test]
async fn entry_stops() {
    let fleet = Fleet::start().await;
    let config = almondlock_standin::engine::Config::default();
    let sidecar = fleet.sidecar("engine-1", config).await;
    let entry = fleet.entry("entry-1").await;
    let whole = Some(Ok(answer::whole("warm", 8)));
    eventually(async || fleet.text(&entry, "warm", &[]).await == whole).await;
    let running = fleet.complete(&entry, "in progress", 100, &[]);
    let stopping = async {
        eventually(async || sidecar.engine.runs("in progress") == 1).await;
        entry.process.terminate();
        eventually(async || entry.process.status().is_some()).await;
        entry.process.status()
    };
    let (response, status) = futures::join!(running, stopping);
    let value: serde_json::Value = response.unwrap().json().await.unwrap();
    assert_eq!(
        value["choices"][0]["text"],
        answer::whole("in progress", 100)
    );
    assert_eq!(status, Some(0));
}

/// A sidecar's process stops as planned while one answer runs and another
/// request waits beside the engine. The running one ends whole; the waiting one
/// is given back as not run and is answered by the other engine.
#[ntex::test]
async fn sidecar_stops() {
    let fleet = Fleet::start().await;
    let config = almondlock_standin::engine::Config {
        batch: 1,
        ..Default::default()
    };
    let old = fleet.sidecar("engine-old", config).await;
    let entry = fleet.entry("entry-1").await;
    let whole = Some(Ok(answer::whole("warm", 8)));
    eventually(async || fleet.text(&entry, "warm", &[]).await == whole).await;
    let running = fleet.complete(&entry, "in progress", 150, &[]);
    let waiting = async {
        eventually(async || old.engine.runs("in progress") == 1).await;
        let headers = [("X-Almondlock-Repeatable", "false")];
        fleet.text(&entry, "waiting", &headers).await
    };
    let stopping = async {
        eventually(async || old.engine.runs("in progress") == 1).await;
        let new = fleet.sidecar("engine-new", fast()).await;
        old.process.terminate();
        eventually(async || old.process.status().is_some()).await;
        (new, old.process.status())
    };
    let (response, waited, (new, status)) = futures::join!(running, waiting, stopping);
    let value: serde_json::Value = response.unwrap().json().await.unwrap();
    assert_eq!(
        value["choices"][0]["text"],
        answer::whole("in progress", 150)
    );
    assert_eq!(waited, Some(Ok(answer::whole("waiting", 8))));
    assert_eq!(old.engine.runs("waiting") + new.engine.runs("waiting"), 1);
    assert_eq!(status, Some(0));
}

/// Guards against a leader that is ended by force, and so never hands its leadership on,
/// because calls on its listeners wait for a quorum that has gone.
#[ntex::test]
async fn leader_stops_alone() {
    let fleet = Fleet::start().await;
    let mut leader = None;
    for n in 0..3 {
        if fleet.propose(n).await {
            leader = Some(n);
        }
    }
    let leader = leader.unwrap();
    for (n, replica) in fleet.replicas.iter().enumerate() {
        if n != leader {
            replica.pause();
        }
    }
    let call = fleet.propose(leader);
    let mut held = Vec::new();
    for name in ["i-1", "i-2"] {
        let mut stream = TcpStream::connect(fleet.directories[leader]).unwrap();
        let body = counterpart::beat(&Beat {
            service: "s",
            address: "127.0.0.1:9".parse().unwrap(),
            domain: "domain-0",
            slots: 1,
            leaving: false,
            cold_left: 0,
            born: 0,
            sequence: 1,
        });
        let head = format!(
            "PUT {} HTTP/1.1\r\nhost: h\r\ncontent-length: {}\r\n\r\n",
            counterpart::instance(name),
            body.len()
        );
        // The next heartbeat comes on the same connection while the first one waits.
        let beat = head + &body;
        stream.write_all(beat.repeat(3).as_bytes()).unwrap();
        held.push(stream);
    }
    let stop = async {
        ntex::time::sleep(Duration::from_millis(300)).await;
        let told = Instant::now();
        fleet.replicas[leader].terminate();
        eventually(async || fleet.replicas[leader].status().is_some()).await;
        told.elapsed()
    };
    let (accepted, took) = futures::join!(call, stop);
    assert!(!accepted);
    assert!(took < STOP_TIME, "{took:?}");
}
