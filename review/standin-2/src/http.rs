//! HTTP/1.1 on plain sockets: what a sound client, server or operator of the pages speaks.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A message that was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        let buffer = Vec::new();
        Reader { stream, buffer }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    /// Takes up to the next `mark`, which is dropped.
    fn until(&mut self, mark: &[u8]) -> io::Result<Vec<u8>> {
        loop {
            let found = self.buffer.windows(mark.len()).position(|w| w == mark);
            if let Some(end) = found {
                let taken = self.buffer[..end].to_vec();
                self.buffer.drain(..end + mark.len());
                return Ok(taken);
            }
            self.fill()?;
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a head.
    pub fn head(&mut self) -> io::Result<Message> {
        let text = self.until(b"\r\n\r\n")?;
        let text = String::from_utf8_lossy(&text).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.to_owned(), value.trim().to_owned()));
        Ok(Message {
            first,
            headers: headers.collect(),
            body: Vec::new(),
        })
    }

    /// Reads the body that has a length.
    pub fn body(&mut self, head: &mut Message) -> io::Result<()> {
        let length = head
            .get("content-length")
            .and_then(|text| text.parse().ok());
        head.body = self.exactly(length.unwrap_or(0))?;
        Ok(())
    }

    /// Reads the next chunk of a chunked body. `None` at its end.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.until(b"\r\n")?;
        let size = String::from_utf8_lossy(&line).trim().to_owned();
        let size = usize::from_str_radix(&size, 16).map_err(io::Error::other)?;
        let bytes = self.exactly(size)?;
        self.until(b"\r\n")?;
        Ok((size > 0).then_some(bytes))
    }
}

/// Connects, with a second for it.
pub fn connect(to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    Ok(stream)
}

/// Makes one call on a connection of its own and reads the whole answer.
pub fn call(
    to: SocketAddr,
    (method, path): (&str, &str),
    headers: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let begun = Instant::now();
    let mut stream = connect(to, timeout)?;
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\n{headers}content-length: {length}\r\n\r\n");
    stream.write_all((head + body).as_bytes())?;
    let mut reader = Reader::new(stream);
    let mut answer = reader.head()?;
    reader.body(&mut answer)?;
    match begun.elapsed() <= timeout {
        true => Ok(answer),
        false => Err(io::ErrorKind::TimedOut.into()),
    }
}
