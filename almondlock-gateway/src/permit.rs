//! Permits to send requests to upstreams whose rate is limited for all hosts. Relays issue
//! them on request.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use almondlock_base::{id::Service, time::Mono};
use almondlock_node::clock;
use almondlock_policy::throttle::{Bound, Notice, Rate, Selector, Stagger};
use tokio::{
    net::UdpSocket,
    sync::{Notify, oneshot},
    time::timeout,
};

use crate::{
    exchange::{Limit, Message, Permit, Query, send},
    load::Key,
};

/// Time allowed for a relay to answer: a round trip and one turn of its process. A fraction
/// of the shortest objectives.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);

/// Result of a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The request may be sent.
    Granted,
    /// The relay has no permit until this much later.
    Refused(Duration),
    /// The relay did not answer in time.
    Unanswered,
}

impl Outcome {
    /// Returns the word used in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Outcome::Granted => "granted",
            Outcome::Refused(_) => "refused",
            Outcome::Unanswered => "unanswered",
        }
    }
}

/// A host's requests for permits.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    /// Socket shared with the exchange task, which receives the answers.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    /// Relays, in the order in which they are asked.
    relays: RefCell<Vec<SocketAddr>>,
    /// When each relay may have a permit again.
    waits: RefCell<Selector<Key, SocketAddr>>,
    /// Requests that wait for an answer, by number. Invariant: a request that was given up
    /// is not listed, so that nobody uses its permit.
    pending: RefCell<HashMap<u32, oneshot::Sender<Permit>>>,
    /// Number of the latest request.
    last_number: Cell<u32>,
    /// Return times given to refused callers, by service.
    returns: RefCell<HashMap<Service, Stagger>>,
    /// Upstreams whose limits this host saw change, to be reported to relays.
    changed: RefCell<BTreeSet<Key>>,
    /// Signals that `changed` has a new entry.
    change_signal: Notify,
}

impl Permits {
    /// Sets the socket on which requests are sent.
    pub(crate) fn set_socket(&self, socket: Rc<UdpSocket>) {
        *self.socket.borrow_mut() = Some(socket);
    }

    /// Sets the order in which relays are asked: first those that this host listens to,
    /// then the others.
    pub(crate) fn set_relay_order<I>(&self, listened: I, all: &[SocketAddr])
    where
        I: Iterator<Item = SocketAddr>,
    {
        let mut relays: Vec<SocketAddr> = listened.collect();
        let others = all.iter().filter(|relay| !relays.contains(relay));
        let others: Vec<SocketAddr> = others.copied().collect();
        relays.extend(others);
        *self.relays.borrow_mut() = relays;
    }

    /// Records that this host saw a limit change.
    pub(crate) fn note_change(&self, key: Key) {
        self.changed.borrow_mut().insert(key);
        self.change_signal.notify_one();
    }

    /// Waits until a limit has changed.
    pub(crate) async fn wait_for_change(&self) {
        self.change_signal.notified().await;
    }

    /// Returns the upstreams whose limits changed since the last call.
    pub(crate) fn take_changed(&self) -> Vec<Key> {
        self.changed.take().into_iter().collect()
    }

    /// Returns whether a relay may have a permit now.
    pub(crate) fn is_open(&self, now: Mono, key: Key) -> bool {
        let relays = self.relays.borrow();
        self.waits.borrow().next_relay(now, &key, &relays).is_some()
    }

    /// Returns the time until a relay may have a permit.
    pub(crate) fn time_until_open(&self, now: Mono, key: Key) -> Duration {
        self.waits
            .borrow()
            .time_to_permit(now, &key, &self.relays.borrow())
    }

    /// Returns when a caller should try again that found every upstream of a service at its
    /// limit.
    pub(crate) fn retry_after(
        &self,
        now: Mono,
        service: &Service,
        opens: Duration,
        share: (Rate, u32),
        patience: Duration,
    ) -> Duration {
        let mut returns = self.returns.borrow_mut();
        let returns = returns.entry(service.clone()).or_default();
        returns.next_retry(now, opens, share, patience)
    }

    /// Passes a relay's answer to the request that waits for it.
    pub(crate) fn handle_answer(&self, permit: &Permit) {
        if let Some(waiting) = self.pending.borrow_mut().remove(&permit.number) {
            // The request may have been given up; its permit is then unused.
            let _ = waiting.send(*permit);
        }
    }

    /// Requests a permit to send one request, from a relay that may have one. Returns
    /// `None` if there is no such relay.
    pub(crate) async fn request_permit(
        &self,
        key: Key,
        bound: &Bound,
    ) -> Option<(SocketAddr, Outcome)> {
        let now = clock::mono();
        let socket = self.socket.borrow().clone()?;
        let relays = self.relays.borrow().clone();
        let relay = self.waits.borrow().next_relay(now, &key, &relays)?;
        let number = self.last_number.get().wrapping_add(1);
        self.last_number.set(number);
        let (sender, answer) = oneshot::channel();
        self.pending.borrow_mut().insert(number, sender);
        let ask = Query {
            number,
            limit: Limit::of(now, key, &bound.named.unwrap_or(Notice::NONE)),
            cold: bound.cold,
        };
        send(&socket, relay, &Message::Ask(ask)).await;
        let answer = timeout(ANSWER_TIMEOUT, answer).await;
        self.pending.borrow_mut().remove(&number);
        let outcome = match answer {
            Ok(Ok(Permit { wait_ms: None, .. })) => Outcome::Granted,
            Ok(Ok(Permit {
                wait_ms: Some(wait),
                ..
            })) => Outcome::Refused(Duration::from_millis(wait.into())),
            Ok(Err(_)) | Err(_) => Outcome::Unanswered,
        };
        let mut waits = self.waits.borrow_mut();
        match outcome {
            Outcome::Granted => {}
            Outcome::Refused(wait) => waits.note_refusal(clock::mono(), &key, relay, wait),
            Outcome::Unanswered => waits.note_no_answer(clock::mono(), relay),
        }
        Some((relay, outcome))
    }
}
