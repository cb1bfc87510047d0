//! An upstream answers a long upload at once, with neither a length nor chunks, sends a part of
//! the body, and resets the connection while the upload is still being written. Its caller must
//! not get that part as a complete answer, on plain routes and streams, on new and kept
//! connections. The same with a status that is none.

mod fake;
mod gateway;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use fake::{Step, answer, start};
use gateway::status;
use yare::parameterized;

const EVENTS: &str = "content-type: text/event-stream\r\n";

/// Sends a request with a body of this length and returns what comes until the connection ends
/// or nothing comes for a while.
fn upload(gateway: SocketAddr, path: &str, length: usize) -> String {
    let mut stream = TcpStream::connect(gateway).unwrap();
    let mut sender = stream.try_clone().unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nx-id: r-1\r\nx-deadline: 3000\r\nx-usage: 100,10\r\n\
         content-length: {length}\r\n\r\n"
    );
    let sending = thread::spawn(move || {
        // The host may answer before it has read everything.
        let _ = sender.write_all(head.as_bytes());
        let _ = sender.write_all(&vec![b'x'; length]);
    });
    let patience = Some(Duration::from_secs(5));
    stream.set_read_timeout(patience).unwrap();
    let mut bytes = Vec::new();
    let mut piece = [0; 65_536];
    while let Ok(count @ 1..) = stream.read(&mut piece) {
        bytes.extend_from_slice(&piece[..count]);
        if bytes.ends_with(b"0\r\n\r\n") {
            break;
        }
    }
    drop(stream);
    sending.join().unwrap();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn is_complete(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    match length {
        Some(length) => length.parse() == Ok(body.len()),
        None => response.ends_with("0\r\n\r\n"),
    }
}

/// One connection: a sound answer before, if it is kept, and the one that is cut.
fn connection(is_kept: bool, cut: &str, pause: u64) -> Vec<Step> {
    let mut steps = match is_kept {
        true => vec![Step::Read, answer("200 OK", "before")],
        false => vec![],
    };
    steps.extend([
        Step::ReadHead,
        Step::Write(cut.to_owned()),
        Step::Pause(pause),
        Step::Reset,
    ]);
    steps
}

/// What the caller of an upload gets, for each length of the upload and each pause before the
/// reset.
fn outcomes(path: &str, is_kept: bool, cut: &str) -> Vec<String> {
    let mut responses = Vec::new();
    for length in [600 << 10, 3 << 20] {
        for pause in [0, 1, 50, 400] {
            let connections = (0..4).map(|_| connection(is_kept, cut, pause));
            let (upstream, _heads) = start(connections.collect());
            let gateway = gateway::start(&[upstream]);
            if is_kept {
                let (response, _) = gateway::ask(gateway, "/unsafe/");
                assert_eq!(status(&response), 200, "{response}");
            }
            responses.push(upload(gateway, path, length));
        }
    }
    responses
}

fn head(code: &str, fields: &str) -> String {
    format!("HTTP/1.1 {code} X\r\nx-id: ID\r\nx-seal: s\r\n{fields}\r\n")
}

/// Guards against a part of an answer reaching its caller as the whole.
#[parameterized(
    plain = { "/unsafe/", "", "half" },
    plain_long = { "/unsafe/", "", "long" },
    event = { "/once/", EVENTS, "id: 1\ndata: x\n\n" },
    half_event = { "/once/", EVENTS, "id: 1\ndata: x\n\nid: 2\nda" },
    resumable = { "/stream/", EVENTS, "id: 1\ndata: x\n\n" },
    events_on_plain = { "/unsafe/", EVENTS, "id: 1\ndata: x\n\n" },
)]
fn part_of_answer(path: &str, fields: &str, part: &str) {
    let part = match part {
        "long" => "y".repeat(100_000),
        part => part.to_owned(),
    };
    for is_kept in [false, true] {
        let responses = outcomes(path, is_kept, &(head("200", fields) + &part));
        for (n, response) in responses.iter().enumerate() {
            let passed = status(response) == 200 && is_complete(response);
            assert!(!passed, "{n}, kept {is_kept}: {response}");
        }
    }
}

/// Guards against a status that is none reaching its caller as an answer.
#[parameterized(
    plain = { "/unsafe/", "content-length: 3\r\n", "yes" },
    stream = { "/once/", EVENTS, "id: 1\ndata: x\n\n" },
    resumable = { "/stream/", EVENTS, "id: 1\ndata: x\n\n" },
)]
fn no_status(path: &str, fields: &str, body: &str) {
    for is_kept in [false, true] {
        let responses = outcomes(path, is_kept, &(head("000", fields) + body));
        for (n, response) in responses.iter().enumerate() {
            let is_own = response.contains("x-almondlock-code: ") && !response.contains("x-seal");
            assert!(is_own, "{n}, kept {is_kept}: {response}");
        }
    }
}
