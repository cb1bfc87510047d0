//! Replicas that answer as told, for tests of the client.
#![allow(dead_code, clippy::unwrap_used)]

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use almondlock_base::{Code, time::Wall, unit::Revision};
use almondlock_state::{
    api::{Failure, Planned, Problem},
    command::{Command, Reply},
    intent::{Intent, Limits},
    machine::Machine,
};

/// What a replica was asked: method and path, and body.
pub(crate) type Asked = (String, String);

/// An answer: status and body; `None` closes the connection instead.
pub(crate) type Answer = Option<(u16, String)>;

/// A replica on the loopback.
#[derive(Clone)]
pub(crate) struct Fake {
    pub(crate) address: SocketAddr,
    asked: Arc<Mutex<Vec<Asked>>>,
}

impl Fake {
    /// Answers the n-th request with `answer(n, request)`.
    pub(crate) fn start<F>(answer: F) -> Fake
    where
        F: Fn(usize, &Asked) -> Answer + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
        let fake = Fake { address, asked };
        let log = Arc::clone(&fake.asked);
        let count = AtomicUsize::new(0);
        // Ends with the test's process; one request a connection.
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Some(request) = read(&stream) else {
                    continue;
                };
                log.lock().unwrap().push(request.clone());
                let number = count.fetch_add(1, Ordering::Relaxed);
                if let Some((status, body)) = answer(number, &request) {
                    write(stream, status, &body);
                }
            }
        });
        fake
    }

    pub(crate) fn asked(&self) -> Vec<Asked> {
        self.asked.lock().unwrap().clone()
    }

    /// Methods and paths that it was asked, in order.
    pub(crate) fn paths(&self) -> Vec<String> {
        self.asked().into_iter().map(|(path, _)| path).collect()
    }
}

fn read(stream: &TcpStream) -> Option<Asked> {
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first).ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let path = first.trim().trim_end_matches(" HTTP/1.1").to_owned();
    Some((path, String::from_utf8(body).ok()?))
}

fn write(mut stream: TcpStream, status: u16, body: &str) {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} Answer\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(body.as_bytes());
}

pub(crate) fn failure(problem: Problem) -> Answer {
    let status = Code::from_number(problem.code).map_or(500, Code::status);
    let body = serde_json::to_string(&Failure { error: problem }).unwrap();
    Some((status, body))
}

/// Plan 1, as a replica shows it; carried out, or only proposed.
pub(crate) fn planned(done: bool) -> Answer {
    let mut machine = Machine::new();
    let name = almondlock_base::id::Organisation::new("acme").unwrap();
    let intent = Intent::AddOrganisation {
        name,
        limits: Limits::default(),
    };
    let (number, operator, at) = ("n1".to_owned(), "anna".to_owned(), Wall::from_millis(1));
    let mut reply = machine
        .apply(Command::Propose {
            number,
            intent,
            operator,
            at,
        })
        .reply;
    if done {
        let (plan, operator) = (almondlock_state::plan::Id(1), "anna".to_owned());
        reply = machine.apply(Command::Confirm { plan, operator, at }).reply;
    }
    let Reply::Planned { plan } = reply else {
        return None;
    };
    let in_force = (plan.revision > Revision::ZERO).then_some(true);
    let body = serde_json::to_string(&Planned {
        plan: *plan,
        in_force,
    })
    .unwrap();
    Some((200, body))
}

/// Runs the client against some addresses.
pub(crate) fn run(addresses: &[SocketAddr], words: &[&str]) -> ExitCode {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("key");
    std::fs::write(&file, "secret\n").unwrap();
    let control: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    let mut arguments: Vec<String> = words.iter().map(|&word| word.to_owned()).collect();
    let key_file = file.to_str().unwrap().to_owned();
    arguments.extend([
        "--control".to_owned(),
        control.join(","),
        "--key-file".to_owned(),
        key_file,
    ]);
    almondlock_cli::run(arguments)
}

/// An address that nobody listens on.
pub(crate) fn nobody() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}
