//! One session per address, kept by a thread.
//!
//! Requests to an upstream follow each other closely, and a session is worth
//! keeping. One that has ended is dropped and dialled anew; an address that
//! can't be reached is left alone for a growing time, and asking for it fails
//! at once, so that a request can go elsewhere instead of waiting for a host
//! that isn't there. Whoever asks while a session is being dialled waits for
//! that one.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};

use almondlock_base::time::Mono;
use almondlock_task::guard;
use futures::{
    FutureExt,
    future::{LocalBoxFuture, Shared},
};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    backoff::Backoff,
    clock,
    layer::{Direct, Layer},
    link::{Dialer, Link},
};

const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

type Dial = Shared<LocalBoxFuture<'static, Result<Link, io::ErrorKind>>>;

enum State {
    Open(Link),
    Dialling(Dial),
    Failed(Backoff),
}

struct Inner {
    states: HashMap<SocketAddr, State>,
    rng: SmallRng,
}

/// Sessions of one thread. Clones share them.
pub struct Pool<L = Direct> {
    dialer: Rc<Dialer<L>>,
    inner: Rc<RefCell<Inner>>,
}

impl<L> Clone for Pool<L> {
    fn clone(&self) -> Pool<L> {
        Pool {
            dialer: Rc::clone(&self.dialer),
            inner: Rc::clone(&self.inner),
        }
    }
}

impl<L> Pool<L>
where
    L: Layer,
{
    /// An empty pool; the seed sets the pauses' random part.
    pub fn new(dialer: Dialer<L>, seed: u64) -> Pool<L> {
        Pool {
            dialer: Rc::new(dialer),
            inner: Rc::new(RefCell::new(Inner {
                states: HashMap::new(),
                rng: SmallRng::seed_from_u64(seed),
            })),
        }
    }

    /// The session with an address, dialled if there is none. Fails with
    /// `HostUnreachable` while the address is left alone after a failure.
    pub async fn get(&self, address: SocketAddr) -> io::Result<Link> {
        let dial = match self.look(address, clock::mono())? {
            Look::Link(link) => return Ok(link),
            Look::Dial(dial) => dial,
        };
        dial.await.map_err(io::Error::from)
    }

    /// Drops the session with an address, if there is one: the caller has
    /// found that nobody answers on it.
    pub fn forget(&self, address: SocketAddr) {
        self.inner.borrow_mut().states.remove(&address);
    }

    /// Drops sessions that have ended and sessions with addresses that the
    /// caller has no more use for.
    pub fn retain<F>(&self, mut keep: F)
    where
        F: FnMut(SocketAddr) -> bool,
    {
        let open = |state: &State| !matches!(state, State::Open(link) if link.is_closed());
        let mut inner = self.inner.borrow_mut();
        inner
            .states
            .retain(|address, state| open(state) && keep(*address));
    }

    fn look(&self, address: SocketAddr, now: Mono) -> io::Result<Look> {
        let backoff = {
            let mut inner = self.inner.borrow_mut();
            match inner.states.remove(&address) {
                Some(State::Open(link)) if !link.is_closed() => {
                    let kept = State::Open(link.clone());
                    inner.states.insert(address, kept);
                    return Ok(Look::Link(link));
                }
                Some(State::Dialling(dial)) => {
                    let kept = State::Dialling(dial.clone());
                    inner.states.insert(address, kept);
                    return Ok(Look::Dial(dial));
                }
                Some(State::Failed(backoff)) if !backoff.left(now).is_zero() => {
                    inner.states.insert(address, State::Failed(backoff));
                    return Err(io::ErrorKind::HostUnreachable.into());
                }
                Some(State::Failed(backoff)) => backoff,
                Some(State::Open(_)) | None => Backoff::new(FIRST_PAUSE, LONGEST_PAUSE),
            }
        };
        let dial = self.clone().dial(address, backoff).boxed_local().shared();
        // Runs to its end even when whoever asked has left, so that the state
        // never stays at "dialling".
        tokio::task::spawn_local(dial.clone());
        let state = State::Dialling(dial.clone());
        self.inner.borrow_mut().states.insert(address, state);
        Ok(Look::Dial(dial))
    }

    async fn dial(self, address: SocketAddr, mut backoff: Backoff) -> Result<Link, io::ErrorKind> {
        // Without this, a panic would stay in the shared future, and meet whoever asks for
        // the address from then on.
        let result = guard("dial", self.dialer.dial(address)).await;
        let result = result.unwrap_or_else(|panicked| Err(io::Error::other(panicked)));
        let mut inner = self.inner.borrow_mut();
        let state = match &result {
            Ok(link) => State::Open(link.clone()),
            Err(_) => {
                backoff.fail(clock::mono(), &mut inner.rng);
                State::Failed(backoff)
            }
        };
        inner.states.insert(address, state);
        result.map_err(|error| error.kind())
    }
}

enum Look {
    Link(Link),
    Dial(Dial),
}
