//! A running node.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, atomic::AtomicU64},
};

use almondlock_base::id::{Domain, Host, Incarnation, Region, Upstream};
use almondlock_spread::view::View;
use almondlock_transport::{Security, listen};
use almondlock_wire::{
    almondlock_capnp::{control, node, sidecar},
    peer::Peer,
};
use tokio::{
    net::TcpListener,
    sync::Notify,
    task::{JoinHandle, spawn_local},
};

use crate::{
    fetch,
    handle::{Handle, Shared, Vouch},
    server::Server,
};

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// The host's name.
    pub host: Host,
    /// Its failure domain.
    pub domain: Domain,
    /// Its region.
    pub region: Region,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Where the inner listener binds; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Inner addresses of the control replicas.
    pub seeds: Vec<SocketAddr>,
    /// What sessions are wrapped in.
    pub security: Security,
}

/// Sidecars by the upstream they stand in front of. Upstreams announce
/// themselves, so the set changes while the process runs; clones share it.
#[derive(Clone, Default)]
pub struct Sidecars {
    inner: Rc<RefCell<HashMap<Upstream, sidecar::Client>>>,
}

impl Sidecars {
    /// Offers a sidecar, in place of one of the same name.
    pub fn insert(&self, upstream: Upstream, client: sidecar::Client) {
        self.inner.borrow_mut().insert(upstream, client);
    }

    /// No longer offers a sidecar.
    pub fn remove(&self, upstream: &Upstream) {
        self.inner.borrow_mut().remove(upstream);
    }

    /// The sidecar of an upstream.
    pub fn get(&self, upstream: &Upstream) -> Option<sidecar::Client> {
        self.inner.borrow().get(upstream).cloned()
    }
}

/// What the process's roles offer to other processes.
#[derive(Default)]
pub struct Parts {
    /// Sidecars by the upstream they stand in front of.
    pub sidecars: Sidecars,
    /// The control interface, on a replica.
    pub control: Option<control::Client>,
    /// Whether this process extends the view itself, as a replica does.
    pub is_source: bool,
    /// Until when a source's view is known to be current. A source without one
    /// counts as current always, which is right only for a single replica.
    pub vouch: Option<Vouch>,
}

/// A running node, bound to the thread that started it.
pub struct Node {
    address: SocketAddr,
    handle: Handle,
    stopped: Rc<Cell<bool>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    /// Binds the inner listener and starts serving and fetching. Must be called
    /// on a thread with a local executor.
    pub async fn start(config: Config, view: View, parts: Parts) -> io::Result<Node> {
        let listener = TcpListener::bind(config.listen).await?;
        let address = listener.local_addr()?;
        let is_source = parts.is_source;
        let shared = Arc::new(Shared {
            host: config.host.clone(),
            incarnation: config.incarnation,
            view,
            security: config.security.clone(),
            always: is_source && parts.vouch.is_none(),
            current: parts.vouch.clone().unwrap_or_default(),
            heard: AtomicU64::new(0),
            news: Notify::new(),
        });
        let handle = Handle::new(Arc::clone(&shared));
        let server: node::Client = capnp_rpc::new_client(Server::new(handle.clone(), parts));
        let limits = listen::Config::new(config.security.clone());
        let serving = listen::serve_with(listener, limits, move |_, _| server.clone());
        let mut tasks = vec![spawn_local(serving)];
        if !is_source {
            tasks.push(spawn_local(fetch::run(config, shared, handle.clone())));
        }
        Ok(Node {
            address,
            handle,
            stopped: Rc::default(),
            tasks,
        })
    }

    /// Where the inner listener is bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A handle for other threads.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// This process as it names itself in exchanges.
    pub fn peer(&self) -> Peer {
        self.handle.peer()
    }

    /// Whether the configuration in force is known to be recent.
    pub fn is_recent(&self) -> bool {
        self.handle.is_recent()
    }

    /// Takes note of the other side of an exchange.
    pub fn heard(&self, peer: &Peer) {
        self.handle.heard(peer);
    }

    /// Stops serving and fetching.
    pub async fn stop(&self) {
        self.stopped.set(true);
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}
