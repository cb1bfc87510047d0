//! Applies fair shares to requests: counts what organisations have in flight, and ranks
//! requests of organisations that are over their share of the engines behind others.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use almondlock_base::{id::Service, time::Mono};
use almondlock_policy::share::{Capacity, Resource, Standing, demoted_rank};

use crate::{
    dialect::Dialect,
    exchange::shares::{Envelope, PERIOD, Report, Tag},
    load::Key,
    request::{LAST_RANK, Request},
    rules::Organisation,
    share::{Claim, Finding, Findings, Ledger, Notices, OTHERS},
    worker::Worker,
};

/// Maximum number of refused requests that count as waiting. Beyond it the oldest are
/// dropped.
const MAX_REFUSED: usize = 256;
/// Maximum time for which a refused request counts as waiting, since its caller may not
/// return.
const MAX_RETURN_WAIT: Duration = Duration::from_secs(1);

/// What this host knows of organisations' shares.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    ledger: Ledger,
    known: RefCell<Findings>,
    /// Claims of refused requests, each with the time at which it ends.
    refused: RefCell<VecDeque<(Mono, Claim)>>,
    /// Ranks of the kinds of requests that came, one bit each, by service.
    kinds: RefCell<HashMap<Service, u16>>,
    /// Time and number of the last report, and whether it was empty.
    reported: Cell<(Mono, u32, bool)>,
    notices: RefCell<Notices>,
}

impl<D> Worker<D>
where
    D: Dialect,
{
    /// Returns whether a request's organisation is over its share of the service's engines.
    pub(crate) fn standing(&self, now: Mono, request: &Request) -> Standing {
        self.finding(now, request)
            .map_or(Standing::Within, |finding| Standing::Over {
                by: finding.excess.ratio(),
            })
    }

    /// Returns the rank of a request at an engine. It is one further back if the request's
    /// organisation is over its share, but never that of a less urgent kind.
    pub(crate) fn priority(&self, request: &Request, now: Mono) -> u32 {
        let own = request.priority();
        if self.accounted_organisation(request).is_none() {
            return own;
        }
        let kind = request.kind_rank();
        let kinds = {
            let mut all = self.shares.kinds.borrow_mut();
            let kinds = all.entry(request.service.clone()).or_default();
            *kinds |= 1 << kind;
            *kinds
        };
        if self.finding(now, request).is_none() {
            return own;
        }
        let behind = demoted_rank(own, kind, kinds, LAST_RANK);
        if behind != own {
            self.note_deprioritised(request, now, "ranked behind");
        }
        behind
    }

    /// Counts a request that is sent to engines, until the claim is dropped.
    pub(crate) fn claim_sent(&self, request: &Request) -> Option<Claim> {
        let organisation = self.accounted_organisation(request)?;
        let reading = self.reading(request)?;
        let ledger = &self.shares.ledger;
        Some(ledger.claim_sent(request.service.as_str(), &organisation.name, reading))
    }

    /// Counts a request that waits for a resource, until the claim is dropped.
    pub(crate) fn claim_waiting(&self, request: &Request, resource: Resource) -> Option<Claim> {
        let organisation = self.accounted_organisation(request)?;
        let (service, name) = (request.service.as_str(), &organisation.name);
        let ledger = &self.shares.ledger;
        match resource {
            Resource::Slots => Some(ledger.claim_slot_wait(service, name)),
            Resource::Reading => {
                let reading = self.reading(request)?;
                Some(ledger.claim_reading_wait(service, name, reading))
            }
        }
    }

    /// Counts a refused request, whose caller was told to return, as waiting for a
    /// resource.
    pub(crate) fn note_refused(
        &self,
        request: &Request,
        resource: Resource,
        now: Mono,
        returns: Option<Duration>,
    ) {
        let Some(claim) = self.claim_waiting(request, resource) else {
            return;
        };
        let until = now + returns.unwrap_or(MAX_RETURN_WAIT).min(MAX_RETURN_WAIT);
        let mut refused = self.shares.refused.borrow_mut();
        if refused.len() >= MAX_REFUSED {
            refused.pop_front();
        }
        refused.push_back((until, claim));
    }

    /// Returns the reading time of a request's prompt on all engines together.
    fn reading(&self, request: &Request) -> Option<Duration> {
        let known = self.snapshot();
        let service = known.rules.as_ref()?.service(&request.service)?;
        let speed = service.engine.as_ref()?;
        Some(speed.reading_time(request.demand?.prompt))
    }

    /// Logs and counts a request that is served after others because its organisation is
    /// over its share. `action` says what was done.
    pub(crate) fn note_deprioritised(&self, request: &Request, now: Mono, action: &str) {
        let organisation = self.accounted_organisation(request);
        let Some((organisation, finding)) = organisation.zip(self.finding(now, request)) else {
            return;
        };
        let (label, suppressed) = {
            let mut notices = self.shares.notices.borrow_mut();
            let label = notices.label(&organisation.name, finding.place);
            let label = format!("organisation=\"{label}\"");
            (label, notices.allow_line(now))
        };
        self.shared.metrics.count("deprioritised", &label);
        let Some(suppressed) = suppressed else {
            return;
        };
        let excess = &finding.excess;
        tracing::info!(
            request = %request.id, organisation = %organisation.name, action,
            resource = excess.resource.as_str(), used = excess.used, share = excess.share,
            age_ms = finding.age.as_millis(), behind = %self.name_behind(excess.least_served), suppressed,
            "deprioritised"
        );
    }

    /// Returns this host's report to the relays, if one is due.
    pub(crate) fn due_share_report(&self, now: Mono) -> Option<Envelope> {
        let (at, number, was_empty) = self.shares.reported.get();
        if !self.are_shares_in_force() || now.since(at) < PERIOD {
            return None;
        }
        self.shares
            .refused
            .borrow_mut()
            .retain(|(until, _)| now < *until);
        let counts = self.shares.ledger.counts();
        let (number, is_empty) = (number.wrapping_add(1), counts.is_empty());
        self.shares.reported.set((now, number, is_empty));
        let report = Report {
            host: self.host_number,
            number,
            counts,
        };
        // An empty report is sent once.
        (!is_empty || !was_empty && number > 1)
            .then(|| Envelope::encode(&report))
            .flatten()
    }

    /// Takes in a relay's sums over all hosts.
    pub(crate) fn receive_totals(&self, now: Mono, relay: SocketAddr, envelope: &Envelope) {
        if !self.are_shares_in_force() {
            return;
        }
        let Some(totals) = envelope.decode(relay) else {
            return;
        };
        let known = self.snapshot();
        let capacity = |service: Key| {
            let mut services = known.instances.iter();
            let found = services.find(|(name, _)| Key::of_name(name.as_str()) == service);
            let targets = found.map_or(&[][..], |(_, targets)| targets);
            Capacity {
                engines: u32::try_from(targets.len()).unwrap_or(u32::MAX),
                slots: targets.iter().map(|target| target.slots).sum(),
            }
        };
        let mut findings = self.shares.known.borrow_mut();
        findings.receive(now, relay, &totals, capacity);
    }

    /// Returns whether shares are computed: the settings ask for it, and there are several
    /// organisations.
    fn are_shares_in_force(&self) -> bool {
        self.features.fair_shares
            && self
                .snapshot()
                .rules
                .as_ref()
                .is_some_and(|rules| rules.has_several_organisations())
    }

    /// Returns the organisation that a request for an engine counts for.
    fn accounted_organisation<'a>(&self, request: &'a Request) -> Option<&'a Arc<Organisation>> {
        let organisation = request.organisation.as_ref()?;
        let counts = request.demand.is_some() && self.are_shares_in_force();
        counts.then_some(organisation)
    }

    /// Returns the finding if a request's organisation is over its share.
    fn finding(&self, now: Mono, request: &Request) -> Option<Finding> {
        let organisation = self.accounted_organisation(request)?;
        let relay = self.load.borrow().current_relay(now)?;
        let tag = Tag::of(request.service.as_str(), &organisation.name);
        self.shares.known.borrow().excess(now, relay, tag)
    }

    /// Returns the name of the organisation that a request was ranked behind, as far as it
    /// is known.
    fn name_behind(&self, organisation: Option<Key>) -> String {
        let Some(key) = organisation else {
            return OTHERS.to_owned();
        };
        let name = self.shares.ledger.name(key);
        name.map_or_else(|| key.to_string(), |name| name.to_string())
    }
}
