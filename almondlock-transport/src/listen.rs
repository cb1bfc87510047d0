//! Serving sessions.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use almondlock_task::guard;
use almondlock_wire::almondlock_capnp::node;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    link::{MESSAGE_LIMIT, network},
    security::{Identity, Security},
    stream::Stream,
};

/// How long a handshake may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// A pause after an error of the listener, such as no file descriptor left.
const PAUSE: Duration = Duration::from_millis(100);

/// Connections that may wait until they are accepted: one from each of 3,000 servers
/// and some more. The system cuts it to what it allows.
const BACKLOG: i32 = 4096;

/// Connections at one time to all HTTP listeners of a process; more wait in their
/// queues. One from each of 3,000 servers that speak to a replica, and room for
/// operators; well below the descriptors that a process usually has (4,096).
///
/// The HTTP library has one such limit in a process, and the listener that sets it last
/// sets it for all. **Failure.** The operators' listener allowed 256. With as many
/// servers connected, the listener beside it, for heartbeats and publications, took no
/// connection any more, and no configuration was acknowledged until the end.
pub const CONNECTIONS: usize = 3_500;

/// Listens for others at an address.
///
/// **Failure.** A thousand servers speak at the same moment, since they started
/// together. Of the 128 connections that the standard library lets wait, the rest is
/// dropped, and the kernel of each caller asks again only after a second or three. An
/// operator's call among them was answered after four seconds.
pub fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    // As the standard library does, so that a process that starts again finds its
    // address free.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// How a listener serves.
#[derive(Clone, Debug)]
pub struct Config {
    /// What sessions are wrapped in.
    pub security: Security,
    /// The largest message accepted, in bytes.
    pub limit: usize,
    /// Sessions at one time; further connections are closed at once.
    pub sessions: usize,
    /// A session on which nothing arrives for this long is closed.
    ///
    /// A host that vanishes without closing leaves its sessions here, and
    /// after months of restarts they would fill the table. Processes that have
    /// something to say speak every few seconds, and one whose idle session is
    /// closed under it dials again.
    pub idle: Duration,
}

impl Config {
    /// The usual limits.
    pub fn new(security: Security) -> Config {
        Config {
            security,
            limit: MESSAGE_LIMIT,
            sessions: 4096,
            idle: Duration::from_secs(15 * 60),
        }
    }
}

/// Serves plain sessions on a listener until its future is dropped.
pub async fn serve(listener: TcpListener, node: node::Client) -> io::Result<()> {
    let config = Config::new(Security::Plain);
    serve_with(listener, config, move |_, _| node.clone()).await;
    Ok(())
}

/// Serves sessions until the future is dropped, which ends them all. `make`
/// gives each session its bootstrap interface, by who the other side is.
pub async fn serve_with<F>(listener: TcpListener, config: Config, make: F)
where
    F: Fn(Identity, SocketAddr) -> node::Client + 'static,
{
    let shared = Rc::new((config, make));
    let mut sessions = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = sessions.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) if sessions.len() >= shared.0.sessions => drop(stream),
            Ok((stream, remote)) => {
                let shared = Rc::clone(&shared);
                sessions.spawn_local(async move {
                    let (config, make) = &*shared;
                    let session = guard("session", session(stream, remote, config, make));
                    if let Ok(Err(error)) = session.await {
                        tracing::debug!(%remote, %error, "a session ended");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "a connection could not be accepted");
                sleep(PAUSE).await;
            }
        }
    }
}

async fn session<F>(
    stream: TcpStream,
    remote: SocketAddr,
    config: &Config,
    make: &F,
) -> io::Result<()>
where
    F: Fn(Identity, SocketAddr) -> node::Client,
{
    stream.set_nodelay(true)?;
    let heard = Rc::new(Cell::new(true));
    let stream = Watched {
        stream,
        heard: Rc::clone(&heard),
    };
    let handshake = Stream::accept(stream, &config.security);
    let stream = timeout(HANDSHAKE_TIMEOUT, handshake).await??;
    let node = make(stream.identity(), remote);
    let network = network(stream, Side::Server, config.limit);
    let system = RpcSystem::new(Box::new(network), Some(node.client));
    tokio::select! {
        result = system => result.map_err(io::Error::other),
        () = idle(&heard, config.idle) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Waits until nothing was heard for a whole span. It looks once a span, so the
/// silence it finds is between one and two spans long.
async fn idle(heard: &Cell<bool>, span: Duration) {
    while heard.replace(false) {
        sleep(span).await;
    }
}

/// A stream that notes whether anything arrives.
struct Watched {
    stream: TcpStream,
    heard: Rc<Cell<bool>>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> std::task::Poll<io::Result<()>> {
        let poll = std::pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        if poll.is_ready() {
            self.heard.set(true);
        }
        poll
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buf: &[u8],
    ) -> std::task::Poll<io::Result<usize>> {
        std::pin::Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<io::Result<()>> {
        std::pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<io::Result<()>> {
        std::pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
