//! Limits that upstreams name, with their answers, for all entry hosts together.

use std::{sync::Arc, time::Duration};

use almondlock_base::{id::Upstream, time::Mono};
use almondlock_node::clock;
use almondlock_policy::throttle::{Notice, Rate};

use crate::{
    dialect::Dialect, life::Request, load::Key, permit::Outcome, pick::Limited, response::HOP,
    upstream::Head, worker::Worker,
};

/// The most names of unread headers that are logged in a process's life.
const UNREAD: usize = 32;

/// Headers of answers that are passed on and concern callers only.
const COMMON: [&str; 5] = [
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
    /// Takes in what an answer says of its upstream's limit, to a request that was sent
    /// at `sent`.
    ///
    /// Only an answer that the upstream has sealed ends a limit: a rejection may come from
    /// before the part of it that knows.
    pub(crate) fn hear_limit(&self, upstream: &Upstream, sent: Mono, head: &Head) {
        let names = self.dialect.names();
        self.log_unread(upstream, head);
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
        let key = Key::of(upstream);
        if self.learn_limit(key, notice, "answer") {
            self.permits.note(key);
        }
    }

    /// Takes in a notice of an upstream's limit. `source` tells, in the log, where it
    /// comes from. Whether the limit in force has changed.
    pub(crate) fn learn_limit(&self, key: Key, notice: Notice, source: &str) -> bool {
        let is_change = self.limits.borrow_mut().learn(&key, notice);
        if is_change {
            let rate = notice.rate.map(Rate::per_second);
            let age = clock::mono().since(notice.at);
            tracing::info!(
                upstream = %self.name(key), per_second = rate, source,
                age_ms = age.as_millis(), "limit changed"
            );
            self.shared.metrics.count("limit_changes", source);
        }
        is_change
    }

    /// An upstream has started again: what its earlier life named is over.
    pub(crate) fn end_limit(&self, upstream: &Upstream) {
        let at = clock::mono();
        let key = Key::of(upstream);
        if self.learn_limit(key, Notice { rate: None, at }, "start") {
            self.permits.note(key);
        }
    }

    /// How an upstream stands with its limit.
    pub(crate) fn limited(&self, now: Mono, upstream: &Upstream) -> Limited {
        let limits = self.limits.borrow();
        if limits.is_empty() {
            return Limited::No;
        }
        let key = Key::of(upstream);
        match limits.rate(&key) {
            None => Limited::No,
            Some(_) if self.permits.is_open(now, key) => Limited::Open,
            Some(_) => Limited::Spent,
        }
    }

    /// Asks for leave to send a request to an upstream. Given at once if it names no limit.
    pub(crate) async fn permit(&self, request: &Request, upstream: &Upstream) -> bool {
        let key = Key::of(upstream);
        loop {
            let Some(notice) = self.limits.borrow().notice(&key) else {
                return true;
            };
            let Some(rate) = notice.rate else {
                return true;
            };
            let Some((relay, outcome)) = self.permits.ask(key, &notice).await else {
                return false;
            };
            let wait = match outcome {
                Outcome::Refused(wait) => wait,
                Outcome::Granted | Outcome::Unanswered => Duration::ZERO,
            };
            let now = clock::mono();
            let outcome_name = outcome.as_str();
            tracing::info!(
                request = %request.id, %upstream, %relay, per_second = rate.per_second(),
                age_ms = now.since(notice.at).as_millis(), outcome = outcome_name,
                wait_ms = wait.as_millis(), "permit"
            );
            self.shared.metrics.count("permits", outcome_name);
            if outcome == Outcome::Granted {
                return true;
            }
            if request.left(now).is_zero() {
                return false;
            }
        }
    }

    /// When a caller comes back that found every upstream of its service at its limit.
    pub(crate) fn limit_returns(&self, request: &Request, now: Mono) -> Duration {
        let known = self.known();
        let targets = known.instances.get(&request.service);
        let keys = targets
            .into_iter()
            .flatten()
            .map(|target| Key::of(&target.name));
        let keys: Vec<Key> = keys.collect();
        let opens = keys.iter().map(|key| self.permits.opens(now, *key)).min();
        let limits = self.limits.borrow();
        let rate = keys.iter().filter_map(|key| limits.rate(key)).sum();
        let hosts = self.load.borrow().hosts(now).saturating_add(1);
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let (opens, patience) = (opens.unwrap_or_default(), request.left(now));
        let share = (rate, hosts);
        self.permits
            .returns(now, &request.service, opens, share, patience)
    }

    /// Forgets the limits of upstreams that are gone.
    pub(crate) fn sweep_limits(&self) {
        let known = self.upstreams();
        self.limits
            .borrow_mut()
            .retain(|key| known.contains_key(key));
    }

    /// The name of an upstream, for logs.
    fn name(&self, key: Key) -> Arc<str> {
        let names = self.upstreams();
        match names.get(&key) {
            Some(name) => Arc::from(name.as_str()),
            None => Arc::from(key.to_string()),
        }
    }

    /// Logs each header that nobody reads, once: it may be a part of the protocol that
    /// this version doesn't know.
    fn log_unread(&self, upstream: &Upstream, head: &Head) {
        let names = self.dialect.names();
        for (name, value) in &head.headers {
            let mut passed_on = HOP.iter().chain(&COMMON);
            if names.is_read(name) || passed_on.any(|known| name.eq_ignore_ascii_case(known)) {
                continue;
            }
            let name = name.to_ascii_lowercase();
            let mut unread = self.unread.borrow_mut();
            if unread.len() >= UNREAD || !unread.insert(name.as_str().into()) {
                continue;
            }
            let value = String::from_utf8_lossy(value);
            tracing::info!(%upstream, header = name, %value, "answer has an unread header");
        }
    }
}
