//! Upstreams whose answers have neither a length nor chunks and end with their connection.

mod fleet;
mod raw;

use almondlock_standin::{
    answer, engine,
    framing::Framing,
    service::{self, Service},
};
use fleet::{Ask, Fleet, fast, text_of};
use raw::{ask_service, raw_service};
use yare::parameterized;

const EVENTS: &str = "content-type: text/event-stream\r\n";

async fn ask_raw(answer: &str, is_reset: bool) -> String {
    let fleet = Fleet::new().await;
    let service = raw_service(answer.to_owned(), is_reset).await;
    fleet.service_at("service-1", service).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    ask_service(&entry, "HTTP/1.1").await
}

/// Guards against a service's answer that ends with its connection arriving empty.
#[ntex::test]
async fn plain_service() {
    let fleet = Fleet::new().await;
    let service = Service::start(service::Config::default()).unwrap();
    service.set_framing(Framing::Unmarked);
    fleet.service_at("service-1", service.address()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let response = ask_service(&entry, "HTTP/1.1").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(
        response.contains(&service::answer("GET", "/a", b"")),
        "{response}"
    );
    assert!(response.ends_with("\r\n0\r\n\r\n"));
}

/// Guards against a service's answer that was cut reaching its caller as complete.
#[parameterized(
    reset = { "", "half", true },
    half_event = { EVENTS, "data: x\n\ndata: y", false },
    no_event = { EVENTS, "", false },
    half_end = { EVENTS, "data: x\n\ndata: y\n", false },
)]
fn cut_service(content_type: &str, body: &str, is_reset: bool) {
    let answer = format!("HTTP/1.1 200 OK\r\n{content_type}\r\n{body}");
    let system = ntex::rt::System::new("test", ntex::rt::DefaultRuntime);
    let response = system.block_on(async move { ask_raw(&answer, is_reset).await });
    assert!(!response.ends_with("\r\n0\r\n\r\n"), "{response}");
}

/// Guards against an event stream of a service that ends with its connection, after an event,
/// not being delivered.
#[ntex::test]
async fn complete_events() {
    let answer = format!("HTTP/1.1 200 OK\r\n{EVENTS}\r\ndata: x\n\ndata: y\n\n");
    let response = ask_raw(&answer, false).await;
    assert!(response.contains("data: x\n\ndata: y\n\n"), "{response}");
    assert!(response.ends_with("\r\n0\r\n\r\n"));
}

/// Guards against an engine's answer that ends with its connection being taken for empty.
#[ntex::test]
async fn engine_document() {
    let fleet = Fleet::new().await;
    let engine = fleet.engine("engine-1", fast()).await;
    engine.set_framing(Framing::Unmarked);
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let response = fleet.complete(&entry, &Ask::new("hello there")).await;
    assert_eq!(text_of(response).await, Ok(answer::whole("hello there", 8)));
}

/// Guards against an engine's answer that was cut before its closing record reaching its
/// caller as complete.
#[parameterized(
    closed = { Framing::Cut(900) },
    reset = { Framing::Reset(900) },
)]
fn cut_engine(framing: Framing) {
    let system = ntex::rt::System::new("test", ntex::rt::DefaultRuntime);
    let (code, _) = system.block_on(async move {
        let fleet = Fleet::new().await;
        let engine = fleet.engine("engine-1", engine::Config::default()).await;
        engine.set_framing(framing);
        let entry = fleet.entry("entry-1").await;
        fleet.settle().await;
        let ask = Ask::new("a payment").header("X-Almondlock-Repeatable", "false");
        let text = text_of(fleet.complete(&entry, &ask).await).await;
        text.unwrap_err()
    });
    assert_eq!(code, 3003);
}
