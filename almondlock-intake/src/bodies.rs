//! Reading bodies within one budget for the process.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use almondlock_base::{Code, time::Mono};
use almondlock_policy::intake::{Config, Decision, Key, Ledger};
use almondlock_telemetry::{figures::Figures, throttle::Throttle};
use almondlock_transport::clock;
use ntex::{
    http::{HeaderMap, header::CONTENT_LENGTH},
    util::{Bytes, BytesMut},
    web::types::Payload,
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

/// Smallest capacity of a buffer, in bytes.
const FIRST_CAPACITY: usize = 4096;
/// Pieces that a body may come in: this many, and one for each [`PIECE`] bytes. Each costs
/// the same work whatever its size.
const PIECES: usize = 4096;
const PIECE: usize = 16;
/// A body that has not arrived is left alone for this long even if memory is short. A caller
/// whose request isn't read within a second tries elsewhere.
pub const GRACE: Duration = Duration::from_secs(1);
/// Time for which the rest of a refused request is read, so that its caller, who may still
/// be sending, can read the refusal.
const DISCARD_TIME: Duration = Duration::from_secs(2);
/// A shortage is logged once in this time.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// The budget of memory for bodies, shared by the threads of a process.
#[derive(Debug)]
pub struct Bodies {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    ledger: Ledger,
    /// How to tell the bodies that are arriving to give way.
    notices: HashMap<Key, Arc<Notify>>,
    refused: u64,
    cut: u64,
    logged: Throttle,
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
}

impl Usage {
    /// Puts the levels and counts into figures of this name.
    pub fn report(&self, figures: &Figures, name: &str) {
        let put = |what: &str, level: u64| {
            let level = i64::try_from(level).unwrap_or(i64::MAX);
            figures.set(name, &format!("what=\"{what}\""), level);
        };
        put("held", self.bodies as u64);
        put("bytes", self.held);
        put("refused", self.refused);
        put("cut", self.cut);
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

/// Bounds of one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Largest size, in bytes.
    pub largest: usize,
    /// Time allowed for it to arrive.
    pub time: Duration,
}

impl Bodies {
    /// Returns a budget of `capacity` bytes.
    pub fn new(capacity: u64) -> Arc<Bodies> {
        let config = Config {
            capacity,
            grace: GRACE,
        };
        Arc::new(Bodies {
            inner: Mutex::new(Inner {
                ledger: Ledger::new(config),
                notices: HashMap::new(),
                refused: 0,
                cut: 0,
                logged: Throttle::new(LOG_PERIOD),
            }),
        })
    }

    /// Returns what is held now.
    pub fn usage(&self) -> Usage {
        let inner = self.lock();
        Usage {
            held: inner.ledger.held(),
            capacity: inner.ledger.config().capacity,
            bodies: inner.ledger.len(),
            refused: inner.refused,
            cut: inner.cut,
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
        match timeout(bounds.time, self.gather(payload, limit)).await {
            Ok(received) => received,
            Err(_) => Err(Error::Late),
        }
    }

    /// Reads a body of up to `limit` bytes.
    async fn gather(
        self: &Arc<Self>,
        payload: &mut Payload,
        limit: usize,
    ) -> Result<(Bytes, Option<Hold>), Error> {
        let mut buffer = BytesMut::new();
        let mut hold: Option<Hold> = None;
        let mut pieces = Pieces::default();
        loop {
            let chunk = match &hold {
                None => payload.recv().await,
                Some(hold) => tokio::select! {
                    biased;
                    () = hold.notice.notified() => return Err(Error::Shortage),
                    chunk = payload.recv() => chunk,
                },
            };
            let Some(chunk) = chunk else {
                break;
            };
            let chunk = chunk.map_err(|_| Error::Broken)?;
            let length = buffer.len() + chunk.len();
            if length > limit {
                return Err(Error::TooLarge);
            }
            if !pieces.add(chunk.len()) {
                return Err(Error::Pieces);
            }
            let hold = hold.get_or_insert_with(|| self.enter());
            if length > hold.bytes {
                let capacity = length.next_power_of_two().max(FIRST_CAPACITY).min(limit);
                hold.grow(capacity)?;
                let mut grown = BytesMut::with_capacity(capacity);
                grown.extend_from_slice(&buffer);
                buffer = grown;
            }
            buffer.extend_from_slice(&chunk);
        }
        match hold {
            Some(hold) if !hold.complete() => Err(Error::Shortage),
            hold => Ok((buffer.freeze(), hold)),
        }
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
    fn grow(&mut self, key: Key, bytes: usize, now: Mono) -> bool {
        let decision = self.ledger.grow(key, bytes as u64, now);
        for victim in &decision.cut {
            if let Some(notice) = self.notices.remove(victim) {
                notice.notify_one();
            }
        }
        self.cut += decision.cut.len() as u64;
        self.refused += u64::from(!decision.granted);
        self.log(&decision, bytes, now);
        decision.granted
    }

    fn log(&mut self, decision: &Decision, bytes: usize, now: Mono) {
        if decision.granted && decision.cut.is_empty() {
            return;
        }
        let Some(suppressed) = self.logged.pass(now) else {
            return;
        };
        tracing::warn!(
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
        let granted = self.bodies.lock().grow(self.key, bytes, clock::mono());
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
#[derive(Debug, Default)]
struct Pieces {
    count: usize,
    bytes: usize,
}

impl Pieces {
    /// Adds a piece. Returns whether there may be as many.
    fn add(&mut self, bytes: usize) -> bool {
        self.count += 1;
        self.bytes += bytes;
        self.count <= PIECES + self.bytes / PIECE
    }
}

/// Returns the length that a request announces for its body.
pub fn announced_length(headers: &HeaderMap) -> Option<usize> {
    let length = headers.get(CONTENT_LENGTH)?;
    length.to_str().ok()?.trim().parse().ok()
}

/// Reads and drops the rest of a refused request's body, up to `limit` bytes and for a
/// bounded time, while the refusal is sent. Past these the connection is closed.
///
/// A connection that is closed with unread bytes is reset, and a caller that is still
/// sending would lose the refusal, with its promise that the request did not run.
pub fn discard(mut payload: Payload, limit: usize) {
    ntex::rt::spawn(async move {
        let rest = async {
            let mut pieces = Pieces::default();
            while let Some(Ok(chunk)) = payload.recv().await {
                if !pieces.add(chunk.len()) || pieces.bytes > limit {
                    break;
                }
            }
        };
        tokio::select! {
            () = rest => {}
            () = sleep(DISCARD_TIME) => {}
        }
    });
}
