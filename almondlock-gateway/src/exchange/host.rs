//! A host's part: what it tells the relays and when, and what it hears from them.

use std::{collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use almondlock_base::time::Mono;
use almondlock_node::clock;
use tokio::{net::UdpSocket, time::sleep};

use super::{
    DATAGRAM, Digest, Limit, Message, Observation, Relays, Subscription, Sum,
    limiter::REPEAT,
    observed::{IDLE_REPORT, period as report_period},
    send,
};
use crate::{
    dialect::Dialect,
    load::{Key, Load},
    worker::Worker,
};

/// How soon a host tells the relay that it follows closely again, at the most.
const GAP: Duration = Duration::from_millis(10);
/// How often it tells all relays while something is being read.
const PERIOD: Duration = Duration::from_millis(40);
/// The same for each host that there is: a relay gets 2,500 digests a second at most.
const PERIOD_PER_HOST: Duration = Duration::from_micros(400);
/// How often it tells them otherwise: that it is there. Less than a second, after
/// which a relay takes it for gone.
const IDLE_PERIOD: Duration = Duration::from_millis(200);
/// A host's own digests that a sum may still include.
const REMEMBERED: usize = 64;

/// What a host tells, and what it told.
struct Teller {
    host: u64,
    // Of the last digest.
    number: u32,
    // The last digests by their number.
    told: VecDeque<(u32, Vec<(Key, Load)>)>,
    relays: Relays,
    // When all relays were last told, and whether something has changed since.
    all_at: Mono,
    has_news: bool,
    // The same of the relay that is followed closely.
    close_at: Mono,
    is_close_due: bool,
    // When all limits were last told.
    limits_at: Mono,
    // When observations were last told, how often, and of how many upstreams.
    paces_at: Mono,
    paces_number: u32,
    paces_count: usize,
}

impl Teller {
    /// What was told under a number. Nothing if that was long ago.
    fn told(&self, number: u32) -> &[(Key, Load)] {
        let mut told = self.told.iter();
        let found = told.find(|(other, _)| *other == number);
        found.map_or(&[], |(_, loads)| loads)
    }

    fn digest(&mut self, loads: Vec<(Key, Load)>) -> Digest {
        self.number = self.number.wrapping_add(1).max(1);
        self.told.truncate(REMEMBERED - 1);
        self.told.push_front((self.number, loads.clone()));
        Digest {
            host: self.host,
            number: self.number,
            listens: Subscription::No,
            loads,
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
    let mut buffer = vec![0; DATAGRAM];
    let mut teller = Teller {
        host,
        number: 0,
        told: VecDeque::new(),
        relays: Relays::default(),
        all_at: Mono::ZERO,
        has_news: false,
        close_at: Mono::ZERO,
        is_close_due: false,
        limits_at: Mono::ZERO,
        paces_at: Mono::ZERO,
        paces_number: 0,
        paces_count: 0,
    };
    let socket = Rc::new(socket);
    worker.permits.set_socket(Rc::clone(&socket));
    loop {
        let now = clock::mono();
        let all_due = teller.all_at + period(&worker, &teller, now);
        let due = match teller.is_close_due {
            true => all_due.min(teller.close_at + GAP),
            false => all_due,
        };
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // An error is a relay that has ended: others are told as well.
                let Ok((length, from)) = received else { continue };
                take_in(&worker, &mut teller, from, &buffer[..length]);
            }
            () = worker.load_changed.notified(), if !teller.is_close_due => {
                teller.is_close_due = true;
                teller.has_news = true;
            }
            () = worker.suspicion.noticed() => {
                tell_losses(&worker, &socket, &named).await;
            }
            () = worker.permits.wait_for_change() => {
                let news = worker.permits.take_changed();
                tell_limits(&worker, &socket, &named, &news).await;
            }
            () = sleep(due.since(now)) => {
                let woken = clock::mono();
                let is_all = woken >= all_due;
                if due > now {
                    worker.pacing.record_late_timer(woken, woken.since(due));
                }
                tell(&worker, &socket, &named, &mut teller, is_all).await;
            }
        }
    }
}

/// How often all relays are told at present.
fn period<D>(worker: &Worker<D>, teller: &Teller, now: Mono) -> Duration
where
    D: Dialect,
{
    let load = worker.load.borrow();
    match teller.has_news || load.is_reading() {
        true => report_interval(load.other_hosts(now)),
        false => IDLE_PERIOD,
    }
}

/// How often a host with work under way tells all relays, among so many others.
pub fn report_interval(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let shared = PERIOD_PER_HOST.saturating_mul(hosts);
    PERIOD.max(shared).min(IDLE_PERIOD)
}

/// Tells all relays these limits, as far as they are known.
async fn tell_limits<D>(worker: &Worker<D>, socket: &UdpSocket, named: &[SocketAddr], keys: &[Key])
where
    D: Dialect,
{
    let now = clock::mono();
    let limits = keys.iter().filter_map(|key| {
        let notice = worker.limits.borrow().notice(key)?;
        Some(Limit::of(now, *key, &notice))
    });
    let limits: Vec<Limit> = limits.collect();
    if limits.is_empty() {
        return;
    }
    for to in addresses(named, &worker.node.view().get().sources) {
        send(socket, to, &Message::Limits(limits.clone())).await;
    }
}

/// Tells all relays of requests that were lost with upstreams, or answered after that.
async fn tell_losses<D>(worker: &Worker<D>, socket: &UdpSocket, named: &[SocketAddr])
where
    D: Dialect,
{
    let relays = addresses(named, &worker.node.view().get().sources);
    for message in worker.suspicion.take_news() {
        for to in &relays {
            send(socket, *to, &message).await;
        }
    }
}

/// Tells the close relay, or every relay, and other hosts while none answers.
async fn tell<D>(
    worker: &Worker<D>,
    socket: &UdpSocket,
    named: &[SocketAddr],
    teller: &mut Teller,
    is_all: bool,
) where
    D: Dialect,
{
    let now = clock::mono();
    let loads = worker.load.borrow().own_loads(now);
    let digest = teller.digest(loads);
    let all = addresses(named, &worker.node.view().get().sources);
    let listened = teller.relays.choose_relays(now, &all, teller.host);
    teller.close_at = now;
    teller.is_close_due = false;
    worker
        .permits
        .set_relay_order(listened.iter().map(|(relay, _)| *relay), &all);
    if is_all && now.since(teller.limits_at) >= REPEAT {
        teller.limits_at = now;
        let limited = worker.limits.borrow().limited_keys();
        tell_limits(worker, socket, named, &limited).await;
    }
    if is_all {
        teller.all_at = now;
        teller.has_news = false;
        if let Some(report) = worker.due_share_report(now) {
            let message = Message::Shares(report);
            for to in &all {
                send(socket, *to, &message).await;
            }
        }
        if worker.features.observed_pace {
            let closely = listened.first().map(|(relay, _)| *relay);
            tell_paces(worker, socket, teller, &all, closely).await;
        }
    }
    let directly = teller.relays.direct_peers(now);
    for to in all.into_iter().chain(directly) {
        let listens = listened.iter().find(|(relay, _)| *relay == to);
        let listens = listens.map_or(Subscription::No, |(_, pace)| *pace);
        if is_all || listens == Subscription::Closely {
            let digest = Digest {
                listens,
                ..digest.clone()
            };
            send(socket, to, &Message::Tell(digest)).await;
        }
    }
}

/// Tells all relays what this host observed of upstreams, if that is due. `closely` is the
/// relay that it wants to hear of all hosts' observations.
async fn tell_paces<D>(
    worker: &Worker<D>,
    socket: &UdpSocket,
    teller: &mut Teller,
    relays: &[SocketAddr],
    closely: Option<SocketAddr>,
) where
    D: Dialect,
{
    let now = clock::mono();
    if now.since(teller.paces_at) < report_period(teller.paces_count) {
        return;
    }
    let paces = worker.own_paces(now);
    let is_quiet = paces.is_empty() && teller.paces_count == 0;
    if is_quiet && now.since(teller.paces_at) < IDLE_REPORT {
        return;
    }
    teller.paces_at = now;
    teller.paces_number = teller.paces_number.wrapping_add(1);
    teller.paces_count = paces.len();
    for to in relays {
        let report = Observation {
            host: teller.host,
            number: teller.paces_number,
            follows: closely == Some(*to),
            paces: paces.clone(),
        };
        send(socket, *to, &Message::Observed(report)).await;
    }
}

fn take_in<D>(worker: &Worker<D>, teller: &mut Teller, from: SocketAddr, bytes: &[u8])
where
    D: Dialect,
{
    let now = clock::mono();
    let read = postcard::take_from_bytes(bytes).and_then(|(message, rest)| match message {
        Message::Sum { included } => {
            let sum: Sum = postcard::from_bytes(rest)?;
            teller.relays.receive(now, from, sum.hosts);
            let own = teller.told(included);
            worker.load.borrow_mut().receive_sum(now, from, sum, own);
            Ok(())
        }
        Message::Beacon { hosts } => {
            teller.relays.receive(now, from, hosts);
            Ok(())
        }
        Message::Introduction(told) => {
            teller
                .relays
                .receive_introduction(now, from, &worker.domain, &told);
            Ok(())
        }
        Message::Tell(digest) => {
            let mut load = worker.load.borrow_mut();
            load.receive_report(now, digest.host, digest.loads);
            Ok(())
        }
        Message::Limits(limits) => {
            for limit in limits {
                worker.learn_limit(limit.key, limit.notice(now), "relay");
            }
            Ok(())
        }
        Message::Permit(permit) => {
            worker.permits.handle_answer(&permit);
            Ok(())
        }
        Message::Suspects(suspects) => {
            worker.suspicion.receive(now, &suspects);
            Ok(())
        }
        Message::ShareTotals(envelope) => {
            worker.receive_totals(now, from, &envelope);
            Ok(())
        }
        Message::Paces(paces) => {
            worker.receive_paces(now, &paces);
            Ok(())
        }
        Message::Ask(_)
        | Message::Lost(_)
        | Message::Harmless(_)
        | Message::Shares(_)
        | Message::Observed(_) => {
            tracing::debug!(%from, "a host's message to relays sent to a host");
            Ok(())
        }
    });
    if let Err(error) = read {
        tracing::debug!(%from, %error, "unreadable datagram");
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
