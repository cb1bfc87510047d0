//! Sessions with other processes, kept by one thread.
//!
//! A link can go silent without an error: nothing arrives, nothing fails. So
//! each one is asked for a sign of life all the time, and whoever waits on it
//! also waits for [`Session::lost`], which ends once the signs stop.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};

use almondlock_transport::{Dialer, Link};
use almondlock_wire::{almondlock_capnp::node, peer::Peer};
use tokio::{sync::watch, task::spawn_local, time::timeout};

use crate::handle::Handle;

/// How often a session is asked for a sign of life.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// How long the sign may take.
const SILENCE: Duration = Duration::from_secs(2);

/// A session that is known to live, or to be lost.
#[derive(Clone)]
pub struct Session {
    link: Link,
    lost: watch::Receiver<bool>,
}

impl Session {
    /// The other side's bootstrap interface.
    pub fn node(&self) -> &node::Client {
        self.link.node()
    }

    /// Ends when the session is lost.
    pub async fn lost(&self) {
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
            return Ok(session);
        }
        let link = self.dialer.dial(address).await?;
        let (tell, lost) = watch::channel(false);
        let session = Session { link, lost };
        spawn_local(heartbeat(session.link.clone(), self.handle.clone(), tell));
        let mut sessions = self.sessions.borrow_mut();
        sessions.insert(address, session.clone());
        Ok(session)
    }

    /// Forgets the session with a process, so that the next use dials anew.
    pub fn drop(&self, address: SocketAddr) {
        self.sessions.borrow_mut().remove(&address);
    }
}

/// Asks for signs of life until one stays out, or nobody holds the session.
async fn heartbeat(link: Link, handle: Handle, tell: watch::Sender<bool>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(HEARTBEAT) => {}
            () = tell.closed() => return,
        }
        let mut request = link.node().hello_request();
        handle.peer().write(request.get().init_from());
        let answered = match timeout(SILENCE, request.send().promise).await {
            Ok(Ok(answer)) => answer.get().and_then(|a| a.get_from()).ok().map(|peer| {
                if let Ok(peer) = Peer::read(peer) {
                    handle.heard(&peer);
                }
            }),
            _ => None,
        };
        if answered.is_none() {
            let _ = tell.send(true);
            return;
        }
    }
}
