//! Sound clients: plain requests at a steady rate, and streams that are abandoned after the gap
//! that the pages name.

use std::{
    io::{self, Write},
    net::SocketAddr,
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reader},
    record::Record,
};

pub const HOST: &str = "quotes.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// The headers of a request.
pub fn headers(id: &str, deadline: Duration) -> String {
    format!(
        "host: {HOST}\r\nx-almondlock-request-id: {id}\r\nx-almondlock-deadline-ms: {}\r\n\
         x-almondlock-key: {KEY}\r\n",
        deadline.as_millis()
    )
}

/// Sends a request each 50 ms for the time, to the fronts in turn, and returns how many there
/// were and how many got a success.
pub fn ask(fronts: &[SocketAddr], span: Duration, what: &str, record: &Record) -> (usize, usize) {
    let begun = Instant::now();
    let mut asked = Vec::new();
    while begun.elapsed() < span {
        let id = format!("{what}-{}", asked.len());
        let (to, record) = (fronts[asked.len() % fronts.len()], record.clone());
        asked.push(spawn(move || {
            let deadline = Duration::from_millis(1_500);
            record.write(&format!("client: {id} sent to {to}"));
            let call = ("GET", "/slot-check/a");
            let answer = http::call(to, call, &headers(&id, deadline), "", deadline);

            match &answer {
                Ok(answer) => {
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    let sealed = answer.get("x-almondlock-response-seal").is_some();
                    record.write(&format!("client: {id} answered {}", answer.status()));
                    answer.status() == 200
                        && sealed
                        && body.starts_with(&format!("answer to {id} by"))
                }
                Err(error) => {
                    record.write(&format!("client: {id} not answered: {error}"));
                    false
                }
            }
        }));
        sleep(Duration::from_millis(50));
    }
    let count = asked.len();
    let served = asked.into_iter().filter_map(|thread| thread.join().ok());
    (count, served.filter(|is_served| *is_served).count())
}

/// How a stream ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was complete, or was refused, after this long.
    Final(Duration),
    /// Its connection was closed after this long.
    Closed(Duration),
    /// The client gave up after this long without an event.
    Abandoned(Duration),
}

/// Asks for a stream and reads it to its end, or until there was no event for `patience`.
pub fn stream(
    to: SocketAddr,
    id: &str,
    deadline: Duration,
    patience: Duration,
    record: &Record,
) -> io::Result<End> {
    let begun = Instant::now();
    let mut out = http::connect(to, patience)?;
    let request = format!(
        "POST /event-file/a HTTP/1.1\r\n{}content-length: 2\r\n\r\nhi",
        headers(id, deadline)
    );
    record.write(&format!("client: {id} sent to {to}"));
    out.write_all(request.as_bytes())?;
    let mut reader = Reader::new(out);
    let head = match reader.head() {
        Ok(head) => head,
        Err(_) => return Ok(End::Closed(begun.elapsed())),
    };
    if head.status() != 200 {
        record.write(&format!("client: {id} answered {}", head.status()));
        return Ok(End::Final(begun.elapsed()));
    }
    loop {
        match reader.chunk() {
            Ok(Some(events)) => {
                let text = String::from_utf8_lossy(&events).replace('\n', " ");
                record.write(&format!("client: {id} got {text}"));
            }
            Ok(None) => {
                record.write(&format!("client: {id} complete"));
                return Ok(End::Final(begun.elapsed()));
            }
            Err(error) => {
                let late = matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                );
                let end = match late {
                    true => End::Abandoned(begun.elapsed()),
                    false => End::Closed(begun.elapsed()),
                };
                record.write(&format!("client: {id} {end:?}"));
                return Ok(end);
            }
        }
    }
}

/// Asks on a connection that is kept open. Returns the status and the body.
pub fn ask_on(
    reader: &mut Reader,
    path: &str,
    id: &str,
    record: &Record,
) -> io::Result<(u16, String)> {
    let deadline = Duration::from_millis(1_500);
    let request = format!("GET {path} HTTP/1.1\r\n{}\r\n", headers(id, deadline));
    record.write(&format!("client: {id} sent for {path}"));
    reader.stream.write_all(request.as_bytes())?;
    let mut answer = reader.head()?;
    reader.body(&mut answer)?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    record.write(&format!(
        "client: {id} answered {}: {body}",
        answer.status()
    ));
    Ok((answer.status(), body))
}

/// Sends a prompt of so many tokens and reads the answer. Returns the status, whether the answer
/// bears the request's id and a seal, and the body.
pub fn prompt(
    to: SocketAddr,
    id: &str,
    tokens: u64,
    record: &Record,
) -> io::Result<(u16, bool, String)> {
    let deadline = Duration::from_secs(10);
    let mut out = http::connect(to, Duration::from_secs(4))?;
    let rest = tokens - 40;
    let request = format!(
        "POST /contract-read/a HTTP/1.1\r\n{}x-almondlock-model: m\r\n\
         x-almondlock-token-usage: {tokens},100\r\n\
         x-almondlock-prompt-prefix: 5c1e07a2:40,{:08x}:{rest}\r\ncontent-length: 2\r\n\r\nhi",
        headers(id, deadline),
        id.len()
    );
    record.write(&format!("client: {id} sent to {to}"));
    out.write_all(request.as_bytes())?;
    let mut reader = Reader::new(out);
    let mut answer = reader.head()?;
    let is_own = answer.get("x-almondlock-request-id") == Some(id)
        && answer.get("x-almondlock-response-seal").is_some();
    let mut body = Vec::new();
    match answer.get("transfer-encoding") {
        Some(_) => {
            while let Some(chunk) = reader.chunk()? {
                body.extend(chunk);
            }
        }
        None => {
            reader.body(&mut answer)?;
            body.clone_from(&answer.body);
        }
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    let status = answer.status();
    record.write(&format!(
        "client: {id} answered {status}, own id and seal: {is_own}, {}",
        body.replace('\n', " ")
    ));
    Ok((status, is_own, body))
}
