//! Refuses requests that upstreams were lost with, and reports such losses to the relays.
//!
//! **Failure.** A request crashes each upstream that runs it, and its caller sends it again
//! through other hosts; or different requests do, which have a part of their prompts in
//! common. Each host by itself sees one or two upstreams lost, which also happens without
//! such a request, and the fleet loses one upstream after the other. So hosts report losses
//! to the relays, which count them over all hosts ([`almondlock_policy::poison::tally`]).
//!
//! What the host itself makes of it is decided by [`almondlock_policy::poison::host`].

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    iter,
    time::Duration,
};

use almondlock_base::{
    Code,
    id::{Fingerprint, Organisation, Upstream},
    time::Mono,
};
use almondlock_node::clock;
use almondlock_policy::poison::{
    host::{Heard, Host},
    profile::{Profile, Rule},
    tally::{self, Count, Status},
};
use almondlock_state::instance::Birth;
use tokio::sync::Notify;

use crate::{
    attempt::Fault,
    dialect::Dialect,
    exchange::{Loss, MAX_PART_SUSPECTS, Message, PartLoss, PartSuspect, Suspect},
    load::Key,
    request::{Refusal, Request},
    worker::Worker,
};

/// Maximum number of messages that wait to be sent. Further losses are not reported.
const MAX_QUEUED: usize = 256;
/// Time after which a loss is reported a second time, in case a datagram was lost.
const REPEAT_TIME: Duration = Duration::from_millis(300);
/// Time after which the relays are told again what this host refuses.
const REFUSAL_PERIOD: Duration = Duration::from_secs(1);
/// Organisation of requests without a key, for fingerprints.
const PUBLIC: &str = "public";

/// A loss that the relays are told of.
#[derive(Clone, Debug)]
struct Report {
    loss: PartLoss,
    sent: Mono,
    repeat_at: Mono,
}

/// The suspected requests that a host knows, and its messages to the relays.
#[derive(Debug)]
pub(crate) struct Suspicion {
    host: RefCell<Host<(Key, Birth)>>,
    messages: RefCell<Vec<Message>>,
    /// Losses that were reported once.
    reported: RefCell<VecDeque<Report>>,
    noticed: Notify,
    /// When the relays were last told what is refused.
    refusals_told: Cell<Mono>,
}

impl Suspicion {
    /// Knows nothing. `host_number` tells hosts apart.
    pub(crate) fn new(host_number: u64) -> Suspicion {
        Suspicion {
            host: RefCell::new(Host::new(host_number)),
            messages: RefCell::default(),
            reported: RefCell::default(),
            noticed: Notify::new(),
            refusals_told: Cell::new(Mono::ZERO),
        }
    }

    /// Records that a relay was heard.
    pub(crate) fn record_relay(&self, now: Mono) {
        self.host.borrow_mut().record_relay(now);
    }

    /// Takes in the state of suspected requests from a relay.
    pub(crate) fn receive(&self, now: Mono, suspects: &[Suspect]) {
        for suspect in suspects {
            let rule = Rule {
                organisation: None,
                prints: vec![suspect.print],
            };
            self.take_in(now, suspect, rule);
        }
    }

    /// Like [`Suspicion::receive`], for requests with something in common.
    pub(crate) fn receive_parts(&self, now: Mono, suspects: &[PartSuspect]) {
        for suspect in suspects {
            self.take_in(now, &suspect.suspect, suspect.rule());
        }
    }

    fn take_in(&self, now: Mono, suspect: &Suspect, rule: Rule) {
        let status = match suspect.refused_ms {
            Some(left) => Status::Refused(Duration::from_millis(left.into())),
            None if suspect.watched => Status::Watched,
            None => Status::Clear,
        };
        let prints = rule.prints.len();
        let mut host = self.host.borrow_mut();
        let heard = host.receive(now, suspect.print, rule, status);
        drop(host);
        match heard {
            Heard::Refused => tracing::warn!(
                fingerprint = %suspect.print, for_ms = suspect.refused_ms, prints,
                source = "relay", "requests refused that upstreams were lost with"
            ),
            Heard::Answered => self.enqueue(Message::Answered(suspect.print)),
            Heard::Known => {}
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

    /// Queues the losses that are due to be reported a second time.
    pub(crate) fn repeat_reports(&self, now: Mono) {
        while let Some(report) = self.take_due_report(now) {
            self.enqueue_loss(now, &report);
        }
    }

    fn take_due_report(&self, now: Mono) -> Option<Report> {
        let mut reported = self.reported.borrow_mut();
        let first = reported.front()?;
        let is_due = now >= first.repeat_at;
        if is_due { reported.pop_front() } else { None }
    }

    /// Returns what this host refuses, if there is anything and the relays are due to be told.
    pub(crate) fn due_refusals(&self, now: Mono) -> Option<Vec<PartSuspect>> {
        if now.since(self.refusals_told.get()) < REFUSAL_PERIOD {
            return None;
        }
        self.refusals_told.set(now);
        let refused = self.host.borrow().refused(now).into_iter();
        let refused = refused.take(MAX_PART_SUSPECTS);
        let refused = refused.map(|(print, rule, left)| PartSuspect {
            suspect: Suspect {
                print,
                refused_ms: Some(millis(left)),
                watched: false,
            },
            organisation: rule.organisation,
            prints: rule.prints,
        });
        let refused: Vec<PartSuspect> = refused.collect();
        (!refused.is_empty()).then_some(refused)
    }

    fn report(&self, now: Mono, loss: PartLoss, sent: Mono) {
        let report = Report {
            loss,
            sent,
            repeat_at: now + REPEAT_TIME,
        };
        self.enqueue_loss(now, &report);
        let mut reported = self.reported.borrow_mut();
        if reported.len() < MAX_QUEUED {
            reported.push_back(report);
        }
    }

    fn enqueue_loss(&self, now: Mono, report: &Report) {
        let mut loss = report.loss.clone();
        loss.loss.age_ms = millis(now.since(report.sent));
        self.enqueue(Message::Lost(loss.loss));
        if !loss.parts.is_empty() {
            self.enqueue(Message::LostParts(loss));
        }
    }

    /// Queues a message to the relays.
    fn enqueue(&self, message: Message) {
        let mut messages = self.messages.borrow_mut();
        if messages.len() < MAX_QUEUED {
            messages.push(message);
            self.noticed.notify_one();
        }
    }
}

impl Request {
    /// Returns hashes of the prompt's parts that other prompts may share.
    fn part_prints(&self) -> impl Iterator<Item = Fingerprint> {
        let parts = self.parts.iter();
        parts.map(|part| Fingerprint::of_part(&self.service, part))
    }

    /// Returns what the request can be recognised by: a hash of what its copies have in
    /// common (caller, method, path and body), then those of its prompt's parts.
    fn profile(&self) -> Option<&Profile> {
        let profile = self.profile.get_or_init(|| {
            let name = self.organisation.as_ref().map_or(PUBLIC, |o| &*o.name);
            let organisation = Organisation::new(name).ok()?;
            let path = format!("{} {}{}", self.method, self.host, self.path_and_query);
            let whole = Fingerprint::new(&organisation, &path, &self.body);
            Some(Profile {
                organisation: Fingerprint::of_organisation(&organisation),
                prints: iter::once(whole).chain(self.part_prints()).collect(),
            })
        });
        profile.as_ref()
    }
}

impl<D> Worker<D>
where
    D: Dialect,
{
    /// Refuses a request that upstreams were lost with, or others that it has something in
    /// common with.
    pub(crate) fn refuse_suspect(&self, request: &Request, now: Mono) -> Option<Refusal> {
        let host = &self.suspicion.host;
        if host.borrow().is_idle(now) {
            return None;
        }
        let profile = request.profile()?;
        let refused = host.borrow_mut().refusal(now, profile)?;
        let mut ids = request.parts.iter().zip(profile.prints.iter().skip(1));
        let part = ids.find(|(_, print)| **print == refused.print);
        tracing::info!(
            request = %request.id, fingerprint = %profile.prints[0],
            parts = %request.parts.join(","), part = part.map_or("none", |(id, _)| &**id),
            counted = %refused.print, left_ms = refused.left.as_millis(),
            source = ?refused.source, "refused, upstreams were lost with it"
        );
        Some(Refusal {
            code: Code::RequestSuspected,
            retry_after: Some(self.retry_after(request, Some(refused.left), now)),
        })
    }

    /// Returns whether a request that was lost may run again: no part of its prompt is
    /// suspected.
    pub(crate) fn may_run_again(&self, request: &Request, now: Mono) -> bool {
        if request.parts.is_empty() {
            return true;
        }
        let Some(profile) = request.profile() else {
            return true;
        };
        let may_run = self.suspicion.host.borrow_mut().may_run_again(now, profile);
        if !may_run {
            tracing::info!(
                request = %request.id, fingerprint = %profile.prints[0],
                parts = %request.parts.join(","), "not sent again, upstreams were lost with it"
            );
        }
        may_run
    }

    /// Reports to the relays that an upstream was lost with a request, if that is how the
    /// attempt failed. `sent` is when the attempt was sent.
    pub(crate) fn report_loss(&self, request: &Request, broken: &Fault, sent: Mono) {
        let (true, Some(upstream)) = (broken.is_connection_lost, &broken.upstream) else {
            return;
        };
        let Some(profile) = request.profile() else {
            return;
        };
        let now = clock::mono();
        let (key, birth) = (Key::of(upstream), self.birth(upstream));
        let lost = tally::Loss {
            profile,
            life: (key, birth),
            sent,
        };
        let (count, parts) = self.suspicion.host.borrow_mut().record_loss(now, &lost);
        let age = now.since(sent);
        let ids = request.parts.iter().zip(profile.prints.iter().skip(1));
        let unanswered = ids.filter(|(_, print)| parts.contains(print));
        let unanswered: Vec<String> = unanswered.map(|(id, p)| format!("{id}={p}")).collect();
        tracing::info!(
            request = %request.id, fingerprint = %profile.prints[0],
            parts = %request.parts.join(","), unanswered = %unanswered.join(","), %upstream,
            age_ms = age.as_millis(), ?count, "upstream lost with a request"
        );
        let label = format!("route=\"{}\"", request.route.name);
        self.shared.metrics.count("upstreams_lost", &label);
        // Relays that have started anew don't know which lives were lost before.
        if count == Count::DeadAlready {
            return;
        }
        let loss = PartLoss {
            loss: Loss {
                print: profile.prints[0],
                key,
                birth,
                age_ms: millis(age),
            },
            organisation: profile.organisation,
            parts,
        };
        self.suspicion.report(now, loss, sent);
    }

    /// Takes in that a request was answered, by one upstream from the beginning to the end,
    /// and reports it to the relays if the request is suspected.
    pub(crate) fn clear_suspect(&self, request: &Request) {
        let now = clock::mono();
        let host = &self.suspicion.host;
        host.borrow_mut().record_parts(now, request.part_prints());
        if host.borrow().is_told_nothing() {
            return;
        }
        if let Some(profile) = request.profile() {
            let suspected = host.borrow_mut().record_answer(now, profile);
            for print in suspected {
                self.suspicion.enqueue(Message::Harmless(print));
            }
        }
    }

    /// Returns the start of an upstream's process, as far as it is known.
    fn birth(&self, upstream: &Upstream) -> Birth {
        let config = self.node.view().get();
        let known = config.instances.get(upstream);
        known.map(|known| known.birth).unwrap_or_default()
    }
}

fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
