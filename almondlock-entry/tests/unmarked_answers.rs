//! Upstreams whose answers have neither a length nor chunks and end with their connection.

mod fleet;

use std::net::SocketAddr;

use almondlock_entry::server::Server;
use almondlock_standin::{
    answer, engine,
    framing::Framing,
    service::{self, Service},
};
use fleet::{Ask, Fleet, LOCAL, fast, text_of};
use ntex::time::Millis;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::spawn_local,
};
use yare::parameterized;

const EVENTS: &str = "content-type: text/event-stream\r\n";

/// Starts a service that writes this answer to each request and closes the connection, or
/// resets it.
async fn raw_service(answer: String, is_reset: bool) -> SocketAddr {
    let listener = TcpListener::bind(LOCAL).await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let answer = answer.clone();
            spawn_local(async move {
                let mut request = [0; 4096];
                let read = stream.read(&mut request).await.unwrap();
                if request[..read].starts_with(b"HEAD") {
                    let ok = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    return stream.write_all(ok).await.unwrap();
                }
                stream.write_all(answer.as_bytes()).await.unwrap();
                ntex::time::sleep(Millis(50)).await;
                if is_reset {
                    stream.set_zero_linger().unwrap();
                }
            });
        }
    });
    address
}

/// Asks the service for `/a` and reads until the response is complete or the connection ends.
async fn ask_service(entry: &Server, version: &str) -> String {
    let mut stream = TcpStream::connect(entry.address()).await.unwrap();
    let request = format!(
        "GET /services/prices/a {version}\r\nhost: e\r\nauthorization: Bearer acme-key\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n0\r\n\r\n") {
        match stream.read_buf(&mut bytes).await {
            Ok(1..) => {}
            Ok(0) | Err(_) => break,
        }
    }
    String::from_utf8(bytes).unwrap()
}

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
