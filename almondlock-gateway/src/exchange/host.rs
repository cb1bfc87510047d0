//! The host's side of the exchange: sends reports to the relays, and takes in their
//! messages.

use std::{collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use almondlock_base::time::Mono;
use almondlock_node::clock;
use tokio::{net::UdpSocket, time::sleep};

use super::{
    Digest, Limit, MAX_DATAGRAM_BYTES, Message, Observation, Relays, Subscription, Sum,
    limiter::REPEAT_PERIOD,
    observed::{IDLE_REPORT_PERIOD, period as report_period},
    send,
};
use crate::{
    dialect::Dialect,
    load::{Key, Load},
    worker::Worker,
};

/// Minimum time between two reports to the relay that the host follows closely.
const MIN_CLOSE_PERIOD: Duration = Duration::from_millis(10);
/// Minimum time between two reports to all relays while a prompt is being read.
const MIN_PERIOD: Duration = Duration::from_millis(40);
/// Minimum time between two reports to all relays for each host that there is. This bounds
/// a relay to 2,500 digests a second.
const PERIOD_PER_HOST: Duration = Duration::from_micros(400);
/// Time between two reports to all relays while nothing changes. It must be less than a
/// second, after which a relay takes the host to have stopped.
const IDLE_PERIOD: Duration = Duration::from_millis(200);
/// Number of the host's own digests that are kept, since a sum may still include them.
const MAX_KEPT_DIGESTS: usize = 64;

/// State of a host's reports: what was sent and what is due.
struct Reporter {
    host: u64,
    // Number of the last digest.
    number: u32,
    // The last digests' loads, by number.
    digests: VecDeque<(u32, Vec<(Key, Load)>)>,
    relays: Relays,
    // When the last report was sent to all relays, and whether loads have changed since.
    all_sent_at: Mono,
    has_changes: bool,
    // When the last report was sent to the relay that is followed closely, and whether
    // loads have changed since.
    close_sent_at: Mono,
    is_close_due: bool,
    // When all limits were last sent.
    limits_sent_at: Mono,
    // When observations were last reported, the number of that report, and how many
    // upstreams it had.
    paces_sent_at: Mono,
    paces_number: u32,
    paces_count: usize,
}

impl Reporter {
    /// Returns the loads of the digest with this number, or none if it isn't kept any more.
    fn loads_of_digest(&self, number: u32) -> &[(Key, Load)] {
        let mut digests = self.digests.iter();
        let found = digests.find(|(other, _)| *other == number);
        found.map_or(&[], |(_, loads)| loads)
    }

    /// Makes the next digest of these loads, and keeps them for sums that include it.
    fn digest(&mut self, loads: Vec<(Key, Load)>) -> Digest {
        self.number = self.number.wrapping_add(1).max(1);
        self.digests.truncate(MAX_KEPT_DIGESTS - 1);
        self.digests.push_front((self.number, loads.clone()));
        Digest {
            host: self.host,
            number: self.number,
            listens: Subscription::No,
            loads,
        }
    }
}

/// Exchanges reports with the relays until the process ends. `configured` are the relays
/// of the settings.
pub(crate) async fn run<D>(
    worker: Rc<Worker<D>>,
    socket: UdpSocket,
    configured: Vec<SocketAddr>,
    host: u64,
) where
    D: Dialect,
{
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut reporter = Reporter {
        host,
        number: 0,
        digests: VecDeque::new(),
        relays: Relays::default(),
        all_sent_at: Mono::ZERO,
        has_changes: false,
        close_sent_at: Mono::ZERO,
        is_close_due: false,
        limits_sent_at: Mono::ZERO,
        paces_sent_at: Mono::ZERO,
        paces_number: 0,
        paces_count: 0,
    };
    let socket = Rc::new(socket);
    worker.permits.set_socket(Rc::clone(&socket));
    loop {
        let now = clock::mono();
        let all_due = reporter.all_sent_at + period(&worker, &reporter, now);
        let due = match reporter.is_close_due {
            true => all_due.min(reporter.close_sent_at + MIN_CLOSE_PERIOD),
            false => all_due,
        };
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // An error means that a relay has stopped. The other relays get each report
                // too.
                let Ok((length, from)) = received else { continue };
                receive_datagram(&worker, &mut reporter, from, &buffer[..length]);
            }
            () = worker.load_changed.notified(), if !reporter.is_close_due => {
                reporter.is_close_due = true;
                reporter.has_changes = true;
            }
            () = worker.suspicion.noticed() => {
                send_losses(&worker, &socket, &configured).await;
            }
            () = worker.permits.wait_for_change() => {
                let news = worker.permits.take_changed();
                send_limits(&worker, &socket, &configured, &news).await;
            }
            () = sleep(due.since(now)) => {
                let woken = clock::mono();
                let is_all = woken >= all_due;
                if due > now {
                    worker.pacing.record_late_timer(woken, woken.since(due));
                }
                send_reports(&worker, &socket, &configured, &mut reporter, is_all).await;
            }
        }
    }
}

/// Returns the time between two reports to all relays at present.
fn period<D>(worker: &Worker<D>, reporter: &Reporter, now: Mono) -> Duration
where
    D: Dialect,
{
    let load = worker.load.borrow();
    match reporter.has_changes || load.is_reading() {
        true => report_interval(load.other_hosts(now)),
        false => IDLE_PERIOD,
    }
}

/// Returns the time between two reports to all relays of a host with work in progress,
/// given the number of other hosts.
pub fn report_interval(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let shared = PERIOD_PER_HOST.saturating_mul(hosts);
    MIN_PERIOD.max(shared).min(IDLE_PERIOD)
}

/// Sends those of these limits that are known to all relays.
async fn send_limits<D>(
    worker: &Worker<D>,
    socket: &UdpSocket,
    configured: &[SocketAddr],
    keys: &[Key],
) where
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
    for to in relay_addresses(configured, &worker.node.view().get().sources) {
        send(socket, to, &Message::Limits(limits.clone())).await;
    }
}

/// Reports to all relays which requests were lost with upstreams, or answered after that.
async fn send_losses<D>(worker: &Worker<D>, socket: &UdpSocket, configured: &[SocketAddr])
where
    D: Dialect,
{
    let relays = relay_addresses(configured, &worker.node.view().get().sources);
    for message in worker.suspicion.take_news() {
        for to in &relays {
            send(socket, *to, &message).await;
        }
    }
}

/// Sends a report to the relay that is followed closely or, if `is_all`, to every relay,
/// and to other hosts while no relay answers.
async fn send_reports<D>(
    worker: &Worker<D>,
    socket: &UdpSocket,
    configured: &[SocketAddr],
    reporter: &mut Reporter,
    is_all: bool,
) where
    D: Dialect,
{
    let now = clock::mono();
    let loads = worker.load.borrow().own_loads(now);
    let digest = reporter.digest(loads);
    let all = relay_addresses(configured, &worker.node.view().get().sources);
    let listened = reporter.relays.choose_relays(now, &all, reporter.host);
    reporter.close_sent_at = now;
    reporter.is_close_due = false;
    worker
        .permits
        .set_relay_order(listened.iter().map(|(relay, _)| *relay), &all);
    if is_all && now.since(reporter.limits_sent_at) >= REPEAT_PERIOD {
        reporter.limits_sent_at = now;
        let limited = worker.limits.borrow().limited_keys();
        send_limits(worker, socket, configured, &limited).await;
    }
    worker.suspicion.repeat_reports(now);
    if is_all {
        reporter.all_sent_at = now;
        reporter.has_changes = false;
        if let Some(report) = worker.due_share_report(now) {
            let message = Message::Shares(report);
            for to in &all {
                send(socket, *to, &message).await;
            }
        }
        if let Some(refused) = worker.suspicion.due_refusals(now) {
            let message = Message::PartSuspects(refused);
            for to in &all {
                send(socket, *to, &message).await;
            }
        }
        if worker.features.observed_pace {
            let closely = listened.first().map(|(relay, _)| *relay);
            send_paces(worker, socket, reporter, &all, closely).await;
        }
    }
    let directly = reporter.relays.direct_peers(now);
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

/// Reports to all relays what this host observed of upstreams, if that is due. `closely` is
/// the relay that this host asks for the observations of all hosts.
async fn send_paces<D>(
    worker: &Worker<D>,
    socket: &UdpSocket,
    reporter: &mut Reporter,
    relays: &[SocketAddr],
    closely: Option<SocketAddr>,
) where
    D: Dialect,
{
    let now = clock::mono();
    if now.since(reporter.paces_sent_at) < report_period(reporter.paces_count) {
        return;
    }
    let paces = worker.own_paces(now);
    let is_quiet = paces.is_empty() && reporter.paces_count == 0;
    if is_quiet && now.since(reporter.paces_sent_at) < IDLE_REPORT_PERIOD {
        return;
    }
    reporter.paces_sent_at = now;
    reporter.paces_number = reporter.paces_number.wrapping_add(1);
    reporter.paces_count = paces.len();
    for to in relays {
        let report = Observation {
            host: reporter.host,
            number: reporter.paces_number,
            follows: closely == Some(*to),
            paces: paces.clone(),
        };
        send(socket, *to, &Message::Observed(report)).await;
    }
}

fn receive_datagram<D>(worker: &Worker<D>, reporter: &mut Reporter, from: SocketAddr, bytes: &[u8])
where
    D: Dialect,
{
    let now = clock::mono();
    let read = postcard::take_from_bytes(bytes).and_then(|(message, rest)| match message {
        Message::Sum { included } => {
            let sum: Sum = postcard::from_bytes(rest)?;
            reporter.relays.receive(now, from, sum.hosts);
            worker.suspicion.record_relay(now);
            let own = reporter.loads_of_digest(included);
            worker.load.borrow_mut().receive_sum(now, from, sum, own);
            Ok(())
        }
        Message::Beacon { hosts } => {
            reporter.relays.receive(now, from, hosts);
            worker.suspicion.record_relay(now);
            Ok(())
        }
        Message::Introduction(introduction) => {
            reporter
                .relays
                .receive_introduction(now, from, &worker.domain, &introduction);
            Ok(())
        }
        Message::Tell(digest) => {
            let mut load = worker.load.borrow_mut();
            load.receive_report(now, digest.host, digest.loads);
            Ok(())
        }
        Message::Limits(limits) => {
            for limit in limits {
                worker.learn_relayed_limit(limit.key, limit.notice(now));
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
        Message::PartSuspects(suspects) => {
            worker.suspicion.receive_parts(now, &suspects);
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
        | Message::LostParts(_)
        | Message::Answered(_)
        | Message::Harmless(_)
        | Message::Shares(_)
        | Message::Observed(_) => {
            tracing::debug!(%from, "message for relays received by a host, ignored");
            Ok(())
        }
    });
    if let Err(error) = read {
        tracing::debug!(%from, %error, "datagram can't be decoded");
    }
}

/// Returns the relays: those of the settings, and one beside each present replica, on the
/// same port.
fn relay_addresses(configured: &[SocketAddr], replicas: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut relays = configured.to_vec();
    if let Some(port) = configured.first().map(SocketAddr::port) {
        let beside = replicas
            .iter()
            .map(|replica| SocketAddr::new(replica.ip(), port));
        relays.extend(beside);
    }
    relays.sort_unstable();
    relays.dedup();
    relays
}
