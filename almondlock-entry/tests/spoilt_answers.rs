//! Services in trouble, on the path with sidecars: their answers have spoilt heads.

mod fleet;
mod raw;

use fleet::Fleet;
use raw::{ask_service, raw_service};
use yare::parameterized;

/// What a caller gets for an answer with these bytes.
fn answered(answer: String) -> String {
    let system = ntex::rt::System::new("test", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let fleet = Fleet::new().await;
        let service = raw_service(answer, false).await;
        fleet.service_at("service-1", service).await;
        let entry = fleet.entry("entry-1").await;
        fleet.settle().await;
        ask_service(&entry, "HTTP/1.1").await
    })
}

/// Guards against an answer whose head is spoilt reaching its caller.
#[parameterized(
    no_status = { "000", "content-length: 3\r\n", "yes" },
    sign = { "200", "content-length: +3\r\n", "yes" },
    other_coding = { "200", "transfer-encoding: chunkes\r\n", "3\r\nyes\r\n0\r\n\r\n" },
    other_name = { "200", "transfer-encodinf: chunked\r\n", "3\r\nyes\r\n0\r\n\r\n" },
    no_field = { "200", "no field\r\ncontent-length: 3\r\n", "yes" },
    blank_name = { "200", "x y: z\r\ncontent-length: 3\r\n", "yes" },
)]
fn spoilt_head(code: &str, fields: &str, body: &str) {
    let answer = format!("HTTP/1.1 {code} X\r\n{fields}\r\n{body}");
    let response = answered(answer);
    let is_own = response.contains("x-almondlock-code: ") && !response.contains("yes");
    assert!(response.starts_with("HTTP/1.1 50") && is_own, "{response}");
}
