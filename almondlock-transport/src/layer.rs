//! What stands between a session and its TCP stream.
//!
//! In production nothing does: [`Direct`] hands the stream through, and being a
//! type it costs nothing. Tests put [`fault::Site`](crate::fault::Site) there
//! and cut, delay or close live connections. Layers stand on the dialling side
//! only, which knows both processes' addresses; since that side sees the bytes
//! of both directions, nothing is missed.

use std::{future::Future, io, net::SocketAddr};

use tokio::io::{AsyncRead, AsyncWrite};

/// Wraps streams that were dialled.
pub trait Layer: Clone + 'static {
    /// A wrapped stream.
    type Stream<S>: AsyncRead + AsyncWrite + Unpin + 'static
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Asked before a connection is tried; an error refuses it, and a future
    /// that stays pending looks like a host that doesn't answer.
    fn admit(&self, remote: SocketAddr) -> impl Future<Output = io::Result<()>>;

    /// Wraps a connection to `remote`.
    fn wrap<S>(&self, stream: S, remote: SocketAddr) -> Self::Stream<S>
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static;
}

/// No layer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Direct;

impl Layer for Direct {
    type Stream<S>
        = S
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static;

    async fn admit(&self, _: SocketAddr) -> io::Result<()> {
        Ok(())
    }

    fn wrap<S>(&self, stream: S, _: SocketAddr) -> S
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        stream
    }
}
