//! Rate limits for all entry hosts together: those that upstreams name in their answers,
//! and the rate that an upstream can take while it is cold.

use std::{sync::Arc, time::Duration};

use almondlock_base::{id::Upstream, time::Mono};
use almondlock_node::clock;
use almondlock_policy::throttle::{Bound, Notice, Rate};

use crate::{
    dialect::Dialect,
    load::Key,
    permit::Outcome,
    pick::Quota,
    request::Request,
    response::HOP_BY_HOP,
    upstream::Head,
    worker::{Target, Worker},
};

/// Maximum number of unknown header names that a process logs.
const MAX_LOGGED_HEADERS: usize = 32;

/// Headers of answers that are passed on and concern callers only.
const CALLER_HEADERS: [&str; 5] = [
    "cache-control",
    "content-encoding",
    "content-type",
    "date",
    "server",
];

impl<D> Worker<D>
where
    D: Dialect,
{
    /// Applies what an answer says about its upstream's limit. `sent` is when the request
    /// was sent.
    ///
    /// Only an answer with the upstream's seal can end a limit: a rejection may come from a
    /// component in front of the one that knows the limit.
    pub(crate) fn apply_limit_header(&self, upstream: &Upstream, sent: Mono, head: &Head) {
        let names = self.dialect.names();
        self.log_unknown_headers(upstream, head);
        let rate = match head.text(names.limit.as_str()) {
            None if head.get(names.seal.as_str()).is_none() => return,
            None => None,
            Some(text) => match Rate::parse(text) {
                Some(rate) => Some(rate),
                None => {
                    tracing::warn!(%upstream, limit = text, "unreadable limit");
                    return;
                }
            },
        };
        let notice = Notice::of(rate, sent, clock::mono());
        self.learn_limit(upstream, notice, "answer");
    }

    /// Applies a notice of an upstream's limit that this host was the first to see.
    /// `source` names the origin of the notice in the log.
    fn learn_limit(&self, upstream: &Upstream, notice: Notice, source: &str) {
        let key = Key::of(upstream);
        if self.limits.borrow_mut().learn(&key, notice) {
            self.log_limit(upstream.as_str(), &notice, source);
            self.permits.note_change(key);
        }
    }

    /// Applies a notice of an upstream's limit that a relay has passed on.
    pub(crate) fn learn_relayed_limit(&self, key: Key, notice: Notice) {
        if self.limits.borrow_mut().learn(&key, notice) {
            self.log_limit(&self.upstream_name(key), &notice, "relay");
        }
    }

    /// Logs and counts a change of an upstream's limit.
    fn log_limit(&self, upstream: &str, notice: &Notice, source: &str) {
        let rate = notice.rate.map(Rate::per_second);
        let age = clock::mono().since(notice.at);
        tracing::info!(
            upstream,
            per_second = rate,
            source,
            age_ms = age.as_millis(),
            "limit changed"
        );
        self.shared.metrics.count("limit_changes", source);
    }

    /// Ends the limit of an upstream that has started again.
    pub(crate) fn end_limit(&self, upstream: &Upstream) {
        let at = clock::mono();
        self.learn_limit(upstream, Notice { rate: None, at }, "start");
    }

    /// Returns the limit that applies to an upstream at present.
    fn bound_of(&self, target: &Target) -> Option<Bound> {
        let limits = self.limits.borrow();
        if limits.is_empty() && target.cold_limit.is_none() {
            return None;
        }
        let named = limits.notice(&Key::of(&target.name));
        Bound::of(named, target.cold_limit)
    }

    /// Returns whether an upstream is limited, and whether a relay may have a permit for
    /// it.
    pub(crate) fn limit_state(&self, now: Mono, target: &Target) -> Quota {
        match self.bound_of(target) {
            None => Quota::Unlimited,
            Some(_) if self.permits.is_open(now, Key::of(&target.name)) => Quota::Available,
            Some(_) => Quota::Exhausted,
        }
    }

    /// Obtains permission to send a request to an upstream, from a relay if the upstream is
    /// limited. Returns `false` if there is no permit.
    pub(crate) async fn obtain_permit(&self, request: &Request, target: &Target) -> bool {
        let (upstream, key) = (&target.name, Key::of(&target.name));
        loop {
            let Some(bound) = self.bound_of(target) else {
                return true;
            };
            let Some((relay, outcome)) = self.permits.request_permit(key, &bound).await else {
                return false;
            };
            let wait = match outcome {
                Outcome::Refused(wait) => wait,
                Outcome::Granted | Outcome::Unanswered => Duration::ZERO,
            };
            let now = clock::mono();
            let outcome_name = outcome.as_str();
            tracing::info!(
                request = %request.id, %upstream, %relay,
                per_second = bound.rate().per_second(), cold = bound.cold.is_some(),
                age_ms = bound.named.map(|named| now.since(named.at).as_millis()),
                outcome = outcome_name, wait_ms = wait.as_millis(), "permit"
            );
            self.shared.metrics.count("permits", outcome_name);
            if outcome == Outcome::Granted {
                return true;
            }
            if request.time_left(now).is_zero() {
                return false;
            }
        }
    }

    /// Returns when a caller should try again that found every upstream of its service at
    /// its limit.
    pub(crate) fn limit_retry_after(&self, request: &Request, now: Mono) -> Duration {
        let snapshot = self.snapshot();
        let targets = snapshot.instances.get(&request.service);
        let targets = targets.into_iter().flatten();
        let keys = targets.clone().map(|target| Key::of(&target.name));
        let opens = keys.map(|key| self.permits.time_until_open(now, key)).min();
        let bounds = targets.filter_map(|target| self.bound_of(target));
        let rate = bounds.map(|bound| bound.rate()).sum();
        let hosts = self.load.borrow().other_hosts(now).saturating_add(1);
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let (opens, patience) = (opens.unwrap_or_default(), request.time_left(now));
        let share = (rate, hosts);
        self.permits
            .retry_after(now, &request.service, opens, share, patience)
    }

    /// Discards the limits of upstreams that are gone.
    pub(crate) fn sweep_limits(&self) {
        let known = self.upstreams_by_key();
        self.limits
            .borrow_mut()
            .retain(|key| known.contains_key(key));
    }

    /// Returns the name of an upstream, for logs.
    fn upstream_name(&self, key: Key) -> Arc<str> {
        let names = self.upstreams_by_key();
        match names.get(&key) {
            Some(name) => Arc::from(name.as_str()),
            None => Arc::from(key.to_string()),
        }
    }

    /// Logs each unknown header once: it may be a part of the protocol that this version
    /// doesn't know.
    fn log_unknown_headers(&self, upstream: &Upstream, head: &Head) {
        let names = self.dialect.names();
        for (name, value) in &head.headers {
            let mut passed_on = HOP_BY_HOP.iter().chain(&CALLER_HEADERS);
            if names.is_read(name) || passed_on.any(|known| name.eq_ignore_ascii_case(known)) {
                continue;
            }
            let name = name.to_ascii_lowercase();
            let mut unread = self.logged_headers.borrow_mut();
            if unread.len() >= MAX_LOGGED_HEADERS || !unread.insert(name.as_str().into()) {
                continue;
            }
            let value = String::from_utf8_lossy(value);
            tracing::info!(%upstream, header = name, %value, "answer has an unread header");
        }
    }
}
