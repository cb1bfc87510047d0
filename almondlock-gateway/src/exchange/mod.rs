//! Loads told from entry host to entry host.
//!
//! **Load pattern.** Dozens of entry hosts send to the same engines. Each knows
//! exactly what it has sent itself and nothing of the others, so several pick
//! the same idle engine, and a long prompt's parts land on each other. Every
//! [`PERIOD`] each host tells what it has under way; relays beside the control
//! replicas, whose addresses all of them know, add up what they were told and
//! send each host the sum of all others. A datagram that is lost costs one
//! period of knowledge.
//!
//! **Volume.** A sum has an entry for each upstream, however many hosts there
//! are. Passed on one by one, what 31 hosts told of 45 upstreams filled links of
//! 20 Mbit/s, and requests waited behind it.
//!
//! Hosts tell every relay and listen to two. With one relay each, those that
//! left a silent relay at different moments would stay apart for good, each
//! hearing its own relay and none of the others' hosts, and pack their work onto
//! the same engines. While no relay answers, hosts tell each other: all relays
//! may be gone at once, since the control replicas may. Not always, because that
//! costs each of them a datagram for each other one.
//!
//! Work is seen by the others within two periods. A shorter one would cost
//! each host more wake-ups than its share of the requests does.

mod gather;
mod message;
mod relays;

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use almondlock_node::clock;
use tokio::{
    net::UdpSocket,
    time::{MissedTickBehavior, interval},
};

pub use self::{
    gather::Gather,
    message::{Digest, Message, Sum},
    relays::{Relays, SILENCE},
};
use crate::{dialect::Dialect, worker::Worker};

/// How often a host tells, and a relay sends sums.
pub const PERIOD: Duration = Duration::from_millis(40);
/// With nothing under way a host tells only this often: that it is there. Less
/// than a relay's silence would have it look for another one.
const IDLE_PERIODS: u32 = 3;
/// The largest datagram.
const DATAGRAM: usize = 60 * 1024;

/// Adds up what entry hosts tell, until the process ends.
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
                    Ok(Message::Tell(digest)) => gather.tell(clock::mono(), from, digest),
                    Ok(Message::Sum(_)) => tracing::debug!(%from, "a sum sent to a relay"),
                    Err(error) => tracing::debug!(%from, %error, "unreadable datagram"),
                }
            }
            _ = ticks.tick() => {
                for (to, sum) in gather.take(clock::mono()) {
                    send(&socket, to, &Message::Sum(sum)).await;
                }
            }
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
    let mut relays = Relays::default();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // An error is a relay that has ended: others are told as well.
                let Ok((length, from)) = received else { continue };
                match postcard::from_bytes(&buffer[..length]) {
                    Ok(message) => take_in(&worker, &mut relays, from, message),
                    Err(error) => tracing::debug!(%from, %error, "unreadable datagram"),
                }
            }
            _ = ticks.tick() => {
                let totals = worker.load.borrow().own(clock::mono());
                idle = if totals.is_empty() { idle + 1 } else { 0 };
                if idle % IDLE_PERIODS == 0 {
                    let digest = Digest { host, listens: false, totals };
                    tell(&worker, &socket, &named, &mut relays, digest).await;
                }
            }
        }
    }
}

/// Tells every relay, and other hosts while none answers.
async fn tell<D>(
    worker: &Worker<D>,
    socket: &UdpSocket,
    named: &[SocketAddr],
    relays: &mut Relays,
    digest: Digest,
) where
    D: Dialect,
{
    let now = clock::mono();
    let all = addresses(named, &worker.node.view().get().sources);
    let listened = relays.listen(now, &all, digest.host);
    let mut message = Message::Tell(digest);
    let directly = relays.alone(now);
    for to in all.into_iter().chain(directly) {
        if let Message::Tell(digest) = &mut message {
            digest.listens = listened.contains(&to);
        }
        send(socket, to, &message).await;
    }
}

async fn send(socket: &UdpSocket, to: SocketAddr, message: &Message) {
    let Ok(bytes) = postcard::to_stdvec(message) else {
        tracing::error!("a datagram can't be written");
        return;
    };
    // One that is lost is made good by the next.
    if let Err(error) = socket.send_to(&bytes, to).await {
        tracing::debug!(%to, %error, "datagram not sent");
    }
}

fn take_in<D>(worker: &Worker<D>, relays: &mut Relays, from: SocketAddr, message: Message)
where
    D: Dialect,
{
    let now = clock::mono();
    let mut load = worker.load.borrow_mut();
    match message {
        Message::Sum(sum) => {
            relays.hear(now, from, &sum.peers);
            load.hear(now, from, sum.hosts, sum.totals.into_iter().collect());
        }
        Message::Tell(digest) => {
            load.tell(now, digest.host, digest.totals.into_iter().collect());
        }
    }
}

/// The relays: those of the settings, and one beside each present replica, on
/// the same port.
fn addresses(named: &[SocketAddr], replicas: &[SocketAddr]) -> Vec<SocketAddr> {
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
