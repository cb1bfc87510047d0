//! Dialling and serving sessions.

use std::{io, net::SocketAddr, rc::Rc};

use almondlock_wire::almondlock_capnp::node;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::{AsyncReadExt, FutureExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::TokioAsyncReadCompatExt;

/// A session with another process. Dropping the last clone ends it.
#[derive(Clone)]
pub struct Link {
    node: node::Client,
    closed: Rc<std::cell::Cell<bool>>,
    // Ends the session's task when the last clone goes.
    _task: Rc<Task>,
}

struct Task(tokio::task::JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Link {
    /// Connects to a process. Must be called on a thread with a local executor.
    pub async fn dial(address: SocketAddr) -> io::Result<Link> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.compat().split();
        let network = VatNetwork::new(reader, writer, Side::Client, Default::default());
        let mut system = RpcSystem::new(Box::new(network), None);
        let node = system.bootstrap(Side::Server);
        let closed = Rc::new(std::cell::Cell::new(false));
        let flag = Rc::clone(&closed);
        let task = tokio::task::spawn_local(system.map(move |_| flag.set(true)));
        Ok(Link {
            node,
            closed,
            _task: Rc::new(Task(task)),
        })
    }

    /// The other side's bootstrap interface.
    pub fn node(&self) -> &node::Client {
        &self.node
    }

    /// Whether the session is known to have ended.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }
}

/// Serves sessions on a listener until its future is dropped.
pub async fn serve(listener: TcpListener, node: node::Client) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.compat().split();
        let network = VatNetwork::new(reader, writer, Side::Server, Default::default());
        let system = RpcSystem::new(Box::new(network), Some(node.clone().client));
        tokio::task::spawn_local(system.map(drop));
    }
}
