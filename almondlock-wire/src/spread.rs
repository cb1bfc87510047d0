//! What spreads over the tree of processes: reports go up, configuration down.
//!
//! The schema has a few texts and numbers whose meaning is given here, once:
//!
//! - a member is `HOST INCARNATION IP:PORT DOMAIN REGION`, the incarnation in
//!   hexadecimal; one that left is `HOST INCARNATION`;
//! - `have` of `u64::MAX` says that the sender is a source itself and wants
//!   nothing but to exchange reports;
//! - `revision` without `offset` asks for a snapshot from its start;
//! - an entry of `Delta.parents` is `age MICROS`, `fresh MICROS`, `via IP:PORT` or a
//!   bare `IP:PORT`. An answer with an age serves its receiver, and each `via` is a
//!   step of the sender's own way up, nearest first. An answer without one
//!   refuses, and each address may be tried instead; if it is fresh, its body counts
//!   all the same. Entries of another form are passed over, for the sake of later
//!   versions.

use std::{fmt, net::SocketAddr, time::Duration};

use almondlock_base::{
    id::{Domain, Host, Incarnation, Region},
    unit::Revision,
};

use crate::{
    almondlock_capnp::{delta, piece, report, spread},
    error::{Error, text},
    peer::Peer,
};

/// Laggards that one report may name.
pub const LAGGARDS: usize = 8;
/// Processes that one report may say joined, or left.
pub const NEWS: usize = 64;
/// Addresses that one answer may name.
pub const ADDRESSES: usize = 16;
/// Changes that one answer may hold.
pub const CHANGES: usize = 4096;

/// One life of one process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Process {
    /// Its host's name.
    pub host: Host,
    /// Its life.
    pub incarnation: Incarnation,
}

impl Process {
    /// The process that speaks.
    pub fn of(peer: &Peer) -> Process {
        Process {
            host: peer.host.clone(),
            incarnation: peer.incarnation,
        }
    }

    fn parse(words: &mut std::str::SplitWhitespace<'_>) -> Result<Process, Error> {
        let host = Host::new(words.next().unwrap_or_default())?;
        let life = words.next().unwrap_or_default();
        let life = u64::from_str_radix(life, 16)
            .map_err(|_| Error::field("incarnation", "not hexadecimal"))?;
        let incarnation = Incarnation(life);
        Ok(Process { host, incarnation })
    }
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.host, self.incarnation)
    }
}

/// A process and where it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Which process.
    pub process: Process,
    /// Its inner address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Its region.
    pub region: Region,
}

impl Member {
    /// Reads the text form.
    pub fn parse(text: &str) -> Result<Member, Error> {
        let mut words = text.split_whitespace();
        Ok(Member {
            process: Process::parse(&mut words)?,
            address: address(words.next().unwrap_or_default())?,
            domain: Domain::new(words.next().unwrap_or_default())?,
            region: Region::new(words.next().unwrap_or_default())?,
        })
    }
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Member {
            process,
            address,
            domain,
            region,
        } = self;
        write!(f, "{process} {address} {domain} {region}")
    }
}

/// What a process tells its parent of itself and of all below it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The process itself.
    pub from: Peer,
    /// The lowest revision in force in the subtree.
    pub lowest: Revision,
    /// How many processes the subtree has. None says that the sender leaves.
    pub processes: u32,
    /// Some of those furthest behind. At most [`LAGGARDS`].
    pub laggards: Vec<Peer>,
    /// Processes that appeared in the subtree. At most [`NEWS`].
    pub joined: Vec<Member>,
    /// Processes that are gone from it. At most [`NEWS`].
    pub left: Vec<Process>,
}

impl Report {
    /// The report of a process with nothing below it.
    pub fn alone(from: Peer) -> Report {
        Report {
            lowest: from.revision,
            from,
            processes: 1,
            laggards: Vec::new(),
            joined: Vec::new(),
            left: Vec::new(),
        }
    }

    fn read(reader: report::Reader<'_>) -> Result<Report, Error> {
        let laggards = reader.get_laggards()?.iter().take(LAGGARDS);
        let joined = reader.get_joined()?.iter().take(NEWS);
        let left = reader.get_left()?.iter().take(NEWS);
        Ok(Report {
            from: Peer::read(reader.get_from()?)?,
            lowest: Revision(reader.get_lowest()),
            processes: reader.get_processes(),
            laggards: laggards.map(Peer::read).collect::<Result<_, _>>()?,
            joined: joined
                .map(|member| Member::parse(text(member?)?))
                .collect::<Result<_, Error>>()?,
            left: left
                .map(|process| Process::parse(&mut text(process?)?.split_whitespace()))
                .collect::<Result<_, Error>>()?,
        })
    }

    fn write(&self, mut builder: report::Builder<'_>) {
        self.from.write(builder.reborrow().init_from());
        builder.set_lowest(self.lowest.0);
        builder.set_processes(self.processes);
        let mut laggards = builder.reborrow().init_laggards(length(&self.laggards));
        for (i, peer) in (0..).zip(&self.laggards) {
            peer.write(laggards.reborrow().get(i));
        }
        let mut joined = builder.reborrow().init_joined(length(&self.joined));
        for (i, member) in (0..).zip(&self.joined) {
            joined.set(i, member.to_string());
        }
        let mut left = builder.reborrow().init_left(length(&self.left));
        for (i, process) in (0..).zip(&self.left) {
            left.set(i, process.to_string());
        }
    }
}

/// What the sender of a fetch wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Want {
    /// What came after the revision that it holds.
    After(Revision),
    /// The part of a snapshot from an offset on; of the revision given, if the
    /// other side still has that one. The revision is not zero.
    Snapshot(Revision, u64),
    /// Nothing: it is a source, and exchanges reports.
    Nothing,
}

/// A request of `Spread.fetch`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// What is wanted.
    pub want: Want,
    /// What the sender tells of its subtree.
    pub report: Report,
    /// How long the answer may wait for news.
    pub wait: Duration,
}

impl Fetch {
    /// Reads and checks a request.
    pub fn read(reader: spread::fetch_params::Reader<'_>) -> Result<Fetch, Error> {
        let want = match (reader.get_have(), reader.get_revision()) {
            (u64::MAX, _) => Want::Nothing,
            (have, 0) => Want::After(Revision(have)),
            (_, revision) => Want::Snapshot(Revision(revision), reader.get_offset()),
        };
        Ok(Fetch {
            want,
            report: Report::read(reader.get_report()?)?,
            wait: Duration::from_micros(reader.get_wait_micros()),
        })
    }

    /// Writes the request.
    pub fn write(&self, mut builder: spread::fetch_params::Builder<'_>) {
        match self.want {
            Want::After(have) => builder.set_have(have.0),
            Want::Nothing => builder.set_have(u64::MAX),
            Want::Snapshot(revision, offset) => {
                builder.set_revision(revision.0);
                builder.set_offset(offset);
            }
        }
        builder.set_wait_micros(micros(self.wait));
        self.report.write(builder.init_report());
    }
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// The revision of the whole.
    pub revision: Revision,
    /// Where this part starts.
    pub offset: u64,
    /// The length of the whole.
    pub total: u64,
    /// The part itself.
    pub data: Vec<u8>,
}

/// The configuration that an answer carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// None.
    Empty,
    /// Changes, of which the first makes the revision given. At most
    /// [`CHANGES`].
    Changes(Revision, Vec<Vec<u8>>),
    /// A part of a snapshot.
    Piece(Piece),
}

/// Whether the sender serves the receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It does. So long ago, `newest` of the answer was the newest revision
    /// that a source had; and this is the way up to the source, nearest first.
    Served(Duration, Vec<SocketAddr>),
    /// It doesn't; these may.
    Full(Vec<SocketAddr>),
    /// It doesn't, and these may; but the answer counts, and so long ago `newest` was the
    /// newest revision that a source had.
    Informed(Duration, Vec<SocketAddr>),
}

/// An answer of `Spread.fetch`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// Configuration.
    pub body: Body,
    /// The revision in force at the sender.
    pub newest: Revision,
    /// Whether the sender serves the receiver.
    pub standing: Standing,
    /// The sender.
    pub from: Peer,
}

impl Delta {
    /// Reads and checks an answer.
    pub fn read(reader: delta::Reader<'_>) -> Result<Delta, Error> {
        let body = match reader.which()? {
            delta::Which::None(()) => Body::Empty,
            delta::Which::Changes(changes) => {
                let changes = changes?.iter().take(CHANGES);
                let changes = changes.map(|change| change.map(<[u8]>::to_vec));
                let first = Revision(reader.get_first());
                Body::Changes(first, changes.collect::<Result<_, _>>()?)
            }
            delta::Which::Piece(piece) => Body::Piece(read_piece(piece?)?),
        };
        let mut hints = Vec::new();
        for hint in reader.get_parents()?.iter().take(ADDRESSES + 1) {
            hints.push(text(hint?)?);
        }
        Ok(Delta {
            body,
            newest: Revision(reader.get_newest()),
            standing: Standing::parse(&hints),
            from: Peer::read(reader.get_from()?)?,
        })
    }

    /// Writes the answer.
    pub fn write(&self, mut builder: delta::Builder<'_>) {
        match &self.body {
            Body::Empty => builder.set_none(()),
            Body::Changes(first, changes) => {
                builder.set_first(first.0);
                let mut list = builder.reborrow().init_changes(length(changes));
                for (i, change) in (0..).zip(changes) {
                    list.set(i, change);
                }
            }
            Body::Piece(piece) => {
                let mut to = builder.reborrow().init_piece();
                to.set_revision(piece.revision.0);
                to.set_offset(piece.offset);
                to.set_total(piece.total);
                to.set_data(&piece.data);
            }
        }
        builder.set_newest(self.newest.0);
        let hints = self.standing.hints();
        let mut parents = builder.reborrow().init_parents(length(&hints));
        for (i, hint) in (0..).zip(hints) {
            parents.set(i, hint);
        }
        self.from.write(builder.init_from());
    }
}

impl Standing {
    fn parse(hints: &[&str]) -> Standing {
        let (mut age, mut fresh) = (None, None);
        let mut way = Vec::new();
        let mut others = Vec::new();
        for hint in hints {
            match hint.split_once(' ') {
                Some(("age", micros)) => age = micros.parse().ok().map(Duration::from_micros),
                Some(("fresh", micros)) => fresh = micros.parse().ok().map(Duration::from_micros),
                Some(("via", step)) => way.extend(address(step)),
                Some(_) => {}
                None => others.extend(address(hint)),
            }
        }
        match (age, fresh) {
            (Some(age), _) => Standing::Served(age, way),
            (None, Some(fresh)) => Standing::Informed(fresh, others),
            (None, None) => Standing::Full(others),
        }
    }

    fn hints(&self) -> Vec<String> {
        match self {
            Standing::Served(age, way) => {
                let way = way.iter().take(ADDRESSES).map(|step| format!("via {step}"));
                let age = format!("age {}", micros(*age));
                std::iter::once(age).chain(way).collect()
            }
            Standing::Full(others) => {
                let others = others.iter().take(ADDRESSES);
                others.map(SocketAddr::to_string).collect()
            }
            Standing::Informed(age, others) => {
                let others = others.iter().take(ADDRESSES);
                let fresh = format!("fresh {}", micros(*age));
                let others = others.map(SocketAddr::to_string);
                std::iter::once(fresh).chain(others).collect()
            }
        }
    }
}

fn read_piece(reader: piece::Reader<'_>) -> Result<Piece, Error> {
    Ok(Piece {
        revision: Revision(reader.get_revision()),
        offset: reader.get_offset(),
        total: reader.get_total(),
        data: reader.get_data()?.to_vec(),
    })
}

fn address(text: &str) -> Result<SocketAddr, Error> {
    text.parse()
        .map_err(|_| Error::field("address", "not IP:PORT"))
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn length<T>(items: &[T]) -> u32 {
    u32::try_from(items.len()).unwrap_or(u32::MAX)
}
