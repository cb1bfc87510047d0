//! Upstreams whose answers never end, or are large.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use almondlock_platform::counterpart;

/// What has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Bytes that are no answer.
    Noise,
    /// The fields of the head.
    Head,
    /// Interim answers.
    Interim,
    /// A body that ends with its connection.
    Body,
    /// A body of an announced length.
    Length,
    /// The chunks of a body.
    Chunks,
    /// The fields after the last chunk.
    Trailer,
    /// An event of a stream.
    Event,
    /// The body of a failure.
    Failure,
    /// An answer to another request.
    Foreign,
    /// Nothing: a complete answer of [`LARGE`] bytes.
    Nothing,
}

/// All that have no end.
pub const ALL: [Part; 10] = [
    Part::Noise,
    Part::Head,
    Part::Interim,
    Part::Body,
    Part::Length,
    Part::Chunks,
    Part::Trailer,
    Part::Event,
    Part::Failure,
    Part::Foreign,
];

/// Size of a complete answer's body.
pub const LARGE: usize = 4 << 20;
/// Bytes that are written at once.
const PIECE: usize = 64 * 1024;
/// Pause between two writes on a connection, so that all of them together take no more than
/// a fast link.
const PAUSE: Duration = Duration::from_millis(20);
const STREAM: &str = "content-type: text/event-stream\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n";

impl Part {
    /// The start of an answer, and what follows again and again.
    fn answer(self, id: &str) -> (String, String) {
        let request_id = counterpart::REQUEST_ID;
        let seal = counterpart::SEAL;
        let head = |status: &str, id: &str, fields: &str| {
            format!("HTTP/1.1 {status}\r\n{request_id}: {id}\r\n{seal}: s\r\n{fields}\r\n")
        };
        let filling = "x".repeat(PIECE);
        let chunk = format!("{PIECE:x}\r\n{filling}\r\n");
        match self {
            Part::Noise => (String::new(), filling),
            Part::Head => ("HTTP/1.1 200 OK\r\n".to_owned(), "x: y\r\n".repeat(8_192)),
            Part::Interim => {
                let interim = "HTTP/1.1 100 Continue\r\n\r\n";
                (String::new(), interim.repeat(2_048))
            }
            Part::Body => (head("200 OK", id, ""), filling),
            Part::Length => (
                head("200 OK", id, "content-length: 999999999999\r\n"),
                filling,
            ),
            Part::Chunks => (head("200 OK", id, CHUNKED), chunk),
            Part::Trailer => {
                let start = head("200 OK", id, CHUNKED) + "1\r\nx\r\n0\r\n";
                (start, "x: y\r\n".repeat(8_192))
            }
            Part::Event => {
                let start = head("200 OK", id, &format!("{STREAM}{CHUNKED}"));
                (start + "6\r\ndata: \r\n", chunk)
            }
            Part::Failure => (head("500 Oops", id, CHUNKED), chunk),
            Part::Foreign => (head("200 OK", "another", CHUNKED), chunk),
            Part::Nothing => {
                let fields = format!("content-length: {LARGE}\r\n");
                (
                    head("200 OK", id, &fields) + &"x".repeat(LARGE),
                    String::new(),
                )
            }
        }
    }
}

/// Starts an upstream that answers each POST without an end, and everything else with
/// nothing to say.
pub fn start(part: Part) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                return;
            };
            thread::spawn(move || answer(stream, part));
        }
    });
    address
}

fn answer(mut stream: TcpStream, part: Part) {
    while let Some(head) = read_head(&mut stream) {
        if !head.starts_with("POST /") || head.starts_with("POST /engine") {
            let body = r#"{"requests":[]}"#;
            let nothing = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(nothing.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let mut body = vec![0; length.map_or(0, |text| text.parse().unwrap())];
        if stream.read_exact(&mut body).is_err() {
            return;
        }
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        let id = lines.find(|(name, _)| name.eq_ignore_ascii_case(counterpart::REQUEST_ID));
        let (start, more) = part.answer(id.map_or("", |(_, id)| id));
        let mut written = stream.write_all(start.as_bytes());
        if part == Part::Nothing && written.is_ok() {
            continue;
        }
        while written.is_ok() {
            thread::sleep(PAUSE);
            written = stream.write_all(more.as_bytes());
        }
        return;
    }
}

/// Reads the head of a request.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}
