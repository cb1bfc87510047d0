//! Refuses requests that upstreams were lost with, and reports such losses to the relays.
//!
//! **Failure.** A request crashes each upstream that runs it, and its caller sends it again
//! through other hosts. Each host by itself sees one or two upstreams lost, which also
//! happens without such a request, and the fleet loses one upstream after the other. So
//! hosts report losses to the relays, which count them over all hosts
//! ([`almondlock_policy::poison::tally`]).

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    time::Duration,
};

use almondlock_base::{
    id::{Fingerprint, Organisation, Upstream},
    time::Mono,
};
use almondlock_node::clock;
use tokio::sync::Notify;

use crate::{
    attempt::Fault,
    dialect::Dialect,
    exchange::{Loss, Message, Suspect},
    load::Key,
    request::{Refusal, Request},
    worker::Worker,
};

/// Maximum number of requests that this host watches, and of those that it refuses.
const MAX_TRACKED: usize = 4_096;
/// Maximum number of messages that wait to be sent. Further losses are not reported.
const MAX_QUEUED: usize = 256;
/// Organisation of requests without a key, for fingerprints.
const PUBLIC: &str = "public";

/// The suspected requests that a host knows, and its messages to the relays.
#[derive(Debug, Default)]
pub(crate) struct Suspicion {
    /// Refused requests, with the time until which they are refused.
    refused: RefCell<HashMap<Fingerprint, Mono>>,
    /// Requests whose answer is reported to the relays. Many are abandoned and never
    /// answered.
    watched: RefCell<HashSet<Fingerprint>>,
    messages: RefCell<Vec<Message>>,
    noticed: Notify,
}

impl Suspicion {
    /// Takes in the state of suspected requests from a relay.
    pub(crate) fn receive(&self, now: Mono, suspects: &[Suspect]) {
        let (mut refused, mut watched) = (self.refused.borrow_mut(), self.watched.borrow_mut());
        refused.retain(|_, until| now < *until);
        for suspect in suspects {
            if let Some(left) = suspect.refused_ms {
                let until = now + Duration::from_millis(left.into());
                if refused.len() < MAX_TRACKED && refused.insert(suspect.print, until).is_none() {
                    tracing::warn!(
                        fingerprint = %suspect.print, for_ms = left, source = "relay",
                        "requests refused that upstreams were lost with"
                    );
                }
            }
            match suspect.watched {
                true => add_watched(&mut watched, suspect.print),
                false => {
                    watched.remove(&suspect.print);
                }
            }
        }
    }

    /// Waits until there are messages to send.
    pub(crate) async fn noticed(&self) {
        self.noticed.notified().await;
    }

    /// Returns and removes the messages to send.
    pub(crate) fn take_news(&self) -> Vec<Message> {
        self.messages.take()
    }

    /// Queues a message to the relays.
    fn enqueue(&self, message: Message) {
        let mut messages = self.messages.borrow_mut();
        if messages.len() < MAX_QUEUED {
            messages.push(message);
            self.noticed.notify_one();
        }
    }

    fn is_idle(&self) -> bool {
        self.refused.borrow().is_empty() && self.watched.borrow().is_empty()
    }

    /// Returns for how long a request is still refused.
    fn refusal(&self, now: Mono, print: &Fingerprint) -> Option<Duration> {
        let refused = self.refused.borrow();
        let left = refused.get(print)?.since(now);
        (!left.is_zero()).then_some(left)
    }
}

impl Request {
    /// Returns a hash of what copies of the request have in common: caller, method, path
    /// and body.
    fn fingerprint(&self) -> Option<Fingerprint> {
        let name = self.organisation.as_ref().map_or(PUBLIC, |o| &*o.name);
        let organisation = Organisation::new(name).ok()?;
        let path = format!("{} {}{}", self.method, self.host, self.path_and_query);
        Some(Fingerprint::new(&organisation, &path, &self.body))
    }
}

impl<D> Worker<D>
where
    D: Dialect,
{
    /// Refuses a request that upstreams were lost with.
    pub(crate) fn refuse_suspect(&self, request: &Request, now: Mono) -> Option<Refusal> {
        if self.suspicion.is_idle() {
            return None;
        }
        let print = request.fingerprint()?;
        let left = self.suspicion.refusal(now, &print)?;
        tracing::info!(
            request = %request.id, fingerprint = %print, left_ms = left.as_millis(),
            "refused, upstreams were lost with it"
        );
        Some(Refusal {
            code: almondlock_base::Code::RequestSuspected,
            retry_after: Some(self.retry_after(request, Some(left), now)),
        })
    }

    /// Reports to the relays that an upstream was lost with a request, if that is how the
    /// attempt failed. `since` is when the attempt was sent.
    pub(crate) fn report_loss(&self, request: &Request, broken: &Fault, since: Mono) {
        let (true, Some(upstream)) = (broken.is_connection_lost, &broken.upstream) else {
            return;
        };
        let Some(print) = request.fingerprint() else {
            return;
        };
        let age = clock::mono().since(since);
        tracing::info!(
            request = %request.id, fingerprint = %print, parts = %request.parts.join(","),
            %upstream, age_ms = age.as_millis(), "upstream lost with a request"
        );
        let label = format!("route=\"{}\"", request.route.name);
        self.shared.metrics.count("upstreams_lost", &label);
        let loss = Loss {
            print,
            key: Key::of(upstream),
            birth: self.birth(upstream),
            age_ms: age_ms(age),
        };
        add_watched(&mut self.suspicion.watched.borrow_mut(), print);
        self.suspicion.enqueue(Message::Lost(loss));
    }

    /// Reports to the relays that a watched request was answered.
    pub(crate) fn clear_suspect(&self, request: &Request) {
        if self.suspicion.watched.borrow().is_empty() {
            return;
        }
        let print = request.fingerprint();
        let watched = print.filter(|print| self.suspicion.watched.borrow_mut().remove(print));
        if let Some(print) = watched {
            self.suspicion.enqueue(Message::Harmless(print));
        }
    }

    /// Returns the start of an upstream's process, as far as it is known.
    fn birth(&self, upstream: &Upstream) -> almondlock_state::instance::Birth {
        let config = self.node.view().get();
        let known = config.instances.get(upstream);
        known.map(|known| known.birth).unwrap_or_default()
    }
}

/// Adds a request to the watched ones. If there is no room, all others are forgotten;
/// relays periodically send again those that matter.
fn add_watched(watched: &mut HashSet<Fingerprint>, print: Fingerprint) {
    if watched.len() >= MAX_TRACKED {
        watched.clear();
    }
    watched.insert(print);
}

fn age_ms(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
