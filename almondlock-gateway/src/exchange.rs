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
//! While no relay answers, hosts tell each other.
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
/// Hosts tell each other directly once no relay was heard for this long.
const SILENCE: Duration = Duration::from_millis(160);
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
    /// Where the host takes datagrams, as a relay saw it. None as the host
    /// itself tells it.
    pub address: Option<SocketAddr>,
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
    pub fn tell(&mut self, now: Mono, from: SocketAddr, mut digest: Digest) {
        digest.address = Some(from);
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
    named: Vec<SocketAddr>,
    host: u64,
) where
    D: Dialect,
{
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; DATAGRAM];
    let mut idle = 0;
    let mut peers = Peers::default();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, _)) = received else { continue };
                let Ok(digests) = postcard::from_bytes::<Vec<Digest>>(&buffer[..length]) else {
                    continue;
                };
                let now = clock::mono();
                peers.hear(now, host, &digests);
                take_in(&worker, now, host, digests);
            }
            _ = ticks.tick() => {
                let now = clock::mono();
                let relays = relays(&named, &worker.node.view().get().sources);
                let totals = worker.load.borrow().own(now);
                idle = if totals.is_empty() { idle + 1 } else { 0 };
                if idle % IDLE_PERIODS == 0 {
                    let digest = Digest { host, address: None, totals };
                    tell(&socket, &relays, &digest).await;
                    tell_directly(&socket, &peers.alone(now), digest).await;
                }
            }
        }
    }
}

/// The relays: those of the settings, and one beside each present replica, on
/// the same port.
fn relays(named: &[SocketAddr], replicas: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut relays = named.to_vec();
    if let Some(port) = named.first().map(SocketAddr::port) {
        let beside = replicas
            .iter()
            .map(|replica| SocketAddr::new(replica.ip(), port));
        relays.extend(beside);
    }
    relays.sort_unstable();
    relays.dedup();
    relays
}

/// The other hosts, as the relays last named them.
///
/// All relays may be gone at once, since the control replicas may: for the
/// seconds in which they start again hosts tell each other directly. Not
/// always, because that costs each of them a datagram for each other one.
#[derive(Debug, Default)]
pub struct Peers {
    known: HashMap<SocketAddr, Mono>,
    relayed: Option<Mono>,
}

impl Peers {
    /// A datagram came. From a relay it names where each host is.
    pub fn hear(&mut self, now: Mono, own: u64, digests: &[Digest]) {
        let others = digests.iter().filter(|digest| digest.host != own);
        for address in others.filter_map(|digest| digest.address) {
            self.known.insert(address, now);
        }
        if digests.iter().any(|digest| digest.address.is_some()) {
            self.relayed = Some(now);
            self.known.retain(|_, at| now.since(*at) < GONE);
        }
    }

    /// Whom to tell directly: nobody while a relay is heard.
    pub fn alone(&self, now: Mono) -> Vec<SocketAddr> {
        match self.relayed {
            Some(at) if now.since(at) >= SILENCE => self.known.keys().copied().collect(),
            _ => Vec::new(),
        }
    }
}

/// Tells hosts what relays would have passed on.
async fn tell_directly(socket: &UdpSocket, peers: &[SocketAddr], digest: Digest) {
    if !peers.is_empty() {
        send_all(socket, &vec![digest], peers).await;
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
