//! Answers of the stand-ins with neither a length nor chunks: complete, cut and reset.

use std::io;

use almondlock_standin::{
    framing::Framing,
    service::{self, Service},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Asks for `/a` and reads until the connection ends. Returns what arrived, and the error
/// that ended it.
async fn ask(framing: Framing) -> (String, io::Result<()>) {
    let handle = Service::start(service::Config::default()).unwrap();
    handle.set_framing(framing);
    let mut stream = TcpStream::connect(handle.address()).await.unwrap();
    let request = b"GET /a HTTP/1.1\r\nhost: s\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut bytes = Vec::new();
    let end = stream.read_to_end(&mut bytes).await.map(|_| ());
    (String::from_utf8(bytes).unwrap(), end)
}

fn answer() -> String {
    service::answer("GET", "/a", b"")
}

#[ntex::test]
async fn complete_answer() {
    let (text, end) = ask(Framing::Unmarked).await;
    end.unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    assert!(!head.contains("content-length") && !head.contains("transfer-encoding"));
    assert_eq!(body, answer());
}

#[ntex::test]
async fn cut_answer() {
    let (text, end) = ask(Framing::Cut(10)).await;
    end.unwrap();
    assert!(text.ends_with(&format!("\r\n\r\n{}", &answer()[..10])));
}

#[ntex::test]
async fn reset_answer() {
    let (_, end) = ask(Framing::Reset(10)).await;
    assert_eq!(end.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
}
