//! A plain service whose answers are given byte for byte, and a caller that reads the bytes
//! of a response.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::net::SocketAddr;

use almondlock_entry::server::Server;
use ntex::time::Millis;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::spawn_local,
};

use super::fleet::LOCAL;

/// Starts a service that writes this answer to each request and closes the connection, or
/// resets it.
pub async fn raw_service(answer: String, is_reset: bool) -> SocketAddr {
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
pub async fn ask_service(entry: &Server, version: &str) -> String {
    let request = format!(
        "GET /services/prices/a {version}\r\nhost: e\r\nauthorization: Bearer acme-key\r\n\r\n"
    );
    send(entry, &request).await
}

/// Sends a request and reads until the response is complete in chunks or the connection ends.
pub async fn send(entry: &Server, request: &str) -> String {
    let mut stream = TcpStream::connect(entry.address()).await.unwrap();
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
