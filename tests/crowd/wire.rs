//! What clients write and read.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

/// Something that clients can reach: an address with a path and headers.
#[derive(Clone, Debug)]
pub struct Door {
    pub address: SocketAddr,
    /// Method of requests with a body.
    pub method: &'static str,
    /// The request's number is put after it.
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    /// What stands before and after the filling of a body; `#` stands for the number.
    pub around: (&'static str, &'static str),
    /// The start of a body of many fields, a field, and the body's end.
    pub fields: (&'static str, &'static str, &'static str),
}

impl Door {
    /// The path of a request.
    pub fn path(&self, number: usize) -> String {
        match self.around.0.is_empty() {
            true => format!("{}{number}", self.path),
            // The number is in the body.
            false => self.path.clone(),
        }
    }

    /// A request's head, up to the fields that tell its length.
    pub fn head(&self, method: &str, number: usize) -> String {
        let mut head = format!("{method} {} HTTP/1.1\r\n", self.path(number));
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        head
    }

    /// A head with the length of its body.
    pub fn sized(&self, number: usize, length: usize) -> String {
        let head = self.head(self.method, number);
        format!("{head}content-length: {length}\r\n\r\n")
    }

    /// A body of `length` bytes.
    pub fn body(&self, number: usize, length: usize) -> Vec<u8> {
        let (start, end) = self.around;
        let mut body = start.replace('#', &number.to_string()).into_bytes();
        let filling = length.saturating_sub(body.len() + end.len());
        body.extend(std::iter::repeat_n(b'x', filling));
        body.extend_from_slice(end.as_bytes());
        body
    }

    /// What one request with this body gets, if it is answered `within` the time.
    pub async fn answer(&self, number: usize, body: &[u8], within: Duration) -> Option<Answer> {
        let request = [self.sized(number, body.len()).as_bytes(), body].concat();
        let sent = async {
            let mut stream = self.connect().await.ok()?;
            stream.write_all(&request).await.ok()?;
            read_answer(&mut stream).await
        };
        tokio::time::timeout(within, sent).await.ok().flatten()
    }

    /// A body of `length` bytes at most that is made of very many short fields.
    pub fn many_fields(&self, length: usize) -> Vec<u8> {
        let (start, field, end) = self.fields;
        let count = length.saturating_sub(start.len() + end.len()) / field.len();
        [start, &field.repeat(count), end].concat().into_bytes()
    }

    /// Connects.
    pub async fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Connects with a receive buffer so small that answers stay at the other side.
    pub async fn connect_deaf(&self) -> io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(2_048)?;
        socket.connect(self.address).await
    }
}

/// An answer as it was read.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let mut found = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.trim())
    }

    /// Whether the connection may be used again.
    pub fn is_kept(&self) -> bool {
        self.header("connection")
            .is_none_or(|value| !value.eq_ignore_ascii_case("close"))
    }
}

/// Reads an answer that has a length or chunks. `None` when the connection ends before.
pub async fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            break end + 4;
        }
        read_more(stream, &mut bytes).await?;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut answer = Answer {
        status,
        head,
        body: bytes.split_off(end),
    };
    match answer.header("content-length") {
        Some(length) => {
            let length: usize = length.parse().ok()?;
            while answer.body.len() < length {
                read_more(stream, &mut answer.body).await?;
            }
        }
        None => {
            while find(&answer.body, b"0\r\n\r\n").is_none() {
                read_more(stream, &mut answer.body).await?;
            }
        }
    }
    Some(answer)
}

async fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut piece = [0; 16 * 1024];
    let count = stream.read(&mut piece).await.ok()?;
    bytes.extend_from_slice(&piece[..count]);
    (count > 0).then_some(())
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|part| part == what)
}

/// Writes pieces of a body, each as a chunk if `chunked`. Ends early when the other side has
/// closed.
pub async fn write_pieces(
    stream: &mut TcpStream,
    (body, size): (Arc<[u8]>, usize),
    chunked: bool,
) -> io::Result<()> {
    for piece in body.chunks(size) {
        if chunked {
            let mut framed = format!("{:x}\r\n", piece.len()).into_bytes();
            framed.extend_from_slice(piece);
            framed.extend_from_slice(b"\r\n");
            stream.write_all(&framed).await?;
        } else {
            stream.write_all(piece).await?;
        }
    }
    Ok(())
}
