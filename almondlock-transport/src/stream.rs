//! A stream that is secured or not.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_rustls::{
    TlsAcceptor, TlsConnector, TlsStream,
    rustls::pki_types::{CertificateDer, ServerName},
};

use crate::security::{Identity, Security};

pub(crate) enum Stream<S> {
    Plain(S),
    Tls(Box<TlsStream<S>>),
}

impl<S> Stream<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Secures the dialling side.
    pub(crate) async fn connect(stream: S, security: &Security) -> io::Result<Stream<S>> {
        match security {
            Security::Plain => Ok(Stream::Plain(stream)),
            Security::Mutual(mutual) => {
                // The name is not compared (see `security`), but TLS asks for one.
                let name = ServerName::try_from("almondlock").map_err(io::Error::other)?;
                let connector = TlsConnector::from(mutual.client.clone());
                let stream = connector.connect(name, stream).await?;
                Ok(Stream::Tls(Box::new(stream.into())))
            }
        }
    }

    /// Secures the listening side.
    pub(crate) async fn accept(stream: S, security: &Security) -> io::Result<Stream<S>> {
        match security {
            Security::Plain => Ok(Stream::Plain(stream)),
            Security::Mutual(mutual) => {
                let acceptor = TlsAcceptor::from(mutual.server.clone());
                let stream = acceptor.accept(stream).await?;
                Ok(Stream::Tls(Box::new(stream.into())))
            }
        }
    }

    /// Who the other side has proved to be.
    pub(crate) fn identity(&self) -> Identity {
        let certificates = match self {
            Stream::Plain(_) => None,
            Stream::Tls(stream) => stream.get_ref().1.peer_certificates(),
        };
        match certificates.and_then(<[_]>::first) {
            Some(certificate) => Identity::Proved(CertificateDer::into_owned(certificate.clone())),
            None => Identity::Unproved,
        }
    }
}

impl<S> AsyncRead for Stream<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Plain(stream) => Pin::new(stream).poll_read(cx, buf),
            Stream::Tls(stream) => Pin::new(stream).poll_read(cx, buf),
        }
    }
}

impl<S> AsyncWrite for Stream<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Plain(stream) => Pin::new(stream).poll_write(cx, buf),
            Stream::Tls(stream) => Pin::new(stream).poll_write(cx, buf),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Plain(stream) => Pin::new(stream).poll_flush(cx),
            Stream::Tls(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Plain(stream) => Pin::new(stream).poll_shutdown(cx),
            Stream::Tls(stream) => Pin::new(stream).poll_shutdown(cx),
        }
    }
}
