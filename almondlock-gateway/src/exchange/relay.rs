//! The relay: sums of what hosts tell, in rounds.

use std::{io, net::SocketAddr, time::Duration};

use almondlock_base::id::Domain;
use almondlock_node::clock;
use tokio::{net::UdpSocket, time::sleep};

use super::{DATAGRAM, Gather, Message, Round, Sum, send, send_bytes};

/// How often a relay sends sums, at the most.
const ROUND: Duration = Duration::from_millis(20);
/// A relay sends a host's sum at most this often in the mean: 2,000 sums a second,
/// some hundredths of a core.
const ROUND_PER_HOST: Duration = Duration::from_micros(500);
/// A sum that tells of no change is left out but for each so many rounds, which show
/// that the relay is there.
const QUIET_ROUNDS: u64 = 3;

/// Adds up what entry hosts tell, in this failure domain, until the process ends.
pub async fn relay(socket: UdpSocket, domain: Domain) -> io::Result<()> {
    let mut gather = Gather::default();
    let mut buffer = vec![0; DATAGRAM];
    let mut rounds = 0;
    let mut next = clock::mono();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, from)) = received else {
                    // A host that has ended: its port refused an earlier datagram.
                    continue;
                };
                match postcard::from_bytes(&buffer[..length]) {
                    Ok(Message::Tell(digest)) => gather.tell(clock::mono(), from, digest),
                    Ok(_) => tracing::debug!(%from, "a sum sent to a relay"),
                    Err(error) => tracing::debug!(%from, %error, "unreadable datagram"),
                }
            }
            () = sleep(next.since(clock::mono())) => {
                let now = clock::mono();
                rounds += 1;
                let round = gather.take(now, &domain);
                let hosts = u32::try_from(gather.followers()).unwrap_or(u32::MAX);
                next = now + ROUND.max(ROUND_PER_HOST * hosts);
                send_round(&socket, &round, rounds).await;
            }
        }
    }
}

async fn send_round(socket: &UdpSocket, round: &Round, number: u64) {
    let is_quiet = round.changes.loads.is_empty() && !number.is_multiple_of(QUIET_ROUNDS);
    if !is_quiet {
        send_sums(socket, &round.changes, &round.close).await;
    }
    if let Some(whole) = &round.whole {
        send_sums(socket, whole, &round.others).await;
    }
    for (to, introduction) in &round.introductions {
        send(socket, *to, &Message::Introduction(introduction.clone())).await;
    }
}

/// Sends a sum to hosts, each with the number of its digest that is included.
async fn send_sums(socket: &UdpSocket, sum: &Sum, hosts: &[(SocketAddr, u32)]) {
    let Ok(body) = postcard::to_stdvec(sum) else {
        tracing::error!("a sum can't be written");
        return;
    };
    for (to, included) in hosts {
        let head = Message::Sum {
            included: *included,
        };
        let Ok(mut bytes) = postcard::to_stdvec(&head) else {
            tracing::error!("the head of a sum can't be written");
            return;
        };
        bytes.extend_from_slice(&body);
        send_bytes(socket, *to, &bytes).await;
    }
}
