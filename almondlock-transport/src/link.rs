//! Dialling sessions.

use std::{future::Future, io, net::SocketAddr, rc::Rc, time::Duration};

use almondlock_task::guard;
use almondlock_wire::almondlock_capnp::node;
use capnp::message::ReaderOptions;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::{AsyncReadExt, FutureExt};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    sync::watch,
    time::timeout,
};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::{
    layer::{Direct, Layer},
    security::{Identity, Security},
    stream::Stream,
};

/// How long connecting and the handshake may take together.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest message a session accepts. Bodies travel in chunks, so the
/// largest is a batch of log entries; a larger one ends the session before
/// room is made for it.
pub const MESSAGE_LIMIT: usize = 32 * 1024 * 1024;

const WORD: usize = 8;

pub(crate) type Network<S> =
    VatNetwork<futures::io::ReadHalf<tokio_util::compat::Compat<Stream<S>>>>;

pub(crate) fn network<S>(stream: Stream<S>, side: Side, limit: usize) -> Network<S>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(limit / WORD));
    let (reader, writer) = stream.compat().split();
    VatNetwork::new(reader, writer, side, options)
}

/// How sessions are dialled.
#[derive(Clone, Debug)]
pub struct Dialer<L = Direct> {
    /// What sessions are wrapped in.
    pub security: Security,
    /// What stands between a session and its stream.
    pub layer: L,
    /// How long connecting and the handshake may take together.
    pub timeout: Duration,
    /// The largest message accepted, in bytes.
    pub limit: usize,
}

impl Dialer {
    /// Dials with the usual limits.
    pub fn new(security: Security) -> Dialer {
        Dialer::with_layer(security, Direct)
    }
}

impl<L> Dialer<L>
where
    L: Layer,
{
    /// Dials through a layer.
    pub fn with_layer(security: Security, layer: L) -> Dialer<L> {
        Dialer {
            security,
            layer,
            timeout: CONNECT_TIMEOUT,
            limit: MESSAGE_LIMIT,
        }
    }

    /// Connects to a process. Must be called on a thread with a local executor.
    pub async fn dial(&self, address: SocketAddr) -> io::Result<Link> {
        let stream = match timeout(self.timeout, self.open(address)).await {
            Ok(stream) => stream?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        let identity = stream.identity();
        let network = network(stream, Side::Client, self.limit);
        let mut system = RpcSystem::new(Box::new(network), None);
        let node = system.bootstrap(Side::Server);
        let (closing, closed) = watch::channel(false);
        let system = guard("session", system);
        let task = tokio::task::spawn_local(system.map(move |_| closing.send_replace(true)));
        Ok(Link {
            node,
            identity,
            closed,
            _task: Rc::new(Task(task)),
        })
    }

    async fn open(&self, address: SocketAddr) -> io::Result<Stream<L::Stream<TcpStream>>> {
        self.layer.admit(address).await?;
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Stream::connect(self.layer.wrap(stream, address), &self.security).await
    }
}

/// A session with another process. Dropping the last clone ends it, and every
/// call that is still under way on it fails.
#[derive(Clone)]
pub struct Link {
    node: node::Client,
    identity: Identity,
    closed: watch::Receiver<bool>,
    // Ends the session's task when the last clone goes.
    _task: Rc<Task>,
}

struct Task(tokio::task::JoinHandle<bool>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Link {
    /// Connects to a process over plain TCP.
    pub async fn dial(address: SocketAddr) -> io::Result<Link> {
        Dialer::new(Security::Plain).dial(address).await
    }

    /// The other side's bootstrap interface.
    pub fn node(&self) -> &node::Client {
        &self.node
    }

    /// Who the other side has proved to be.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Whether the session is known to have ended. A host that vanished without
    /// closing is not known to have: callers keep their own time.
    pub fn is_closed(&self) -> bool {
        *self.closed.borrow() || self.closed.has_changed().is_err()
    }

    /// Waits until the session has ended. Keeps no clone of the link.
    pub fn closed(&self) -> impl Future<Output = ()> + use<> {
        let mut closed = self.closed.clone();
        async move {
            // An error says that the task is gone, which is an end too.
            closed.wait_for(|closed| *closed).await.ok();
        }
    }
}
