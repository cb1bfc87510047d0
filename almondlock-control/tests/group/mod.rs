//! Three real replicas on loopback, each on a thread of its own, with real
//! files. Blocking a replica's thread makes it fall silent without an error, as
//! a paused process or a partition would.

// Each test file uses its own part of this.
#![allow(dead_code, unreachable_pub)]

use std::{
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    sync::{
        atomic::{AtomicU16, Ordering},
        mpsc,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use almondlock_base::{
    id::{Attempt, Domain, Host, Incarnation, Model, Organisation, Region, Upstream, Version},
    unit::{Revision, Tokens},
};
use almondlock_control::replica::{Builder, Config, Initial, Refusal, Remote, Replica, Status};
use almondlock_node::{Node, Parts, Vouch, clock};
use almondlock_quorum::config as quorum;
use almondlock_spread::view::View;
use almondlock_state::{
    claim::Verdict,
    command::{Command, Reply},
    config::{Kind, Registration},
};
use almondlock_transport::Security;
use tempfile::TempDir;
use tokio::{sync::oneshot, task::LocalSet, time::sleep};

/// Far longer than anything here takes on a busy machine.
const LIMIT: Duration = Duration::from_secs(60);

pub struct Running {
    pub remote: Remote,
    pub view: View,
    pub vouch: Vouch,
    end: oneshot::Sender<End>,
    thread: JoinHandle<()>,
}

/// How a replica ends.
enum End {
    Kill,
    Stop,
}

impl Running {
    fn end(self, how: End) {
        let _ = self.end.send(how);
        self.thread.join().unwrap();
    }

    /// Blocks the replica's thread: nothing is sent, received or answered.
    pub async fn pause(&self, span: Duration) {
        let remote = self.remote.clone();
        let blocked = tokio::spawn(async move { remote.look(move |_| thread::sleep(span)).await });
        // Returns once the thread is blocked, or was.
        while self.is_answering().await && !blocked.is_finished() {}
    }

    async fn is_answering(&self) -> bool {
        let answer = tokio::time::timeout(Duration::from_millis(50), self.remote.status()).await;
        answer.is_ok()
    }
}

pub struct Group {
    pub names: Vec<Host>,
    pub addresses: Vec<SocketAddr>,
    pub folders: Vec<TempDir>,
    pub running: Vec<Option<Running>>,
    pub adapt: fn(Builder) -> Builder,
    security: Vec<Security>,
    /// Whether each replica's node is told of the first replicas.
    has_seeds: bool,
}

/// A replica is started again at its address, so its port must not be taken
/// meanwhile: it is drawn from below the range that the system hands out.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = 10_000 + (std::process::id() % 200) as u16 * 50;
    loop {
        let port = start + NEXT.fetch_add(1, Ordering::Relaxed);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap();
        }
    }
}

impl Group {
    pub fn new(adapt: fn(Builder) -> Builder) -> Group {
        Group::with_security(adapt, vec![Security::Plain; 3])
    }

    /// Like [`Group::new`], and each replica's node talks to those of the others.
    pub fn with_seeds(adapt: fn(Builder) -> Builder) -> Group {
        let mut group = Group::unstarted(adapt, vec![Security::Plain; 3]);
        group.has_seeds = true;
        (0..3).for_each(|n| group.start(n));
        group
    }

    /// Links of each host are wrapped in its own security.
    pub fn with_security(adapt: fn(Builder) -> Builder, security: Vec<Security>) -> Group {
        let mut group = Group::unstarted(adapt, security);
        (0..3).for_each(|n| group.start(n));
        group
    }

    fn unstarted(adapt: fn(Builder) -> Builder, security: Vec<Security>) -> Group {
        let mut group = Group {
            names: Vec::new(),
            addresses: Vec::new(),
            folders: Vec::new(),
            running: Vec::new(),
            adapt,
            security,
            has_seeds: false,
        };
        for _ in 0..3 {
            group.add_host();
        }
        group
    }

    /// A host that isn't started yet.
    pub fn add_host(&mut self) -> usize {
        let n = self.names.len();
        self.names.push(Host::new(&format!("control-{n}")).unwrap());
        self.addresses.push(free_address());
        self.folders.push(tempfile::tempdir().unwrap());
        self.running.push(None);
        if self.security.len() <= n {
            self.security.push(Security::Plain);
        }
        n
    }

    pub fn wipe(&mut self, n: usize) {
        self.folders[n] = tempfile::tempdir().unwrap();
    }

    pub fn start(&mut self, n: usize) {
        let config = self.config(n);
        let mut node = node_config(&self.names[n], self.addresses[n], &self.security[n]);
        if self.has_seeds {
            node.seeds = self.addresses[..3].to_vec();
        }
        self.running[n] = Some(spawn(node, config));
    }

    fn config(&self, n: usize) -> Config {
        let domain = Domain::new(&format!("domain-{}", n % 3)).unwrap();
        let initial = (0..3).map(|i| Initial {
            name: self.names[i].clone(),
            address: self.addresses[i],
        });
        let folder: PathBuf = self.folders[n].path().join("log");
        let quorum = quorum::Config::builder()
            .election_timeout(Duration::from_millis(300))
            .heartbeat_interval(Duration::from_millis(50));
        let builder = Config::builder(self.names[n].clone(), self.addresses[n], domain, folder)
            .initial(initial)
            .security(self.security[n].clone())
            .quorum(quorum.build().unwrap())
            .patience(Duration::from_secs(2))
            // The tests' upstream announces itself once.
            .lease(Duration::from_secs(3600));
        (self.adapt)(builder).build()
    }

    pub fn kill(&mut self, n: usize) {
        self.running[n].take().unwrap().end(End::Kill);
    }

    /// As a host does that is restarted on purpose.
    pub fn stop(&mut self, n: usize) {
        self.running[n].take().unwrap().end(End::Stop);
    }

    /// Begins to stop a host, as [`Group::stop`] does. Ends once its process would.
    pub fn begin_stop(&mut self, n: usize) -> JoinHandle<()> {
        let running = self.running[n].take().unwrap();
        thread::spawn(move || running.end(End::Stop))
    }

    pub fn remote(&self, n: usize) -> &Remote {
        &self.running[n].as_ref().unwrap().remote
    }

    pub async fn status(&self, n: usize) -> Status {
        self.remote(n).status().await.unwrap()
    }

    fn remotes(&self) -> Vec<(usize, Remote)> {
        let running = self.running.iter().enumerate();
        running
            .filter_map(|(n, r)| r.as_ref().map(|r| (n, r.remote.clone())))
            .collect()
    }

    /// Proposes until some replica accepts, and says which.
    pub async fn accept(&self, command: Command) -> (usize, Reply) {
        accept(&self.remotes(), command).await
    }

    /// A replica that leads and knows that a majority still follows it.
    pub async fn leader(&self) -> usize {
        until("a leader", async || {
            for (n, remote) in self.remotes() {
                let read = tokio::time::timeout(Duration::from_secs(1), remote.read(|_| ())).await;
                if matches!(read, Ok(Ok(()))) {
                    return Some(n);
                }
            }
            None
        })
        .await
    }

    /// Waits until a replica holds the revision.
    pub async fn holds(&self, n: usize, revision: Revision) {
        until("the revision", async || {
            let view = &self.running[n].as_ref().unwrap().view;
            (view.revision() >= revision).then_some(())
        })
        .await;
    }
}

/// Proposes until some replica accepts, and says which.
pub async fn accept(remotes: &[(usize, Remote)], command: Command) -> (usize, Reply) {
    until("an accepted command", async || {
        for (n, remote) in remotes {
            let asked = remote.propose(command.clone());
            let answer = tokio::time::timeout(Duration::from_secs(1), asked).await;
            if let Ok(Ok(reply)) = answer {
                return Some((*n, reply));
            }
        }
        None
    })
    .await
}

/// Waits until something holds, with a limit that only a fault reaches.
pub async fn until<T, F>(what: &str, mut test: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    let waiting = async {
        loop {
            if let Some(found) = test().await {
                return found;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    let result = tokio::time::timeout(LIMIT, waiting).await;
    result.unwrap_or_else(|_| panic!("never: {what}"))
}

fn spawn(node: almondlock_node::Config, config: Config) -> Running {
    let (tell, told) = mpsc::channel();
    let (end, ended) = oneshot::channel();
    let thread = thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let local = LocalSet::new();
        local.block_on(&runtime, async move {
            let (view, vouch) = (View::new(), Vouch::new());
            let replica = open(&config, &view, &vouch).await;
            let parts = Parts {
                control: Some(replica.control_client()),
                is_source: true,
                vouch: Some(vouch.clone()),
                ..Parts::default()
            };
            let node = Node::start(node, view.clone(), parts);
            let node = node.await.unwrap();
            tell.send((replica.remote(), view, vouch)).unwrap();
            match ended.await {
                Ok(End::Stop) => replica.stop().await,
                Ok(End::Kill) | Err(_) => replica.kill(),
            }
            node.stop().await;
        });
    });
    let (remote, view, vouch) = told.recv().unwrap();
    Running {
        remote,
        view,
        vouch,
        end,
        thread,
    }
}

/// Starts a replica; the disk thread of its earlier life may still be ending.
async fn open(config: &Config, view: &View, vouch: &Vouch) -> Replica {
    until("the data folder", async || {
        let started: Result<Replica, Refusal> =
            Replica::start(config.clone(), view.clone(), vouch.clone());
        match started {
            Ok(replica) => Some(replica),
            Err(refusal) if refusal.message.contains("another process") => None,
            Err(refusal) => panic!("{refusal}"),
        }
    })
    .await
}

fn node_config(name: &Host, address: SocketAddr, security: &Security) -> almondlock_node::Config {
    almondlock_node::Config {
        host: name.clone(),
        domain: Domain::new("domain").unwrap(),
        region: Region::new("region").unwrap(),
        incarnation: Incarnation::new(clock::wall(), address.port().into()),
        listen: address,
        seeds: Vec::new(),
        security: security.clone(),
        pace: Default::default(),
    }
}

/// Says of the one upstream of these tests that it has this much memory.
pub fn announce(capacity: u64) -> Command {
    Command::Announce {
        upstream: upstream(),
        registration: Registration {
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            host: Host::new("engine-1").unwrap(),
            domain: Domain::new("domain-0").unwrap(),
            region: Region::new("region").unwrap(),
            incarnation: Incarnation(7),
            kind: Kind::Engine,
            model: Some((Model::new("model").unwrap(), Version::new("v1").unwrap())),
            service: None,
            capacity: Tokens(capacity),
            fenced: true,
            role: String::new(),
            resumable: false,
        },
        at: clock::wall(),
    }
}

pub fn upstream() -> Upstream {
    Upstream::new("engine-1").unwrap()
}

pub fn capacity(config: &almondlock_state::config::Config) -> u64 {
    let known = config.upstreams.get(&upstream());
    known.map_or(0, |known| known.capacity.0)
}

pub fn revision(reply: &Reply) -> Revision {
    match reply {
        Reply::Accepted { revision } => *revision,
        other => panic!("not accepted: {other:?}"),
    }
}

pub fn claim(key: &str, counter: u64) -> Command {
    Command::Claim {
        organisation: Organisation::new("catering").unwrap(),
        key: key.to_owned(),
        body: vec![1; 32].as_slice().into(),
        holder: Attempt {
            host: Host::new("entry-1").unwrap(),
            incarnation: Incarnation(1),
            counter,
        },
        retention_ms: 3_600_000,
        at: clock::wall(),
    }
}

pub fn is_granted(reply: &Reply) -> bool {
    matches!(
        reply,
        Reply::Claimed {
            verdict: Verdict::Granted
        }
    )
}
