//! A service's answer breaks midway, after its head was passed on.

mod fleet;
mod raw;

use fleet::Fleet;
use ntex::rt::{DefaultRuntime, System};
use raw::{ask_service, raw_service};
use yare::parameterized;

/// Guards against a second head inside the body of a response that is broken off, and against
/// a last chunk after it.
#[parameterized(
    short_length = { "content-length: 9\r\n\r\nhalf", false },
    short_chunk = { "transfer-encoding: chunked\r\n\r\n9\r\nhalf", false },
    no_last_chunk = { "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n", false },
    reset = { "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n", true },
    unmarked_reset = { "\r\nhalf", true },
)]
fn second_head(rest: &str, is_reset: bool) {
    let answer = format!("HTTP/1.1 200 OK\r\n{rest}");
    let system = System::new("test", DefaultRuntime);
    let response = system.block_on(async move {
        let fleet = Fleet::new().await;
        let service = raw_service(answer, is_reset).await;
        fleet.service_at("service-1", service).await;
        let entry = fleet.entry("entry-1").await;
        fleet.settle().await;
        ask_service(&entry, "HTTP/1.1").await
    });
    assert!(response.contains("half"), "{response}");
    assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response}");
    assert!(!response.ends_with("\r\n0\r\n\r\n"), "{response}");
}
