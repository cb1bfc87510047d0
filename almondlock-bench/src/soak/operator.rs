//! The operator: publishes configurations, takes keys away, reads back.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use almondlock_platform::counterpart::{
    self, CONFIGURATION, Kind, Publication, Route, publication,
};
use futures::future::join_all;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{sleep, timeout},
};

use super::{
    history::{self, Evacuation, Read},
    http::{Message, Reader},
    proxy::Proxy,
    world::{ENGINES, HOST, PLAIN, World},
};

/// How long a call may take.
const CALL: Duration = Duration::from_millis(1_000);
/// Between two tries of the same change.
const PAUSE: Duration = Duration::from_millis(100);
/// Places of each engine.
pub const SLOTS: u32 = 8;
/// Requests a second that a cold upstream bears of all hosts together.
pub const COLD_RATE: f64 = 4.0;
/// Redirections that a call follows.
const REDIRECTIONS: usize = 2;

/// One call on a connection of its own.
pub async fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<Message> {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await?;
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\n\
             content-type: application/json\r\ncontent-length: {length}\r\n\r\n"
        );
        stream.write_all((head + body).as_bytes()).await?;
        Reader::default().response(&mut stream).await
    };
    timeout(CALL, exchange).await?
}

/// Between two configurations in quick succession.
const STORM: Duration = Duration::from_millis(80);
/// Routes that such configurations have besides, so that reading one takes a while.
const STORM_ROUTES: usize = 300;

/// Publishes and reads, through the links to the replicas.
pub struct Operator {
    world: Rc<World>,
    /// Routes besides those that callers use.
    more: Cell<usize>,
    /// Links to the replicas' listeners.
    control: Vec<Rc<Proxy>>,
}

impl Operator {
    /// One that uses these links.
    pub fn new(world: &Rc<World>, control: Vec<Rc<Proxy>>) -> Operator {
        Operator {
            world: Rc::clone(world),
            more: Cell::new(0),
            control,
        }
    }

    /// Publishes the next version with these keys, again until it is acknowledged.
    pub async fn publish(&self, keys: Vec<String>) {
        let text = {
            let mut history = self.world.history.borrow_mut();
            let version = history.publications.len() as u64 + 1;
            history.publications.push(history::Publication {
                version,
                sent: self.world.now(),
                acknowledged: None,
                keys: keys.clone(),
            });
            publication(&configuration(version, keys, self.more.get()))
        };
        let place = self.world.history.borrow().publications.len() - 1;
        while !self.world.over.get() {
            for link in &self.control {
                if self.send(link.address, ("PUT", CONFIGURATION), &text).await {
                    let now = self.world.now();
                    let mut history = self.world.history.borrow_mut();
                    history.publications[place].acknowledged = Some(now);
                    return;
                }
            }
            sleep(PAUSE).await;
        }
    }

    /// Publishes so many configurations, each without waiting for the one before, and with the
    /// keys of the last one: another may have taken keys away meanwhile.
    pub async fn storm(&self, count: usize) {
        self.more.set(STORM_ROUTES);
        let publishing = (0..count).map(async |place| {
            sleep(STORM * u32::try_from(place).unwrap_or(0)).await;
            let last = self.world.history.borrow().publications.last().cloned();
            self.publish(last.map(|last| last.keys).unwrap_or_default())
                .await;
        });
        join_all(publishing).await;
    }

    /// Evacuates a failure domain, and readmits it after a while. Both are sent again until
    /// they are acknowledged.
    pub async fn evacuate(&self, domain: usize, span: Duration) {
        let path = counterpart::evacuation(&format!("d-{domain}"));
        let Some(acknowledged) = self.order("POST", &path).await else {
            return;
        };
        let place = {
            let mut history = self.world.history.borrow_mut();
            history.evacuations.push(Evacuation {
                domain,
                acknowledged,
                withdrawn: None,
            });
            history.evacuations.len() - 1
        };
        sleep(span).await;
        let now = self.world.now();
        self.world.history.borrow_mut().evacuations[place].withdrawn = Some(now);
        self.order("DELETE", &path).await;
    }

    /// Sends an order until it is acknowledged; gives when that was.
    async fn order(&self, method: &str, path: &str) -> Option<u64> {
        while !self.world.over.get() {
            for link in &self.control {
                if self.send(link.address, (method, path), "").await {
                    return Some(self.world.now());
                }
            }
            sleep(PAUSE).await;
        }
        None
    }

    async fn send(&self, link: SocketAddr, (method, path): (&str, &str), text: &str) -> bool {
        let mut to = link;
        for _ in 0..=REDIRECTIONS {
            let Ok(answer) = call(to, method, path, text).await else {
                return false;
            };
            match answer.status {
                200 => return true,
                307 => match answer.get("location").and_then(|url| self.link(url)) {
                    Some(next) => to = next,
                    None => return false,
                },
                _ => return false,
            }
        }
        false
    }

    /// The link to the replica that a URL names; its own address if no link leads there yet.
    fn link(&self, url: &str) -> Option<SocketAddr> {
        let address: SocketAddr = url
            .strip_prefix("http://")?
            .split('/')
            .next()?
            .parse()
            .ok()?;
        let mut control = self.control.iter();
        let found = control.find(|link| link.target() == address);
        Some(found.map_or(address, |link| link.address))
    }

    /// Reads the configuration at every replica.
    pub async fn read(&self) {
        for link in &self.control {
            let sent = self.world.now();
            let answer = call(link.address, "GET", CONFIGURATION, "").await;
            let Ok(answer) = answer.map(|a| if a.status == 200 { Some(a) } else { None }) else {
                continue;
            };
            let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
            if let Some(version) = text.and_then(|text| counterpart::version(&text)) {
                let mut history = self.world.history.borrow_mut();
                history.reads.push(Read { sent, version });
            }
        }
    }
}

fn configuration(version: u64, keys: Vec<String>, more: usize) -> Publication {
    let route = |name: &str, kind, service: &str| Route {
        name: name.to_owned(),
        kind,
        service: service.to_owned(),
        public: false,
    };
    let marker = Route {
        public: true,
        ..route(&format!("v{version}"), Kind::Safe, PLAIN)
    };
    let mut routes = vec![
        route("safe", Kind::Safe, PLAIN),
        route("unsafe", Kind::Unsafe, PLAIN),
        route("stream", Kind::Stream, ENGINES),
        marker,
    ];
    routes.extend((0..more).map(|n| route(&format!("more-{n}"), Kind::Safe, PLAIN)));
    // The key that is never taken away is an organisation's own.
    let last = keys.len().saturating_sub(1);
    let (first, rest) = keys.split_at(last);
    Publication {
        version,
        host: HOST.to_owned(),
        routes,
        cold_rate: COLD_RATE,
        services: vec![(PLAIN.to_owned(), None), (ENGINES.to_owned(), Some(SLOTS))],
        organisations: vec![
            ("soak".to_owned(), first.to_vec()),
            ("soak-last".to_owned(), rest.to_vec()),
        ],
    }
}
