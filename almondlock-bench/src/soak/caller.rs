//! Callers of one entry host: one request after the other, on an open connection for as
//! long as it stays open.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use rand::{Rng, seq::IndexedRandom};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{sleep, timeout},
};

use super::{
    history::{Kind, Outcome, Request},
    http::{Message, Reader},
    world::{self, CRASH_BODY, EVENTS, HOST, SHARED, World, events},
};

/// How long a caller waits, as it tells the host.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// What the last word may take beyond that.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Between two requests of a caller, in milliseconds.
const PAUSE: std::ops::Range<u64> = 5..60;
/// Between two requests that crash an upstream.
const CRASHING: Duration = Duration::from_millis(400);
/// Between two requests with a part that crashes upstreams, in milliseconds.
const PARTS: std::ops::Range<u64> = 200..400;
/// How long connecting may take.
const CONNECT: Duration = Duration::from_millis(1_000);
/// The longest that a caller waits because it was told to.
const RETURN: Duration = Duration::from_millis(1_000);
/// Of so many requests one is sent in HTTP/1.0.
const OLD: u32 = 8;
/// Names the code of a refusal.
const CODE: &str = "x-almondlock-code";
/// Tokens of a short and of a long prompt.
const PROMPTS: (u64, u64) = (2_000, 70_000);

/// An entry host as callers know it.
pub struct Place {
    /// The link to it.
    pub address: SocketAddr,
    /// Counts its starts.
    pub life: Rc<Cell<u32>>,
    /// Whether the balancer gives it new connections.
    pub is_in: Cell<bool>,
}

/// One caller.
pub struct Caller {
    /// The run.
    pub world: Rc<World>,
    /// The number of its own entry host.
    pub host: usize,
    /// All entry hosts.
    pub hosts: Rc<[Place]>,
    /// Keys that ever were.
    pub keys: Vec<String>,
    /// It may send long prompts at any time. The others only while there are faults: two at a
    /// time may lack memory, which is no matter of recovery.
    pub leads: bool,
    /// It sends nothing but requests of this kind, which crash upstreams.
    pub crashes: Option<Kind>,
    /// It sends without a pause, whatever it is told, until then.
    pub greedy: Option<u64>,
    /// The host that its open connection leads to.
    pub opened: Cell<usize>,
}

/// Versions before the newest that callers ask for.
const OLDEST: u64 = 4;

impl Caller {
    /// Sends until the run is over.
    pub async fn run(self) {
        let mut connection = None;
        while !self.world.over.get() {
            let (pause, kind) = self.draw();
            if let Some(until) = self.greedy {
                if self.world.now() >= until {
                    return;
                }
                self.send(&mut connection, Kind::Short).await;
                continue;
            }
            sleep(pause).await;
            let back = self.send(&mut connection, kind).await;
            sleep(back.min(RETURN)).await;
        }
    }

    /// The host that the next request goes to: its own, or the one that all connections go to.
    fn target(&self) -> usize {
        let Some(aimed) = self.world.aimed.get().filter(|_| self.crashes.is_none()) else {
            return self.host;
        };
        let count = self.hosts.len();
        let mut order = (0..count).map(|n| (aimed + n) % count);
        let is_in = |host: &usize| self.hosts[*host].is_in.get();
        order.find(is_in).unwrap_or(aimed)
    }

    fn draw(&self) -> (Duration, Kind) {
        let newest = self.world.acknowledged().map_or(1, |p| p.version);
        let mut rng = self.world.rng.borrow_mut();
        let pause = Duration::from_millis(rng.random_range(PAUSE));
        match self.crashes {
            Some(Kind::Part) => {
                return (Duration::from_millis(rng.random_range(PARTS)), Kind::Part);
            }
            Some(kind) => return (CRASHING, kind),
            None => {}
        }
        let kind = match rng.random_range(0..20) {
            0..6 => Kind::Safe,
            6..12 => Kind::Unsafe,
            12..16 => Kind::Short,
            16 if self.leads || !self.world.quiet.get() => Kind::Long,
            17 | 18 => Kind::Version(newest),
            _ if self.world.quiet.get() => Kind::Safe,
            _ => {
                let age = rng.random_range(1..=OLDEST);
                Kind::Version(newest.saturating_sub(age).max(1))
            }
        };
        (pause, kind)
    }

    fn key(&self) -> String {
        // The last one is never taken away.
        if let Some(key) = self
            .keys
            .last()
            .filter(|_| self.crashes == Some(Kind::Crash) || self.greedy.is_some())
        {
            return key.clone();
        }
        let newest = self.world.acknowledged();
        let mut rng = self.world.rng.borrow_mut();
        let valid = newest.map(|p| p.keys).unwrap_or_default();
        let any = !self.world.quiet.get() && rng.random_bool(0.2);
        let keys = if any || valid.is_empty() {
            &self.keys
        } else {
            &valid
        };
        keys.choose(&mut *rng).cloned().unwrap_or_default()
    }

    /// Sends one request and notes how it ended. Gives how long to wait before the next.
    async fn send(&self, connection: &mut Option<(TcpStream, Reader)>, kind: Kind) -> Duration {
        let host = self.target();
        if self.world.aimed.get().is_some() || self.opened.get() != host {
            *connection = None;
        }
        self.opened.set(host);
        let id = format!("r{host}-{}", self.world.number());
        let (key, life) = (self.key(), self.hosts[host].life.get());
        let is_old = self.world.rng.borrow_mut().random_ratio(1, OLD);
        let text = self.text(&id, &key, kind, is_old);
        let taken = self.connect(host, connection).await;
        let Some((mut stream, mut reader)) = taken else {
            let now = self.world.now();
            self.note(id, (host, life, kind, key), now, (Outcome::Unsent, None));
            return Duration::from_millis(100);
        };
        let written = stream.write_all(text.as_bytes()).await;
        let sent = self.world.now();
        let answer = match written {
            Ok(()) => timeout(DEADLINE + PATIENCE, reader.response(&mut stream)).await,
            Err(error) => Ok(Err(error)),
        };
        let outcome = outcome(&id, kind, &answer);
        let mut back = Duration::ZERO;
        let mut code = None;
        if let Ok(Ok(message)) = &answer {
            code = message.get(CODE).and_then(|text| text.parse().ok());
            let wait = message
                .get("retry-after")
                .and_then(|text| text.parse().ok());
            back = wait.map_or(Duration::ZERO, |seconds: f64| {
                Duration::try_from_secs_f64(seconds).unwrap_or(RETURN)
            });
            if message.get("connection") != Some("close") && !message.is_old {
                *connection = Some((stream, reader));
            }
        }
        self.note(id, (host, life, kind, key), sent, (outcome, code));
        back
    }

    fn note(
        &self,
        id: String,
        (host, life, kind, key): (usize, u32, Kind, String),
        sent: u64,
        (outcome, code): (Outcome, Option<u16>),
    ) {
        self.world.history.borrow_mut().requests.push(Request {
            id,
            host,
            life,
            kind,
            key,
            sent,
            ended: self.world.now(),
            outcome,
            code,
        });
    }

    async fn connect(
        &self,
        host: usize,
        connection: &mut Option<(TcpStream, Reader)>,
    ) -> Option<(TcpStream, Reader)> {
        if let Some(open) = connection.take() {
            // A connection that the host has closed is no answer to the next request.
            let mut byte = [0];
            let is_open = matches!(open.0.try_read(&mut byte),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock);
            if is_open {
                return Some(open);
            }
        }
        let connecting = timeout(CONNECT, TcpStream::connect(self.hosts[host].address)).await;
        let stream = connecting.ok()?.ok()?;
        // Only a matter of time.
        let _ = stream.set_nodelay(true);
        Some((stream, Reader::default()))
    }

    /// The parts of a stream's prompt.
    fn parts(&self, id: &str, kind: Kind) -> String {
        let mut shared = SHARED;
        let count = match kind {
            Kind::Part => {
                shared[self.world.place] = world::CRASHING;
                SHARED.len()
            }
            _ => SHARED.len() - usize::from(self.world.rng.borrow_mut().random_bool(0.5)),
        };
        world::parts(&shared[..count], id)
    }

    fn text(&self, id: &str, key: &str, kind: Kind, is_old: bool) -> String {
        let names = &self.world.names;
        let path = match kind {
            Kind::Safe => "safe".to_owned(),
            Kind::Unsafe | Kind::Crash => "unsafe".to_owned(),
            Kind::Short | Kind::Long | Kind::Part => "stream".to_owned(),
            Kind::Version(version) => format!("v{version}"),
        };
        let body = match kind {
            Kind::Crash => CRASH_BODY,
            Kind::Short | Kind::Long | Kind::Part => id,
            Kind::Safe | Kind::Unsafe | Kind::Version(_) => "hi",
        };
        let prompt = match kind {
            Kind::Short | Kind::Part => Some(PROMPTS.0),
            Kind::Long => Some(PROMPTS.1),
            Kind::Safe | Kind::Unsafe | Kind::Crash | Kind::Version(_) => None,
        };
        let usage = prompt.map_or_else(String::new, |prompt| {
            let (usage, parts) = (names.usage.as_str(), names.parts.as_str());
            let list = self.parts(id, kind);
            format!("{usage}: {prompt},{EVENTS}\r\n{parts}: {list}\r\n")
        });
        let version = if is_old { "1.0" } else { "1.1" };
        format!(
            "POST /{path}/x HTTP/{version}\r\nhost: {HOST}\r\n{}: {id}\r\n{}: {}\r\n{}: {key}\r\n{usage}\
             content-length: {}\r\n\r\n{body}",
            names.request_id.as_str(),
            names.deadline.as_str(),
            DEADLINE.as_millis(),
            names.key.as_str(),
            body.len(),
        )
    }
}

fn outcome(
    id: &str,
    kind: Kind,
    answer: &Result<io::Result<Message>, tokio::time::error::Elapsed>,
) -> Outcome {
    let message = match answer {
        Err(_) => return Outcome::Silent,
        Ok(Err(_)) => return Outcome::Broken,
        Ok(Ok(message)) => message,
    };
    let right = match kind {
        Kind::Short | Kind::Long | Kind::Part => events(id, 1, EVENTS),
        Kind::Safe | Kind::Unsafe | Kind::Crash | Kind::Version(_) => super::world::answer(id),
    };
    if message.status != 200 || message.body == right.as_bytes() {
        return Outcome::Status(message.status);
    }
    // Without a length or chunks only the end of an event tells.
    match message.is_unmarked && !message.body.ends_with(b"\n\n") {
        true => Outcome::Broken,
        false => Outcome::Wrong,
    }
}
