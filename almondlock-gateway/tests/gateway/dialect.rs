//! A minimal dialect for tests.

use std::{net::SocketAddr, time::Duration};

use almondlock_base::id::Service;
use almondlock_gateway::{
    dialect::{Call, Dialect, Names},
    memory::Command,
    rules::{Error, Kind, Limits, Organisation, Route, Rules, Target},
};
use almondlock_policy::{engine::Speed, throttle::Rate};
use ntex::http::header::HeaderName;

/// Requests per second that a cold upstream of the service `s` can take.
pub const COLD_RATE: f64 = 4.0;

const KINDS: [(&str, Kind); 7] = [
    ("safe", Kind::Safe),
    ("single", Kind::Safe),
    ("unsafe", Kind::Unsafe),
    (
        "stream",
        Kind::Stream {
            resumable: true,
            pause: Duration::from_millis(200),
        },
    ),
    (
        "engine",
        Kind::Stream {
            resumable: true,
            pause: Duration::from_millis(200),
        },
    ),
    (
        "slow",
        Kind::Stream {
            resumable: true,
            pause: Duration::from_millis(1_000),
        },
    ),
    (
        "once",
        Kind::Stream {
            resumable: false,
            pause: Duration::from_millis(200),
        },
    ),
];

/// A dialect with one route of each kind, `/KIND/`.
#[derive(Clone)]
pub struct Plain {
    names: Names,
    // Names of the organisations. Each name is also the organisation's key.
    organisations: &'static [&'static str],
}

impl Plain {
    pub fn new() -> Plain {
        let name = HeaderName::from_static;
        let names = Names {
            request_id: name("x-id"),
            deadline: name("x-deadline"),
            key: name("x-key"),
            organisation: name("x-organisation"),
            instance: name("x-instance"),
            priority: name("x-priority"),
            usage: name("x-usage"),
            parts: name("x-parts"),
            helpers: name("x-helpers"),
            seal: name("x-seal"),
            not_run: name("x-not-run"),
            at_fault: name("x-at-fault"),
            load: name("x-load"),
            limit: name("x-limit"),
            backoff: name("retry-after"),
            leaving: name("x-leaving"),
            last_event: name("last-event-id"),
        };
        Plain {
            names,
            organisations: &[],
        }
    }

    /// Like [`Plain::new`], but requests need the key `large` or `small`.
    pub fn with_organisations() -> Plain {
        Plain {
            organisations: &["large", "small"],
            ..Plain::new()
        }
    }
}

impl Dialect for Plain {
    fn names(&self) -> &Names {
        &self.names
    }

    fn parse(&self, _: &str) -> Result<Rules, Error> {
        let limits = Limits {
            head: 16_384,
            body: 1 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        };
        let mut rules = Rules::builder(1, limits);
        let service = Service::new("s").unwrap();
        let target = Target {
            connections: 100,
            cold: Rate::from_per_second(COLD_RATE),
            engine: None,
        };
        rules.service(service.clone(), target)?;
        let engines = Service::new("e").unwrap();
        let target = Target {
            connections: 100,
            cold: None,
            engine: Some(small_engine()),
        };
        rules.service(engines.clone(), target)?;
        for (name, kind) in KINDS {
            let service = match name {
                "engine" | "slow" => &engines,
                _ => &service,
            };
            rules.route(Route {
                name: name.into(),
                host: "h".into(),
                prefix: format!("/{name}/").into(),
                kind,
                timeout: match name {
                    "engine" | "slow" => Duration::from_secs(10),
                    _ => Duration::from_secs(2),
                },
                objective: Duration::from_millis(300),
                priority: 1,
                split: vec![(service.clone(), 1)],
                attempts: if name == "single" { 1 } else { 2 },
                public: false,
            })?;
        }
        for name in self.organisations {
            let organisation = Organisation {
                name: (*name).into(),
                priority: None,
            };
            rules.organisation(organisation, &[(*name).into()])?;
        }
        Ok(rules.build())
    }

    fn shared_parts<'a>(&self, text: &'a str) -> Vec<&'a str> {
        let parts: Vec<&str> = text.split(',').collect();
        parts[..parts.len() - 1].to_vec()
    }

    fn encode_command(&self, order: &Command<'_>) -> Call {
        let (path, body) = match order {
            Command::Reserve { id, .. } => ("/reserve", id),
            Command::Release { id } => ("/release", id),
        };
        Call {
            path,
            content_type: "text/plain",
            body: (*body).to_owned(),
        }
    }

    fn format_helper(&self, address: SocketAddr, memory: Option<&str>) -> String {
        format!("{address}={}", memory.unwrap_or("none"))
    }
}

/// Returns the figures of an engine that holds 1,000 tokens and reads five per millisecond.
fn small_engine() -> Speed {
    Speed {
        slots: 8,
        memory: 1_000,
        step_ms: 1.0,
        step_ms_per_stream: 0.0,
        step_ms_per_context: 0.0,
        tokens_per_ms: 5.0,
        ms_per_megapair: 0.0,
        chunk_tokens: 2048.0,
        steps_per_pass: 1.0,
    }
}
