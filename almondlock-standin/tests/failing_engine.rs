//! An engine that fails all its requests for a while, and the log of what arrives again.

mod common;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use almondlock_standin::{
    engine::Config,
    failing::{Failing, Log, Manner},
};
use ntex::http::Method;
use serde_json::json;
use yare::parameterized;

use crate::common::{call, config, start};

fn failing(manner: Manner) -> Failing {
    Failing {
        manner,
        lasts: Duration::from_secs(10),
        pause: Duration::ZERO,
    }
}

async fn ask(address: SocketAddr, prompt: &str) -> u16 {
    let body = json!({ "prompt": prompt, "max_tokens": 2 });
    let answer = call(Method::POST, address, "/v1/completions", Some(body)).await;
    answer.unwrap().0
}

#[parameterized(
    refuse = { Manner::Refuse, 503, 0 },
    fail = { Manner::Fail, 500, 0 },
    silent = { Manner::Silent, 500, 50 },
)]
#[test_macro(ntex::test)]
async fn failed(manner: Manner, status: u16, millis: u64) {
    let engine = start(Config {
        failing: Some(failing(manner)),
        ..config()
    });
    let begun = Instant::now();
    assert_eq!(ask(engine.address(), "a menu").await, status);
    assert!(begun.elapsed() >= Duration::from_millis(millis));
    assert_eq!((engine.seen().arrived, engine.seen().started), (1, 0));
}

// What the second engine gets again is a retry, though it is new there.
#[ntex::test]
async fn arrived_again() {
    let log = Log::default();
    let bad = start(Config {
        failing: Some(failing(Manner::Refuse)),
        log: log.clone(),
        ..config()
    });
    let good = start(Config {
        log: log.clone(),
        ..config()
    });
    ask(bad.address(), "a menu").await;
    ask(good.address(), "another").await;
    assert!(log.repeats().is_empty());
    assert_eq!(ask(good.address(), "a menu").await, 200);
    assert_eq!(log.repeats().len(), 1);
    log.clear();
    assert!(log.repeats().is_empty());
}

#[test]
fn turns() {
    let failing = Failing::parse("fail:2000:3000").unwrap();
    let manner = |millis| failing.manner(Duration::from_millis(millis));
    assert_eq!(manner(2_999), None);
    assert_eq!(
        manner(3_500),
        Some((Manner::Fail, Duration::from_millis(1_500)))
    );
    assert_eq!(manner(5_000), None);
    assert!(manner(8_000).is_some());
}

#[parameterized(
    kind = { "sulk:1:1" },
    number = { "fail:x:1" },
    short = { "fail:1" },
    never = { "fail:0:1" },
    long = { "fail:1:1:1" },
)]
fn refused(text: &str) {
    assert_eq!(Failing::parse(text), None);
}
