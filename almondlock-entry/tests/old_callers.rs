//! Callers that speak HTTP/1.0, which has no chunks.

mod fleet;
mod raw;

use almondlock_standin::service::{self, Service};
use fleet::{Fleet, fast};
use ntex::rt::{DefaultRuntime, System};
use raw::{ask_service, raw_service, send};
use yare::parameterized;

fn body(response: &str) -> &str {
    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    assert!(!head.contains("transfer-encoding"), "{response}");
    body
}

/// Guards against chunk sizes in the body that an HTTP/1.0 caller of a service gets.
#[ntex::test]
async fn service_answer() {
    let fleet = Fleet::new().await;
    let service = Service::start(service::Config::default()).unwrap();
    fleet.service_at("service-1", service.address()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let response = ask_service(&entry, "HTTP/1.0").await;
    assert!(response.starts_with("HTTP/1.0 200"), "{response}");
    assert_eq!(body(&response), service::answer("GET", "/a", b""));
    let length = format!("content-length: {}\r\n", body(&response).len());
    assert!(response.contains(&length), "{response}");
}

/// Guards against a service's answer that broke midway looking complete to an HTTP/1.0 caller.
#[parameterized(
    short_length = { "content-length: 9\r\n\r\nhalf", false },
    reset = { "\r\nhalf", true },
)]
fn broken_answer(rest: &str, is_reset: bool) {
    let answer = format!("HTTP/1.1 200 OK\r\n{rest}");
    let system = System::new("test", DefaultRuntime);
    let response = system.block_on(async move {
        let fleet = Fleet::new().await;
        let service = raw_service(answer, is_reset).await;
        fleet.service_at("service-1", service).await;
        let entry = fleet.entry("entry-1").await;
        fleet.settle().await;
        ask_service(&entry, "HTTP/1.0").await
    });
    assert!(response.starts_with("HTTP/1.0 502"), "{response}");
}

/// Guards against chunk sizes in the event stream that an HTTP/1.0 caller gets.
#[ntex::test]
async fn event_stream() {
    let fleet = Fleet::new().await;
    fleet.engine("engine-1", fast()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let ask = r#"{"model":"almond","prompt":"hello","max_tokens":4,"stream":true}"#;
    let request = format!(
        "POST /v1/completions HTTP/1.0\r\nhost: e\r\nauthorization: Bearer acme-key\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{ask}",
        ask.len()
    );
    let response = send(&entry, &request).await;
    let body = body(&response);
    assert!(body.starts_with("data: "), "{response}");
    assert!(body.ends_with("data: [DONE]\n\n"), "{response}");
}
