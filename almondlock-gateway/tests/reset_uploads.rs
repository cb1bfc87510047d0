//! An upstream answers before it has read a long request, and resets the connection while the
//! rest is still being sent.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use almondlock_gateway::upstream::{Connection, Error, Head, Request, Whole};
use socket2::SockRef;
use yare::parameterized;

const ALLOWED: Duration = Duration::from_secs(5);
/// Length of a body that doesn't fit the buffers of a connection.
const LONG: usize = 32 << 20;

fn block_on<F, T>(work: F) -> T
where
    F: Future<Output = T>,
{
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_all().build().unwrap();
    runtime.block_on(async { tokio::time::timeout(ALLOWED * 2, work).await.unwrap() })
}

/// An upstream that answers before it has read the request's body, and then resets.
fn resetting(after: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut request = [0; 1024];
            stream.read_exact(&mut request).unwrap();
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf").unwrap();
            thread::sleep(after);
            let linger = Some(Duration::ZERO);
            SockRef::from(&stream).set_linger(linger).unwrap();
        }
    });
    address
}

async fn exchange(connection: &mut Connection, body: &[u8]) -> Result<Head, Error> {
    let head = format!("POST / HTTP/1.1\r\ncontent-length: {}\r\n\r\n", body.len());
    let request = Request {
        head: head.as_bytes(),
        body,
        id: ("x-id", b""),
    };
    connection.exchange(&request).await
}

async fn send(connection: &mut Connection, body: &[u8]) -> Result<Head, Error> {
    let head = format!("POST / HTTP/1.1\r\ncontent-length: {}\r\n\r\n", body.len());
    connection.send(head.as_bytes(), Whole::new(body)).await
}

/// Guards against a part of an answer being taken for all of it because the reset was found
/// by sending the request, after which reading only finds the end.
#[parameterized(at_once = { 0 }, soon = { 1 }, late = { 100 })]
fn reset_while_sending(after: u64) {
    let upstream = resetting(Duration::from_millis(after));
    let body = vec![b'x'; LONG];
    block_on(async {
        for turn in 0..20 {
            let mut connection = Connection::open(upstream, ALLOWED).await.unwrap();
            let head = match turn % 2 {
                0 => exchange(&mut connection, &body).await,
                _ => send(&mut connection, &body).await,
            };
            if head.is_ok() {
                let read = connection.read_body(1 << 20).await;
                assert!(
                    read.is_err(),
                    "turn {turn}: {read:?}, {:?}",
                    connection.end()
                );
            }
        }
    });
}
