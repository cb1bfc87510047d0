//! Loads told from entry host to entry host.
//!
//! **Load pattern.** Dozens of entry hosts send to the same engines. Each knows
//! exactly what it has sent itself and nothing of the others, so several pick
//! the same idle engine, and a long prompt's parts land on each other. Every
//! [`PERIOD`] each host tells what it has under way; relays beside the control
//! replicas, whose addresses all of them know, gather what came in one period
//! and send it to all. A datagram that is lost costs one period of knowledge.
//!
//! Hosts tell every relay. With one relay each, those that left a silent relay
//! at different moments would stay apart for good, each hearing its own relay
//! and none of the others' hosts, and pack their work onto the same engines.
//!
//! Work is seen by the others within two periods. A shorter one would cost
//! each host more wake-ups than its share of the requests does.

use std::{collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};

use almondlock_base::{id::Upstream, time::Mono};
use almondlock_node::clock;
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    time::{MissedTickBehavior, interval},
};

use crate::{dialect::Dialect, load::Total, worker::Worker};

/// How often a host tells, and a relay passes on.
pub const PERIOD: Duration = Duration::from_millis(40);
/// A relay forgets a host that told nothing for this long.
const GONE: Duration = Duration::from_secs(2);
/// With nothing under way a host tells only this often: that it is there.
const IDLE_PERIODS: u32 = 5;
/// The largest datagram.
const DATAGRAM: usize = 60 * 1024;

/// What one host has under way.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Digest {
    /// The host's number, drawn at its start.
    pub host: u64,
    /// Totals by upstream.
    pub totals: Vec<(Upstream, Total)>,
}

/// Gathers what hosts tell in one period. Decides only; the relay sends.
#[derive(Debug, Default)]
pub struct Gather {
    hosts: HashMap<SocketAddr, (Mono, Option<Digest>)>,
}

impl Gather {
    /// A host told something.
    pub fn tell(&mut self, now: Mono, from: SocketAddr, digest: Digest) {
        self.hosts.insert(from, (now, Some(digest)));
    }

    /// What came since the last call, and to whom it goes.
    pub fn take(&mut self, now: Mono) -> (Vec<Digest>, Vec<SocketAddr>) {
        self.hosts.retain(|_, (at, _)| now.since(*at) < GONE);
        let news = self.hosts.values_mut();
        let news = news.filter_map(|(_, digest)| digest.take()).collect();
        (news, self.hosts.keys().copied().collect())
    }
}

/// Passes on what entry hosts tell, until the process ends.
pub async fn relay(socket: UdpSocket) -> io::Result<()> {
    let mut gather = Gather::default();
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; DATAGRAM];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, from)) = received else {
                    // A host that has ended: its port refused an earlier datagram.
                    continue;
                };
                match postcard::from_bytes(&buffer[..length]) {
                    Ok(digest) => gather.tell(clock::mono(), from, digest),
                    Err(error) => tracing::debug!(%from, %error, "unreadable datagram"),
                }
            }
            _ = ticks.tick() => {
                let (news, hosts) = gather.take(clock::mono());
                if news.is_empty() {
                    continue;
                }
                send_all(&socket, &news, &hosts).await;
            }
        }
    }
}

async fn send_all(socket: &UdpSocket, news: &Vec<Digest>, hosts: &[SocketAddr]) {
    let Ok(bytes) = postcard::to_stdvec(news) else {
        tracing::error!("a digest can't be written");
        return;
    };
    for host in hosts {
        // One that is lost is made good by the next.
        if let Err(error) = socket.send_to(&bytes, host).await {
            tracing::debug!(%host, %error, "datagram not sent");
        }
    }
}

/// Tells the relays and listens to them, until the process ends.
pub(crate) async fn run<D>(
    worker: Rc<Worker<D>>,
    socket: UdpSocket,
    relays: Vec<SocketAddr>,
    host: u64,
) where
    D: Dialect,
{
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; DATAGRAM];
    let mut idle = 0;
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, _)) = received else { continue };
                let Ok(digests) = postcard::from_bytes::<Vec<Digest>>(&buffer[..length]) else {
                    continue;
                };
                take_in(&worker, clock::mono(), host, digests);
            }
            _ = ticks.tick() => {
                let now = clock::mono();
                let totals = worker.load.borrow().own(now);
                idle = if totals.is_empty() { idle + 1 } else { 0 };
                if idle % IDLE_PERIODS == 0 {
                    tell(&socket, &relays, &Digest { host, totals }).await;
                }
            }
        }
    }
}

fn take_in<D>(worker: &Worker<D>, now: Mono, own: u64, digests: Vec<Digest>) {
    let mut load = worker.load.borrow_mut();
    for digest in digests.into_iter().filter(|digest| digest.host != own) {
        load.tell(now, digest.host, digest.totals.into_iter().collect());
    }
}

async fn tell(socket: &UdpSocket, relays: &[SocketAddr], digest: &Digest) {
    let Ok(bytes) = postcard::to_stdvec(digest) else {
        tracing::error!("a digest can't be written");
        return;
    };
    for relay in relays {
        // One that is gone is made good by the others.
        if let Err(error) = socket.send_to(&bytes, relay).await {
            tracing::debug!(%relay, %error, "datagram not sent");
        }
    }
}
