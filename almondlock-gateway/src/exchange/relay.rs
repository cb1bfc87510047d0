//! The relay: receives the hosts' reports, and sends sums and other messages in rounds.

use std::{io, net::SocketAddr};

use almondlock_base::id::Domain;
use almondlock_node::clock;
use tokio::{net::UdpSocket, time::sleep};

use super::{
    Aggregator, Limiter, MAX_DATAGRAM_BYTES, Message, Paces, Round, Sum, Suspects, send,
    send_bytes, shares::Tally,
};

/// What a relay knows from the hosts' reports.
#[derive(Default)]
struct State {
    aggregator: Aggregator,
    limiter: Limiter,
    suspects: Suspects,
    shares: Tally,
    paces: Paces,
}

/// Runs a relay in this failure domain until the process ends: adds up the reports of entry
/// hosts, and grants permits. `relays` returns how many relays share the limits, or 0 if
/// that isn't known.
pub async fn run_relay<F>(socket: UdpSocket, domain: Domain, relays: F) -> io::Result<()>
where
    F: Fn() -> u32,
{
    let mut state = State::default();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut next = clock::mono();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, from)) = received else {
                    // A host has stopped: its port refused an earlier datagram.
                    continue;
                };
                match postcard::from_bytes(&buffer[..length]) {
                    Ok(message) => receive_message(&socket, &mut state, from, message, relays()).await,
                    Err(error) => tracing::debug!(%from, %error, "datagram can't be decoded"),
                }
            }
            () = sleep(next.since(clock::mono())) => {
                let now = clock::mono();
                let round = state.aggregator.next_round(now, &domain);
                next = now + state.aggregator.period();
                send_round(&socket, &round).await;
                send_updates(&socket, &mut state, &round).await;
                send_totals(&socket, &mut state).await;
                send_paces(&socket, &mut state).await;
            }
        }
    }
}

/// Takes in a host's message, and answers a query for a permit.
async fn receive_message(
    socket: &UdpSocket,
    state: &mut State,
    from: SocketAddr,
    message: Message,
    relays: u32,
) {
    let now = clock::mono();
    match message {
        Message::Tell(digest) => state.aggregator.receive_report(now, from, digest),
        Message::Limits(limits) => state.limiter.receive(now, &limits),
        Message::Ask(query) => {
            let permit = state.limiter.request_permit(now, &query, relays);
            send(socket, from, &Message::Permit(permit)).await;
        }
        Message::Lost(loss) => state.suspects.record_loss(now, &loss),
        Message::LostParts(loss) => state.suspects.record_part_loss(now, &loss),
        Message::Harmless(print) => state.suspects.record_answer(now, print),
        Message::PartSuspects(refused) => state.suspects.adopt(now, &refused),
        Message::Answered(print) => state.suspects.record_appeal(now, print),
        Message::Shares(envelope) => state.shares.receive(now, from, &envelope),
        Message::Observed(report) => state.paces.receive(now, from, report),
        Message::Sum { .. }
        | Message::Beacon { .. }
        | Message::Introduction(_)
        | Message::Permit(_)
        | Message::Suspects(_)
        | Message::ShareTotals(_)
        | Message::Paces(_) => {
            tracing::debug!(%from, "message for hosts received by a relay, ignored");
        }
    }
}

/// Sends the changes of limits and suspected requests to all hosts, and all of them to new
/// hosts.
async fn send_updates(socket: &UdpSocket, state: &mut State, round: &Round) {
    let now = clock::mono();
    let (copies, parts) = state.suspects.take_updates(now);
    let updates = [
        nonempty_message(state.limiter.take_updates(now), Message::Limits),
        nonempty_message(copies, Message::Suspects),
        nonempty_message(parts, Message::PartSuspects),
    ];
    for message in updates.iter().flatten() {
        for to in state.aggregator.hosts() {
            send(socket, to, message).await;
        }
    }
    let (copies, parts) = state.suspects.all(now);
    let all = [
        nonempty_message(state.limiter.all(now), Message::Limits),
        nonempty_message(copies, Message::Suspects),
        nonempty_message(parts, Message::PartSuspects),
    ];
    for message in all.iter().flatten() {
        for (to, _) in &round.newcomers {
            send(socket, *to, message).await;
        }
    }
}

/// Sends the sums by organisation to the hosts that report them and follow this relay
/// closely.
async fn send_totals(socket: &UdpSocket, state: &mut State) {
    let Some((envelope, hosts)) = state.shares.take_updates(clock::mono()) else {
        return;
    };
    let message = Message::ShareTotals(envelope);
    for to in hosts {
        if state.aggregator.is_followed_by(&to) {
            send(socket, to, &message).await;
        }
    }
}

/// Sends the pooled observations to the hosts that follow them.
async fn send_paces(socket: &UdpSocket, state: &mut State) {
    let Some((hosts, paces)) = state.paces.take_updates(clock::mono()) else {
        return;
    };
    let message = Message::Paces(paces);
    for to in hosts {
        send(socket, to, &message).await;
    }
}

/// Makes a message of all entries, if there are any.
fn nonempty_message<T, F>(entries: Vec<T>, message: F) -> Option<Message>
where
    F: FnOnce(Vec<T>) -> Message,
{
    (!entries.is_empty()).then(|| message(entries))
}

/// Sends the sums, beacons and introductions of a round.
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

/// Sends a sum to hosts, to each with the number of its own digest that the sum includes.
async fn send_sum(socket: &UdpSocket, sum: &Sum, hosts: &[(SocketAddr, u32)]) {
    let Ok(body) = postcard::to_stdvec(sum) else {
        tracing::error!("sum of loads can't be encoded");
        return;
    };
    for (to, included) in hosts {
        let head = Message::Sum {
            included: *included,
        };
        let Ok(mut bytes) = postcard::to_stdvec(&head) else {
            tracing::error!("head of a sum of loads can't be encoded");
            return;
        };
        bytes.extend_from_slice(&body);
        send_bytes(socket, *to, &bytes).await;
    }
}
