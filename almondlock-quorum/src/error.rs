//! Errors of the replicated log and its storage.

use std::{fmt, io};

use almondlock_base::Code;

use crate::member::Id;

/// An error of the replicated log or its storage.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    NotLeader(Option<Id>),
    Busy(&'static str),
    Refused(String),
    Setting(&'static str),
    Damaged { file: String, reason: String },
    Format { file: String, found: u32 },
    Io { doing: String, source: io::Error },
    Stopped,
}

impl Error {
    pub(crate) fn not_leader(leader: Option<Id>) -> Error {
        Kind::NotLeader(leader).into()
    }

    pub(crate) fn busy(reason: &'static str) -> Error {
        Kind::Busy(reason).into()
    }

    pub(crate) fn refused<S>(reason: S) -> Error
    where
        S: Into<String>,
    {
        Kind::Refused(reason.into()).into()
    }

    pub(crate) fn setting(reason: &'static str) -> Error {
        Kind::Setting(reason).into()
    }

    pub(crate) fn damaged<S>(file: &str, reason: S) -> Error
    where
        S: Into<String>,
    {
        Kind::Damaged {
            file: file.to_owned(),
            reason: reason.into(),
        }
        .into()
    }

    pub(crate) fn format(file: &str, found: u32) -> Error {
        Kind::Format {
            file: file.to_owned(),
            found,
        }
        .into()
    }

    pub(crate) fn io<S>(doing: S, source: io::Error) -> Error
    where
        S: Into<String>,
    {
        Kind::Io {
            doing: doing.into(),
            source,
        }
        .into()
    }

    pub(crate) fn stopped() -> Error {
        Kind::Stopped.into()
    }

    /// Returns the result code that callers and operators see.
    pub fn code(&self) -> Code {
        match &self.kind {
            Kind::NotLeader(_) => Code::NotLeader,
            Kind::Busy(_) => Code::NoQuorum,
            Kind::Refused(_) | Kind::Setting(_) => Code::BadChange,
            Kind::Damaged { .. } | Kind::Format { .. } | Kind::Io { .. } | Kind::Stopped => {
                Code::StorageFailed
            }
        }
    }

    /// Returns the leader to ask instead, if this replica refused because it is not the leader
    /// and knows who is.
    pub fn leader(&self) -> Option<Id> {
        match self.kind {
            Kind::NotLeader(leader) => leader,
            _ => None,
        }
    }

    /// Whether files on disk are missing or differ from what was written. The replica must be
    /// replaced by one with an empty data folder and a new identity.
    pub fn is_damage(&self) -> bool {
        matches!(self.kind, Kind::Damaged { .. })
    }
}

impl From<Kind> for Error {
    fn from(kind: Kind) -> Error {
        Error { kind }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            Kind::NotLeader(Some(id)) => write!(f, "not the leader; replica {id} leads"),
            Kind::NotLeader(None) => write!(f, "not the leader, and none is known"),
            Kind::Busy(reason) => write!(f, "can't be accepted now: {reason}"),
            Kind::Refused(reason) => write!(f, "refused: {reason}"),
            Kind::Setting(reason) => write!(f, "bad setting: {reason}"),
            Kind::Damaged { file, reason } => write!(
                f,
                "{file} is damaged ({reason}); empty the data folder and replace this replica"
            ),
            Kind::Format { file, found } => write!(
                f,
                "{file} has format {found}, which this version can't read; run the version that wrote it"
            ),
            Kind::Io { doing, source } => write!(
                f,
                "{doing}: {source}; the replica has stopped, since what reached the disk is unknown"
            ),
            Kind::Stopped => write!(f, "the storage failed earlier and accepts no more writes"),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.kind {
            Kind::Io { source, .. } => Some(source),
            _ => None,
        }
    }
}
