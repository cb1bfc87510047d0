//! Guards against deadlines that can't be read or met and are found out only when they
//! pass. Such a request must be refused at once, with the time after which its caller may
//! come back. A time of zero or of a year must be an error, and must not be replaced by
//! another value.

#![cfg(test)]

use std::time::Duration;

use almondlock_base::{Code, unit::Tokens};
use almondlock_policy::deadline::{Bounds, Forecast, Work};
use yare::parameterized;

const BOUNDS: Bounds = Bounds {
    default_ms: 30_000,
    limit_ms: 600_000,
};

#[parameterized(
    absent = { None, Ok(30_000) },
    least = { Some("1"), Ok(1) },
    most = { Some("600000"), Ok(600_000) },
    zero = { Some("0"), Err(Code::BadDeadline) },
    above = { Some("600001"), Err(Code::BadDeadline) },
    year = { Some("31536000000"), Err(Code::BadDeadline) },
    empty = { Some(""), Err(Code::BadDeadline) },
    signed = { Some("+5"), Err(Code::BadDeadline) },
    negative = { Some("-5"), Err(Code::BadDeadline) },
    fraction = { Some("5.5"), Err(Code::BadDeadline) },
    spaced = { Some(" 5"), Err(Code::BadDeadline) },
    overflow = { Some("99999999999999999999999"), Err(Code::BadDeadline) },
)]
fn header_parsed(text: Option<&str>, expected: Result<u64, Code>) {
    assert_eq!(BOUNDS.parse(text), expected.map(Duration::from_millis));
}

fn work(prompt: u64, wait: u64) -> Work {
    Work {
        prompt: Tokens(prompt),
        max_output: Tokens(160),
        queue_wait: Duration::from_secs(wait),
        ..Work::default()
    }
}

#[test]
fn retry_after_suffices() {
    let forecast = Forecast::default();
    let left = Duration::from_secs(20);
    // 10 s of prefill, 1 s of decode, 12 s of wait.
    let refusal = forecast.check(&work(80_000, 12), left).unwrap_err();
    assert_eq!(refusal.code, Code::DeadlineUnreachable);
    assert_eq!(refusal.retry_after, Duration::from_secs(3));
    let later = Work {
        queue_wait: Duration::from_secs(12) - refusal.retry_after,
        ..work(80_000, 0)
    };
    assert!(forecast.check(&later, left).is_ok());
}

#[test]
fn work_too_long() {
    let refusal = Forecast::default().check(&work(800_000, 0), Duration::from_secs(20));
    assert_eq!(refusal.unwrap_err().retry_after, Duration::ZERO);
}

#[test]
fn cached_start_counted() {
    let cached = Work {
        cached: Tokens(790_000),
        ..work(800_000, 0)
    };
    assert!(
        Forecast::default()
            .check(&cached, Duration::from_secs(20))
            .is_ok()
    );
}

#[test]
fn speeds_learned() {
    let mut forecast = Forecast::default();
    let before = forecast.estimate(&work(80_000, 0));
    for _ in 0..200 {
        forecast.observe_prefill(Tokens(20_000), Duration::from_secs(1));
        forecast.observe_decode(Tokens(100), Tokens(100), Duration::from_secs(1));
        forecast.observe_prefill(Tokens(5), Duration::ZERO);
    }
    let after = forecast.estimate(&work(80_000, 0));
    assert!(after < before);
    assert!((5_500..5_700).contains(&after.as_millis()), "{after:?}");
}
