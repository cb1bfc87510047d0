//! A part of a prompt that crashes each upstream which begins to write an answer on it, in
//! requests that are otherwise different and come to several hosts.

mod gateway;

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use gateway::{start_observing_pace, start_relay, status};
use socket2::SockRef;

const UPSTREAMS: usize = 40;
/// The part that crashes upstreams.
const CRASHING: &str = "bad";
/// Number of deaths after which hosts have a bounded time to react.
const DEATHS: usize = 5;
/// That time.
const CONTACT: Duration = Duration::from_secs(3);
/// Number of requests with the part that may reach upstreams later.
const ALLOWED: usize = 3;

/// What the upstreams saw.
#[derive(Default)]
struct Seen {
    /// Times at which requests with the part arrived.
    arrivals: Mutex<Vec<Instant>>,
    /// Times at which upstreams crashed.
    crashes: Mutex<Vec<Instant>>,
}

/// An upstream that crashes for good.
struct Upstream {
    dead: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    seen: Arc<Seen>,
}

impl Upstream {
    fn start(seen: &Arc<Seen>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let upstream = Arc::new(Upstream {
            dead: AtomicBool::new(false),
            streams: Mutex::default(),
            seen: Arc::clone(seen),
        });
        thread::spawn(move || {
            for stream in listener.incoming() {
                if upstream.dead.load(Ordering::SeqCst) {
                    return;
                }
                let stream = stream.unwrap();
                upstream
                    .streams
                    .lock()
                    .unwrap()
                    .push(stream.try_clone().unwrap());
                let upstream = Arc::clone(&upstream);
                thread::spawn(move || upstream.serve(stream, address));
            }
        });
        address
    }

    fn serve(&self, mut stream: TcpStream, address: SocketAddr) {
        while let Some(head) = read_request(&mut stream) {
            let id = field(&head, "x-id");
            let crashes = field(&head, "x-parts").contains(CRASHING);
            if crashes {
                let mut arrivals = self.seen.arrivals.lock().unwrap();
                arrivals.push(Instant::now());
            }
            let after = field(&head, "last-event-id").parse().unwrap_or(0);
            thread::sleep(Duration::from_millis(30));
            let start = format!(
                "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\n\
                 content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
            );
            let mut text = start;
            for number in after + 1..=4 {
                let event = format!("id: {number}\ndata: x\n\n");
                text += &format!("{:x}\r\n{event}\r\n", event.len());
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                text.clear();
                thread::sleep(Duration::from_millis(15));
                if crashes {
                    self.crash(address);
                    return;
                }
            }
            if stream.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
        }
    }

    fn crash(&self, address: SocketAddr) {
        if self.dead.swap(true, Ordering::SeqCst) {
            return;
        }
        self.seen.crashes.lock().unwrap().push(Instant::now());
        for stream in self.streams.lock().unwrap().drain(..) {
            // Fails only on a connection that is gone.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect(address);
    }
}

fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8(head).unwrap();
    let mut body = vec![0; field(&head, "content-length").parse().unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(head)
}

fn field(head: &str, name: &str) -> String {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or_else(String::new, |(_, value)| value.trim().to_owned())
}

/// Sends a request with these parts, whose body no other has. Returns its status, or 0 if it
/// was broken off.
fn ask(host: SocketAddr, parts: &str) -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let body = format!("question {number}");
    let Ok(mut stream) = TcpStream::connect(host) else {
        return 0;
    };
    let request = format!(
        "POST /stream/ HTTP/1.1\r\nhost: h\r\nx-id: r-{number}\r\nx-deadline: 1500\r\n\
         x-parts: {parts},own-{number}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).unwrap();
    let response = gateway::read(&mut stream, Duration::from_secs(3));
    let is_whole = response.contains("content-length") || response.ends_with("0\r\n\r\n");
    if is_whole { status(&response) } else { 0 }
}

/// What callers without the part saw.
#[derive(Default)]
struct Sound {
    served: usize,
    refused: usize,
    lost: usize,
}

/// Sends sound requests that share the organisation and the first two parts, one after the
/// other until the end.
fn send_sound(host: SocketAddr, from: Instant, until: Instant) -> Sound {
    let mut sound = Sound::default();
    while Instant::now() < until {
        let sent = Instant::now();
        let answer = ask(host, "system,manual,good");
        thread::sleep(Duration::from_millis(20));
        if sent < from {
            continue;
        }
        match answer {
            200 => sound.served += 1,
            429 => sound.refused += 1,
            _ => sound.lost += 1,
        }
    }
    sound
}

/// Guards against one part of a prompt that crashes one upstream after the other because no
/// two requests with it are alike, and against requests that are refused because they share
/// its other parts.
#[test]
fn no_two_alike() {
    let seen = Arc::new(Seen::default());
    let upstreams: Vec<SocketAddr> = (0..UPSTREAMS).map(|_| Upstream::start(&seen)).collect();
    let relays = [start_relay(), start_relay()];
    let hosts = [(); 3].map(|()| start_observing_pace(&upstreams, Some(relays), false));
    thread::sleep(Duration::from_millis(400));
    let start = Instant::now();
    let until = start + Duration::from_secs(8);
    let sound = hosts
        .map(|host| thread::spawn(move || send_sound(host, start + Duration::from_secs(4), until)));
    let crashing = hosts.map(|host| {
        thread::spawn(move || {
            while Instant::now() < until {
                ask(host, "system,manual,bad");
                thread::sleep(Duration::from_millis(250));
            }
        })
    });
    for thread in crashing {
        thread.join().unwrap();
    }
    let sound = sound.map(|thread| thread.join().unwrap());
    let crashes = seen.crashes.lock().unwrap();
    let arrivals = seen.arrivals.lock().unwrap();
    let late = crashes.get(DEATHS - 1).map_or(0, |fifth| {
        let late = arrivals.iter().filter(|at| **at > *fifth + CONTACT);
        late.count()
    });
    let served: usize = sound.iter().map(|sound| sound.served).sum();
    let refused: usize = sound.iter().map(|sound| sound.refused).sum();
    let lost: usize = sound.iter().map(|sound| sound.lost).sum();
    println!(
        "{} crashes, {late} late arrivals, sound: {served} served, {refused} refused, {lost} lost",
        crashes.len()
    );
    assert!(late <= ALLOWED, "{late} arrivals after {DEATHS} deaths");
    let left = UPSTREAMS - crashes.len();
    assert!(left > UPSTREAMS / 2, "{left} upstreams left");
    assert_eq!(refused, 0, "{served} served, {lost} lost");
    assert!(lost * 20 < served, "{served} served, {lost} lost");
}
