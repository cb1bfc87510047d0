//! A TCP proxy on loopback that misbehaves when it is told to.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::spawn_local,
    time::sleep,
};

use super::plan::Link;

/// How late bytes come on a slow link.
const DELAY: Duration = Duration::from_millis(120);
/// What passes at a time on a link that trickles, in bytes, and how long it takes.
const TRICKLE: (usize, Duration) = (16, Duration::from_millis(5));
/// What passes at a time otherwise, in bytes.
const CHUNK: usize = 16 * 1024;

/// A link that can be harmed.
#[derive(Debug)]
pub struct Proxy {
    /// Where to connect.
    pub address: SocketAddr,
    target: Cell<SocketAddr>,
    harm: Cell<Option<Link>>,
    changed: Notify,
}

/// Which way bytes go.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    There,
    Back,
}

impl Proxy {
    /// Listens on this address, with a port of its own if that is 0.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Rc<Proxy>> {
        let listener = TcpListener::bind(listen).await?;
        let proxy = Rc::new(Proxy {
            address: listener.local_addr()?,
            target: Cell::new(target),
            harm: Cell::new(None),
            changed: Notify::new(),
        });
        spawn_local(Rc::clone(&proxy).accept(listener));
        Ok(proxy)
    }

    /// Where it leads.
    pub fn target(&self) -> SocketAddr {
        self.target.get()
    }

    /// Leads elsewhere from now on; connections that are open stay.
    pub fn lead(&self, target: SocketAddr) {
        self.target.set(target);
    }

    /// Harms the link from now on, or no longer.
    pub fn set(&self, harm: Option<Link>) {
        self.harm.set(harm);
        self.changed.notify_waiters();
    }

    async fn accept(self: Rc<Proxy>, listener: TcpListener) {
        while let Ok((near, _)) = listener.accept().await {
            spawn_local(Rc::clone(&self).pass(near));
        }
    }

    async fn pass(self: Rc<Proxy>, near: TcpStream) {
        // Neither has an effect on what is checked.
        let _ = near.set_nodelay(true);
        match self.harm.get() {
            Some(Link::Reset) => return reset(&near),
            Some(Link::HalfOpen | Link::Silence) => self.healed().await,
            _ => {}
        }
        let Ok(far) = TcpStream::connect(self.target.get()).await else {
            return reset(&near);
        };
        let _ = far.set_nodelay(true);
        let near = Rc::new(near);
        let far = Rc::new(far);
        tokio::select! {
            () = self.copy(&near, &far, Way::There) => {}
            () = self.copy(&far, &near, Way::Back) => {}
            () = self.is_reset() => {}
        }
        if self.harm.get() == Some(Link::Reset) {
            reset(&near);
            reset(&far);
        }
    }

    async fn copy(&self, from: &TcpStream, to: &TcpStream, way: Way) {
        let mut buffer = vec![0; CHUNK];
        loop {
            if from.readable().await.is_err() {
                return;
            }
            let harm = self.harm.get();
            let most = match harm {
                Some(Link::Trickle) => TRICKLE.0,
                _ => CHUNK,
            };
            match harm {
                Some(Link::Silence) => self.healed().await,
                Some(Link::OneWay) if way == Way::Back => self.healed().await,
                Some(Link::Delay) => sleep(DELAY).await,
                Some(Link::Trickle) => sleep(TRICKLE.1).await,
                _ => {}
            }
            match from.try_read(&mut buffer[..most]) {
                Ok(0) => return,
                Ok(length) => {
                    if write(to, &buffer[..length]).await.is_err() {
                        return;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                // A reset must not look like an end.
                Err(_) => return reset(to),
            }
        }
    }

    async fn healed(&self) {
        let harm = self.harm.get();
        while self.harm.get() == harm {
            self.changed.notified().await;
        }
    }

    async fn is_reset(&self) {
        while self.harm.get() != Some(Link::Reset) {
            self.changed.notified().await;
        }
    }
}

async fn write(to: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(bytes) {
            Ok(length) => bytes = &bytes[length..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Makes the end of a connection a reset.
pub(super) fn reset(stream: &TcpStream) {
    // Fails only on a connection that is gone.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
