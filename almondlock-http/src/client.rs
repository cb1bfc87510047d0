//! A client that reads answers by what proves their end.
//!
//! The HTTP library's client takes an HTTP/1.1 answer with neither a length nor chunks for
//! empty, and its end for the end of a complete answer.

use std::{cell::RefCell, fmt::Write, net::SocketAddr, time::Duration};

use almondlock_base::time::Mono;
use bytes::Bytes;

use crate::{
    syntax::{is_token, is_value, is_visible},
    upstream::{Connection, End, Error, Head, Pool, Source},
};

/// A request.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Names and values of headers.
    pub headers: &'a [(&'static str, String)],
    /// Length of the body, in bytes.
    pub length: u64,
    /// Whether the request may be sent on a connection that was used before. A request that
    /// may not be repeated needs a new one: the other side may just have closed the other
    /// one, and whether a request sent on it ran is unknown.
    pub may_reuse: bool,
}

impl Call<'_> {
    /// Writes the head. Fails if a text would end its line.
    fn write_head(&self, address: SocketAddr) -> Result<Vec<u8>, Error> {
        if self.method.is_empty() || !self.method.bytes().all(is_token) {
            return Err(Error::Unwritable("method"));
        }
        if !self.path.starts_with('/') || !self.path.bytes().all(is_visible) {
            return Err(Error::Unwritable("path"));
        }
        let mut headers = self.headers.iter();
        if !headers.all(|(_, value)| value.bytes().all(is_value)) {
            return Err(Error::Unwritable("header"));
        }
        let (method, path) = (self.method, self.path);
        let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\n");
        for (name, value) in self.headers {
            // Writing to a string doesn't fail.
            let _ = write!(head, "{name}: {value}\r\n");
        }
        if self.length > 0 || matches!(method, "POST" | "PUT" | "PATCH") {
            let _ = write!(head, "content-length: {}\r\n", self.length);
        }
        if !self.may_reuse {
            head.push_str("connection: close\r\n");
        }
        head.push_str("\r\n");
        Ok(head.into_bytes())
    }
}

/// Sends requests, and keeps connections that can be used again.
#[derive(Debug)]
pub struct Client {
    clock: fn() -> Mono,
    connect_timeout: Duration,
    idle: RefCell<Pool<SocketAddr>>,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(clock: fn() -> Mono, connect_timeout: Duration) -> Client {
        Client {
            clock,
            connect_timeout,
            idle: RefCell::default(),
        }
    }

    /// Sends a request and waits for the head of its answer. Redirects are not followed.
    pub async fn send<S>(
        &self,
        address: SocketAddr,
        call: &Call<'_>,
        body: S,
    ) -> Result<Answer<'_>, Error>
    where
        S: Source,
    {
        let head = call.write_head(address)?;
        let idle = match call.may_reuse {
            true => self.idle.borrow_mut().take((self.clock)(), &address, false),
            false => None,
        };
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(address, self.connect_timeout).await?,
        };
        let head = connection.send(&head, body).await?;
        Ok(Answer {
            client: self,
            address,
            head,
            connection: Some(connection),
            body_bytes: 0,
        })
    }
}

/// An answer whose head has arrived. Dropping it closes the connection unless the body was
/// read to its end.
#[derive(Debug)]
pub struct Answer<'a> {
    client: &'a Client,
    address: SocketAddr,
    /// The head.
    pub head: Head,
    // Invariant: `None` only while the answer is dropped.
    connection: Option<Connection>,
    body_bytes: usize,
}

impl Answer<'_> {
    /// Returns whether the status is one of success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.head.status)
    }

    /// Returns the number of bytes of the body that were read.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Returns how the end of the body was recognised, or `None` if it was not reached.
    pub fn end(&self) -> Option<End> {
        self.connection.as_ref().and_then(Connection::end)
    }

    /// Returns the next bytes of the body, or `None` if it is complete.
    pub async fn next(&mut self) -> Option<Result<Bytes, Error>> {
        let chunk = self.connection.as_mut()?.next_chunk().await.transpose();
        if let Some(Ok(bytes)) = &chunk {
            self.body_bytes += bytes.len();
        }
        chunk
    }

    /// Reads the complete body, of at most `limit` bytes.
    pub async fn read_body(&mut self, limit: usize) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        while let Some(bytes) = self.next().await {
            body.extend_from_slice(&bytes?);
            if body.len() > limit {
                return Err(Error::Invalid("body too long"));
            }
        }
        Ok(body)
    }
}

impl Drop for Answer<'_> {
    fn drop(&mut self) {
        if let Some(mut connection) = self.connection.take()
            && connection.end().is_some()
            && connection.is_reusable(&self.head)
        {
            connection.idle_timeout = self.head.idle_timeout;
            let mut idle = self.client.idle.borrow_mut();
            idle.put((self.client.clock)(), &self.address, connection);
        }
    }
}
