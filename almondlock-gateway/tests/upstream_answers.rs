//! Upstreams send invalid answers, answers to other requests, or incomplete ones. The
//! caller must never receive one of these as its own complete answer.

mod fake;

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use almondlock_gateway::upstream::{Connection, Error, Head, Request, Whole};
use fake::{Step, answer, end, event, start, stream_head};
use yare::parameterized;

const ALLOWED: Duration = Duration::from_secs(5);

fn block_on<F, T>(work: F) -> T
where
    F: Future<Output = T>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async { tokio::time::timeout(ALLOWED * 2, work).await.unwrap() })
}

async fn ask(connection: &mut Connection, body: &[u8]) -> Result<(Head, Vec<u8>), Error> {
    let head = format!(
        "POST / HTTP/1.1\r\nx-id: r-1\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let request = Request {
        head: head.as_bytes(),
        body,
        id: ("x-id", b"r-1"),
    };
    let head = connection.exchange(&request).await?;
    let body = connection.read_body(1 << 20).await?;
    Ok((head, body.to_vec()))
}

fn outcome(steps: Vec<Step>) -> Result<(Head, Vec<u8>), Error> {
    let (address, _heads) = start(vec![steps]);
    block_on(async {
        let mut connection = Connection::open(address, ALLOWED).await?;
        ask(&mut connection, b"question").await
    })
}

#[test]
fn whole_answers() {
    let (head, body) = outcome(vec![Step::Read, answer("200 OK", "yes")]).unwrap();
    assert_eq!((head.status, &body[..]), (200, &b"yes"[..]));
    assert_eq!(head.text("X-SEAL"), Some("s"));
    let steps = vec![Step::Read, stream_head(), event(1), event(2), end()];
    let (_, body) = outcome(steps).unwrap();
    assert_eq!(body, b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
    let unframed = "HTTP/1.1 200 OK\r\n\r\nall of it".to_owned();
    let (_, body) = outcome(vec![Step::Read, Step::Write(unframed)]).unwrap();
    assert_eq!(body, b"all of it");
}

#[test]
fn another_answer_first() {
    let foreign = "HTTP/1.1 200 OK\r\nx-id: r-0\r\ncontent-length: 5\r\n\r\nother".to_owned();
    let steps = vec![Step::Read, Step::Write(foreign), answer("200 OK", "own")];
    assert_eq!(outcome(steps).unwrap().1, b"own");
}

#[parameterized(
    no_http = { "what is this\r\n\r\n" },
    half_head = { "HTTP/1.1 200 OK\r\nx-i" },
    half_body = { "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf" },
    half_chunk = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhalf" },
    no_last_chunk = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n" },
    long_chunk = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n" },
    no_size = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\n" },
    two_lengths = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 2\r\n\r\nok" },
    silence = { "" },
)]
fn no_answer(bytes: &str) {
    let steps = vec![Step::Read, Step::Write(bytes.to_owned())];
    assert!(!matches!(outcome(steps), Ok(_) | Err(Error::Connect(_))));
}

#[test]
fn reset_body() {
    let head = "HTTP/1.1 200 OK\r\n\r\nhalf".to_owned();
    let steps = vec![Step::Read, Step::Write(head), Step::Pause(50), Step::Reset];
    assert!(matches!(outcome(steps), Err(Error::Broken(_))));
}

/// Guards against waiting for the body that the answer to a HEAD announces and never has.
#[parameterized(
    length = { "content-length: 10\r\n" },
    chunks = { "transfer-encoding: chunked\r\n" },
    neither = { "" },
)]
fn head_only(framing: &str) {
    let answer = format!("HTTP/1.1 200 OK\r\nx-id: r-1\r\n{framing}\r\n");
    let steps = vec![Step::Read, Step::Write(answer), Step::Hang];
    let (address, _heads) = start(vec![steps]);
    block_on(async {
        let mut connection = Connection::open(address, ALLOWED).await.unwrap();
        let request = Request {
            head: b"HEAD / HTTP/1.1\r\nx-id: r-1\r\n\r\n",
            body: &[],
            id: ("x-id", b"r-1"),
        };
        let head = connection.exchange(&request).await.unwrap();
        let body = tokio::time::timeout(ALLOWED, connection.read_body(1 << 20)).await;
        assert_eq!((head.status, body.unwrap().unwrap().len()), (200, 0));
    });
}

/// Nothing listens, so the request was certainly not sent.
#[test]
fn connection_refused() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let refused = block_on(Connection::open(address, ALLOWED));
    assert!(matches!(refused, Err(Error::Connect(_))));
}

/// An answer arrives before the request was read. The rest of the request would be taken
/// for the next one, so the connection must not be used again.
#[test]
fn early_answer() {
    let steps = vec![Step::ReadHead, answer("413 Too Large", ""), Step::Hang];
    let (address, _heads) = start(vec![steps]);
    block_on(async {
        let mut connection = Connection::open(address, ALLOWED).await.unwrap();
        let body = vec![b'x'; 32 << 20];
        let (head, _) = ask(&mut connection, &body).await.unwrap();
        assert_eq!(head.status, 413);
        assert!(!connection.is_reusable(&head));
    });
}

/// Guards against a body that is cut because its upstream began a successful answer before it
/// had read all of it.
#[test]
fn early_success() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let body = vec![b'x'; 32 << 20];
    let length = body.len();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = vec![0; 4];
        stream.read_exact(&mut request).unwrap();
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head).unwrap();
        thread::sleep(Duration::from_millis(200));
        let mut rest = vec![0; length];
        stream.read_exact(&mut rest).unwrap();
        stream.write_all(b"3\r\nall\r\n0\r\n\r\n").unwrap();
    });
    let answer = block_on(async {
        let mut connection = Connection::open(address, ALLOWED).await.unwrap();
        let head = format!("PUT / HTTP/1.1\r\ncontent-length: {length}\r\n\r\n");
        connection
            .send(head.as_bytes(), Whole::new(&body))
            .await
            .unwrap();
        connection.read_body(1 << 20).await.unwrap()
    });
    assert_eq!(&answer[..], b"all");
}

/// Bytes after an answer belong to no request, so the connection must not be used again.
#[test]
fn trailing_bytes() {
    let more = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_owned();
    let steps = vec![
        Step::Read,
        answer("200 OK", "yes"),
        Step::Pause(50),
        Step::Write(more),
        Step::Hang,
    ];
    let (address, _heads) = start(vec![steps]);
    block_on(async {
        let mut connection = Connection::open(address, ALLOWED).await.unwrap();
        let (head, _) = ask(&mut connection, b"q").await.unwrap();
        assert!(connection.is_reusable(&head) && connection.is_clean());
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(!connection.is_clean());
    });
}
