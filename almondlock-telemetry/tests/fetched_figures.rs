//! Figures are fetched as text over HTTP.

#![allow(clippy::unwrap_used)]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use almondlock_telemetry::figures::{Figures, serve};

fn fetch(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

#[ntex::test]
async fn fetched() {
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let figures = Arc::new(Figures::default());
    figures.add("log", "syncs", 7);
    figures.set("members", "voters", 4);
    figures.set("members", "voters", 3);
    figures.time("whole", "status=200", Duration::from_millis(10));
    let shared = Arc::clone(&figures);
    let text = move || {
        let shared = Arc::clone(&shared);
        async move {
            let text = shared.text();
            Some(text).filter(|text| !text.contains("stopped"))
        }
    };
    let server = serve(address, text).unwrap();
    let fetched = thread::spawn(move || {
        let found = fetch(address, "/metrics");
        let other = fetch(address, "/other");
        figures.set("replica", "stopped", 1);
        (found, other, fetch(address, "/metrics"))
    });
    let (found, other, stopped) = ntex::rt::spawn_blocking(|| fetched.join().unwrap())
        .await
        .unwrap();
    assert!(found.starts_with("HTTP/1.1 200 "), "{found}");
    let (_, body) = found.split_once("\r\n\r\n").unwrap();
    assert!(body.starts_with("log{syncs} 7\nmembers{voters} 3\nwhole{status=200} count 1\n"));
    assert!(other.starts_with("HTTP/1.1 404 "), "{other}");
    assert!(stopped.starts_with("HTTP/1.1 503 "), "{stopped}");
    server.stop(false).await;
}
