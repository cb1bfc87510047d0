//! A service, on the path with sidecars, answers before it has read a long request, and
//! resets the connection while the rest is still being sent.

mod fleet;
mod raw;

use fleet::Fleet;
use raw::{raw_service, send};
use yare::parameterized;

/// Length of a body that doesn't fit the buffers of a connection.
const LONG: usize = 12 << 20;

/// Guards against a part of an answer being taken for all of it because the reset was found
/// by sending the request.
#[ntex::test]
async fn reset_while_sending() {
    let fleet = Fleet::new().await;
    let answer = "HTTP/1.1 200 OK\r\n\r\nhalf".to_owned();
    let service = raw_service(answer, true).await;
    fleet.service_at("service-1", service).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let head = format!(
        "PUT /services/prices/a HTTP/1.1\r\nhost: e\r\nauthorization: Bearer acme-key\r\n\
         content-length: {LONG}\r\n\r\n"
    );
    let response = send(&entry, &(head + &"x".repeat(LONG))).await;
    assert!(!response.ends_with("\r\n0\r\n\r\n"), "{response}");
}

/// Guards against the same for events, where the part ends after one of them, and against a status that is none reaching the caller of an upload.
#[parameterized(
    event = { "200", "content-type: text/event-stream\r\n", "data: x\n\n", true },
    half_event = { "200", "content-type: text/event-stream\r\n", "data: x\n\ndata: y", true },
    no_status = { "000", "content-length: 3\r\n", "yes", false },
    no_status_events = { "000", "content-type: text/event-stream\r\n", "data: x\n\n", false },
)]
fn spoilt_while_sending(code: &str, fields: &str, body: &str, may_begin: bool) {
    let answer = format!("HTTP/1.1 {code} X\r\n{fields}\r\n{body}");
    for length in [600 << 10, LONG] {
        let answer = answer.clone();
        let system = ntex::rt::System::new("test", ntex::rt::DefaultRuntime);
        let response = system.block_on(async move {
            let fleet = Fleet::new().await;
            let service = raw_service(answer, true).await;
            fleet.service_at("service-1", service).await;
            let entry = fleet.entry("entry-1").await;
            fleet.settle().await;
            let head = format!(
                "PUT /services/prices/a HTTP/1.1\r\nhost: e\r\nauthorization: Bearer acme-key\r\n\
                 content-length: {length}\r\n\r\n"
            );
            send(&entry, &(head + &"x".repeat(length))).await
        });
        assert!(!response.ends_with("\r\n0\r\n\r\n"), "{response}");
        let is_own = response.contains("x-almondlock-code: ");
        assert!(is_own || may_begin, "{response}");
    }
}
