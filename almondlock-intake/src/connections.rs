//! The open connections of a listener's thread.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use almondlock_policy::connections::{Admission, Config, State, Table};
use almondlock_telemetry::throttle::Throttle;
use almondlock_transport::clock;
use ntex::{
    Middleware, Service, ServiceCtx, SharedCfg,
    io::{Filter, Id, Io, IoRef},
};

/// Time in which a request should arrive once its connection is open, or its first byte was
/// read. Slower ones are the first to give way.
pub const GRACE: Duration = Duration::from_secs(1);
/// A full table is logged once in this time.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// The open connections of a thread. Clones share them.
#[derive(Clone, Debug)]
pub struct Connections {
    inner: Rc<RefCell<Inner>>,
}

#[derive(Debug)]
struct Inner {
    limit: usize,
    table: Table<Id>,
    open: HashMap<Id, Open>,
    totals: Arc<Totals>,
    /// How many of this thread are in `totals`.
    counted: u64,
    logged: Throttle,
}

/// Levels and counts of all threads of a listener.
#[derive(Debug, Default)]
pub struct Totals {
    open: AtomicU64,
    replaced: AtomicU64,
    refused: AtomicU64,
    pipelined: AtomicU64,
    stalled: AtomicU64,
}

#[derive(Debug)]
struct Open {
    io: IoRef,
    /// How many requests in a row had another one behind them.
    ahead: u32,
}

/// Levels and counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Connections now.
    pub open: u64,
    /// Connections closed because another one took their place.
    pub replaced: u64,
    /// New connections closed because there was no place.
    pub refused: u64,
    /// Connections closed after too many requests ahead.
    pub pipelined: u64,
    /// Connections closed because their answers weren't read.
    pub stalled: u64,
}

impl Usage {
    /// Returns the levels and counts with their names in metrics.
    pub const fn levels(&self) -> [(&'static str, u64); 5] {
        [
            ("open", self.open),
            ("replaced", self.replaced),
            ("refused", self.refused),
            ("pipelined", self.pipelined),
            ("stalled", self.stalled),
        ]
    }
}

impl Totals {
    fn usage(&self) -> Usage {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Usage {
            open: read(&self.open),
            replaced: read(&self.replaced),
            refused: read(&self.refused),
            pipelined: read(&self.pipelined),
            stalled: read(&self.stalled),
        }
    }
}

impl Connections {
    /// Returns an empty table with this many places, counted in `totals`.
    pub fn new(limit: usize, totals: Arc<Totals>) -> Connections {
        let config = Config {
            limit,
            grace: GRACE,
        };
        Connections {
            inner: Rc::new(RefCell::new(Inner {
                limit,
                table: Table::new(config),
                open: HashMap::new(),
                totals,
                counted: 0,
                logged: Throttle::new(LOG_PERIOD),
            })),
        }
    }

    /// Returns how many there are, and what became of others, over all threads.
    pub fn usage(&self) -> Usage {
        self.inner.borrow().totals.usage()
    }

    /// Notes that a request has begun on a connection. The connection counts as receiving
    /// until [`Busy::serve`], and as idle once the value is dropped.
    pub fn begin(&self, io: Option<&IoRef>) -> Busy {
        let busy = Busy {
            connections: self.clone(),
            id: io.map(IoRef::id),
        };
        busy.note(State::Receiving);
        busy
    }

    /// Closes the connections on which a part of an answer has waited for at least `time`.
    pub fn close_stalled(&self, time: Duration) {
        let mut inner = self.inner.borrow_mut();
        let stalled = inner.table.stalled(time, clock::mono());
        let mut closed = Vec::new();
        for id in stalled {
            inner.table.remove(id);
            closed.extend(inner.open.remove(&id));
        }
        add(&inner.totals.stalled, closed.len() as u64);
        inner.count_open();
        drop(inner);
        if !closed.is_empty() {
            let (count, after_ms) = (closed.len(), time.as_millis());
            tracing::warn!(
                count,
                after_ms,
                "connections closed, their answers weren't read"
            );
        }
        closed.iter().for_each(|open| open.io.terminate());
    }

    /// Returns how many requests in a row had another one behind them.
    pub(crate) fn ahead(&self, io: &IoRef) -> u32 {
        let inner = self.inner.borrow();
        inner.open.get(&io.id()).map_or(0, |open| open.ahead)
    }

    /// Notes whether another request waits behind the one that was just answered. Returns
    /// how many in a row had one.
    pub(crate) fn note_ahead(&self, io: &IoRef) -> u32 {
        let is_ahead = io.with_read_buf(|bytes| !bytes.is_empty());
        let mut inner = self.inner.borrow_mut();
        inner.table.note_ahead(io.id(), is_ahead);
        let Some(open) = inner.open.get_mut(&io.id()) else {
            return 0;
        };
        open.ahead = if is_ahead { open.ahead + 1 } else { 0 };
        open.ahead
    }

    /// Counts a connection that is closed because of its requests ahead.
    pub(crate) fn count_pipelined(&self) {
        add(&self.inner.borrow().totals.pipelined, 1);
    }

    /// Enters a connection. Returns `None` if there is no place for it.
    fn admit(&self, io: &IoRef) -> Option<Place> {
        let mut inner = self.inner.borrow_mut();
        let id = io.id();
        let admission = inner.table.admit(id, clock::mono());
        let closed = match admission {
            Admission::Admitted => None,
            Admission::Replaces(other) => {
                add(&inner.totals.replaced, 1);
                inner.open.remove(&other)
            }
            Admission::Refused => {
                add(&inner.totals.refused, 1);
                None
            }
        };
        if admission != Admission::Admitted {
            inner.log();
        }
        let place = (admission != Admission::Refused).then(|| {
            let open = Open {
                io: io.clone(),
                ahead: 0,
            };
            inner.open.insert(id, open);
            Place {
                connections: self.clone(),
                id,
            }
        });
        inner.count_open();
        // Closing may run the dispatcher of that connection.
        drop(inner);
        if let Some(closed) = closed {
            closed.io.terminate();
        }
        place
    }

    fn remove(&self, id: Id) {
        let mut inner = self.inner.borrow_mut();
        inner.table.remove(id);
        inner.open.remove(&id);
        inner.count_open();
    }
}

fn add(total: &AtomicU64, count: u64) {
    total.fetch_add(count, Ordering::Relaxed);
}

impl Inner {
    /// Brings the number of connections in `totals` up to date.
    fn count_open(&mut self) {
        let open = self.table.len() as u64;
        add(&self.totals.open, open.saturating_sub(self.counted));
        let gone = self.counted.saturating_sub(open);
        self.totals.open.fetch_sub(gone, Ordering::Relaxed);
        self.counted = open;
    }

    fn log(&mut self) {
        if let Some(suppressed) = self.logged.pass(clock::mono()) {
            let Usage {
                replaced, refused, ..
            } = self.totals.usage();
            tracing::warn!(
                limit = self.limit,
                replaced,
                refused,
                suppressed,
                "all connections are taken"
            );
        }
    }
}

/// A request on a connection.
#[derive(Debug)]
pub struct Busy {
    connections: Connections,
    id: Option<Id>,
}

impl Busy {
    /// Notes that the request has arrived and is being served: the connection is not closed
    /// for another one.
    pub fn serve(&self) {
        self.note(State::Serving);
    }

    /// Notes that a part of the answer waits until its caller has read what was sent before.
    /// To be followed by [`serve`](Self::serve) once it has.
    pub fn send(&self) {
        self.note(State::Sending);
    }

    fn note(&self, state: State) {
        if let Some(id) = self.id {
            let mut inner = self.connections.inner.borrow_mut();
            inner.table.note(id, state, clock::mono());
        }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.note(State::Idle);
    }
}

/// The place of a connection, given back when it ends.
struct Place {
    connections: Connections,
    id: Id,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.connections.remove(self.id);
    }
}

/// Admits connections to a service.
#[derive(Clone, Debug)]
pub struct Gate {
    connections: Connections,
}

impl Gate {
    /// Returns a gate to these connections.
    pub const fn new(connections: Connections) -> Gate {
        Gate { connections }
    }
}

impl<S> Middleware<S, SharedCfg> for Gate {
    type Service = Guarded<S>;

    fn create(&self, service: S, _: SharedCfg) -> Guarded<S> {
        Guarded {
            service,
            connections: self.connections.clone(),
        }
    }
}

/// A service behind a [`Gate`].
#[derive(Debug)]
pub struct Guarded<S> {
    service: S,
    connections: Connections,
}

impl<S, F> Service<Io<F>> for Guarded<S>
where
    S: Service<Io<F>, Response = ()>,
    F: Filter,
{
    type Response = ();
    type Error = S::Error;

    ntex::forward_ready!(service);
    ntex::forward_poll!(service);
    ntex::forward_shutdown!(service);

    async fn call(&self, io: Io<F>, ctx: ServiceCtx<'_, Self>) -> Result<(), S::Error> {
        let Some(place) = self.connections.admit(&io.get_ref()) else {
            io.terminate();
            return Ok(());
        };
        let ended = ctx.call(&self.service, io).await;
        drop(place);
        ended
    }
}
