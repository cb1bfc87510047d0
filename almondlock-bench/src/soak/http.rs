//! HTTP/1.1 as a caller or an upstream reads it, apart from the code that is tested.

use std::io;

use bytes::{Buf, Bytes, BytesMut};
use tokio::{io::AsyncReadExt, net::TcpStream};

/// The most header lines.
const HEADERS: usize = 64;
/// The largest head, in bytes.
const HEAD: usize = 32 * 1024;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Of a request.
    pub path: String,
    /// Of a response.
    pub status: u16,
    /// With names in lower case.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
    /// A response in HTTP/1.0.
    pub is_old: bool,
    /// The body had neither a length nor chunks and ended with its connection.
    pub is_unmarked: bool,
}

impl Message {
    /// The value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// What a side reads of a connection.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: BytesMut,
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

impl Reader {
    /// The next request. None: the connection has ended between two.
    pub async fn request(&mut self, stream: &mut TcpStream) -> io::Result<Option<Message>> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS];
            let mut request = httparse::Request::new(&mut headers);
            let parsed = request.parse(&self.buffer);
            if let Ok(httparse::Status::Complete(length)) = parsed {
                let mut message = Message {
                    path: request.path.unwrap_or_default().to_owned(),
                    headers: owned(request.headers),
                    ..Message::default()
                };
                self.buffer.advance(length);
                let length = message.get("content-length").map(str::parse);
                let length = length.unwrap_or(Ok(0)).map_err(|_| invalid("bad length"))?;
                message.body = self.take(stream, length).await?.to_vec();
                return Ok(Some(message));
            }
            parsed.map_err(|_| invalid("bad request"))?;
            if self.fill(stream).await? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// The next response, with its whole body.
    pub async fn response(&mut self, stream: &mut TcpStream) -> io::Result<Message> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            let parsed = response.parse(&self.buffer);
            if let Ok(httparse::Status::Complete(length)) = parsed {
                let mut message = Message {
                    status: response.code.unwrap_or(0),
                    is_old: response.version == Some(0),
                    headers: owned(response.headers),
                    ..Message::default()
                };
                self.buffer.advance(length);
                self.body(stream, &mut message).await?;
                return Ok(message);
            }
            parsed.map_err(|_| invalid("bad response"))?;
            if self.fill(stream).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    async fn body(&mut self, stream: &mut TcpStream, message: &mut Message) -> io::Result<()> {
        let length = message.get("content-length").map(str::parse);
        message.body = match (message.get("transfer-encoding"), length) {
            (Some(_), _) if message.is_old => return Err(invalid("chunks in HTTP/1.0")),
            (Some(_), _) => self.chunks(stream).await?,
            (None, Some(length)) => {
                let length = length.map_err(|_| invalid("bad length"))?;
                self.take(stream, length).await?.to_vec()
            }
            (None, None) if message.is_old => {
                message.is_unmarked = true;
                while self.fill(stream).await? > 0 {}
                self.buffer.split().to_vec()
            }
            // Nothing would tell a whole body from one that was cut.
            (None, None) => return Err(invalid("a body without a length")),
        };
        Ok(())
    }

    async fn chunks(&mut self, stream: &mut TcpStream) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line(stream).await?;
            let size = std::str::from_utf8(&line).ok();
            let size = size.and_then(|text| usize::from_str_radix(text.trim(), 16).ok());
            let size = size.ok_or_else(|| invalid("bad chunk"))?;
            body.extend_from_slice(&self.take(stream, size).await?);
            self.line(stream).await?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    async fn line(&mut self, stream: &mut TcpStream) -> io::Result<Bytes> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.buffer.split_to(end + 2).freeze();
                return Ok(line.slice(..end));
            }
            if self.fill(stream).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    async fn take(&mut self, stream: &mut TcpStream, length: usize) -> io::Result<Bytes> {
        while self.buffer.len() < length {
            if self.fill(stream).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn fill(&mut self, stream: &mut TcpStream) -> io::Result<usize> {
        if self.buffer.len() > HEAD * 8 {
            return Err(invalid("too long"));
        }
        stream.read_buf(&mut self.buffer).await
    }
}

fn owned(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let owned = headers.iter().map(|header| {
        let value = String::from_utf8_lossy(header.value).into_owned();
        (header.name.to_ascii_lowercase(), value)
    });
    owned.collect()
}
