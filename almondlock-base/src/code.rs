//! Numbered result codes.
//!
//! Every refusal and failure carries one, towards callers, between processes
//! and towards operators. The number is stable for ever; `docs/codes.md` says
//! what to do about each and is held in step by a test. The thousands tell the
//! kind: 1 the request itself, 2 refused by the system and not run, 3 handed
//! on to an upstream, 4 control.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran on an upstream, as far as anybody can know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It provably did not, and will not.
    No,
    /// It did, in whole or in part.
    Yes,
    /// Nobody knows.
    #[default]
    Unknown,
}

impl Ran {
    /// The word used in answers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        }
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $ran:ident, $again:literal, $text:literal;)*) => {
        /// A numbered result.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        #[non_exhaustive]
        pub enum Code {
            $(#[doc = $text] $name = $number,)*
        }

        impl Code {
            /// Every code, by number.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// The code with this number.
            pub const fn from_number(number: u16) -> Option<Code> {
                match number {
                    $($number => Some(Code::$name),)*
                    _ => None,
                }
            }

            /// The HTTP status it is sent with.
            pub const fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// What it says about running when nothing more is known.
            pub const fn ran(self) -> Ran {
                match self { $(Code::$name => Ran::$ran,)* }
            }

            /// Whether sending the same request again may help.
            pub const fn is_retryable(self) -> bool {
                match self { $(Code::$name => $again,)* }
            }

            /// One sentence for people.
            pub const fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }

            /// The variant's name, used as `type` in answers.
            pub const fn name(self) -> &'static str {
                match self { $(Code::$name => stringify!($name),)* }
            }
        }
    };
}

codes! {
    Unauthenticated = 1001, 401, No, false, "The key is missing or unknown.";
    Forbidden = 1002, 403, No, false, "The key doesn't allow this.";
    UnreadableBody = 1003, 400, No, false, "The body can't be read as what it claims to be.";
    BodyTooLarge = 1004, 413, No, false, "The body is larger than allowed.";
    UnknownModel = 1005, 404, No, false, "No such model or adapter.";
    BadDeadline = 1006, 400, No, false, "The deadline is not a number of milliseconds within bounds.";
    DoubledHeader = 1007, 400, No, false, "A header that may stand once stands twice.";
    KeyReused = 1008, 422, No, false, "The idempotency key was used with another body.";
    UnknownService = 1009, 404, No, false, "No such service, or no such method on it.";
    UnknownRoute = 1010, 404, No, false, "No such path.";
    WrongType = 1011, 415, No, false, "The content type is not accepted here.";
    BadHeader = 1012, 400, No, false, "A header's value can't be used.";
    SlowRequest = 1013, 408, No, true, "The request didn't arrive in time.";
    PromptTooLong = 1014, 413, No, false, "The prompt is longer than the model or the fleet can hold.";
    RateLimited = 2001, 429, No, true, "The organisation sends more requests than its rate.";
    ShareExceeded = 2002, 429, No, true, "The organisation has its share of tokens in flight.";
    DeadlineUnreachable = 2003, 503, No, true, "By the estimate it can't finish before its deadline.";
    NoUpstream = 2004, 503, No, true, "No upstream can take it now.";
    QueueTimeout = 2005, 504, No, true, "Its deadline passed while it waited.";
    HostStopping = 2006, 503, No, true, "This host is stopping.";
    Quarantined = 2007, 422, No, false, "Requests like this one killed upstreams; it is refused for a time.";
    ClaimUnavailable = 2008, 503, No, true, "At-most-once can't be promised now: no quorum answers.";
    NotReady = 2009, 503, No, true, "This host doesn't know a recent configuration yet.";
    RetriesExhausted = 2010, 503, No, true, "It was refused by upstreams and the retry budget is spent.";
    Overloaded = 2011, 503, No, true, "Too much waits already.";
    UpstreamLeaving = 2012, 503, No, true, "The upstream is leaving and takes no new work.";
    StaleIncarnation = 2013, 503, No, true, "It was meant for an earlier life of the upstream's sidecar.";
    Tombstoned = 2014, 503, No, true, "It was given up before it arrived.";
    Cancelled = 2015, 499, No, true, "The caller left before it ran.";
    MemoryUnavailable = 2016, 503, No, true, "Engine memory for it can't be had now.";
    UpstreamLimited = 2017, 503, No, true, "Every upstream is at the limit that it names for all hosts.";
    RequestSuspected = 2018, 429, No, true, "Upstreams were lost each time that this request ran; it is refused for a time.";
    DeadlinePassed = 3001, 504, Yes, true, "Its deadline passed while it ran.";
    UpstreamLost = 3002, 502, Unknown, true, "The upstream was lost while it may have run.";
    StreamBroken = 3003, 502, Yes, true, "The answer broke off.";
    StreamStalled = 3004, 504, Yes, true, "The answer stopped coming.";
    UpstreamFailed = 3005, 502, Yes, true, "The upstream answered with an error.";
    AlreadyRunning = 3006, 409, Yes, true, "A request with this idempotency key is running.";
    OutcomeLost = 3007, 409, Unknown, false, "A request with this idempotency key may have run; its answer is lost.";
    CallerLeft = 3008, 499, Yes, true, "The caller left while it ran.";
    SlowReader = 3009, 499, Yes, true, "The caller read too slowly.";
    AnswerDropped = 3010, 409, Yes, false, "It ran; its answer was too large to keep for a second copy.";
    HostFault = 3011, 502, Unknown, true, "This host failed while it handled the request.";
    NotLeader = 4001, 421, No, true, "This replica doesn't lead.";
    Conflict = 4002, 409, No, false, "The change number was used with other content.";
    PlanStale = 4003, 409, No, false, "What the plan rests on has changed; ask for a new plan.";
    UnknownPlan = 4004, 404, No, false, "No such plan.";
    BadChange = 4005, 400, No, false, "The change can't be applied.";
    LimitReached = 4006, 409, No, false, "A bounded table is full.";
    StorageFailed = 4007, 503, Unknown, true, "The disk failed; the replica has stopped.";
    NoQuorum = 4008, 503, Unknown, true, "No quorum confirmed it in time.";
    PlanState = 4009, 409, No, false, "The plan isn't in a state that allows this.";
}

impl Code {
    /// The number.
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl From<Code> for u16 {
    fn from(code: Code) -> u16 {
        code.number()
    }
}

impl TryFrom<u16> for Code {
    type Error = UnknownCode;

    fn try_from(number: u16) -> Result<Code, UnknownCode> {
        Code::from_number(number).ok_or(UnknownCode(number))
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.number(), self.name(), self.text())
    }
}

/// A number that stands for no code, perhaps of a newer version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownCode(pub u16);

impl fmt::Display for UnknownCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no result code has the number {}", self.0)
    }
}

impl std::error::Error for UnknownCode {}
