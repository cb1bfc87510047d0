//! What makes a stand-in server a model server: orders for memory, and event streams. One that
//! is faulty sends some of its answers a second time.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::TcpStream,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::server::lock;

/// Memory of an engine, and what others hold of it all the while, in tokens.
const MEMORY: u64 = 450_000;
const HELD: u64 = 250_000;
/// Of a faulty server's answers, this many in a hundred are sent twice at most.
const DOUBLED: usize = 3;

/// A model server.
#[derive(Debug, Default)]
pub struct Engine {
    /// Memory that was reserved here: tokens, and until when.
    reserved: Mutex<HashMap<String, (u64, Instant)>>,
    /// Whether it sends answers twice now.
    pub is_faulty: AtomicBool,
    /// Answers given and doubled while it was faulty.
    pub answers: AtomicUsize,
    pub doubled: AtomicUsize,
    /// What was sent a second time, and before the answer to which request.
    pub log: Mutex<Vec<(Instant, String, String)>>,
}

/// The copy of an answer that waits on a connection for the next answer to go out.
pub type Copy = Option<(String, Vec<u8>)>;

impl Engine {
    /// Answers an order.
    pub fn order(&self, stream: &mut TcpStream, body: &[u8], copy: &mut Copy) -> io::Result<()> {
        let text = String::from_utf8_lossy(body).into_owned();
        let field = |name: &str| {
            let at = text.find(&format!("\"{name}\":"))? + name.len() + 3;
            let rest = text[at..].trim_start_matches('"');
            let end = rest.find(|c: char| c == '"' || c == ',' || c == '}')?;
            Some(rest[..end].to_owned())
        };
        let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
        let id = field("id").unwrap_or_default();
        let now = Instant::now();
        let mut reserved = lock(&self.reserved);
        reserved.retain(|_, (_, until)| *until > now);
        let taken: u64 = reserved.values().map(|(tokens, _)| tokens).sum();
        let free = MEMORY - HELD - taken.min(MEMORY - HELD);
        let (status, free) = match field("operation").as_deref() {
            Some("reserve") => {
                let tokens = number("tokens").unwrap_or(u64::MAX);
                let hold = Duration::from_millis(number("holdMs").unwrap_or(0));
                let own = reserved.get(&id).map_or(0, |(tokens, _)| *tokens);
                if tokens > free + own {
                    ("409 Conflict", free)
                } else {
                    reserved.insert(id.clone(), (tokens, now + hold));
                    ("200 OK", free + own - tokens)
                }
            }
            _ => {
                reserved.remove(&id);
                ("200 OK", free)
            }
        };
        drop(reserved);
        let body = format!("{{\"free\":{free}}}");
        let answer = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.send_copy(stream, &format!("order {id}"), copy)?;
        stream.write_all(answer.as_bytes())?;
        if self.may_double() && status.starts_with("409") {
            self.doubled.fetch_add(1, Ordering::SeqCst);
            *copy = Some((
                format!("{status} {body} to order {id}"),
                answer.into_bytes(),
            ));
        }
        Ok(())
    }

    /// Answers a prompt with a stream, or refuses one that doesn't fit.
    pub fn prompt(
        &self,
        stream: &mut TcpStream,
        (own, id): (&str, &str),
        tokens: u64,
        copy: &mut Copy,
    ) -> io::Result<bool> {
        let runs = tokens <= MEMORY - HELD;
        self.send_copy(stream, id, copy)?;
        if !runs {
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\
                 X-Almondlock-Request-Id: {id}\r\nX-Almondlock-Not-Executed: 1\r\n\r\n"
            );
            stream.write_all(text.as_bytes())?;
            self.may_double();
            return Ok(false);
        }
        thread::sleep(Duration::from_millis(10));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Almondlock-Request-Id: {id}\r\nX-Almondlock-Response-Seal: {own}.{id}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in 1..=3 {
            let event = format!("id: {number}\ndata: {id}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(5));
        }
        stream.write_all(b"0\r\n\r\n")?;
        self.may_double();
        Ok(true)
    }

    /// Sends the copy of the last answer, late: where the next answer is expected.
    fn send_copy(&self, stream: &mut TcpStream, next: &str, copy: &mut Copy) -> io::Result<()> {
        if let Some((what, bytes)) = copy.take() {
            stream.write_all(&bytes)?;
            lock(&self.log).push((Instant::now(), what, next.to_owned()));
        }
        Ok(())
    }

    /// Counts an answer, and tells whether one more may be doubled.
    fn may_double(&self) -> bool {
        if !self.is_faulty.load(Ordering::SeqCst) {
            return false;
        }
        let answers = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        (self.doubled.load(Ordering::SeqCst) + 1) * 100 <= answers * DOUBLED
    }
}
