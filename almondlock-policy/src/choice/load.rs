//! The load of one upstream, as reported and as counted by the entry host.

use std::time::Duration;

use almondlock_base::{time::Mono, unit::Tokens};

/// Load of an upstream, as its sidecar reports it with an answer or to a probe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests running and waiting at the upstream, from all entry hosts.
    pub in_flight: u32,
    /// Time that a short request would have waited at the upstream.
    pub wait: Duration,
    /// Prompt tokens that are not processed yet.
    pub backlog: Tokens,
    /// Free engine memory, in tokens.
    pub free_memory: Tokens,
    /// Prefill speed in tokens per second, 0 if unknown.
    pub prefill_speed: u64,
}

/// Load of one upstream as an entry host sees it.
#[derive(Clone, Debug, Default)]
pub(super) struct Load {
    pub(super) report: Report,
    /// Time at which the report was received, `None` before the first one.
    pub(super) reported_at: Option<Mono>,
    /// Attempts of this host that have not ended.
    pub(super) outstanding: u32,
    /// Prompt tokens of this host's attempts that have not had their first token.
    pub(super) unanswered_tokens: Tokens,
    /// Attempts of this host that were sent after the report and are not counted in it.
    pub(super) sent_since_report: u32,
    /// Prompt tokens of the attempts sent after the report.
    pub(super) tokens_since_report: Tokens,
    /// Time until which the upstream is passed over after a failure.
    pub(super) avoid_until: Option<Mono>,
}

impl Load {
    /// Returns the weight of the last report, which halves with each half-life. Linear
    /// interpolation between the halvings is close enough and needs no `exp`.
    pub(super) fn report_weight(&self, now: Mono, half_life: Duration) -> f64 {
        let Some(at) = self.reported_at else {
            return 0.0;
        };
        let halvings = now.since(at).as_secs_f64() / half_life.as_secs_f64().max(1e-6);
        let whole = halvings.floor().min(60.0);
        let part = (halvings - whole).clamp(0.0, 1.0);
        (1.0 - part / 2.0) / 2f64.powi(whole as i32)
    }

    /// Whether the upstream is passed over after a failure.
    pub(super) fn is_avoided(&self, now: Mono) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }
}
