//! The interfaces that every process serves.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use almondlock_base::{
    id::{Host, Upstream},
    time::Mono,
    unit::Revision,
};
use almondlock_spread::{children::Admission, parent, snapshot::Encoding};
use almondlock_transport::Identity;
use almondlock_wire::{
    almondlock_capnp::{node, spread},
    peer::Peer,
    spread::{Body, CHANGES, Delta, Fetch, Process, Standing, Want},
};
use tokio::time::{sleep, timeout};

use crate::{
    clock,
    handle::{Handle, Shared},
    node::Parts,
};

/// The longest that an answer waits for news, whatever is asked for.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// A process that hears from above as often as those below ask waits for that by so large
/// a part of the time longer than they allow.
const HEARD_PART: u32 = 4;

/// Bytes of changes in one answer. Who lacks more asks again.
const BATCH: usize = 64 * 1024;

type Reply = Result<(), capnp::Error>;

/// Makes the bootstrap interface of each session.
pub(crate) fn maker(
    shared: Arc<Shared>,
    handle: Handle,
    parts: Parts,
) -> impl Fn(Identity, SocketAddr) -> node::Client + 'static {
    let parts = Rc::new(parts);
    move |identity, _| {
        capnp_rpc::new_client(Server {
            shared: Arc::clone(&shared),
            handle: handle.clone(),
            parts: Rc::clone(&parts),
            identity: Rc::new(identity),
        })
    }
}

/// The bootstrap interface of one session.
struct Server {
    shared: Arc<Shared>,
    handle: Handle,
    parts: Rc<Parts>,
    identity: Rc<Identity>,
}

impl node::Server for Server {
    async fn hello(
        self: Rc<Self>,
        params: node::HelloParams,
        mut results: node::HelloResults,
    ) -> Reply {
        let from = Peer::read(params.get()?.get_from()?)?;
        check(&self.identity, &from.host)?;
        self.handle.heard(&from);
        self.handle.peer().write(results.get().init_from());
        Ok(())
    }

    async fn sidecar(
        self: Rc<Self>,
        params: node::SidecarParams,
        mut results: node::SidecarResults,
    ) -> Reply {
        let name = params.get()?.get_upstream()?.to_str()?;
        let name = Upstream::new(name).map_err(|error| capnp::Error::failed(error.to_string()))?;
        match self.parts.sidecars.get(&name) {
            Some(client) => {
                results.get().set_sidecar(client);
                Ok(())
            }
            None => Err(capnp::Error::failed(format!(
                "no sidecar of {name} on this host"
            ))),
        }
    }

    async fn spread(
        self: Rc<Self>,
        _: node::SpreadParams,
        mut results: node::SpreadResults,
    ) -> Reply {
        let spread = Spread {
            shared: Arc::clone(&self.shared),
            handle: self.handle.clone(),
            identity: Rc::clone(&self.identity),
            child: RefCell::default(),
        };
        results.get().set_spread(capnp_rpc::new_client(spread));
        Ok(())
    }

    async fn control(
        self: Rc<Self>,
        _: node::ControlParams,
        mut results: node::ControlResults,
    ) -> Reply {
        let control = self.parts.control.clone();
        let control = control
            .ok_or_else(|| capnp::Error::failed("this host is no control replica".into()))?;
        results.get().set_control(control);
        Ok(())
    }
}

/// Refuses a process that calls itself by a name it has not proved.
fn check(identity: &Identity, host: &Host) -> Reply {
    if identity.allows(host) {
        return Ok(());
    }
    let problem = format!("the certificate shown is not {host}'s");
    Err(capnp::Error::failed(problem))
}

/// The tree's interface towards one child.
struct Spread {
    shared: Arc<Shared>,
    handle: Handle,
    identity: Rc<Identity>,
    child: RefCell<Option<Process>>,
}

impl Drop for Spread {
    /// The session is over, and everything exported on it is let go of. This is
    /// how the loss of a child is noticed at once when its host can still say so.
    fn drop(&mut self) {
        if let Some(process) = self.child.borrow_mut().take() {
            self.shared.tree().children.close(&process);
        }
    }
}

impl spread::Server for Spread {
    async fn fetch(
        self: Rc<Self>,
        params: spread::FetchParams,
        mut results: spread::FetchResults,
    ) -> Reply {
        let fetch = Fetch::read(params.get()?)?;
        drop(params);
        let from = &fetch.report.from;
        check(&self.identity, &from.host)?;
        self.handle.heard(from);
        let (came, is_new) = (clock::mono(), self.child.borrow().is_none());
        if is_new {
            self.become_current(&fetch).await;
        }
        let (body, standing) = match self.admit(&fetch, is_new) {
            Admission::Full(others) => self.inform(&fetch, others).await?,
            Admission::Served => {
                if !is_new {
                    self.wait(&fetch).await;
                }
                (
                    self.body(fetch.want, Encoding::for_version(from.version))?,
                    self.standing(came),
                )
            }
        };
        // Read before the body was, the revision could be one that the body
        // goes beyond; read after it, it is never lower.
        let from = self.shared.peer();
        let delta = Delta {
            body,
            newest: from.revision,
            standing,
            from,
        };
        delta.write(results.get().init_delta());
        Ok(())
    }
}

impl Spread {
    fn is_current(&self) -> bool {
        self.shared.age(clock::mono()) <= parent::Config::default().max_answer_age
    }

    /// Waits, as long as a newcomer allows, until this source is current.
    ///
    /// **Failure.** All processes start at the same moment. Entry hosts ask the sources
    /// before those have a leader, find none that is current, and pause before they ask
    /// again, each time for longer.
    async fn become_current(&self, fetch: &Fetch) {
        if !self.shared.is_source || fetch.want == Want::Nothing {
            return;
        }
        let current = async {
            loop {
                // Made before the look, so that nothing is missed between both.
                let advanced = self.shared.current.advanced();
                if self.is_current() {
                    return;
                }
                advanced.await;
            }
        };
        // Over time, it is refused.
        timeout(fetch.wait.min(WAIT_LIMIT), current).await.ok();
    }

    /// Answers a process that isn't served. A source tells it the configuration all the
    /// same, so that it serves its callers while it looks for a parent, and names other
    /// sources where it knows no child that could be one.
    async fn inform(
        &self,
        fetch: &Fetch,
        mut others: Vec<SocketAddr>,
    ) -> Result<(Body, Standing), capnp::Error> {
        let leaves = fetch.report.processes == 0;
        if !self.shared.is_source || leaves || !self.is_current() {
            return Ok((Body::Empty, Standing::Full(others)));
        }
        if others.is_empty() {
            others = self.siblings();
        }
        let form = Encoding::for_version(fetch.report.from.version);
        let body = self.body(fetch.want, form)?;
        let passes = {
            let mut tree = self.shared.tree();
            tree.pacer.reserve(clock::mono(), size(&body), fetch.wait)
        };
        let Some(pause) = passes else {
            return Ok((Body::Empty, Standing::Full(others)));
        };
        sleep(pause).await;
        let age = self.shared.age(clock::mono());
        Ok((body, Standing::Informed(age, others)))
    }

    /// The other sources, in an order that differs from answer to answer.
    fn siblings(&self) -> Vec<SocketAddr> {
        let own = self.shared.own.address;
        let mut all = self.shared.view.get().sources.clone();
        all.retain(|source| *source != own);
        let turns = self.shared.turns.fetch_add(1, Ordering::Relaxed);
        let first = turns % all.len().max(1);
        all.rotate_left(first);
        all
    }

    fn admit(&self, fetch: &Fetch, is_new: bool) -> Admission {
        // Who isn't current itself is of no use as a parent, and must not count
        // a process that will find so and leave. Who has no parent takes no newcomers:
        // two of them would serve each other.
        let has_place = self.shared.is_source || !is_new || !self.shared.tree().way.is_empty();
        if fetch.want != Want::Nothing && !(self.is_current() && has_place) {
            return Admission::Full(Vec::new());
        }
        let own = self.shared.view.revision();
        let (admission, lowest) = {
            let mut tree = self.shared.tree();
            let admission = tree.children.admit(clock::mono(), fetch);
            (admission, tree.children.lowest(own))
        };
        if admission == Admission::Served && fetch.want != Want::Nothing {
            self.child.replace(Some(Process::of(&fetch.report.from)));
        }
        // Once all below have a revision, those above need not wait for the
        // next regular report to know it.
        self.shared.lowest.send_if_modified(|last| {
            let before = std::mem::replace(last, lowest);
            before != lowest
        });
        if self.shared.is_source {
            self.shared.tell_lowest();
        }
        admission
    }

    /// Holds an answer back until there is news, or until this process has heard from above
    /// again: then all below hear at once how recent their configuration is, and the time
    /// for which answers are held doesn't add up from level to level.
    async fn wait(&self, fetch: &Fetch) {
        let Want::After(have) = fetch.want else {
            return;
        };
        let mut watch = self.shared.view.watch();
        let news = watch.wait_for(|revision| *revision > have);
        let limit = fetch.wait.min(WAIT_LIMIT);
        // Over time or with news, the answer says how things are.
        if self.shared.is_source {
            timeout(limit, news).await.ok();
            return;
        }
        let heard = self.shared.current.advanced();
        let either = async {
            tokio::select! {
                _ = news => {}
                () = heard => {}
            }
        };
        timeout(limit + limit / HEARD_PART, either).await.ok();
    }

    fn body(&self, want: Want, form: Encoding) -> Result<Body, capnp::Error> {
        let view = &self.shared.view;
        let body = match want {
            Want::Nothing => Ok(Body::Empty),
            Want::After(have) if view.revision() <= have => Ok(Body::Empty),
            Want::After(have) => self.after(have, form),
            Want::Snapshot(revision, offset) => {
                let mut tree = self.shared.tree();
                tree.store
                    .piece(view, form, revision, offset)
                    .map(Body::Piece)
            }
        };
        body.map_err(|error| capnp::Error::failed(error.to_string()))
    }

    fn after(&self, have: Revision, form: Encoding) -> Result<Body, serde_json::Error> {
        let view = &self.shared.view;
        let mut tree = self.shared.tree();
        if !tree.store.is_shorter(view, form, have)? {
            let changes = view.with_ring(|ring| ring.after(have, CHANGES, BATCH));
            if let Some(changes) = changes {
                let changes = changes.iter().map(|change| change.to_vec());
                return Ok(Body::Changes(have.next(), changes.collect()));
            }
        }
        let piece = tree.store.piece(view, form, have.next(), 0)?;
        Ok(Body::Piece(piece))
    }

    /// How this process stands, in the answer to a question that came at `came`. The asker
    /// counts the age from its question on, so what passed since then is left out.
    fn standing(&self, came: Mono) -> Standing {
        let now = clock::mono();
        let age = self.shared.age(now).saturating_sub(now.since(came));
        Standing::Served(age, self.shared.tree().way.clone())
    }
}

/// Bytes of configuration in a body.
fn size(body: &Body) -> usize {
    match body {
        Body::Empty => 0,
        Body::Changes(_, changes) => changes.iter().map(Vec::len).sum(),
        Body::Piece(piece) => piece.data.len(),
    }
}
