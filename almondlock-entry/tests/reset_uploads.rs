//! A service, on the path with sidecars, answers before it has read a long request, and
//! resets the connection while the rest is still being sent.

mod fleet;
mod raw;

use fleet::Fleet;
use raw::{raw_service, send};

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
