//! A layer that counts what goes through it.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    task::{Context, Poll},
};

use almondlock_transport::Layer;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Counts bytes and calls, both ways.
#[derive(Clone, Default)]
pub(crate) struct Count {
    bytes: Arc<AtomicU64>,
    writes: Arc<AtomicU64>,
}

impl Count {
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Relaxed)
    }

    pub(crate) fn writes(&self) -> u64 {
        self.writes.load(Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Relaxed);
        self.writes.fetch_add(u64::from(bytes > 0), Relaxed);
    }
}

impl Layer for Count {
    type Stream<S>
        = Counted<S>
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static;

    async fn admit(&self, _: SocketAddr) -> io::Result<()> {
        Ok(())
    }

    fn wrap<S>(&self, stream: S, _: SocketAddr) -> Counted<S>
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let count = self.clone();
        Counted { stream, count }
    }
}

pub(crate) struct Counted<S> {
    stream: S,
    count: Count,
}

impl<S> AsyncRead for Counted<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.count.add(buf.filled().len() - before);
        poll
    }
}

impl<S> AsyncWrite for Counted<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(size)) = &poll {
            self.count.add(*size);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
