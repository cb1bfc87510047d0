//! Upstreams whose answers never end, against the system's own processes, beside ordinary
//! callers of other upstreams.
//!
//! A process must neither end nor hang, must stay within the memory of its machine, and must
//! go on serving ordinary callers. No caller gets such an answer as a complete one.

mod crowd;
mod fleet;

use std::time::Duration;

use almondlock_platform::counterpart::{self, Kind as RouteKind};
use crowd::{Door, Kind, Play, Report, endless, watch::Watched};
use fleet::{
    CALLER_KEY, Fleet, Limits, Process,
    gateway::{Gateway, HOST, KEY, SERVICE, Upstream},
};

/// Memory of the smallest entry host, and of a sidecar's machine.
const ENTRY_MEMORY: u64 = 160 << 20;
const SIDECAR_MEMORY: u64 = 192 << 20;
/// How long each plays.
const SPAN: Duration = Duration::from_millis(2_500);
/// How long a request may take in calm.
const CALM: Duration = Duration::from_secs(4);
/// Callers at one time.
const CALLERS: usize = 48;
/// The service whose answers never end.
const ENDLESS: &str = "endless";

fn door(gateway: &Gateway, path: &str) -> Door {
    Door {
        address: gateway.callers,
        method: "POST",
        path: path.to_owned(),
        headers: vec![
            ("host", HOST.to_owned()),
            (counterpart::KEY, KEY.to_owned()),
            (counterpart::DEADLINE, "4000".to_owned()),
        ],
        around: ("", ""),
        fields: ("", "", ""),
    }
}

/// An entry host in front of an ordinary service and one whose upstreams the test adds.
struct Site {
    fleet: Fleet,
    _sound: Upstream,
    gateway: Gateway,
}

impl Site {
    async fn start() -> Site {
        let fleet = Fleet::start().await;
        let routes = [
            ("once", RouteKind::Unsafe, SERVICE),
            ("flood", RouteKind::Safe, ENDLESS),
            ("stream", RouteKind::Stream, ENDLESS),
        ];
        fleet.publish_routes(&routes).await;
        Site {
            _sound: fleet.upstream("sound", 16).await,
            gateway: fleet
                .gateway("gate", "memory = 160\n", Limits::default())
                .await,
            fleet,
        }
    }

    async fn play(&self, (kind, count): (Kind, usize), doors: &[Door], span: Duration) -> Report {
        let play = Play {
            kinds: &[(kind, count)],
            doors,
            ordinary: door(&self.gateway, "/once/ordinary-"),
            watched: vec![Watched {
                name: "entry host".to_owned(),
                id: self.gateway.process.id().unwrap(),
                memory: ENTRY_MEMORY,
                listeners: vec![self.gateway.callers],
            }],
            span,
            seed: crowd::seed(),
        };
        play.run().await
    }
}

fn check(what: &str, report: &Report) {
    report.check(what);
    let complete = report.outcomes.iter().find(|(_, status)| *status == 200);
    assert_eq!(complete, None, "{what}: it was taken for complete");
}

/// Guards against answers without an end that end an entry host, on plain routes and on
/// streams.
#[ntex::test]
async fn entry_host() {
    let site = Site::start().await;
    let doors = ["/flood/", "/stream/"].map(|path| door(&site.gateway, path));
    for part in endless::ALL {
        let name = format!("endless-{part:?}");
        let upstream = (endless::start(part), 64);
        let announced = site.fleet.announce(&name, ENDLESS, upstream).await;
        let report = site.play((Kind::Small, CALLERS), &doors, SPAN).await;
        check(&format!("entry host, {part:?}"), &report);
        let status = site.gateway.process.status();
        assert_eq!(status, None, "{part:?}: it ended");
        drop(announced);
    }
}

/// Guards against answers that their callers don't read, which take memory until the
/// connection ends.
#[ntex::test]
async fn unread_answers() {
    let site = Site::start().await;
    let large = (endless::start(endless::Part::Nothing), 64);
    let _announced = site.fleet.announce("large", ENDLESS, large).await;
    let flood = [door(&site.gateway, "/flood/")];
    fleet::eventually(async || reads_large(&flood[0]).await).await;
    let crowd = (Kind::Deaf, 2 * CALLERS);
    let report = site.play(crowd, &flood, 2 * SPAN).await;
    report.check("unread answers");
    assert_eq!(site.gateway.process.status(), None, "it ended");
    assert!(reads_large(&flood[0]).await, "not served in calm");
}

/// Whether a caller that reads gets a large answer.
async fn reads_large(door: &Door) -> bool {
    let answer = door.answer(0, b"", CALM).await;
    answer.is_some_and(|a| a.status == 200 && a.body.len() == endless::LARGE)
}

/// Guards against events without an end that end a sidecar, which reads them into memory.
#[ntex::test]
async fn sidecar() {
    let fleet = Fleet::start().await;
    let config = fleet::fast();
    for part in endless::ALL {
        let engine = endless::start(part);
        let name = format!("engine-{part:?}").to_lowercase();
        let (process, announcing) = fleet.sidecar_of(&name, engine, &config).await;
        let entry = fleet
            .entry_with(&format!("entry-{name}"), "memory = 160\n")
            .await;
        let completions = Door {
            address: entry.address,
            method: "POST",
            path: "/v1/completions".to_owned(),
            headers: vec![
                ("host", "models.example".to_owned()),
                ("authorization", format!("Bearer {CALLER_KEY}")),
                ("content-type", "application/json".to_owned()),
            ],
            around: (
                r##"{"model":"almond","max_tokens":4,"prompt":"# "##,
                r##""}"##,
            ),
            fields: ("", "", ""),
        };
        let watched = |name: &str, process: &Process, memory| Watched {
            name: name.to_owned(),
            id: process.id().unwrap(),
            memory,
            listeners: Vec::new(),
        };
        let play = Play {
            kinds: &[(Kind::Small, CALLERS)],
            doors: std::slice::from_ref(&completions),
            ordinary: Door {
                method: "GET",
                path: "/readyz".to_owned(),
                ..completions.clone()
            },
            watched: vec![
                watched("entry host", &entry.process, ENTRY_MEMORY),
                watched("sidecar", &process, SIDECAR_MEMORY),
            ],
            span: SPAN,
            seed: crowd::seed(),
        };
        let report = play.run().await;
        check(&format!("sidecar, {part:?}"), &report);
        assert_eq!(process.status(), None, "{part:?}: the sidecar ended");
        assert_eq!(
            entry.process.status(),
            None,
            "{part:?}: the entry host ended"
        );
        announcing.abort();
    }
}
