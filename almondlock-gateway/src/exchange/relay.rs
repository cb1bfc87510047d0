//! The relay: sums of what hosts tell, in rounds.

use std::{io, net::SocketAddr};

use almondlock_base::id::Domain;
use almondlock_node::clock;
use tokio::{net::UdpSocket, time::sleep};

use super::{DATAGRAM, Gather, Message, Round, Sum, send, send_bytes};

/// Adds up what entry hosts tell, in this failure domain, until the process ends.
pub async fn relay(socket: UdpSocket, domain: Domain) -> io::Result<()> {
    let mut gather = Gather::default();
    let mut buffer = vec![0; DATAGRAM];
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
                let round = gather.take(now, &domain);
                next = now + gather.period();
                send_round(&socket, &round).await;
            }
        }
    }
}

async fn send_round(socket: &UdpSocket, round: &Round) {
    send_sums(socket, &round.changes, &round.close).await;
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
