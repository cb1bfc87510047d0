//! What is known of one upstream's load.

use std::time::Duration;

use almondlock_base::{time::Mono, unit::Tokens};

/// What a sidecar said of its upstream, on an answer or to a probe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests running and waiting there, from all entry hosts.
    pub in_flight: u32,
    /// How long a short request would have waited.
    pub wait: Duration,
    /// Prompt tokens not processed yet.
    pub backlog: Tokens,
    /// Free engine memory.
    pub free_memory: Tokens,
    /// Prefill speed, in tokens per second. 0 when not known.
    pub prefill_speed: u64,
}

/// Load of one upstream as an entry host sees it.
#[derive(Clone, Debug, Default)]
pub(super) struct Load {
    pub(super) report: Report,
    pub(super) at: Option<Mono>,
    /// Own attempts that have not ended.
    pub(super) outstanding: u32,
    /// Own prompt tokens whose first answer token has not come.
    pub(super) unanswered: Tokens,
    /// Own attempts sent after the report, which it can't contain.
    pub(super) sent: u32,
    /// Their prompt tokens.
    pub(super) sent_tokens: Tokens,
    /// It failed lately and is passed over until then.
    pub(super) avoid_until: Option<Mono>,
}

impl Load {
    /// How much a report still counts: halves with each half-life. A straight
    /// line between the halvings is close enough and needs no `exp`.
    pub(super) fn trust(&self, now: Mono, half_life: Duration) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let halvings = now.since(at).as_secs_f64() / half_life.as_secs_f64().max(1e-6);
        let whole = halvings.floor().min(60.0);
        let part = (halvings - whole).clamp(0.0, 1.0);
        (1.0 - part / 2.0) / 2f64.powi(whole as i32)
    }

    pub(super) fn is_avoided(&self, now: Mono) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }
}
