//! Loads told from entry host to entry host.
//!
//! **Load pattern.** Dozens of entry hosts send to the same engines. Each knows
//! exactly what it has sent itself and nothing of the others, so several pick
//! the same idle engine, and a long prompt's parts land on each other. So each host
//! tells what it has under way, at once when that changes; relays beside the control
//! replicas, whose addresses all of them know, add up what they were told and tell
//! the sum. A datagram that is lost costs one period of knowledge.
//!
//! **Volume.** A sum has an entry for each upstream that has changed, however many
//! hosts there are, and is the same for all of them. Passed on one by one, what 31
//! hosts told of 45 upstreams filled links of 20 Mbit/s, and requests waited behind
//! it. Sums come from the relay in a host's own failure domain, if there is one.
//! Periods grow with the number of hosts, so that a relay, which shares a processor
//! with a control replica, gets and sends a bounded number of datagrams.
//!
//! Hosts tell every relay and listen to two. With one relay each, those that
//! left a silent relay at different moments would stay apart for good, each
//! hearing its own relay and none of the others' hosts, and pack their work onto
//! the same engines. The second one only shows that it is there: its sums as well would
//! cost the links between failure domains an entry for each upstream and each host. While
//! no relay answers, hosts tell each other, each a bounded number of them: all relays
//! may be gone at once, since the control replicas may.
//!
//! Limits that upstreams name for all hosts are told in the same way, and the relays give
//! out permits to send to such upstreams ([`Ration`]). And hosts tell all relays of
//! requests that upstreams were lost with, so that the relays can have such a request
//! refused by all hosts ([`Suspects`]). Where the settings ask for it, hosts also report what
//! they observe of upstreams' pace, and the relays tell them what all hosts observed
//! ([`Paces`]).
//!
//! Hosts whose settings ask for fair shares tell all relays what organisations have in
//! flight, and the relays tell such hosts the sums ([`shares`]).

mod aggregator;
mod host;
mod limiter;
mod message;
mod observed;
mod relay;
mod relays;
pub mod shares;
mod suspects;

use std::net::SocketAddr;

use tokio::net::UdpSocket;

pub(crate) use self::host::run;
pub use self::{
    aggregator::{Aggregator, MAX_PEERS, Round},
    host::report_interval,
    limiter::Limiter,
    message::{
        Digest, Introduction, Limit, Loss, Message, Permit, Query, Subscription, Sum, Suspect,
    },
    observed::{MAX_PACES, Observation, Pace, Paces},
    relay::run_relay,
    relays::{RELAY_TIMEOUT, Relays},
    suspects::Suspects,
};

/// The largest datagram.
const DATAGRAM: usize = 60 * 1024;

pub(crate) async fn send(socket: &UdpSocket, to: SocketAddr, message: &Message) {
    match postcard::to_stdvec(message) {
        Ok(bytes) => send_bytes(socket, to, &bytes).await,
        Err(error) => tracing::error!(%error, "a datagram can't be written"),
    }
}

async fn send_bytes(socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
    // One that is lost is made good by a later one.
    if let Err(error) = socket.send_to(bytes, to).await {
        tracing::debug!(%to, %error, "datagram not sent");
    }
}
