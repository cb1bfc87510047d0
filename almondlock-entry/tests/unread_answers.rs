//! Callers of a service that know no chunks, so that they get its answer in one piece, and
//! don't read it.

mod fleet;
mod raw;

use std::time::Duration;

use almondlock_entry::{server::Server, shared};
use almondlock_intake::{bodies, host::Limits};
use fleet::{Fleet, eventually};
use raw::{ask_service, raw_service};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
};

/// Size of an answer, and the memory for all of them.
const ANSWER: usize = 3 << 20;
const MEMORY: u64 = 4 << 20;

async fn ask_deaf(entry: &Server) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(2_048).unwrap();
    let mut stream = socket.connect(entry.address()).await.unwrap();
    let request =
        "GET /services/prices/a HTTP/1.0\r\nhost: e\r\nauthorization: Bearer acme-key\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

/// Guards against answers that take memory for as long as their callers don't read them.
#[ntex::test]
async fn never_read() {
    let fleet = Fleet::new().await;
    let body = "x".repeat(ANSWER);
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {ANSWER}\r\n\r\n{body}");
    fleet
        .service_at("service-1", raw_service(answer, false).await)
        .await;
    let intake = Limits {
        answers: bodies::Config::new(MEMORY),
        ..Limits::default()
    };
    let config = shared::Config {
        intake,
        ..shared::Config::default()
    };
    let entry = fleet.entry_with("entry-1", config).await;
    fleet.settle().await;
    let mut deaf = Vec::new();
    for _ in 0..6 {
        deaf.push(ask_deaf(&entry).await);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let held = entry.shared().answers.usage().held;
        assert!(held <= MEMORY, "{held}");
    }
    assert!(entry.shared().answers.usage().refused > 0);
    // Their connections give way.
    eventually(async || {
        let response = ask_service(&entry, "HTTP/1.0").await;
        response.starts_with("HTTP/1.0 200") && response.ends_with(&body)
    })
    .await;
}
