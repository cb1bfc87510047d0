//! Exchanges loads, limits and observations of upstreams between entry hosts through
//! relays.
//!
//! **Load pattern.** Dozens of entry hosts send to the same engines. Each knows exactly
//! what it has sent itself and nothing of the others, so several choose the same idle
//! engine, and the parts of long prompts fall on the same engines. So each host reports its
//! work in progress to relays as soon as it changes. The relays run beside the control
//! replicas, whose addresses all hosts know. They add up the reports and send the sum to
//! the hosts. A lost datagram delays the information by one period.
//!
//! **Volume.** A sum has an entry for each upstream that has changed, however many hosts
//! there are, and is the same for all of them. When reports were passed on one by one,
//! those of 31 hosts on 45 upstreams filled links of 20 Mbit/s, and requests waited behind
//! them. A host gets sums from the relay in its own failure domain, if there is one.
//! Periods grow with the number of hosts, so that a relay, which shares a processor with a
//! control replica, receives and sends a bounded number of datagrams.
//!
//! **Two relays.** Hosts report to every relay and listen to two. With one relay each,
//! hosts that left a silent relay at different times would stay divided: each would know
//! only the hosts of its own relay, and all would pack their work onto the same engines.
//! The second relay sends only beacons. Sums from it would cost the links between failure
//! domains an entry for each upstream and host. While no relay answers, each host reports
//! to a bounded number of other hosts: all relays may stop at once, since the control
//! replicas may.
//!
//! **Other messages.** Limits that upstreams name for all hosts are exchanged in the same
//! way, and the relays grant permits to send to such upstreams ([`Limiter`]). Hosts also
//! report to all relays which requests upstreams were lost with, so that the relays can
//! have all hosts refuse such a request, and others that share what is to blame
//! ([`Suspects`]). Where the settings ask for it,
//! hosts report what they observe of upstreams' pace, and the relays send them what all
//! hosts observed ([`Paces`]).
//!
//! Hosts whose settings ask for fair shares report to all relays what organisations have in
//! flight, and the relays send such hosts the sums ([`shares`]).

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
pub(crate) use self::suspects::MAX_PART_SUSPECTS;
pub use self::{
    aggregator::{Aggregator, MAX_PEERS, Round},
    host::report_interval,
    limiter::Limiter,
    message::{
        Digest, Introduction, Limit, Loss, Message, PartLoss, PartSuspect, Permit, Query,
        Subscription, Sum, Suspect,
    },
    observed::{MAX_PACES, Observation, Pace, Paces},
    relay::run_relay,
    relays::{RELAY_TIMEOUT, Relays},
    suspects::Suspects,
};

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// Sends a message. Later ones make up for a lost one.
pub(crate) async fn send(socket: &UdpSocket, to: SocketAddr, message: &Message) {
    match postcard::to_stdvec(message) {
        Ok(bytes) => send_bytes(socket, to, &bytes).await,
        Err(error) => tracing::error!(%error, "datagram can't be encoded"),
    }
}

async fn send_bytes(socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
    // Later datagrams make up for a lost one.
    if let Err(error) = socket.send_to(bytes, to).await {
        tracing::debug!(%to, %error, "datagram not sent");
    }
}
