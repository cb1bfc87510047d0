//! HTTP/1.1 as the stand-ins speak it: whole messages with a length.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    /// As it came, with the marks of its chunks if there are any.
    pub body: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
    Some(&found.1)
}

/// One call on a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    wait: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, wait.min(Duration::from_secs(1)))?;
    stream.set_read_timeout(Some(wait))?;
    stream.set_write_timeout(Some(wait))?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        text.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str("Content-Type: application/json\r\n");
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("Connection: close\r\n\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())?;
    let mut buffer = Vec::new();
    read_answer(&mut stream, &mut buffer)
}

/// Reads the head of a message: its first line and its headers. None at the end.
pub fn read_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        let mut piece = [0; 4096];
        let count = stream.read(&mut piece)?;
        if count == 0 {
            return match buffer.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        buffer.extend_from_slice(&piece[..count]);
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().to_owned()))
    });
    Ok(Some((first, headers.collect())))
}

pub fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    length: usize,
) -> io::Result<Vec<u8>> {
    while buffer.len() < length {
        let mut piece = [0; 16384];
        let count = stream.read(&mut piece)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buffer.extend_from_slice(&piece[..count]);
    }
    Ok(buffer.drain(..length).collect())
}

pub fn read_answer(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Answer> {
    let head = read_head(stream, buffer)?;
    let (first, headers) = head.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let length = header(&headers, "content-length").and_then(|text| text.parse().ok());
    let body = match length {
        Some(length) => read_body(stream, buffer, length)?,
        None => {
            stream.read_to_end(buffer)?;
            std::mem::take(buffer)
        }
    };
    Ok(Answer {
        status,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}
