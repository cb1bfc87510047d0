//! Limits that upstreams name, with their answers, for all entry hosts together.

use almondlock_base::{id::Upstream, time::Mono};
use almondlock_node::clock;
use almondlock_policy::throttle::{Notice, Rate};

use crate::{dialect::Dialect, response::HOP, upstream::Head, worker::Worker};

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
        self.learn_limit(upstream, notice, "answer");
    }

    /// Takes in a notice of an upstream's limit. `source` tells, in the log, where it
    /// comes from. Whether the limit in force has changed.
    pub(crate) fn learn_limit(&self, upstream: &Upstream, notice: Notice, source: &str) -> bool {
        let is_change = self.limits.borrow_mut().learn(upstream, notice);
        if is_change {
            let rate = notice.rate.map(Rate::per_second);
            let age = clock::mono().since(notice.at);
            tracing::info!(
                %upstream, per_second = rate, source, age_ms = age.as_millis(), "limit changed"
            );
            self.shared.metrics.count("limit_changes", source);
        }
        is_change
    }

    /// Logs each header that nobody reads, once: it may be a part of the protocol that
    /// this version doesn't know.
    fn log_unread(&self, upstream: &Upstream, head: &Head) {
        let names = self.dialect.names();
        for (name, value) in &head.headers {
            let name = name.to_ascii_lowercase();
            let is_known = names.is_read(&name)
                || HOP.contains(&name.as_str())
                || COMMON.contains(&name.as_str());
            let mut unread = self.unread.borrow_mut();
            if is_known || unread.len() >= UNREAD || !unread.insert(name.as_str().into()) {
                continue;
            }
            let value = String::from_utf8_lossy(value);
            tracing::info!(%upstream, header = name, %value, "answer has an unread header");
        }
    }
}
