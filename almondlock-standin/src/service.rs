//! The stand-in plain service: any method on any path, counted.
//!
//! Its answer is a hash of the call ([`answer`]), and it remembers how often
//! each call ran, which is what a test of "at most once" has to know. A call
//! counts when it arrives, before any delay: a caller that gave up on a slow
//! call has run it all the same.
//!
//! ```
//! use almondlock_standin::service::{Config, Service};
//!
//! #[ntex::main]
//! async fn main() -> std::io::Result<()> {
//!     let handle = Service::start(Config::default())?;
//!     assert_eq!(handle.runs("POST", "/payment", b"bid"), 0);
//!     handle.kill();
//!     Ok(())
//! }
//! ```

use std::{
    cell::RefCell,
    collections::HashMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use ntex::http::{Request, Response};

use crate::{
    framing::Framing,
    http,
    listener::{Handler, Listener},
};

/// A header that asks for an answer after so many milliseconds.
pub const DELAY_HEADER: &str = "x-service-delay-ms";

/// The longest delay that a header gets.
const DELAY_LIMIT: Duration = Duration::from_secs(60);

/// What a service is like.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Where to listen. Port 0 lets the system choose.
    pub address: SocketAddr,
    /// How long a call takes whose header doesn't say.
    pub delay: Duration,
    /// The header that an answer repeats from its call, if any.
    pub echoed: Option<&'static str>,
    /// A header that each answer has, with its value.
    pub added: Option<(&'static str, &'static str)>,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            delay: Duration::ZERO,
            echoed: None,
            added: None,
        }
    }
}

/// What the service answers to a call. The path includes the query.
pub fn answer(method: &str, path: &str, body: &[u8]) -> String {
    let hash = blake3::Hash::from(call(method, path, body)).to_hex();
    format!("{method} {path} {hash}\n")
}

fn call(method: &str, path: &str, body: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

/// The stand-in service. See [`Service::start`].
#[derive(Debug)]
pub struct Service {
    config: Config,
    runs: RefCell<HashMap<[u8; 32], u32>>,
}

impl Service {
    /// Binds and serves. Must be called on an ntex runtime.
    pub fn start(config: Config) -> io::Result<Handle> {
        let runs = RefCell::default();
        let service = Rc::new(Service { config, runs });
        let listener = Listener::start(config.address, service.clone())?;
        Ok(Handle { service, listener })
    }

    fn delay(&self, request: &Request) -> Duration {
        let header = request.headers().get(DELAY_HEADER);
        let millis = header.and_then(|v| v.to_str().ok()?.parse().ok());
        millis.map_or(self.config.delay, |ms| {
            Duration::from_millis(ms).min(DELAY_LIMIT)
        })
    }
}

impl Handler for Service {
    async fn handle(self: Rc<Self>, mut request: Request) -> Response {
        let body = match http::read(request.take_payload()).await {
            Ok(body) => body,
            Err(refusal) => return refusal.response(),
        };
        let method = request.method().as_str();
        let uri = request.uri();
        let path = uri.path_and_query().map_or("/", |p| p.as_str());
        let key = call(method, path, &body);
        *self.runs.borrow_mut().entry(key).or_default() += 1;
        let delay = self.delay(&request);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let mut response = Response::Ok();
        response.content_type("text/plain; charset=utf-8");
        let echoed = self.config.echoed;
        if let Some(value) = echoed.and_then(|name| request.headers().get(name)) {
            response.header(echoed.unwrap_or_default(), value.clone());
        }
        if let Some((name, value)) = self.config.added {
            response.header(name, value);
        }
        response.body(answer(method, path, &body))
    }
}

/// A hold on a running service, and what it counted.
#[derive(Clone, Debug)]
pub struct Handle {
    service: Rc<Service>,
    listener: Rc<Listener>,
}

impl Handle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Sets the framing of the answers on connections that are accepted from
    /// now on.
    pub fn set_framing(&self, framing: Framing) {
        self.listener.set_framing(framing);
    }

    /// Accepts no more connections; what runs goes on to its end.
    pub fn stop(&self) {
        self.listener.stop();
    }

    /// Dies at once: listener closed, connections dropped. Counts are kept.
    pub fn kill(&self) {
        self.listener.kill();
    }

    /// Serves again at the same address.
    pub fn revive(&self) -> io::Result<()> {
        self.listener.clone().revive(self.service.clone())
    }

    /// How often this call ran.
    pub fn runs(&self, method: &str, path: &str, body: &[u8]) -> u32 {
        let runs = self.service.runs.borrow();
        let count = runs.get(&call(method, path, body));
        count.copied().unwrap_or_default()
    }

    /// How many calls ran in all.
    pub fn total(&self) -> u64 {
        let runs = self.service.runs.borrow();
        runs.values().copied().map(u64::from).sum()
    }
}
