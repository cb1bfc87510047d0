//! HTTP listeners that callers reach.

use std::{fmt, io, net::TcpListener, sync::Arc};

use ntex::{
    IntoServiceFactory, ServiceFactory, SharedCfg,
    http::{HttpService, HttpServiceConfig, Request, Response, ResponseError, body::MessageBody},
    server::{Server, ServerBuilder},
    service::apply,
    time::Seconds,
};
use socket2::SockRef;

use crate::{
    connections::{Connections, Gate, Totals},
    turns::Turns,
};

/// Most bytes that the HTTP library keeps of a body which nobody reads.
const READ_AHEAD: usize = 48 * 1024;

/// Settings of a listener.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name for logs.
    pub name: &'static str,
    /// Threads.
    pub workers: usize,
    /// Connections at one time, over all threads.
    pub connections: usize,
    /// Largest head of a request, in bytes.
    pub head: usize,
    /// Time allowed for a head to arrive.
    pub head_time: Seconds,
    /// Time for which an idle connection is kept.
    pub idle_time: Seconds,
    /// Buffers of each connection in the kernel, in bytes: one for each direction.
    pub socket_buffer: usize,
    /// Requests in a row on one connection that may have another one behind them.
    pub pipelined: u32,
    /// Callers' TLS.
    pub tls: Option<rustls::ServerConfig>,
}

impl Config {
    /// Returns the memory that a connection may take, in bytes: its buffers in the kernel,
    /// and a head or a part of a body.
    pub const fn connection_cost(head: usize, socket_buffer: usize) -> usize {
        let own = if head > READ_AHEAD { head } else { READ_AHEAD };
        2 * socket_buffer + own
    }
}

/// Serves on a listener. `factory` makes the application of each thread, which is told the
/// connections of that thread.
pub fn serve<F, I, S, B>(listener: TcpListener, config: Config, factory: F) -> io::Result<Server>
where
    F: AsyncFn(Connections) -> I + Send + Clone + 'static,
    I: IntoServiceFactory<S, Request, SharedCfg>,
    S: ServiceFactory<Request, SharedCfg> + 'static,
    S::Error: ResponseError,
    S::InitError: fmt::Debug,
    S::Response: Into<Response<B>>,
    B: MessageBody + 'static,
{
    bound_buffers(&listener, config.socket_buffer);
    let http = HttpServiceConfig::new()
        .set_client_timeout(config.head_time)
        .set_keepalive(config.idle_time)
        .set_max_buf_size(config.head);
    let shared: SharedCfg = SharedCfg::new(config.name).add(http).into();
    let places = config.connections.div_ceil(config.workers.max(1));
    let pipelined = config.pipelined;
    let totals = Arc::new(Totals::default());
    let builder = ServerBuilder::default()
        .workers(config.workers)
        .disable_signals();
    let builder = match config.tls {
        None => builder.listen(config.name, listener, async move |server| {
            server.config(shared.clone());
            let connections = Connections::new(places, Arc::clone(&totals));
            let app = factory(connections.clone()).await.into_factory();
            let app = apply(Turns::new(connections.clone(), pipelined), app);
            apply(Gate::new(connections), HttpService::new(app))
        })?,
        Some(tls) => builder.listen(config.name, listener, async move |server| {
            server.config(shared.clone());
            let connections = Connections::new(places, Arc::clone(&totals));
            let app = factory(connections.clone()).await.into_factory();
            let app = apply(Turns::new(connections.clone(), pipelined), app);
            let service = HttpService::new(app).rustls(tls.clone());
            apply(Gate::new(connections), service)
        })?,
    };
    Ok(builder.run())
}

/// Bounds the kernel's buffers of the connections that the listener will accept. Without
/// this the kernel grows them to megabytes each for callers that send ahead or don't read.
fn bound_buffers(listener: &TcpListener, bytes: usize) {
    let socket = SockRef::from(listener);
    let set = socket.set_recv_buffer_size(bytes);
    if let Err(error) = set.and_then(|()| socket.set_send_buffer_size(bytes)) {
        tracing::warn!(%error, bytes, "socket buffers not bounded");
    }
}
