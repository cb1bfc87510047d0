//! Lookup of routes, services and keys in a published configuration, and refusal of invalid
//! configurations.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use almondlock_base::id::Service;
use almondlock_gateway::rules::{Builder, Kind, Limits, Organisation, Route, Rules, Target};
use yare::parameterized;

fn builder() -> Builder {
    let limits = Limits {
        head: 16_384,
        body: 1 << 20,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    let mut rules = Rules::builder(1, limits);
    for name in ["a", "b"] {
        let target = Target {
            connections: 10,
            cold: None,
            engine: None,
        };
        rules.service(service(name), target).unwrap();
    }
    rules
}

fn service(name: &str) -> Service {
    Service::new(name).unwrap()
}

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        prefix: prefix.into(),
        kind: Kind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        priority: 1,
        split: vec![(service("a"), 1)],
        attempts: 2,
        public: false,
    }
}

#[parameterized(
    longest = { "/x/y/z", Some("long") },
    shorter = { "/x/z", Some("short") },
    exact = { "/x/", Some("short") },
    no_slash = { "/x", None },
    other = { "/y/", None },
)]
fn longest_prefix(path: &str, expected: Option<&str>) {
    let mut rules = builder();
    rules.route(route("short", "/x/")).unwrap();
    rules.route(route("long", "/x/y/")).unwrap();
    let rules = rules.build();
    let found = rules.route("h", path).map(|route| &*route.name);
    assert_eq!(found, expected);
    assert!(rules.route("other", path).is_none());
}

#[test]
fn weighted_split() {
    let mut split = route("r", "/x/");
    split.split = vec![(service("a"), 90), (service("b"), 10)];
    let step = u32::MAX / 1000;
    let drawn = (0..1000).filter_map(|n| split.service(n * step));
    let first = drawn.filter(|name| **name == service("a")).count();
    assert!((895..=905).contains(&first), "{first}");
}

#[parameterized(
    no_time = { |r: &mut Route| r.timeout = Duration::ZERO },
    no_weight = { |r: &mut Route| r.split = vec![(service("a"), 0)] },
    no_service = { |r: &mut Route| r.split = vec![] },
    unknown_service = { |r: &mut Route| r.split = vec![(service("c"), 1)] },
    same_place = { |r: &mut Route| r.prefix = "/taken/".into() },
    bare_prefix = { |r: &mut Route| r.prefix = "/x".into() },
)]
fn invalid_route(spoil: fn(&mut Route)) {
    let mut rules = builder();
    rules.route(route("first", "/taken/")).unwrap();
    let mut next = route("next", "/free/");
    rules.clone().route(next.clone()).unwrap();
    spoil(&mut next);
    assert!(rules.route(next).is_err());
}

#[test]
fn shared_key() {
    let mut rules = builder();
    let organisation = |name: &str| Organisation {
        name: name.into(),
        priority: None,
    };
    let keys: [Arc<str>; 1] = ["k".into()];
    rules.organisation(organisation("one"), &keys).unwrap();
    assert!(rules.organisation(organisation("two"), &keys).is_err());
}

#[test]
fn keys_asked_for() {
    let mut rules = builder();
    rules.route(route("r", "/x/")).unwrap();
    let without = rules.clone().build();
    assert!(!without.needs_key(without.route("h", "/x/").unwrap()));
    let organisation = Organisation {
        name: "one".into(),
        priority: Some(0),
    };
    rules.organisation(organisation, &["k".into()]).unwrap();
    let with = rules.build();
    assert!(with.needs_key(with.route("h", "/x/").unwrap()));
    assert_eq!(&*with.organisation("k").unwrap().name, "one");
    assert!(with.organisation("other").is_none());
}

/// Guards against a lookup that finds another route than a search through all of them.
#[test]
fn same_as_scan() {
    let parts = ["a", "b", "long"];
    let path = |mut n: usize, end: &str| {
        let mut path = String::new();
        while n > 0 {
            path = format!("{path}/{}", parts[n % 3]);
            n /= 3;
        }
        path + end
    };
    let mut rules = builder();
    let prefixes: Vec<String> = (0..80)
        .filter(|n| n % 3 != 1)
        .map(|n| path(n, "/"))
        .collect();
    let mut known: Vec<&String> = Vec::new();
    for prefix in &prefixes {
        if !known.contains(&prefix) {
            known.push(prefix);
            rules.route(route(prefix, prefix)).unwrap();
        }
    }
    let rules = rules.build();
    for n in 0..250 {
        for end in ["", "/", "/x", "x", "//", "?"] {
            let path = path(n, end);
            let longest = known.iter().filter(|prefix| path.starts_with(**prefix));
            let longest = longest.max_by_key(|prefix| prefix.len());
            let found = rules
                .route("h", &path)
                .map(|route| route.prefix.to_string());
            assert_eq!(found, longest.map(|prefix| (*prefix).clone()), "{path}");
        }
    }
}

fn time_of(routes: usize) -> Duration {
    let times = (0..3).map(|_| {
        let begin = Instant::now();
        let mut rules = builder();
        for n in 0..routes {
            rules.route(route("r", &format!("/{n}/"))).unwrap();
        }
        let rules = rules.build();
        for n in 0..routes {
            assert!(rules.route("h", &format!("/{n}/x")).is_some());
        }
        begin.elapsed()
    });
    times.min().unwrap()
}

/// Guards against a search through all routes of a host name when one is added or looked
/// up: with ten times the routes this would take a hundred times as long.
#[test]
fn many_routes() {
    let (few, many) = (time_of(1_000), time_of(10_000));
    assert!(many < few * 40, "{few:?} {many:?}");
}

/// Guards against a path with thousands of slashes that takes long to look up.
#[test]
fn many_slashes() {
    let mut rules = builder();
    rules.route(route("r", "/x/")).unwrap();
    let rules = rules.build();
    let path = "/".repeat(16_000);
    let begin = Instant::now();
    for _ in 0..1_000 {
        assert!(rules.route("h", &path).is_none());
    }
    // Hashing each part of the path would take 0.1 s or more for each lookup.
    assert!(begin.elapsed() < Duration::from_secs(2));
}
