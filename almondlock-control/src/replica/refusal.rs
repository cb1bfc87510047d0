//! Why a replica didn't do what it was asked.

use std::{fmt, net::SocketAddr};

use almondlock_base::Code;
use almondlock_quorum::error::Error;

/// A refusal, or an outcome that isn't known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The code. [`Code::ran`] says whether it may have been done all the same.
    pub code: Code,
    /// Why, for people.
    pub message: String,
    /// Whom to ask instead.
    pub leader: Option<SocketAddr>,
}

impl Refusal {
    pub(super) fn new<S>(code: Code, message: S) -> Refusal
    where
        S: Into<String>,
    {
        Refusal {
            code,
            message: message.into(),
            leader: None,
        }
    }

    pub(super) fn of(code: Code) -> Refusal {
        Refusal::new(code, code.text())
    }

    pub(super) fn not_leader(leader: Option<SocketAddr>) -> Refusal {
        Refusal {
            leader,
            ..Refusal::of(Code::NotLeader)
        }
    }
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Refusal {
        Refusal::new(error.code(), error.to_string())
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.code.number(), self.message)
    }
}

impl std::error::Error for Refusal {}
