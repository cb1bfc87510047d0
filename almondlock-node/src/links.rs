//! Sessions with other processes, kept by one thread.
//!
//! A link can go silent without an error: nothing arrives, nothing fails. So
//! whoever waits for something on it also waits for [`Session::lost`], and as
//! long as anybody does, the other side is asked for signs of life. A link that
//! nobody waits on is not asked, nor one on which something has just come:
//! hundreds of links would cost an entry host more than all else it does. One
//! that stays unused is closed.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use almondlock_transport::{Dialer, Link};
use almondlock_wire::{almondlock_capnp::node, peer::Peer};
use tokio::{sync::watch, time::timeout};

use crate::handle::Handle;

/// How often a session is asked for a sign of life.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Rounds without anybody waiting after which a session is closed.
const IDLE_ROUNDS: u32 = 60;
/// How long the sign may take.
const SILENCE: Duration = Duration::from_secs(2);

/// A session that is known to live, or to be lost.
#[derive(Clone)]
pub struct Session {
    link: Link,
    lost: watch::Receiver<bool>,
    // How many wait on it now.
    waiting: Rc<Cell<u32>>,
    // Whether it was handed out since the last look.
    used: Rc<Cell<bool>>,
    heard: Heard,
}

/// Notes that something came over a session: as good as a sign of life.
#[derive(Clone, Default)]
pub struct Heard(Rc<Cell<bool>>);

impl Heard {
    /// Something came.
    pub fn note(&self) {
        self.0.set(true);
    }

    /// Whether something came since the last look.
    fn take(&self) -> bool {
        self.0.replace(false)
    }
}

/// Somebody waits on a session.
struct Wait(Rc<Cell<u32>>);

impl Wait {
    fn new(waiting: &Rc<Cell<u32>>) -> Wait {
        waiting.set(waiting.get() + 1);
        Wait(Rc::clone(waiting))
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl Session {
    /// The other side's bootstrap interface.
    pub fn node(&self) -> &node::Client {
        self.link.node()
    }

    /// To be told whenever something comes over the session.
    pub fn heard(&self) -> Heard {
        self.heard.clone()
    }

    /// Ends when the session is lost. Signs of life are asked for while this is
    /// waited for.
    pub async fn lost(&self) {
        let _wait = Wait::new(&self.waiting);
        let mut lost = self.lost.clone();
        // An error means that the heartbeat is gone, which is loss too.
        let _ = lost.wait_for(|lost| *lost).await;
    }

    fn is_lost(&self) -> bool {
        self.link.is_closed() || *self.lost.borrow() || self.lost.has_changed().is_err()
    }
}

/// One thread's sessions, by address.
#[derive(Clone)]
pub struct Links {
    handle: Handle,
    sessions: Rc<RefCell<HashMap<SocketAddr, Session>>>,
    dialer: Rc<Dialer>,
}

impl Links {
    /// No sessions yet.
    pub fn new(handle: Handle) -> Links {
        Links {
            sessions: Rc::default(),
            dialer: Rc::new(Dialer::new(handle.security().clone())),
            handle,
        }
    }

    /// The session with a process; a new one if there is none that lives.
    pub async fn get(&self, address: SocketAddr) -> io::Result<Session> {
        let known = self.sessions.borrow().get(&address).cloned();
        if let Some(session) = known.filter(|session| !session.is_lost()) {
            session.used.set(true);
            return Ok(session);
        }
        let link = self.dialer.dial(address).await?;
        let (tell, lost) = watch::channel(false);
        let session = Session {
            link,
            lost,
            waiting: Rc::default(),
            used: Rc::new(Cell::new(true)),
            heard: Heard::default(),
        };
        let beat = Heartbeat {
            link: session.link.clone(),
            handle: self.handle.clone(),
            waiting: Rc::clone(&session.waiting),
            used: Rc::clone(&session.used),
            heard: session.heard.clone(),
        };
        let owner = self.handle.owner();
        owner.spawn_part("session-heartbeat", beat.run(tell));
        let mut sessions = self.sessions.borrow_mut();
        sessions.retain(|_, session| !session.is_lost());
        sessions.insert(address, session.clone());
        Ok(session)
    }

    /// Forgets the session with a process, so that the next use dials anew.
    pub fn drop(&self, address: SocketAddr) {
        self.sessions.borrow_mut().remove(&address);
    }
}

/// Looks after one session.
struct Heartbeat {
    link: Link,
    handle: Handle,
    waiting: Rc<Cell<u32>>,
    used: Rc<Cell<bool>>,
    heard: Heard,
}

impl Heartbeat {
    /// Asks for signs of life while somebody waits, until one stays out; ends
    /// also when nobody holds the session, or has used it for long.
    async fn run(self, tell: watch::Sender<bool>) {
        let mut idle = 0;
        loop {
            tokio::select! {
                () = tokio::time::sleep(HEARTBEAT) => {}
                () = tell.closed() => return,
            }
            if self.waiting.get() == 0 {
                idle = if self.used.replace(false) {
                    0
                } else {
                    idle + 1
                };
                if idle < IDLE_ROUNDS {
                    continue;
                }
            } else {
                idle = 0;
                if self.heard.take() || self.is_alive().await {
                    continue;
                }
            }
            let _ = tell.send(true);
            return;
        }
    }

    async fn is_alive(&self) -> bool {
        let mut request = self.link.node().hello_request();
        self.handle.peer().write(request.get().init_from());
        let Ok(Ok(answer)) = timeout(SILENCE, request.send().promise).await else {
            return false;
        };
        let Ok(peer) = answer.get().and_then(|answer| answer.get_from()) else {
            return false;
        };
        if let Ok(peer) = Peer::read(peer) {
            self.handle.heard(&peer);
        }
        true
    }
}
