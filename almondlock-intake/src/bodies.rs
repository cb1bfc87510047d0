//! Reading bodies within one budget for the process: those of requests, and those of answers
//! that are collected before they are passed on.

use std::{
    collections::HashMap,
    future::Future,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use almondlock_base::{Code, time::Mono};
use almondlock_policy::intake::{self, Decision, Key, Ledger};
use almondlock_telemetry::throttle::Throttle;
use almondlock_transport::clock;
use ntex::{
    http::{HeaderMap, header::CONTENT_LENGTH},
    util::{Bytes, BytesMut},
    web::types::Payload,
};
use tokio::{sync::Notify, time::timeout};

/// Smallest capacity of a buffer, in bytes.
const FIRST_CAPACITY: usize = 4096;
/// Bytes of a body for each of which it may come in one more piece.
const PIECE: usize = 16;
/// A body that has not arrived is left alone for this long even if memory is short. A caller
/// whose request isn't read within a second tries elsewhere.
pub const GRACE: Duration = Duration::from_secs(1);
/// Lines of each kind are logged once in this time.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Settings of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// What the bodies belong to, for logs.
    pub name: &'static str,
    /// Bytes that all bodies may take.
    pub capacity: u64,
    /// Pieces that a body may come in, besides one for each 16 bytes. A piece costs the same
    /// work whatever its size.
    pub pieces: usize,
    /// Time for which the rest of a refused body is read, so that its caller, who may still
    /// be sending, can read the refusal.
    pub discard_time: Duration,
}

impl Config {
    /// Returns a budget of `capacity` bytes for the bodies of requests, with the other
    /// settings at their defaults.
    pub const fn new(capacity: u64) -> Config {
        Config {
            name: "requests",
            capacity,
            pieces: 4096,
            discard_time: Duration::from_secs(2),
        }
    }
}

/// The budget of memory for bodies, shared by the threads of a process.
#[derive(Debug)]
pub struct Bodies {
    config: Config,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    ledger: Ledger,
    /// How to tell the bodies that are arriving to give way.
    notices: HashMap<Key, Arc<Notify>>,
    /// Invariant: levels are zero here, only counts are kept.
    counts: Usage,
    short: Throttle,
    pieces: Throttle,
    unread: Throttle,
}

/// Levels and counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes of all bodies.
    pub held: u64,
    /// Bytes that they may take.
    pub capacity: u64,
    /// Number of bodies.
    pub bodies: usize,
    /// Bodies refused because memory was short.
    pub refused: u64,
    /// Bodies dropped while they arrived, because memory was short.
    pub cut: u64,
    /// Bodies refused because they came in too many pieces.
    pub pieces: u64,
    /// Refused bodies whose rest was not read to its end.
    pub unread: u64,
}

impl Usage {
    /// Returns the levels and counts with their names in metrics.
    pub const fn levels(&self) -> [(&'static str, u64); 6] {
        [
            ("held", self.bodies as u64),
            ("bytes", self.held),
            ("refused", self.refused),
            ("cut", self.cut),
            ("pieces", self.pieces),
            ("unread", self.unread),
        ]
    }
}

/// Reason why a body was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// It is larger than allowed.
    TooLarge,
    /// It did not arrive in time.
    Late,
    /// Its framing is wrong, or the connection ended.
    Broken,
    /// It comes in too many pieces for its size.
    Pieces,
    /// There is no memory for it now.
    Shortage,
}

impl Error {
    /// Returns the code for the caller. None of these requests ran.
    pub const fn code(self) -> Code {
        match self {
            Error::TooLarge => Code::BodyTooLarge,
            Error::Late | Error::Broken => Code::SlowRequest,
            Error::Pieces => Code::UnreadableBody,
            Error::Shortage => Code::Overloaded,
        }
    }
}

/// Supplies a body in pieces.
pub trait Source {
    /// A piece of the body.
    type Piece: AsRef<[u8]>;
    /// Why the body can't be completed.
    type Error;

    /// Returns the next piece, or `None` at the end.
    fn next(&mut self) -> impl Future<Output = Option<Result<Self::Piece, Self::Error>>>;
}

/// Why a body was not collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failed<E> {
    /// Its source failed.
    Source(E),
    /// It doesn't keep to its bounds, or there is no memory for it.
    Body(Error),
}

/// The body of a request.
struct Incoming<'a>(&'a mut Payload);

impl Source for Incoming<'_> {
    type Piece = Bytes;
    type Error = ();

    async fn next(&mut self) -> Option<Result<Bytes, ()>> {
        let chunk = self.0.recv().await;
        chunk.map(|chunk| chunk.map_err(|_| ()))
    }
}

/// Bounds of one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Largest size, in bytes.
    pub largest: usize,
    /// Time allowed for it to arrive.
    pub time: Duration,
}

impl Bodies {
    /// Returns an empty budget.
    pub fn new(config: Config) -> Arc<Bodies> {
        let ledger = intake::Config {
            capacity: config.capacity,
            grace: GRACE,
        };
        Arc::new(Bodies {
            config,
            inner: Mutex::new(Inner {
                ledger: Ledger::new(ledger),
                notices: HashMap::new(),
                counts: Usage::default(),
                short: Throttle::new(LOG_PERIOD),
                pieces: Throttle::new(LOG_PERIOD),
                unread: Throttle::new(LOG_PERIOD),
            }),
        })
    }

    /// Returns what is held now.
    pub fn usage(&self) -> Usage {
        let inner = self.lock();
        Usage {
            held: inner.ledger.held(),
            capacity: self.config.capacity,
            bodies: inner.ledger.len(),
            ..inner.counts
        }
    }

    /// Reads a body. The hold has to be kept as long as the body is.
    ///
    /// Memory is taken as bytes arrive: a length that is only announced takes none.
    ///
    /// # Errors
    ///
    /// Returns why the body can't be used. What was read of it is dropped.
    pub async fn receive(
        self: &Arc<Self>,
        headers: &HeaderMap,
        payload: &mut Payload,
        bounds: Bounds,
    ) -> Result<(Bytes, Option<Hold>), Error> {
        let announced = announced_length(headers);
        if announced.is_some_and(|length| length > bounds.largest) {
            return Err(Error::TooLarge);
        }
        let limit = announced.unwrap_or(bounds.largest);
        let mut source = Incoming(payload);
        match timeout(bounds.time, self.collect(&mut source, limit)).await {
            Ok(received) => received.map_err(|failed| match failed {
                Failed::Source(()) => Error::Broken,
                Failed::Body(error) => error,
            }),
            Err(_) => Err(Error::Late),
        }
    }

    /// Reads a body of up to `limit` bytes from its source. The hold has to be kept as long as
    /// the body is.
    ///
    /// # Errors
    ///
    /// Returns why the body can't be used. What was read of it is dropped.
    pub async fn collect<S>(
        self: &Arc<Self>,
        source: &mut S,
        limit: usize,
    ) -> Result<(Bytes, Option<Hold>), Failed<S::Error>>
    where
        S: Source,
    {
        let mut buffer = BytesMut::new();
        let mut hold: Option<Hold> = None;
        let mut pieces = Pieces::new(self.config.pieces);
        loop {
            let chunk = match &hold {
                None => source.next().await,
                Some(hold) => tokio::select! {
                    biased;
                    () = hold.notice.notified() => return Err(Failed::Body(Error::Shortage)),
                    chunk = source.next() => chunk,
                },
            };
            let Some(chunk) = chunk else {
                break;
            };
            let chunk = chunk.map_err(Failed::Source)?;
            let chunk = chunk.as_ref();
            let length = buffer.len() + chunk.len();
            if length > limit {
                return Err(Failed::Body(Error::TooLarge));
            }
            if !pieces.add(chunk.len()) {
                let mut inner = self.lock();
                inner.note_pieces(self.config.name, &pieces, clock::mono());
                return Err(Failed::Body(Error::Pieces));
            }
            let hold = hold.get_or_insert_with(|| self.enter());
            if length > hold.bytes {
                let capacity = length.next_power_of_two().max(FIRST_CAPACITY).min(limit);
                hold.grow(capacity).map_err(Failed::Body)?;
                let mut grown = BytesMut::with_capacity(capacity);
                grown.extend_from_slice(&buffer);
                buffer = grown;
            }
            buffer.extend_from_slice(chunk);
        }
        match hold {
            Some(hold) if !hold.complete() => Err(Failed::Body(Error::Shortage)),
            hold => Ok((buffer.freeze(), hold)),
        }
    }

    /// Reads and drops the rest of a refused request's body, up to `limit` bytes and for a
    /// bounded time, while the refusal is sent. Past these the connection is closed.
    ///
    /// A connection that is closed with unread bytes is reset, and a caller that is still
    /// sending would lose the refusal, with its promise that the request did not run.
    pub fn discard(self: &Arc<Self>, mut payload: Payload, limit: usize) {
        let bodies = Arc::clone(self);
        ntex::rt::spawn(async move {
            let mut pieces = Pieces::new(bodies.config.pieces);
            let rest = async {
                while let Some(Ok(chunk)) = payload.recv().await {
                    if !pieces.add(chunk.len()) || pieces.bytes > limit {
                        return false;
                    }
                }
                true
            };
            if !timeout(bodies.config.discard_time, rest)
                .await
                .unwrap_or(false)
            {
                let mut inner = bodies.lock();
                inner.note_unread(bodies.config.name, &pieces, clock::mono());
            }
        });
    }

    fn enter(self: &Arc<Self>) -> Hold {
        let notice = Arc::new(Notify::new());
        let mut inner = self.lock();
        let key = inner.ledger.enter(clock::mono());
        inner.notices.insert(key, Arc::clone(&notice));
        Hold {
            bodies: Arc::clone(self),
            key,
            bytes: 0,
            notice,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn grow(&mut self, name: &str, key: Key, bytes: usize, now: Mono) -> bool {
        let decision = self.ledger.grow(key, bytes as u64, now);
        for victim in &decision.cut {
            if let Some(notice) = self.notices.remove(victim) {
                notice.notify_one();
            }
        }
        self.counts.cut += decision.cut.len() as u64;
        self.counts.refused += u64::from(!decision.granted);
        self.log(name, &decision, bytes, now);
        decision.granted
    }

    fn log(&mut self, name: &str, decision: &Decision, bytes: usize, now: Mono) {
        if decision.granted && decision.cut.is_empty() {
            return;
        }
        let Some(suppressed) = self.short.pass(now) else {
            return;
        };
        tracing::warn!(
            of = name,
            bytes,
            granted = decision.granted,
            cut = decision.cut.len(),
            held = self.ledger.held(),
            capacity = self.ledger.config().capacity,
            bodies = self.ledger.len(),
            suppressed,
            "memory for bodies is short"
        );
    }

    fn note_pieces(&mut self, name: &str, pieces: &Pieces, now: Mono) {
        self.counts.pieces += 1;
        if let Some(suppressed) = self.pieces.pass(now) {
            let Pieces { count, bytes, .. } = pieces;
            tracing::warn!(
                of = name,
                count,
                bytes,
                suppressed,
                "a body came in too many pieces"
            );
        }
    }

    fn note_unread(&mut self, name: &str, pieces: &Pieces, now: Mono) {
        self.counts.unread += 1;
        if let Some(suppressed) = self.unread.pass(now) {
            let Pieces { count, bytes, .. } = pieces;
            tracing::warn!(
                of = name,
                count,
                bytes,
                suppressed,
                "the rest of a refused body was not read"
            );
        }
    }
}

/// Memory taken for one body, given back when it is dropped.
#[derive(Debug)]
pub struct Hold {
    bodies: Arc<Bodies>,
    key: Key,
    /// What was granted.
    bytes: usize,
    notice: Arc<Notify>,
}

impl Hold {
    fn grow(&mut self, bytes: usize) -> Result<(), Error> {
        let mut inner = self.bodies.lock();
        let granted = inner.grow(self.bodies.config.name, self.key, bytes, clock::mono());
        if !granted {
            return Err(Error::Shortage);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Notes that the body is complete. Returns whether it may be used.
    fn complete(&self) -> bool {
        let mut inner = self.bodies.lock();
        inner.notices.remove(&self.key);
        inner.ledger.complete(self.key)
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut inner = self.bodies.lock();
        inner.notices.remove(&self.key);
        inner.ledger.leave(self.key);
    }
}

/// Counts the pieces that a body comes in.
#[derive(Debug)]
struct Pieces {
    /// How many there may be, besides one for each [`PIECE`] bytes.
    limit: usize,
    count: usize,
    bytes: usize,
}

impl Pieces {
    const fn new(limit: usize) -> Pieces {
        Pieces {
            limit,
            count: 0,
            bytes: 0,
        }
    }

    /// Adds a piece. Returns whether there may be as many.
    fn add(&mut self, bytes: usize) -> bool {
        self.count += 1;
        self.bytes += bytes;
        self.count <= self.limit.saturating_add(self.bytes / PIECE)
    }
}

/// Returns the length that a request announces for its body.
pub fn announced_length(headers: &HeaderMap) -> Option<usize> {
    let length = headers.get(CONTENT_LENGTH)?;
    length.to_str().ok()?.trim().parse().ok()
}
