//! What a failed attempt proves, and whether the request may be retried.
//!
//! An attempt that was never sent, or whose upstream states that it did not run, has not
//! run. After a reset, a silence or an invalid answer it may have: then only an idempotent
//! request is sent again, and the caller is never told that it has not run.

use almondlock_base::{Code, Ran};

use crate::rules::Kind;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be opened, or nothing was written to it.
    Unsent,
    /// All upstreams have reached their rate limits, so nothing was sent.
    Limited,
    /// Upstreams were lost with the request or with others like it, so nothing was sent.
    Suspected,
    /// What was to pay for a retry has expired, so nothing was sent.
    Unaffordable,
    /// The upstream states that it did not run the request.
    Rejected,
    /// Another instance answered at the address.
    Misdirected,
    /// The connection failed, or the answer was invalid or incomplete.
    Lost,
    /// Nothing arrived in time.
    Silent,
    /// A complete answer reported a failure.
    Answered,
}

impl Failure {
    /// Returns whether the request ran, as far as this attempt alone tells.
    pub const fn ran(self) -> Ran {
        match self {
            Failure::Unsent
            | Failure::Limited
            | Failure::Suspected
            | Failure::Unaffordable
            | Failure::Rejected
            | Failure::Misdirected => Ran::No,
            Failure::Lost | Failure::Silent => Ran::Unknown,
            Failure::Answered => Ran::Yes,
        }
    }

    /// Returns whether the request may have reached an upstream.
    pub const fn may_have_reached(self) -> bool {
        !matches!(
            self,
            Failure::Unsent | Failure::Limited | Failure::Suspected | Failure::Unaffordable
        )
    }

    /// Returns whether the upstream should be avoided for a while.
    pub const fn blames_upstream(self) -> bool {
        !matches!(
            self,
            Failure::Limited
                | Failure::Suspected
                | Failure::Unaffordable
                | Failure::Rejected
                | Failure::Answered
        )
    }

    /// Returns the word used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Failure::Unsent => "unsent",
            Failure::Limited => "limited",
            Failure::Suspected => "suspected",
            Failure::Unaffordable => "unaffordable",
            Failure::Rejected => "rejected",
            Failure::Misdirected => "misdirected",
            Failure::Lost => "lost",
            Failure::Silent => "silent",
            Failure::Answered => "answered",
        }
    }
}

/// Returns whether a request ran, after one more failed attempt.
pub const fn merge_ran(before: Ran, failure: Failure) -> Ran {
    match (before, failure.ran()) {
        (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
        (Ran::No, Ran::No) => Ran::No,
    }
}

/// Returns whether the request may be sent to another upstream. `ran` covers all attempts
/// so far; `runs` is the number of attempts that may have run, `attempts` its maximum.
pub fn may_retry(kind: Kind, ran: Ran, runs: u32, attempts: u32) -> bool {
    (ran == Ran::No || kind.is_idempotent()) && runs < attempts
}

/// Returns the result code for a caller whose request ends here.
pub const fn result_code(ran: Ran, failure: Failure) -> Code {
    match (ran, failure) {
        (Ran::No, Failure::Unsent) => Code::NoUpstream,
        (Ran::No, Failure::Limited) => Code::UpstreamLimited,
        (Ran::No, Failure::Suspected) => Code::RequestSuspected,
        (Ran::No, _) => Code::RetriesExhausted,
        (_, Failure::Silent) => Code::DeadlinePassed,
        _ => Code::UpstreamLost,
    }
}
