//! A small fleet in one process: entry hosts, sidecars and stand-in upstreams
//! talk over loopback as in production; the control replicas are one state
//! machine in memory.
#![allow(dead_code)]

mod control;
mod relay;

use std::{
    cell::{Cell, RefCell},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use almondlock_base::{
    id::{self, Domain, Host, Incarnation, Model, Region, Upstream, Version},
    unit::Tokens,
};
use almondlock_entry::{
    server::{Builder, Server},
    shared,
};
use almondlock_node::{Config, Node, Parts, Sidecars, clock, links::Links, replicas::Replicas};
use almondlock_policy::{choice::Origin, queue};
use almondlock_sidecar::announce::{Announcement, Environment, Registry};
use almondlock_spread::view::View;
use almondlock_standin::engine::{self, Engine};
use almondlock_state::{
    config::{Change, Definition, Drain, Kind, Organisation, Plain},
    machine::Machine,
};
use almondlock_task::Owner;
use ntex::client::{Client, ClientResponse};

pub use self::{control::Control, relay::Relay};

pub const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// How long a test waits for something that must happen.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// A fleet under test.
pub struct Fleet {
    pub control: Control,
    pub view: View,
    source: Node,
    next: Cell<u64>,
    nodes: RefCell<Vec<Node>>,
    pub client: Client,
}

pub fn hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// An organisation that may use as much as it likes; its key is its name with
/// `-key` behind.
pub fn organisation(name: &str) -> Change {
    let value = Organisation {
        keys: vec![hash(&format!("{name}-key"))],
        share: 1,
        rate: 0,
        tokens: Tokens::ZERO,
        deadline: 60_000,
        deadline_limit: 600_000,
    };
    Change::Organisation(id::Organisation::new(name).unwrap(), Some(value))
}

impl Fleet {
    /// A fleet with two organisations, one model and one plain service, and no
    /// upstreams and entry hosts yet.
    pub async fn new() -> Fleet {
        let view = View::new();
        let control = Control::new(view.clone());
        let parts = Parts {
            control: Some(capnp_rpc::new_client(control.clone())),
            is_source: true,
            ..Parts::default()
        };
        let source = Node::start(config("replica-1", 1, vec![]), view.clone(), parts);
        let client = Client::builder().disable_timeout();
        let fleet = Fleet {
            control,
            view,
            source: source.await.unwrap(),
            next: Cell::new(2),
            nodes: RefCell::default(),
            client: client.build(ntex::SharedCfg::default()).await.unwrap(),
        };
        let model = Definition {
            version: Version::new("1").unwrap(),
            context: Tokens(2_000_000),
            adapters: Default::default(),
        };
        fleet.change(organisation("acme"));
        fleet.change(organisation("bolt"));
        fleet.change(Change::Model(Model::new("almond").unwrap(), Some(model)));
        let plain = Plain {
            repeatable: vec!["GET".to_owned()],
        };
        fleet.change(Change::Service(
            id::Service::new("prices").unwrap(),
            Some(plain),
        ));
        fleet
    }

    /// Puts a change in force.
    pub fn change(&self, change: Change) {
        // The machine's own way of accepting changes needs an operator's plan.
        let mut machine = self.control.machine.borrow_mut();
        let snapshot = machine.snapshot();
        let mut value: serde_json::Value = serde_json::from_slice(&snapshot).unwrap();
        let path = "/machine/tables/config";
        let slot = value.pointer_mut(path);
        let slot = slot.expect("the snapshot holds the configuration");
        let mut config: almondlock_state::config::Config =
            serde_json::from_value(slot.clone()).unwrap();
        config.apply(change.clone()).unwrap();
        let revision = config.revision;
        *slot = serde_json::to_value(config).unwrap();
        let bytes = serde_json::to_vec(&value).unwrap();
        *machine = Machine::restore(&bytes).unwrap();
        self.view.extend(revision, [change]);
    }

    pub fn drain(&self, upstream: &str) {
        let drain = Drain {
            since: clock::wall(),
            reason: "test".to_owned(),
        };
        let upstream = Upstream::new(upstream).unwrap();
        self.change(Change::Drain(upstream, Some(drain)));
    }

    fn number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    /// The owners of the tasks of all entry hosts and sidecars, in the order of their start.
    pub fn owners(&self) -> Vec<Owner> {
        let nodes = self.nodes.borrow();
        nodes
            .iter()
            .map(|node| node.handle().owner().clone())
            .collect()
    }

    /// Starts a process with a node and nothing else.
    async fn node(&self, name: &str, sidecars: Sidecars) -> (Node, u64) {
        self.node_below(name, sidecars, self.source.address()).await
    }

    async fn node_below(&self, name: &str, sidecars: Sidecars, seed: SocketAddr) -> (Node, u64) {
        let number = self.number();
        let parts = Parts {
            sidecars,
            ..Parts::default()
        };
        let config = config(name, number, vec![seed]);
        let node = Node::start(config, View::new(), parts).await.unwrap();
        (node, number)
    }

    /// Starts an entry host.
    pub async fn entry(&self, name: &str) -> Server {
        self.entry_with(name, config_with_retries()).await
    }

    pub async fn entry_with(&self, name: &str, config: shared::Config) -> Server {
        self.entry_below(name, config, self.source.address()).await
    }

    /// An entry host whose link to the control replica can fall silent.
    pub async fn entry_behind(&self, name: &str) -> (Server, Relay) {
        let relay = Relay::start(self.source.address()).await;
        let config = config_with_retries();
        let entry = self.entry_below(name, config, relay.address).await;
        (entry, relay)
    }

    async fn entry_below(&self, name: &str, config: shared::Config, above: SocketAddr) -> Server {
        let (node, seed) = self.node_below(name, Sidecars::default(), above).await;
        let builder = Builder {
            config,
            listen: LOCAL,
            admin: None,
            tls: None,
            header_timeout: Duration::from_secs(10),
            metrics: almondlock_telemetry::metrics::Metrics::none(),
            workers: 1,
            replicas: vec![self.source.address()],
            home: Origin {
                host: Host::new(name).unwrap(),
                domain: Domain::new("a").unwrap(),
                region: Region::new("r").unwrap(),
            },
            seed,
            notice: Duration::ZERO,
            grace: Duration::from_secs(5),
        };
        let server = builder.start(node.handle().clone()).unwrap();
        self.nodes.borrow_mut().push(node);
        eventually(async || {
            let url = format!("http://{}/readyz", server.address());
            let answer = self.client.get(url).send().await;
            answer.is_ok_and(|r| r.status().is_success())
        })
        .await;
        server
    }

    /// Starts a sidecar process, to which upstreams announce themselves.
    pub async fn sidecar(&self, name: &str) -> Registry {
        self.sidecar_at(name, async |inner| inner).await
    }

    /// The same, registered under another address than its own.
    async fn sidecar_at<F>(&self, name: &str, place: F) -> Registry
    where
        F: AsyncFn(SocketAddr) -> SocketAddr,
    {
        let sidecars = Sidecars::default();
        let (node, number) = self.node(name, sidecars.clone()).await;
        let links = Links::new(node.handle().clone());
        let replicas = Replicas::new(links, vec![self.source.address()]);
        let site = Environment {
            host: Host::new(name).unwrap(),
            domain: Domain::new("a").unwrap(),
            region: Region::new("r").unwrap(),
            incarnation: Incarnation(number),
            inner_address: place(node.address()).await,
            queue: queue::Config::short(),
            memory_percent: 100,
            max_running: u32::MAX,
            metrics: almondlock_telemetry::metrics::Metrics::none(),
            stop: Default::default(),
        };
        let registry = Registry::new(site, node.handle().clone(), replicas, sidecars);
        self.nodes.borrow_mut().push(node);
        registry
    }

    /// Starts a stand-in engine with a sidecar process of its own.
    pub async fn engine(&self, name: &str, config: engine::Config) -> engine::Handle {
        let registry = self.sidecar(&format!("host-{name}")).await;
        self.engine_at(name, config, registry).await
    }

    /// The same, with a link that can fall silent before the sidecar.
    pub async fn engine_behind(
        &self,
        name: &str,
        config: engine::Config,
    ) -> (engine::Handle, Relay) {
        let relay = RefCell::new(None);
        let registry = self
            .sidecar_at(&format!("host-{name}"), async |inner| {
                let started = Relay::start(inner).await;
                let address = started.address;
                relay.replace(Some(started));
                address
            })
            .await;
        let engine = self.engine_at(name, config, registry).await;
        (engine, relay.take().unwrap())
    }

    async fn engine_at(
        &self,
        name: &str,
        config: engine::Config,
        registry: Registry,
    ) -> engine::Handle {
        let handle = Engine::start(config.clone()).unwrap();
        let announcement = Announcement {
            name: Upstream::new(name).unwrap(),
            address: handle.address(),
            kind: Kind::Engine,
            model: Some(Model::new("almond").unwrap()),
            version: Some(Version::new("1").unwrap()),
            service: None,
            capacity: config.memory,
            slots: Some(config.batch as u32),
            prefill_rate: Some(config.prefill_rate * config.factor),
            fenced: true,
            resumable: true,
        };
        registry.announce(announcement).await.unwrap();
        self.await_upstream(name).await;
        handle
    }

    /// Puts a sidecar process before a plain service.
    pub async fn service_at(&self, name: &str, address: SocketAddr) {
        let registry = self.sidecar(&format!("host-{name}")).await;
        let announcement = Announcement {
            name: Upstream::new(name).unwrap(),
            address,
            kind: Kind::Service,
            model: None,
            version: None,
            service: Some(id::Service::new("prices").unwrap()),
            capacity: 0,
            slots: Some(8),
            prefill_rate: None,
            fenced: false,
            resumable: false,
        };
        registry.announce(announcement).await.unwrap();
        self.await_upstream(name).await;
    }

    pub async fn await_upstream(&self, name: &str) {
        let registered = async || self.view.get().upstreams.contains_key(name);
        eventually(registered).await;
    }

    /// Waits until all entry hosts and sidecars are at the newest revision.
    pub async fn settle(&self) {
        eventually(async || {
            let newest = self.view.revision();
            let nodes = self.nodes.borrow();
            nodes.iter().all(|n| n.handle().view().revision() >= newest)
        })
        .await;
    }

    /// Sends a completion.
    pub async fn complete(&self, entry: &Server, ask: &Ask<'_>) -> ClientResponse {
        let body = serde_json::json!({
            "model": "almond",
            "prompt": ask.prompt,
            "max_tokens": ask.tokens,
            "stream": ask.stream,
        });
        let url = format!("http://{}/v1/completions", entry.address());
        let mut request = self
            .client
            .post(url)
            .header("Authorization", format!("Bearer {}-key", ask.organisation));
        for (name, value) in &ask.headers {
            request = request.header(*name, value.as_str());
        }
        request.send_json(&body).await.unwrap()
    }
}

/// A completion to ask for.
#[derive(Clone)]
pub struct Ask<'a> {
    pub organisation: &'a str,
    pub prompt: &'a str,
    pub tokens: u64,
    pub stream: bool,
    pub headers: Vec<(&'static str, String)>,
}

impl<'a> Ask<'a> {
    pub fn new(prompt: &'a str) -> Ask<'a> {
        Ask {
            organisation: "acme",
            prompt,
            tokens: 8,
            stream: false,
            headers: Vec::new(),
        }
    }

    pub fn header(mut self, name: &'static str, value: &str) -> Ask<'a> {
        self.headers.push((name, value.to_owned()));
        self
    }
}

/// The text of a whole answer, or the error's code and what it says of running.
pub async fn text_of(response: ClientResponse) -> Result<String, (u16, String)> {
    let body = response.body().limit(64 << 20).await.unwrap();
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap();
    match value["choices"][0]["text"].as_str() {
        Some(text) => Ok(text.to_owned()),
        None => Err((
            value["error"]["code"].as_u64().unwrap() as u16,
            value["error"]["ran"].as_str().unwrap().to_owned(),
        )),
    }
}

fn config(name: &str, incarnation: u64, seeds: Vec<SocketAddr>) -> Config {
    Config {
        host: Host::new(name).unwrap(),
        domain: Domain::new("a").unwrap(),
        region: Region::new("r").unwrap(),
        incarnation: Incarnation(incarnation),
        listen: LOCAL,
        seeds,
        security: Default::default(),
        pace: Default::default(),
    }
}

/// Waits until something is so.
pub async fn eventually<F>(check: F)
where
    F: AsyncFn() -> bool,
{
    let waited = tokio::time::timeout(PATIENCE, async {
        while !check().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    waited.await.expect("it came about in time");
}

/// The usual configuration, but the first request earns a retry.
fn config_with_retries() -> shared::Config {
    let mut config = shared::Config::default();
    config.retry.bound.ratio = 8.0;
    config
}

/// An engine that answers fast.
pub fn fast() -> engine::Config {
    engine::Config {
        factor: 20.0,
        ..engine::Config::default()
    }
}
