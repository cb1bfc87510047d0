//! A server that lies is caught by what the tool reports.

use std::{cell::Cell, time::Duration};

use almondlock_bench::{
    record::{End, Outcome, Record},
    send::{self, Manner},
    workload::Request,
};
use almondlock_policy::length::Class;
use almondlock_standin::answer;
use ntex::{
    util::Bytes,
    web::{self, App, HttpResponse},
};
use tokio::time::Instant;
use yare::parameterized;

fn request() -> Request {
    Request {
        at: Duration::ZERO,
        serial: 3,
        salt: 1,
        prompt: 1_000,
        shared: 0,
        prefix: 0,
        answer: 20,
        organisation: 0,
        once: true,
    }
}

fn event(text: &str) -> String {
    let event = serde_json::json!({ "choices": [{ "text": text }] });
    format!("data: {event}\n\n")
}

/// The stream that a server with this fault sends.
fn stream(fault: &str) -> String {
    let right = answer::whole(&request().text(), 20);
    let (first, rest) = right.split_at(8 * answer::TOKEN_BYTES);
    let done = "data: [DONE]\n\n";
    let error = "data: {\"error\":{\"code\":3003}}\n\n";
    match fault {
        "truncated" => event(first) + done,
        "doubled" => event(first) + &event(first) + &event(rest) + done,
        "swapped" => event(&answer::whole("another", 20)) + done,
        "swapped unfinished" => event(&answer::whole("another", 9)),
        "failed" => event(first) + error,
        "failed by name" => event(first) + "event: error\n" + error,
        "closed" => event(first) + &event(rest),
        _ => event(first) + &event(rest) + done,
    }
}

async fn outcome(fault: &'static str, due: Instant) -> Outcome {
    let server = web::test::server(async move || {
        let handler = move |_: Bytes| async move { HttpResponse::Ok().body(stream(fault)) };
        App::new().route("/v1/completions", web::post().to(handler))
    });
    let server = server.await;
    let client = send::client();
    let manner = Manner {
        factor: 1.0,
        ..Manner::default()
    };
    let first = Cell::new(None);
    send::send(&client, server.addr(), &request(), &manner, due, &first).await
}

// Each stream looks like a whole one to a client that only waits for its end, or
// breaks off. The tool must tell all of them apart.
#[parameterized(
    whole = { "none", End::Whole },
    truncated = { "truncated", End::Wrong("truncated") },
    doubled = { "doubled", End::Wrong("doubled") },
    swapped = { "swapped", End::Wrong("foreign") },
    swapped_unfinished = { "swapped unfinished", End::Wrong("foreign") },
    failed = { "failed", End::Failed(3003) },
    failed_by_name = { "failed by name", End::Failed(3003) },
    closed = { "closed", End::Lost },
)]
#[test_macro(ntex::test)]
async fn caught(fault: &'static str, expected: End) {
    let outcome = outcome(fault, Instant::now()).await;
    assert_eq!(outcome.end, expected);
    let mut record = Record::default();
    record.add(&outcome);
    let wrong = matches!(expected, End::Wrong(_));
    assert_eq!(record.wrong(), u64::from(wrong));
    assert_eq!(record.count(Class::Short), 1);
}

// The tool itself was late by ten seconds. The request waited all that time, and
// its time must say so.
#[ntex::test]
async fn late_sending() {
    let due = Instant::now() - Duration::from_secs(10);
    let outcome = outcome("none", due).await;
    assert!(outcome.first >= Some(Duration::from_secs(10)));
    assert!(outcome.total >= Duration::from_secs(10));
}

#[ntex::test]
async fn refused() {
    let server = web::test::server(async || {
        // Takes the body: a server that doesn't may close while it is being sent.
        let handler = |_: Bytes| async {
            let mut response = HttpResponse::TooManyRequests();
            response.header("x-almondlock-code", "2001");
            response.finish()
        };
        App::new().route("/v1/completions", web::post().to(handler))
    });
    let server = server.await;
    let client = send::client();
    let manner = Manner {
        factor: 1.0,
        ..Manner::default()
    };
    let (now, first) = (Instant::now(), Cell::new(None));
    let outcome = send::send(&client, server.addr(), &request(), &manner, now, &first).await;
    assert_eq!(outcome.end, End::Failed(2001));
    assert_eq!(outcome.first, None);
}
