//! A stand-in for a server of the platform: it announces itself by heartbeats, runs what it
//! is sent, and keeps a list of what it ran.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
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

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    over: Arc<AtomicBool>,
}

/// How often a server speaks.
const BEAT: Duration = Duration::from_millis(1200);

impl Server {
    pub fn start(
        ip: std::net::Ipv4Addr,
        id: &str,
        service: &str,
        zone: &str,
        controls: Vec<SocketAddr>,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let server = Server {
            id: id.to_owned(),
            address,
            runs: Arc::default(),
            over: Arc::default(),
        };
        let (runs, over, own) = (
            Arc::clone(&server.runs),
            Arc::clone(&server.over),
            id.to_owned(),
        );
        thread::spawn(move || {
            for stream in listener.incoming() {
                if over.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (runs, own) = (Arc::clone(&runs), own.clone());
                thread::spawn(move || drop(serve(stream, &own, &runs)));
            }
        });
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis());
        let (over, id, service, zone) = (
            Arc::clone(&server.over),
            id.to_owned(),
            service.to_owned(),
            zone.to_owned(),
        );
        thread::spawn(move || {
            let mut sequence = 0_u64;
            let mut place = usize::from(id.as_bytes().last().copied().unwrap_or(0));
            while !over.load(Ordering::Relaxed) {
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
        Ok(server)
    }

    pub fn stop(&self) {
        self.over.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }

    pub fn ran(&self, id: &str) -> Option<Run> {
        let runs = self.runs.lock().unwrap_or_else(|error| error.into_inner());
        runs.iter().find(|run| run.id == id).cloned()
    }
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

fn serve(mut stream: TcpStream, own: &str, runs: &Mutex<Vec<Run>>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some((first, headers)) = http::read_head(&mut stream, &mut buffer)? {
        let length = http::header(&headers, "content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        http::read_body(&mut stream, &mut buffer, length)?;
        let field = |name: &str| http::header(&headers, name).unwrap_or_default().to_owned();
        let id = field("x-almondlock-request-id");
        let meant = field("x-almondlock-target-instance");
        let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
        let (status, seal, body) = if !meant.is_empty() && meant != own {
            ("421 Misdirected Request", false, String::new())
        } else if id.is_empty() {
            ("400 Bad Request", false, String::new())
        } else {
            let run = Run {
                id: id.clone(),
                tenant: field("x-almondlock-tenant"),
                at: Instant::now(),
            };
            let mut runs = runs.lock().unwrap_or_else(|error| error.into_inner());
            runs.push(run);
            ("200 OK", true, format!("ran {id} {path}"))
        };
        let mut text = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\nX-Almondlock-Request-Id: {id}\r\n",
            body.len()
        );
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
