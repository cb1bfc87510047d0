//! Faults on live connections, for tests.
//!
//! A [`Plan`] holds rules by direction, from one process's listening address to
//! another's, and is changed while connections run. Each process is given its
//! [`Site`] of the plan as the [`Layer`] of what it dials.
//!
//! A cut direction is a silent partition: nothing fails, bytes are taken until
//! a buffer is full, and they arrive when the cut heals, as TCP's
//! retransmissions would make them. Delays hold back what is read at once, so a
//! burst waits between one and two times the span.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, duplex, split},
    sync::watch,
    task::spawn_local,
    time::sleep,
};

use crate::layer::Layer;

/// Bytes that a wrapped connection takes while nothing gets through.
const BUFFER: usize = 256 * 1024;

/// From whom to whom, by listening address.
type Way = (SocketAddr, SocketAddr);

#[derive(Clone, Copy, Debug, Default)]
struct Rule {
    delay: Duration,
    cut: bool,
    refused: bool,
    /// How often connections were closed; one that saw a lower count ends.
    closes: u64,
}

/// The faults of a test; clones share them, on any thread.
#[derive(Clone, Debug)]
pub struct Plan {
    rules: Arc<Mutex<HashMap<Way, Rule>>>,
    changed: Arc<watch::Sender<()>>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan::new()
    }
}

impl Plan {
    /// No faults.
    pub fn new() -> Plan {
        Plan {
            rules: Arc::default(),
            changed: Arc::new(watch::Sender::new(())),
        }
    }

    /// The layer of the process that listens on `own`.
    pub fn site(&self, own: SocketAddr) -> Site {
        Site {
            plan: self.clone(),
            own,
        }
    }

    /// Holds back what goes from one process to another.
    pub fn delay(&self, from: SocketAddr, to: SocketAddr, span: Duration) {
        self.change((from, to), |rule| rule.delay = span);
    }

    /// Lets nothing through one way, without an error.
    pub fn cut(&self, from: SocketAddr, to: SocketAddr) {
        self.change((from, to), |rule| rule.cut = true);
    }

    /// Lets nothing through either way, without an error.
    pub fn silence(&self, a: SocketAddr, b: SocketAddr) {
        self.cut(a, b);
        self.cut(b, a);
    }

    /// Closes what is connected between two processes now.
    pub fn close(&self, a: SocketAddr, b: SocketAddr) {
        self.change((a, b), |rule| rule.closes += 1);
        self.change((b, a), |rule| rule.closes += 1);
    }

    /// Refuses new connections one way.
    pub fn refuse(&self, from: SocketAddr, to: SocketAddr) {
        self.change((from, to), |rule| rule.refused = true);
    }

    /// Takes the faults between two processes away.
    pub fn heal(&self, a: SocketAddr, b: SocketAddr) {
        for way in [(a, b), (b, a)] {
            self.change(way, |rule| {
                *rule = Rule {
                    closes: rule.closes,
                    ..Rule::default()
                };
            });
        }
    }

    fn change<F>(&self, way: Way, change: F)
    where
        F: FnOnce(&mut Rule),
    {
        change(self.lock().entry(way).or_default());
        self.changed.send_replace(());
    }

    fn rule(&self, way: Way) -> Rule {
        self.lock().get(&way).copied().unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Way, Rule>> {
        self.rules.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the way's rule is as wanted.
    async fn until<F>(&self, way: Way, wanted: F)
    where
        F: Fn(Rule) -> bool,
    {
        let mut changed = self.changed.subscribe();
        while !wanted(self.rule(way)) {
            // The sender lives as long as the plan, which is borrowed here.
            if changed.changed().await.is_err() {
                return;
            }
        }
    }
}

/// One process's place in a plan.
#[derive(Clone, Debug)]
pub struct Site {
    plan: Plan,
    own: SocketAddr,
}

impl Layer for Site {
    type Stream<S>
        = DuplexStream
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static;

    async fn admit(&self, remote: SocketAddr) -> io::Result<()> {
        let (out, back) = ((self.own, remote), (remote, self.own));
        if self.plan.rule(out).refused {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        self.plan.until(out, |rule| !rule.cut).await;
        self.plan.until(back, |rule| !rule.cut).await;
        Ok(())
    }

    fn wrap<S>(&self, stream: S, remote: SocketAddr) -> DuplexStream
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let (near, far) = duplex(BUFFER);
        let plan = self.plan.clone();
        let way = (self.own, remote);
        // Read here and not in the task: a close between the two would be missed.
        let closes = plan.rule(way).closes;
        spawn_local(async move { run(plan, way, closes, far, stream).await });
        near
    }
}

async fn run<S>(plan: Plan, out: Way, closes: u64, near: DuplexStream, stream: S)
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let back = (out.1, out.0);
    let (near_read, near_write) = split(near);
    let (far_read, far_write) = split(stream);
    tokio::select! {
        _ = pump(&plan, out, near_read, far_write) => {}
        _ = pump(&plan, back, far_read, near_write) => {}
        () = plan.until(out, |rule| rule.closes > closes) => {}
    }
}

/// Moves bytes until either end is done.
async fn pump<R, W>(plan: &Plan, way: Way, mut from: R, mut to: W) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let size = from.read(&mut buffer).await?;
        plan.until(way, |rule| !rule.cut).await;
        let delay = plan.rule(way).delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if size == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..size]).await?;
    }
}
