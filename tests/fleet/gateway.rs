//! Entry hosts for upstreams that are called directly, and a plain service behind them.

use std::{
    cell::Cell,
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use almondlock_platform::counterpart::{self, Beat, Kind, Publication, Route};
use almondlock_standin::service::{self, Service};
use ntex::time::Seconds;

use super::{Fleet, Limits, Process, address, eventually};

/// The host that callers name.
pub const HOST: &str = "callers.example";
/// The organisation's key.
pub const KEY: &str = "sound-key";
/// The service, and its route.
pub const SERVICE: &str = "plain";
/// Heartbeats of each upstream.
const BEAT: Duration = Duration::from_millis(400);

/// An entry host process.
pub struct Gateway {
    pub process: Process,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
}

/// A stand-in upstream, which announces itself until it is dropped.
pub struct Upstream {
    pub service: service::Handle,
    _announced: Announced,
}

/// Announces an upstream until it is dropped.
pub struct Announced {
    beating: tokio::task::JoinHandle<()>,
}

impl Drop for Announced {
    fn drop(&mut self) {
        self.beating.abort();
    }
}

impl Fleet {
    /// Publishes a configuration with one route of each kind, which ask for a key.
    pub async fn publish(&self) {
        let routes = [("safe", Kind::Safe), ("once", Kind::Unsafe)];
        self.publish_routes(&routes.map(|(name, kind)| (name, kind, SERVICE)))
            .await;
    }

    /// Publishes a configuration with these routes: name, kind and service. All ask for a key.
    pub async fn publish_routes(&self, routes: &[(&str, Kind, &str)]) {
        let mut services: Vec<String> = Vec::new();
        for (_, _, service) in routes {
            if !services.iter().any(|known| known == service) {
                services.push((*service).to_owned());
            }
        }
        let routes = routes.iter().map(|(name, kind, service)| Route {
            name: (*name).to_owned(),
            kind: *kind,
            service: (*service).to_owned(),
            public: false,
        });
        let text = counterpart::publication(&Publication {
            version: 1,
            host: HOST.to_owned(),
            routes: routes.collect(),
            services: services.into_iter().map(|name| (name, None)).collect(),
            cold_rate: 1_000.0,
            organisations: vec![("acme".to_owned(), vec![KEY.to_owned()])],
        });
        eventually(async || self.told(counterpart::CONFIGURATION, &text).await).await;
    }

    /// Sends a call to the replicas until one acknowledges it.
    async fn told(&self, path: &str, body: &str) -> bool {
        for directory in &self.directories {
            let call = self.client.put(format!("http://{directory}{path}"));
            let call = call.timeout(Seconds(3)).send_body(body.to_owned());
            if call.await.is_ok_and(|answer| answer.status().is_success()) {
                return true;
            }
        }
        false
    }

    /// Starts an upstream and announces it.
    pub async fn upstream(&self, name: &str, slots: u32) -> Upstream {
        let config = service::Config {
            echoed: Some(counterpart::REQUEST_ID),
            added: Some((counterpart::SEAL, "seal")),
            ..service::Config::default()
        };
        let service = Service::start(config).unwrap();
        let announced = self.announce(name, SERVICE, (service.address(), slots));
        Upstream {
            _announced: announced.await,
            service,
        }
    }

    /// Announces an upstream at an address, with so many slots.
    pub async fn announce(
        &self,
        name: &str,
        service: &'static str,
        (address, slots): (SocketAddr, u32),
    ) -> Announced {
        let (client, directories) = (self.client.clone(), self.directories.clone());
        let name = name.to_owned();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let born = u64::try_from(born.as_millis()).unwrap();
        let acknowledged = std::rc::Rc::new(Cell::new(false));
        let noted = std::rc::Rc::clone(&acknowledged);
        let beating = tokio::task::spawn_local(async move {
            for sequence in 1.. {
                let body = counterpart::beat(&Beat {
                    service,
                    address,
                    domain: "domain-0",
                    slots,
                    leaving: false,
                    cold_left: 0,
                    born,
                    sequence,
                });
                for directory in &directories {
                    let url = format!("http://{directory}{}", counterpart::instance(&name));
                    let call = client.put(url).timeout(Seconds(1)).send_body(body.clone());
                    if call.await.is_ok_and(|answer| answer.status().is_success()) {
                        noted.set(true);
                        break;
                    }
                }
                tokio::time::sleep(BEAT).await;
            }
        });
        eventually(async || acknowledged.get()).await;
        Announced { beating }
    }

    /// Starts an entry host, with more settings for `[host]`.
    pub async fn gateway(&self, name: &str, more: &str, limits: Limits) -> Gateway {
        let (callers, ready, metrics) = (address(), address(), address());
        let host = self.host(name, "domain-0", address());
        let host = match limits.unread {
            true => host.replacen("[log]\n", "[log]\noutput = stdout\nformat = json\n", 1),
            false => host,
        };
        let text = format!(
            "{host}follow = 400\n{more}[gateway]\nlisten = {callers}\nready = {ready}\nmetrics = {metrics}\n\
             revocation = 5000\nretry_share = 0.2\nretry_slack = 20\nstop_time = 8\n\
             settling = 1100\nplaces = yes\n"
        );
        let file = self.write(name, &text);
        let gateway = Gateway {
            process: Process::with_limits(name, file, limits),
            callers,
            ready,
            metrics,
        };
        let is_ready = async || {
            let answer = self.client.get(format!("http://{ready}/readyz")).send();
            answer.await.is_ok_and(|r| r.status().is_success())
        };
        eventually(is_ready).await;
        gateway
    }
}
