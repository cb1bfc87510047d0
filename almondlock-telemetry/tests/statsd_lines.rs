//! What arrives at a statsd address.

use std::{net::UdpSocket, time::Duration};

use almondlock_base::{
    Code,
    unit::{Revision, Tokens},
};
use almondlock_telemetry::metrics::{Config, Length, Metrics};
use yare::parameterized;

#[test]
fn each_figure_has_its_line() {
    let server = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    server
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a timeout");
    let config = Config {
        statsd: server.local_addr().ok(),
        prefix: "almondlock.e1".into(),
    };
    let metrics = Metrics::open(&config).expect("metrics");
    metrics.first_token(Length::Huge, Duration::from_millis(41));
    metrics.refusal(Code::RateLimited);
    metrics.memory_held("engine.7|x", Tokens(9));
    metrics.revision(Revision(12));
    let mut text = String::new();
    while text.lines().count() < 4 {
        let mut packet = [0; 2048];
        let size = server.recv(&mut packet).expect("a packet");
        text.push_str(&String::from_utf8_lossy(&packet[..size]));
    }
    for line in [
        "almondlock.e1.first_token.huge:41|ms",
        "almondlock.e1.refusals.2001:1|c",
        "almondlock.e1.memory_held.engine_7_x:9|g",
        "almondlock.e1.revision:12|g",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} not in {text}");
    }
}

#[test]
fn without_an_address_nothing_happens() {
    let config = Config {
        statsd: None,
        prefix: "p".into(),
    };
    Metrics::open(&config).expect("metrics").retry();
}

#[parameterized(
    short = { 4_096, Length::Short },
    medium = { 4_097, Length::Medium },
    long = { 262_144, Length::Long },
    huge = { 262_145, Length::Huge },
)]
fn lengths(tokens: u64, length: Length) {
    assert_eq!(Length::of(Tokens(tokens)), length);
}
