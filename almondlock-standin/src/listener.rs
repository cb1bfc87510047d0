//! A listener that can be killed.
//!
//! The library's own server stops politely. A stand-in must also die as a
//! crashed process does: listener closed, every connection dropped in the
//! middle of whatever it was sending. So connections are accepted here, handed
//! to the library's HTTP service one by one, and remembered.

use std::{
    cell::{Cell, RefCell},
    io,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::atomic::{AtomicU32, Ordering},
};

use ntex::{
    SharedCfg,
    http::{self, HttpService},
    io::IoRef,
    service::{Pipeline, ServiceFactory, fn_service},
};
use tokio::sync::Notify;

use crate::framing::Framing;

/// Handles one HTTP request. Implemented by each stand-in.
pub(crate) trait Handler: 'static {
    /// Answers it.
    fn handle(self: Rc<Self>, request: http::Request) -> impl Future<Output = http::Response>;
}

/// A listening address and the connections accepted there.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    // Counts the lives: an accept loop of an earlier one ends by itself.
    life: Cell<u64>,
    open: Cell<bool>,
    closed: Notify,
    connections: RefCell<Vec<IoRef>>,
    /// Framing of the answers on connections that are accepted from now on.
    framing: Cell<Framing>,
}

impl Listener {
    /// Binds the address and serves it.
    pub(crate) fn start<H>(address: SocketAddr, handler: Rc<H>) -> io::Result<Rc<Listener>>
    where
        H: Handler,
    {
        let socket = bind(address)?;
        let listener = Rc::new(Listener {
            address: socket.local_addr()?,
            life: Cell::new(0),
            open: Cell::new(true),
            closed: Notify::new(),
            connections: RefCell::default(),
            framing: Cell::default(),
        });
        listener.clone().serve(socket, handler);
        Ok(listener)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Sets the framing of the answers on connections that are accepted from now on.
    pub(crate) fn set_framing(&self, framing: Framing) {
        self.framing.set(framing);
    }

    /// Accepts no more; what is connected goes on.
    pub(crate) fn stop(&self) {
        self.open.set(false);
        self.life.set(self.life.get() + 1);
        self.closed.notify_waiters();
    }

    /// Accepts no more and drops every connection where it stands.
    pub(crate) fn kill(&self) {
        self.stop();
        for connection in self.connections.take() {
            connection.terminate();
        }
    }

    /// Listens again at the same address.
    pub(crate) fn revive<H>(self: Rc<Self>, handler: Rc<H>) -> io::Result<()>
    where
        H: Handler,
    {
        if self.is_open() {
            return Ok(());
        }
        let socket = bind(self.address)?;
        self.open.set(true);
        self.serve(socket, handler);
        Ok(())
    }

    fn serve<H>(self: Rc<Self>, socket: tokio::net::TcpListener, handler: Rc<H>)
    where
        H: Handler,
    {
        let life = self.life.get();
        ntex::rt::spawn(async move {
            let config = SharedCfg::default();
            while self.life.get() == life {
                let accepted = tokio::select! {
                    accepted = socket.accept() => accepted,
                    () = self.closed.notified() => continue,
                };
                let Ok((stream, _)) = accepted else {
                    tokio::task::yield_now().await;
                    continue;
                };
                let framing = self.framing.get();
                if framing.has_reset() && stream.set_zero_linger().is_err() {
                    continue;
                }
                let handler = handler.clone();
                let factory = HttpService::h1(fn_service(move |request| {
                    let handler = handler.clone();
                    async move {
                        let response = handler.handle(request).await;
                        Ok::<_, io::Error>(framing.apply(response))
                    }
                }));
                let Ok(service) = factory.create(config.clone()).await else {
                    return;
                };
                let service = Pipeline::new(service);
                let stream = stream.into_std();
                let Ok(io) = stream.and_then(|s| ntex::rt::from_tcp_stream(s, config.clone()))
                else {
                    continue;
                };
                self.remember(io.get_ref());
                let call = service.call_static(io);
                ntex::rt::spawn(async move {
                    // A connection that ends badly is the caller's to notice.
                    let _ = call.await;
                });
            }
        });
    }

    fn remember(&self, connection: IoRef) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|c| !c.is_closed());
        connections.push(connection);
    }
}

/// Ports for listeners that name none: below the range from which systems give
/// ports to outgoing connections, so that nothing takes one while its engine is
/// dead and is to be revived.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

fn bind(address: SocketAddr) -> io::Result<tokio::net::TcpListener> {
    // The standard library sets SO_REUSEADDR, so an address can be bound again
    // while connections of an earlier life still linger.
    let socket = match address.port() {
        0 => free(address)?,
        _ => TcpListener::bind(address)?,
    };
    socket.set_nonblocking(true)?;
    tokio::net::TcpListener::from_std(socket)
}

/// A listener on a port of its own. Each goes on after the last one drawn, and
/// processes begin at different places.
fn free(address: SocketAddr) -> io::Result<TcpListener> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let width = u32::from(PORTS.end - PORTS.start);
    let begin = std::process::id().wrapping_mul(97);
    for _ in 0..width {
        let drawn = begin.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % width;
        let port = PORTS.start + u16::try_from(drawn).unwrap_or_default();
        if let Ok(socket) = TcpListener::bind(SocketAddr::new(address.ip(), port)) {
            return Ok(socket);
        }
    }
    TcpListener::bind(address)
}
