//! The relay: sums of what hosts tell, in rounds.

use std::{io, net::SocketAddr};

use almondlock_base::id::Domain;
use almondlock_node::clock;
use tokio::{net::UdpSocket, time::sleep};

use super::{
    Aggregator, DATAGRAM, Limiter, Message, Paces, Round, Sum, Suspects, send, send_bytes,
    shares::Tally,
};

/// What a relay has heard.
#[derive(Default)]
struct State {
    gather: Aggregator,
    ration: Limiter,
    suspects: Suspects,
    shares: Tally,
    paces: Paces,
}

/// Adds up what entry hosts tell, in this failure domain, and gives out permits, until the
/// process ends. `relays` tells how many relays share the limits; 0: that isn't known.
pub async fn run_relay<F>(socket: UdpSocket, domain: Domain, relays: F) -> io::Result<()>
where
    F: Fn() -> u32,
{
    let mut state = State::default();
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
                    Ok(message) => take_in(&socket, &mut state, from, message, relays()).await,
                    Err(error) => tracing::debug!(%from, %error, "unreadable datagram"),
                }
            }
            () = sleep(next.since(clock::mono())) => {
                let now = clock::mono();
                let round = state.gather.next_round(now, &domain);
                next = now + state.gather.period();
                send_round(&socket, &round).await;
                send_news(&socket, &mut state, &round).await;
                send_totals(&socket, &mut state).await;
                send_paces(&socket, &mut state).await;
            }
        }
    }
}

async fn take_in(
    socket: &UdpSocket,
    state: &mut State,
    from: SocketAddr,
    message: Message,
    relays: u32,
) {
    let now = clock::mono();
    match message {
        Message::Tell(digest) => state.gather.receive_report(now, from, digest),
        Message::Limits(limits) => state.ration.receive(now, &limits),
        Message::Ask(ask) => {
            let permit = state.ration.request_permit(now, &ask, relays);
            send(socket, from, &Message::Permit(permit)).await;
        }
        Message::Lost(loss) => state.suspects.record_loss(now, &loss),
        Message::Harmless(print) => state.suspects.record_answer(now, print),
        Message::Shares(envelope) => state.shares.receive(now, from, &envelope),
        Message::Observed(report) => state.paces.receive(now, from, report),
        Message::Sum { .. }
        | Message::Beacon { .. }
        | Message::Introduction(_)
        | Message::Permit(_)
        | Message::Suspects(_)
        | Message::ShareTotals(_)
        | Message::Paces(_) => {
            tracing::debug!(%from, "a relay's message sent to a relay");
        }
    }
}

/// Tells all hosts what has changed of limits and suspected requests, and new ones all of
/// them.
async fn send_news(socket: &UdpSocket, state: &mut State, round: &Round) {
    let now = clock::mono();
    let news = [
        some(state.ration.take_updates(now), Message::Limits),
        some(state.suspects.take_updates(now), Message::Suspects),
    ];
    for message in news.iter().flatten() {
        for to in state.gather.hosts() {
            send(socket, to, message).await;
        }
    }
    let all = [
        some(state.ration.all(now), Message::Limits),
        some(state.suspects.all(now), Message::Suspects),
    ];
    for message in all.iter().flatten() {
        for (to, _) in &round.newcomers {
            send(socket, *to, message).await;
        }
    }
}

/// Sends the sums by organisation to the hosts that report to this relay and follow it.
async fn send_totals(socket: &UdpSocket, state: &mut State) {
    let Some((envelope, hosts)) = state.shares.take_updates(clock::mono()) else {
        return;
    };
    let message = Message::ShareTotals(envelope);
    for to in hosts {
        if state.gather.is_followed_by(&to) {
            send(socket, to, &message).await;
        }
    }
}

/// Tells what all hosts observed, to those that follow that.
async fn send_paces(socket: &UdpSocket, state: &mut State) {
    let Some((hosts, paces)) = state.paces.take_updates(clock::mono()) else {
        return;
    };
    let message = Message::Paces(paces);
    for to in hosts {
        send(socket, to, &message).await;
    }
}

/// A message of all of these, if there are any.
fn some<T, F>(entries: Vec<T>, message: F) -> Option<Message>
where
    F: FnOnce(Vec<T>) -> Message,
{
    (!entries.is_empty()).then(|| message(entries))
}

async fn send_round(socket: &UdpSocket, round: &Round) {
    for part in round.changes.parts() {
        send_sum(socket, &part, &round.followers).await;
    }
    for part in round.whole.iter().flat_map(Sum::parts) {
        send_sum(socket, &part, &round.newcomers).await;
    }
    let beacon = Message::Beacon {
        hosts: round.changes.hosts,
    };
    for to in &round.beacons {
        send(socket, *to, &beacon).await;
    }
    for (to, introduction) in &round.introductions {
        send(socket, *to, &Message::Introduction(introduction.clone())).await;
    }
}

/// Sends a sum to hosts, each with the number of its digest that is included.
async fn send_sum(socket: &UdpSocket, sum: &Sum, hosts: &[(SocketAddr, u32)]) {
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
