//! What a failed attempt proves, and what may follow.
//!
//! An attempt that was never handed on, or whose upstream states so, has not
//! run. After a reset, a silence or bytes that are no answer it may have: then
//! only an idempotent request is sent again, and the caller is never told that
//! it has not run.

use almondlock_base::{Code, Ran};

use crate::rules::Kind;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection came about, or nothing was written to it.
    Unsent,
    /// Every upstream is at the limit that it names: nothing was sent.
    Limited,
    /// The upstream states that it did not run the request.
    Rejected,
    /// Another instance answers at the address.
    Misdirected,
    /// The connection failed, or what came is no whole answer.
    Lost,
    /// Nothing came in time.
    Silent,
    /// A whole answer came that tells of a failure.
    Answered,
}

impl Failure {
    /// Whether the request ran, by this attempt alone.
    pub const fn ran(self) -> Ran {
        match self {
            Failure::Unsent | Failure::Limited | Failure::Rejected | Failure::Misdirected => {
                Ran::No
            }
            Failure::Lost | Failure::Silent => Ran::Unknown,
            Failure::Answered => Ran::Yes,
        }
    }

    /// Whether the upstream is to be passed over for a while.
    pub const fn blames_upstream(self) -> bool {
        !matches!(
            self,
            Failure::Limited | Failure::Rejected | Failure::Answered
        )
    }

    /// The word used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Failure::Unsent => "unsent",
            Failure::Limited => "limited",
            Failure::Rejected => "rejected",
            Failure::Misdirected => "misdirected",
            Failure::Lost => "lost",
            Failure::Silent => "silent",
            Failure::Answered => "answered",
        }
    }
}

/// What is known of a request after one attempt more.
pub const fn merge_ran(before: Ran, failure: Failure) -> Ran {
    match (before, failure.ran()) {
        (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
        (Ran::No, Ran::No) => Ran::No,
    }
}

/// Whether the request may be sent to one more upstream. `ran` counts all
/// attempts so far; `runs` those that may have run.
pub fn may_retry(kind: Kind, ran: Ran, runs: u32, attempts: u32) -> bool {
    (ran == Ran::No || kind.is_idempotent()) && runs < attempts
}

/// The code for a caller whose request ends here.
pub const fn result_code(ran: Ran, failure: Failure) -> Code {
    match (ran, failure) {
        (Ran::No, Failure::Unsent) => Code::NoUpstream,
        (Ran::No, Failure::Limited) => Code::UpstreamLimited,
        (Ran::No, _) => Code::RetriesExhausted,
        (_, Failure::Silent) => Code::DeadlinePassed,
        _ => Code::UpstreamLost,
    }
}
