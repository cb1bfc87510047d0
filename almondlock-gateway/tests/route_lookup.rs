//! Which requests a published configuration takes, and which configurations are
//! refused before they do harm.

use std::{sync::Arc, time::Duration};

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
