//! A stand-in server of the users' pages: it announces itself, answers requests, and says what
//! it ran.

use std::{
    io::{self, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{sleep, spawn},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    fleet::call_control,
    http::{Message, Reader},
    record::Record,
};

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How a server answers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// One answer with a length.
    Plain,
    /// Three events within a second.
    Stream,
    /// One event, and then bytes that are no event, without end, until the caller closes.
    Endless,
    /// Three events at once. It has no memory to set aside, and refuses orders for some.
    Engine,
}

/// The answer to an order for memory that isn't free.
pub const NOT_FREE: &str = "{\"free\":200000}";
/// A faulty server sends at most one in so many of its answers a second time.
const DOUBLED: u64 = 34;

/// The way of servers to control: cut while the flag is set.
#[derive(Clone, Default)]
pub struct Path {
    cut: Arc<AtomicBool>,
}

impl Path {
    pub fn cut(&self, is_cut: bool) {
        self.cut.store(is_cut, Ordering::SeqCst);
    }

    pub fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }
}

/// A server.
pub struct Server {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub born: u64,
    zone: &'static str,
    manner: Manner,
    record: Record,
    leaving: AtomicBool,
    /// It sends some of its answers a second time, late.
    pub faulty: AtomicBool,
    /// Answers that it has sent while it was faulty, and those that it sent twice.
    pub answers: AtomicU64,
    pub doubled: AtomicU64,
    ended: AtomicBool,
    /// Open connections.
    open: Mutex<Vec<TcpStream>>,
    /// Heartbeats that were acknowledged, and the last of their numbers.
    pub acknowledged: AtomicU64,
    pub sequence: AtomicU64,
}

/// The Unix millisecond.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Server {
    /// Starts a server that announces itself at `control`, over `path`.
    pub fn start(
        (id, service, zone): (String, &'static str, &'static str),
        address: SocketAddr,
        manner: Manner,
        control: Vec<SocketAddr>,
        path: &Path,
        record: &Record,
    ) -> io::Result<Arc<Server>> {
        let listener = TcpListener::bind(address)?;
        let server = Arc::new(Server {
            id,
            service,
            address: listener.local_addr()?,
            born: unix_millis(),
            zone,
            manner,
            record: record.clone(),
            leaving: AtomicBool::new(false),
            faulty: AtomicBool::new(false),
            answers: AtomicU64::new(0),
            doubled: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            open: Mutex::default(),
            acknowledged: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
        });
        let (accepting, announcing, path) =
            (Arc::clone(&server), Arc::clone(&server), path.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ended.load(Ordering::SeqCst) {
                    return;
                }
                let server = Arc::clone(&accepting);
                spawn(move || {
                    // A connection that breaks is the caller's to notice.
                    let _ = server.serve(stream);
                });
            }
        });
        spawn(move || announcing.announce(&control, &path));
        Ok(server)
    }

    /// Reports from its next heartbeat on that it is leaving.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Exits: its connections are closed, and nothing more is heard of it.
    pub fn exit(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect(self.address);
        let mut open = self.open.lock().unwrap_or_else(|held| held.into_inner());
        for stream in open.drain(..) {
            // Its caller may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.write(&format!("server {}: exits", self.id));
    }

    /// The body of a heartbeat.
    pub fn beat(&self, service: &str, address: SocketAddr, born: u64, sequence: u64) -> String {
        let zone = self.zone;
        let state = match self.leaving.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":16,\"state\":\"{state}\",\"coldLeftMs\":0,\
             \"born\":{born},\"seq\":{sequence}}}"
        )
    }

    fn announce(&self, control: &[SocketAddr], path: &Path) {
        // Where a node asked to have the next ones.
        let mut next: Option<SocketAddr> = None;
        let mut turn = 0;
        while !self.ended.load(Ordering::SeqCst) {
            let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
            let body = self.beat(self.service, self.address, self.born, sequence);
            let call = format!("/api/instances/{}", self.id);
            turn += 1;
            let others = (0..control.len()).map(|n| control[(n + turn) % control.len()]);
            let order: Vec<SocketAddr> = next.into_iter().chain(others).collect();
            let mut answered = false;
            for to in order {
                if path.is_cut() {
                    // A connection over a partition hangs; the call is given up after a second.
                    sleep(Duration::from_secs(1));
                    break;
                }
                match call_control(to, ("PUT", &call), &body) {
                    Ok(answer) if (200..300).contains(&answer.status()) => {
                        let text = String::from_utf8_lossy(&answer.body).into_owned();
                        next = named(&text);
                        self.acknowledged.fetch_add(1, Ordering::SeqCst);
                        self.record.write(&format!(
                            "server {}: heartbeat {sequence} acknowledged by {to}",
                            self.id
                        ));
                        answered = true;
                        break;
                    }
                    _ => next = None,
                }
            }
            if !answered {
                self.record.write(&format!(
                    "server {}: heartbeat {sequence} not acknowledged",
                    self.id
                ));
            }
            sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let open = stream.try_clone()?;
        self.open
            .lock()
            .unwrap_or_else(|held| held.into_inner())
            .push(open);
        let mut reader = Reader::new(stream);
        // An answer that comes a second time, where the next one is expected.
        let mut copy: Option<String> = None;
        loop {
            let mut request = reader.head()?;
            reader.body(&mut request)?;
            if let Some(copy) = copy.take() {
                out.write_all(copy.as_bytes())?;
            }
            if request.path() == "/api/order" {
                copy = self.answer_order(&mut out, &request)?;
                continue;
            }
            let id = request.get("x-almondlock-request-id").unwrap_or_default();
            let id = id.to_owned();
            let meant = request.get("x-almondlock-target-instance");
            if meant.is_some_and(|meant| meant != self.id) {
                let head = self.head(421, &id);
                out.write_all(
                    format!("{head}x-almondlock-not-executed: 1\r\ncontent-length: 0\r\n\r\n")
                        .as_bytes(),
                )?;
                continue;
            }
            self.record
                .write(&format!("server {}: runs {id} {}", self.id, request.path()));
            self.answer(&mut out, &id, &request)?;
        }
    }

    /// Answers an order. Returns the answer if it is to come a second time.
    fn answer_order(&self, out: &mut TcpStream, order: &Message) -> io::Result<Option<String>> {
        let is_release = String::from_utf8_lossy(&order.body).contains("release");
        let (status, body) = match is_release {
            true => (200, "{}"),
            false => (409, NOT_FREE),
        };
        let length = body.len();
        let answer = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n\
             content-length: {length}\r\n\r\n{body}"
        );
        out.write_all(answer.as_bytes())?;
        self.record
            .write(&format!("server {}: order answered {status}", self.id));
        let answers = self.count_answer();
        let doubled = self.doubled.load(Ordering::SeqCst);
        let is_due = answers / DOUBLED > doubled && !is_release;
        if is_due {
            self.doubled.fetch_add(1, Ordering::SeqCst);
            self.record.write(&format!(
                "server {}: that answer will come a second time",
                self.id
            ));
        }
        Ok(is_due.then_some(answer))
    }

    /// Counts an answer of a faulty server, and returns how many there were.
    fn count_answer(&self) -> u64 {
        match self.faulty.load(Ordering::SeqCst) {
            true => self.answers.fetch_add(1, Ordering::SeqCst) + 1,
            false => 0,
        }
    }

    fn head(&self, status: u16, id: &str) -> String {
        format!(
            "HTTP/1.1 {status} X\r\nx-almondlock-request-id: {id}\r\n\
             x-almondlock-response-seal: {}\r\n",
            self.id
        )
    }

    fn answer(&self, out: &mut TcpStream, id: &str, _: &Message) -> io::Result<()> {
        let head = self.head(200, id);
        if self.manner == Manner::Plain {
            let body = format!("answer to {id} by {}", self.service);
            let length = body.len();
            return out
                .write_all(format!("{head}content-length: {length}\r\n\r\n{body}").as_bytes());
        }
        let head =
            format!("{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
        out.write_all(head.as_bytes())?;
        for n in 1..=3 {
            write_chunk(out, &format!("id: {n}\ndata: event {n} of {id}\n\n"))?;
            if self.manner == Manner::Endless {
                return self.write_endlessly(out, id);
            }
            if self.manner == Manner::Stream {
                sleep(Duration::from_millis(300));
            }
        }
        self.count_answer();
        out.write_all(b"0\r\n\r\n")
    }

    /// In trouble: bytes that belong to no event, without end.
    fn write_endlessly(&self, out: &mut TcpStream, id: &str) -> io::Result<()> {
        loop {
            sleep(Duration::from_millis(100));
            if let Err(error) = write_chunk(out, "????????????????") {
                self.record.write(&format!(
                    "server {}: the caller of {id} has closed",
                    self.id
                ));
                return Err(error);
            }
        }
    }
}

/// The `heartbeatAddr` of an acknowledgement, if it has one.
fn named(text: &str) -> Option<SocketAddr> {
    let rest = text.split("\"heartbeatAddr\":\"").nth(1)?;
    rest.split('"').next()?.parse().ok()
}

fn write_chunk(out: &mut TcpStream, text: &str) -> io::Result<()> {
    out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
