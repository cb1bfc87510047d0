//! A stand-in for a server of the platform: it announces itself by heartbeats, runs what it
//! is sent, and keeps a list of what it ran.

use std::{
    io::{self, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http;

/// What a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub tenant: String,
    pub at: Instant,
}

/// How a server behaves.
#[derive(Clone, Debug)]
pub struct Manner {
    /// How long it works on a request.
    pub work: Duration,
}

/// A server's place: what is the same over its starts.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// The requests a second that it names as its limit.
    pub limit: Arc<Mutex<Option<&'static str>>>,
    manner: Manner,
    service: String,
    zone: String,
    controls: Vec<SocketAddr>,
    life: Option<Life>,
}

/// One start of a server.
struct Life {
    over: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

/// How often a server speaks.
const BEAT: Duration = Duration::from_millis(1200);

impl Server {
    /// Starts a server on a free port.
    pub fn start(
        ip: Ipv4Addr,
        id: &str,
        service: &str,
        zone: &str,
        controls: Vec<SocketAddr>,
        manner: Manner,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind((ip, 0))?;
        let mut server = Server {
            id: id.to_owned(),
            address: listener.local_addr()?,
            runs: Arc::default(),
            limit: Arc::default(),
            manner,
            service: service.to_owned(),
            zone: zone.to_owned(),
            controls,
            life: None,
        };
        server.begin(listener);
        Ok(server)
    }

    /// Starts again under the same id, at the same address. It knows nothing of before, and is
    /// still in need if it was.
    pub fn start_again(&mut self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        self.begin(listener);
        Ok(())
    }

    /// Crashes: its connections break and nobody listens.
    pub fn crash(&mut self) {
        let Some(life) = self.life.take() else {
            return;
        };
        life.over.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then lets go of the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for connection in lock(&life.connections).drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn begin(&mut self, listener: TcpListener) {
        let life = Life {
            over: Arc::default(),
            connections: Arc::default(),
        };
        let (over, connections) = (Arc::clone(&life.over), Arc::clone(&life.connections));
        let (runs, limit) = (Arc::clone(&self.runs), Arc::clone(&self.limit));
        let (own, manner) = (self.id.clone(), self.manner.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(clone) = stream.try_clone() {
                    lock(&connections).push(clone);
                }
                let (runs, limit, own) = (Arc::clone(&runs), Arc::clone(&limit), own.clone());
                let (over, manner) = (Arc::clone(&over), manner.clone());
                thread::spawn(move || drop(serve(stream, &own, &manner, (&runs, &limit, &over))));
            }
        });
        let over = Arc::clone(&life.over);
        let (id, service, zone) = (self.id.clone(), self.service.clone(), self.zone.clone());
        let (controls, address) = (self.controls.clone(), self.address);
        thread::spawn(move || {
            let born = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |since| since.as_millis());
            let mut sequence = 0_u64;
            let mut place = usize::from(id.as_bytes().last().copied().unwrap_or(0));
            while !over.load(Ordering::SeqCst) {
                sequence += 1;
                let body = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                     \"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"coldLeftMs\":0,\
                     \"born\":{born},\"seq\":{sequence}}}"
                );
                for _ in 0..controls.len() {
                    if beat(controls[place % controls.len()], &id, &body) {
                        break;
                    }
                    place += 1;
                }
                thread::sleep(BEAT);
            }
        });
        self.life = Some(life);
    }

    pub fn ran(&self, id: &str) -> Option<Run> {
        lock(&self.runs).iter().find(|run| run.id == id).cloned()
    }
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}

fn beat(to: SocketAddr, id: &str, body: &str) -> bool {
    let path = format!("/api/instances/{id}");
    let wait = Duration::from_secs(1);
    let mut to = to;
    for _ in 0..3 {
        match http::call(to, "PUT", &path, &[], body, wait) {
            Ok(answer) if answer.status == 307 => {
                let next = answer.header("location").and_then(|text| {
                    let text = text.strip_prefix("http://")?;
                    text.split('/').next()?.parse().ok()
                });
                match next {
                    Some(next) => to = next,
                    None => return false,
                }
            }
            Ok(answer) => return answer.status < 300,
            Err(_) => return false,
        }
    }
    false
}

type Shared<'a> = (
    &'a Mutex<Vec<Run>>,
    &'a Mutex<Option<&'static str>>,
    &'a AtomicBool,
);

fn serve(
    mut stream: TcpStream,
    own: &str,
    manner: &Manner,
    (runs, limit, over): Shared<'_>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some((first, headers)) = http::read_head(&mut stream, &mut buffer)? {
        let length = http::header(&headers, "content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        http::read_body(&mut stream, &mut buffer, length)?;
        if over.load(Ordering::SeqCst) {
            return Ok(());
        }
        let field = |name: &str| http::header(&headers, name).unwrap_or_default().to_owned();
        let id = field("x-almondlock-request-id");
        let meant = field("x-almondlock-target-instance");
        let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
        let (status, seal, body) = if !meant.is_empty() && meant != own {
            ("421 Misdirected Request", false, String::new())
        } else if id.is_empty() {
            ("400 Bad Request", false, String::new())
        } else {
            lock(runs).push(Run {
                id: id.clone(),
                tenant: field("x-almondlock-tenant"),
                at: Instant::now(),
            });
            thread::sleep(manner.work);
            ("200 OK", true, format!("ran {id} {path}"))
        };
        if over.load(Ordering::SeqCst) {
            return Ok(());
        }
        let mut text = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\nX-Almondlock-Request-Id: {id}\r\n",
            body.len()
        );
        if let Some(limit) = *lock(limit) {
            text.push_str(&format!("Server-Limit: {limit}\r\n"));
        }
        if seal {
            text.push_str(&format!("X-Almondlock-Response-Seal: {own}.{id}\r\n"));
        } else {
            text.push_str("X-Almondlock-Not-Executed: 1\r\n");
        }
        text.push_str("\r\n");
        text.push_str(&body);
        stream.write_all(text.as_bytes())?;
    }
    Ok(())
}
