//! An upstream on a loopback port that behaves on each connection as the test defines.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc::{self, Receiver},
    thread,
    time::Duration,
};

use socket2::SockRef;

/// One action on a connection.
#[derive(Clone, Debug)]
pub enum Step {
    /// Read a complete request.
    Read,
    /// Read only the head of a request.
    ReadHead,
    /// Write this text, with `ID` replaced by the request's id.
    Write(String),
    /// The same with one byte for each character, which is at most U+00FF.
    WriteLatin(String),
    /// Wait for this many milliseconds.
    Pause(u64),
    /// Close the connection with a reset.
    Reset,
    /// Keep the connection open and silent.
    Hang,
}

/// Starts an upstream that runs one list of steps on each connection, in turn. The channel
/// receives the heads of requests.
pub fn start(connections: Vec<Vec<Step>>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (seen, heads) = mpsc::channel();
    thread::spawn(move || {
        for steps in connections {
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            let seen = seen.clone();
            thread::spawn(move || run(stream, String::new(), steps, &seen));
        }
        // Later connections stay in the queue, unanswered.
        thread::sleep(Duration::from_secs(30));
    });
    (address, heads)
}

/// Starts an upstream that answers each request according to its head, on any number of
/// connections. The channel receives the heads and bodies of requests.
pub fn serve<F>(respond: F) -> (SocketAddr, Receiver<String>)
where
    F: Fn(&str) -> Vec<Step> + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (seen, heads) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, seen, respond) = (stream.unwrap(), seen.clone(), respond.clone());
            thread::spawn(move || {
                loop {
                    let head = head(&mut stream);
                    if head.is_empty() {
                        return;
                    }
                    let length = field(&head, "content-length").unwrap();
                    let mut body = vec![0; length.parse().unwrap()];
                    stream.read_exact(&mut body).unwrap();
                    let steps = respond(&head);
                    seen.send(format!("{head}{}", String::from_utf8(body).unwrap()))
                        .ok();
                    let id = field(&head, "x-id").unwrap_or_default();
                    run(stream.try_clone().unwrap(), id, steps, &seen);
                }
            });
        }
    });
    (address, heads)
}

fn run(mut stream: TcpStream, mut id: String, steps: Vec<Step>, seen: &mpsc::Sender<String>) {
    for step in steps {
        match step {
            Step::Read | Step::ReadHead => {
                let head = head(&mut stream);
                id = field(&head, "x-id").unwrap_or_default();
                if matches!(step, Step::Read) {
                    let length = field(&head, "content-length");
                    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
                    let mut body = vec![0; length];
                    stream.read_exact(&mut body).ok();
                }
                seen.send(head).ok();
            }
            Step::Write(text) => {
                stream.write_all(text.replace("ID", &id).as_bytes()).ok();
            }
            Step::WriteLatin(text) => {
                let text = text.replace("ID", &id);
                let bytes: Vec<u8> = text.chars().map(|c| u8::try_from(c).unwrap()).collect();
                stream.write_all(&bytes).ok();
            }
            Step::Pause(millis) => thread::sleep(Duration::from_millis(millis)),
            Step::Reset => {
                SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                return;
            }
            Step::Hang => thread::sleep(Duration::from_secs(30)),
        }
    }
}

fn head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => break,
        }
    }
    String::from_utf8(head).unwrap()
}

/// Returns the value of a header in a head.
pub fn field(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let (_, value) = lines.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
    Some(value.trim().to_owned())
}

/// Returns a complete answer with this body.
pub fn answer(status: &str, body: &str) -> Step {
    let length = body.len();
    Step::Write(format!(
        "HTTP/1.1 {status}\r\nx-id: ID\r\nx-seal: s\r\ncontent-length: {length}\r\n\r\n{body}"
    ))
}

/// Returns the head of an event stream.
pub fn stream_head() -> Step {
    let head = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n\
                content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    Step::Write(head.to_owned())
}

/// Returns one event in a chunk of its own.
pub fn event(number: u64) -> Step {
    let text = format!("id: {number}\ndata: x\n\n");
    Step::Write(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// Returns the end of a stream.
pub fn end() -> Step {
    Step::Write("0\r\n\r\n".to_owned())
}
