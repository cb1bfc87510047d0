//! Somebody else sets the bounds that an entry host must keep: how soon a key
//! stops working, how many further attempts there may be, when a process is ended
//! by force. Its own settings are cut to them, never stretched.

use std::time::Duration;

use almondlock_settings::{Gateway, parse};
use yare::parameterized;

fn text(lines: &str) -> String {
    format!(
        "[host]\nname = e1\ndomain = d1\nregion = r1\nlisten = 127.0.0.1:7400\n\
         seeds = 127.0.0.1:7300\n[gateway]\nlisten = 127.0.0.1:7001\n\
         ready = 127.0.0.1:7002\n{lines}\n"
    )
}

fn gateway(lines: &str) -> Gateway {
    parse("e1.ini", &text(lines)).unwrap().gateway.unwrap()
}

#[parameterized(
    own = { "", 3_500 },
    looser = { "revocation = 60000", 3_500 },
    tighter = { "revocation = 3000", 2_100 },
)]
fn oldest(lines: &str, millis: u64) {
    assert_eq!(gateway(lines).oldest(), Duration::from_millis(millis));
}

#[parameterized(
    usual = { "", 0.2 },
    own = { "retry_percent = 15", 0.15 },
    looser = { "retry_percent = 15\nretry_share = 0.2", 0.15 },
    owners = { "retry_share = 0.3", 0.3 },
    tighter = { "retry_percent = 15\nretry_share = 0.1", 0.1 },
    none = { "retry_share = 0", 0.0 },
)]
fn retry_ratio(lines: &str, ratio: f64) {
    assert!((gateway(lines).retry_ratio() - ratio).abs() < 1e-9);
}

#[parameterized(
    own = { "", 2_900, 4_300 },
    same = { "stop_time = 8", 2_900, 4_300 },
    shorter = { "stop_time = 5.5", 2_475, 2_475 },
    very_short = { "stop_time = 2", 900, 900 },
)]
fn stop(lines: &str, notice: u64, drain: u64) {
    let gateway = gateway(lines);
    assert_eq!(gateway.notice(), Duration::from_millis(notice));
    assert_eq!(gateway.drain_time(), Duration::from_millis(drain));
}

#[parameterized(
    no_number = { "retry_share = few" },
    below = { "stop_time = 0.5" },
)]
fn refused(lines: &str) {
    assert!(parse("e1.ini", &text(lines)).is_err());
}
