//! A running node.

use std::{
    cell::RefCell,
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize},
    },
    time::Duration,
};

use almondlock_base::id::{Domain, Host, Incarnation, Region, Upstream};
use almondlock_spread::{
    children::{self, Children},
    pacer::Pacer,
    snapshot::Store,
    view::View,
};
use almondlock_task::{Owner, Task};
use almondlock_transport::{Dialer, Direct, Layer, Security, listen};
use almondlock_wire::{
    almondlock_capnp::{control, sidecar},
    peer::Peer,
    spread::{Member, Process},
};
use tokio::{
    net::TcpListener,
    sync::{Notify, watch},
};

use crate::{
    exchange,
    fetch::{self, Fetcher},
    handle::{Handle, Shared, Tree, Vouch},
    server,
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
    /// How closely it follows its parent.
    pub pace: Pace,
}

/// How closely a process follows its parent in the tree. The age of what it
/// holds grows by `hold` a level, and a silent parent is left after `hold` and
/// `silence`.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// How long a parent may hold an answer back when it has no news. Half a
    /// kilobyte goes each time.
    pub hold: Duration,
    /// How long after its time an answer may still come.
    pub silence: Duration,
    /// The oldest answer that a parent may give.
    pub stale: Duration,
    /// The longest pause between two rounds of looking for a parent. After all
    /// processes were lost together, those that start first look in vain, and
    /// serve nobody until their next round.
    pub search: Duration,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            hold: Duration::from_secs(2),
            silence: Duration::from_secs(2),
            stale: almondlock_spread::parent::Config::default().max_answer_age,
            search: almondlock_spread::parent::Config::default().max_pause,
        }
    }
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
    /// Owner of the process's tasks.
    pub owner: Owner,
}

/// A running node, bound to the thread that started it.
pub struct Node {
    address: SocketAddr,
    handle: Handle,
    shared: Arc<Shared>,
    parent: fetch::Parent,
    tasks: Vec<Task>,
}

impl Node {
    /// Binds the inner listener and starts serving and fetching. Must be called
    /// on a thread with a local executor.
    pub async fn start(config: Config, view: View, parts: Parts) -> io::Result<Node> {
        Node::start_with(config, view, parts, |_| Direct).await
    }

    /// The same, through a layer; `layer` is given the address that is bound.
    pub async fn start_with<F, L>(
        config: Config,
        view: View,
        parts: Parts,
        layer: F,
    ) -> io::Result<Node>
    where
        F: FnOnce(SocketAddr) -> L,
        L: Layer,
    {
        let listener = TcpListener::bind(config.listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(shared(&config, view, &parts, address));
        let handle = Handle::new(Arc::clone(&shared));
        let parent = fetch::Parent::default();
        let dialer = Dialer::with_layer(config.security.clone(), layer(address));
        let limits = listen::Config::new(config.security.clone());
        let make = server::maker(Arc::clone(&shared), handle.clone(), parts);
        let owner = &shared.owner;
        let listening = listen::serve_with(listener, limits, make);
        let mut tasks = vec![owner.spawn("inner-listener", listening)];
        if shared.is_source {
            let period = config.pace.hold;
            let exchange = exchange::run(Arc::clone(&shared), dialer, config.seeds, period);
            tasks.push(owner.spawn("source-exchange", exchange));
        } else {
            let fetcher = Fetcher::new(
                Arc::clone(&shared),
                dialer,
                &config.seeds,
                config.pace,
                Rc::clone(&parent),
            );
            tasks.push(owner.spawn("config-fetch", fetcher.run()));
        }
        Ok(Node {
            address,
            handle,
            shared,
            parent,
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

    /// Stops serving and fetching. A parent is told, so that it doesn't wait
    /// for this process to lapse.
    pub async fn stop(&self) {
        self.tasks.iter().for_each(Task::abort);
        let parent = self.parent.borrow_mut().take();
        if let Some(parent) = parent {
            fetch::leave(&self.shared, &parent).await;
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.tasks.iter().for_each(Task::abort);
    }
}

fn shared(config: &Config, view: View, parts: &Parts, address: SocketAddr) -> Shared {
    let own = Member {
        process: Process {
            host: config.host.clone(),
            incarnation: config.incarnation,
        },
        address,
        domain: config.domain.clone(),
        region: config.region.clone(),
    };
    let bounds = children::Config::default();
    Shared {
        own: own.clone(),
        security: config.security.clone(),
        is_source: parts.is_source,
        view,
        always: parts.is_source && parts.vouch.is_none(),
        current: parts.vouch.clone().unwrap_or_default(),
        heard: AtomicU64::new(0),
        heard_at: Vouch::new(),
        news: Notify::new(),
        lowest: watch::Sender::default(),
        lowest_of_all: watch::Sender::default(),
        tree: Mutex::new(Tree {
            children: Children::new(bounds, own, parts.is_source),
            store: Store::new(),
            pacer: Pacer::default(),
            way: Vec::new(),
        }),
        turns: AtomicUsize::new(0),
        owner: parts.owner.clone(),
    }
}
