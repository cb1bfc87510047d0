//! The operators' API: HTTP and JSON on every replica.
//!
//! Each answer is the state as a quorum confirms it at that moment, never what
//! a replica that was cut off still believes; the one exception is the status,
//! which says of itself whether it is current, because somebody who looks at a
//! system without a leader needs to see that there is none. A replica that
//! doesn't lead answers `NotLeader` with the leader's address. What each request
//! is answered with stands in [`almondlock_state::api`].
//!
//! The server doesn't know how the log works: it asks a [`Backend`]. Operators
//! prove themselves by a bearer key, whose hash and role are replicated; the
//! role is checked on the same confirmed state that the answer is made of, so a
//! key that was taken away is refused as soon as that is accepted.

mod access;
mod answer;
mod look;
mod plans;

use std::{future::Future, io, net::SocketAddr, net::TcpListener, time::Duration};

use almondlock_base::{Code, time::Wall, unit::Revision};
use almondlock_state::{
    api::Observation,
    command::{Command, Reply},
    machine::Machine,
};
use almondlock_transport::listen;
use ntex::{
    SharedCfg,
    http::HttpServiceConfig,
    server::Server,
    time::Seconds,
    web::{self, App, HttpServer},
};
use rustls::ServerConfig;

/// How long a client may take to send a request's head.
const HEAD_TIME: Seconds = Seconds(10);

/// Why a backend gives no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Another replica leads, perhaps at this admin address.
    NotLeader(Option<SocketAddr>),
    /// No quorum confirmed it in time: a change may or may not be made.
    NoQuorum,
    /// The disk failed.
    Storage,
    /// A bounded table is full.
    Full,
}

impl Failure {
    /// The code that stands for it.
    pub const fn code(&self) -> Code {
        match self {
            Failure::NotLeader(_) => Code::NotLeader,
            Failure::NoQuorum => Code::NoQuorum,
            Failure::Storage => Code::StorageFailed,
            Failure::Full => Code::LimitReached,
        }
    }
}

/// What the server needs of a replica.
///
/// The server runs on a thread of its own, so a backend is a handle that can be
/// sent there and copied.
pub trait Backend: Clone + Send + 'static {
    /// Proposes a command and gives the reply once it is applied.
    fn propose(&self, command: Command) -> impl Future<Output = Result<Reply, Failure>>;

    /// Looks at the state after a quorum has confirmed that it is current.
    fn read<F, R>(&self, look: F) -> impl Future<Output = Result<R, Failure>>
    where
        F: FnOnce(&Machine) -> R + Send + 'static,
        R: Send + 'static;

    /// Looks at the state as this replica knows it, current or not.
    fn peek<F, R>(&self, look: F) -> impl Future<Output = R>
    where
        F: FnOnce(&Machine) -> R + Send + 'static,
        R: Send + 'static;

    /// Waits until the revision is above `after`, but no longer than `wait`.
    fn changed(&self, after: Revision, wait: Duration) -> impl Future<Output = ()>;

    /// What this replica knows of itself.
    fn standing(&self) -> impl Future<Output = Observation>;

    /// The present time.
    fn now(&self) -> Wall;
}

/// Serves operators on a listener until the server is stopped, in plain HTTP.
pub fn serve<B>(listener: TcpListener, backend: B) -> io::Result<Server>
where
    B: Backend + Sync,
{
    start(listener, backend, None)
}

/// Serves operators over TLS. Their keys are worth it wherever others may see
/// the network.
pub fn serve_tls<B>(listener: TcpListener, backend: B, tls: ServerConfig) -> io::Result<Server>
where
    B: Backend + Sync,
{
    start(listener, backend, Some(tls))
}

fn start<B>(listener: TcpListener, backend: B, tls: Option<ServerConfig>) -> io::Result<Server>
where
    B: Backend + Sync,
{
    let factory = async move || {
        let backend = backend.clone();
        App::new()
            .state(backend)
            .configure(routes::<B>)
            .default_service(web::to(answer::unknown_route))
    };
    let http = HttpServiceConfig::new().set_client_timeout(HEAD_TIME);
    let server = HttpServer::new(factory)
        .workers(1)
        .maxconn(listen::CONNECTIONS)
        .disable_signals()
        .config(SharedCfg::new("admin").add(http));
    let server = match tls {
        Some(tls) => server.listen_rustls(listener, tls)?,
        None => server.listen(listener)?,
    };
    Ok(server.run())
}

fn routes<B>(app: &mut web::ServiceConfig)
where
    B: Backend,
{
    app.route("/v1/status", web::get().to(look::status::<B>))
        .route("/v1/organisations", web::get().to(look::organisations::<B>))
        .route("/v1/models", web::get().to(look::models::<B>))
        .route("/v1/upstreams", web::get().to(look::upstreams::<B>))
        .route("/v1/replicas", web::get().to(look::replicas::<B>))
        .route("/v1/operators", web::get().to(look::operators::<B>))
        .route("/v1/history", web::get().to(look::history::<B>))
        .route("/v1/watch", web::get().to(look::watch::<B>))
        .route("/v1/plans", web::get().to(plans::list::<B>))
        .route("/v1/plans", web::post().to(plans::propose::<B>))
        .route("/v1/plans/{id}", web::get().to(plans::show::<B>))
        .route("/v1/plans/{id}/{act}", web::post().to(plans::act::<B>));
}
