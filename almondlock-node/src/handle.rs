//! What a process's other threads see of its node.

use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use almondlock_base::{time::Mono, unit::Revision};
use almondlock_spread::{
    children::{Children, Summary},
    pacer::Pacer,
    snapshot::Store,
    view::View,
};
use almondlock_task::Owner;
use almondlock_transport::Security;
use almondlock_wire::{
    peer::{Peer, VERSION},
    spread::Member,
};
use tokio::sync::{Notify, futures::Notified, watch};

use crate::clock;

/// How long a process may act as current without word from a source.
pub const RECENT: Duration = Duration::from_secs(12);

/// How often a source looks whether a revision is in force everywhere, besides each
/// time that somebody reports. Who was silent for too long counts no more, and nobody
/// reports that.
const IN_FORCE_PAUSE: Duration = Duration::from_millis(50);

/// How often a process that catches up looks whether it has.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(2);

/// Says until when a source's view was known to be current.
///
/// A replica that is cut off from the others holds an old configuration and
/// doesn't know it; so the replica module tells here each time that a quorum
/// has confirmed what it holds, and processes below it count from there.
#[derive(Clone, Debug, Default)]
pub struct Vouch {
    // Microseconds of the process's clock; zero before the first time. Never
    // goes down.
    at: Arc<AtomicU64>,
    advanced: Arc<Notify>,
}

impl Vouch {
    /// One that has not vouched yet.
    pub fn new() -> Vouch {
        Vouch::default()
    }

    /// The view held everything accepted before `now`.
    pub fn at(&self, now: Mono) {
        self.at.fetch_max(now.as_micros(), Ordering::Relaxed);
        self.advanced.notify_waiters();
    }

    /// Waits until somebody vouches again.
    pub(crate) fn advanced(&self) -> Notified<'_> {
        self.advanced.notified()
    }

    /// The last moment vouched for.
    pub fn last(&self) -> Option<Mono> {
        let micros = self.at.load(Ordering::Relaxed);
        (micros > 0).then_some(Mono::from_micros(micros))
    }
}

/// What the tasks of a node and its handles share.
///
/// Lock order: `tree`, then the view's own lock. Neither is held over an await.
pub(crate) struct Shared {
    pub(crate) own: Member,
    pub(crate) security: Security,
    pub(crate) is_source: bool,
    pub(crate) view: View,
    /// Until when the view is known to be current.
    pub(crate) current: Vouch,
    /// A source without a vouch is its own authority.
    pub(crate) always: bool,
    /// The newest revision heard of along the data path, and when.
    pub(crate) heard: AtomicU64,
    pub(crate) heard_at: Vouch,
    /// Something newer was heard of.
    pub(crate) news: Notify,
    /// The lowest revision in the subtree, as its last report came. Those above
    /// are told at once when it rises.
    pub(crate) lowest: watch::Sender<Revision>,
    /// The lowest revision in force in any process, on a source, as the last report
    /// came.
    pub(crate) lowest_of_all: watch::Sender<Revision>,
    pub(crate) tree: Mutex<Tree>,
    /// Counts the answers that name other sources.
    pub(crate) turns: AtomicUsize,
    /// Owner of the process's tasks.
    pub(crate) owner: Owner,
}

/// The node's place in the tree.
pub(crate) struct Tree {
    pub(crate) children: Children,
    pub(crate) store: Store,
    /// For processes that are told the configuration and not served.
    pub(crate) pacer: Pacer,
    /// The way up to a source, nearest first.
    pub(crate) way: Vec<SocketAddr>,
}

impl Shared {
    pub(crate) fn peer(&self) -> Peer {
        Peer {
            host: self.own.process.host.clone(),
            incarnation: self.own.process.incarnation,
            version: VERSION,
            revision: self.view.revision(),
        }
    }

    pub(crate) fn tree(&self) -> MutexGuard<'_, Tree> {
        self.tree.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long ago the view was known to be current; unlimited if it never was.
    pub(crate) fn age(&self, now: Mono) -> Duration {
        self.known_age(now).unwrap_or(Duration::MAX)
    }

    /// The same; none if it never was.
    pub(crate) fn known_age(&self, now: Mono) -> Option<Duration> {
        match self.current.last() {
            _ if self.always => Some(Duration::ZERO),
            last => last.map(|at| now.since(at)),
        }
    }

    /// Brings the lowest revision in force in any process up to date.
    pub(crate) fn tell_lowest(&self) {
        let own = self.view.revision();
        let lowest = {
            let mut tree = self.tree();
            tree.children.expire(clock::mono());
            tree.children.lowest_of_all(own)
        };
        self.lowest_of_all.send_if_modified(|last| {
            let before = std::mem::replace(last, lowest);
            before != lowest
        });
    }

    /// Drops what was heard when a source has since had nothing that new: a
    /// process with a bug, or one that met another system's, would otherwise
    /// keep this one looking for a revision that doesn't exist.
    pub(crate) fn doubt(&self) {
        let heard = self.heard.load(Ordering::Relaxed);
        let have = self.view.revision().0;
        if let (Some(at), Some(current)) = (self.heard_at.last(), self.current.last())
            && heard > have
            && current > at + DOUBT
        {
            let order = Ordering::Relaxed;
            self.heard.compare_exchange(heard, have, order, order).ok();
        }
    }
}

/// How much later than the hearsay a source must have spoken to refute it.
const DOUBT: Duration = Duration::from_secs(1);

/// A node as seen from any thread.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Handle({})", self.shared.own.process)
    }
}

impl Handle {
    pub(crate) fn new(shared: Arc<Shared>) -> Handle {
        Handle { shared }
    }

    /// The configuration in force.
    pub fn view(&self) -> &View {
        &self.shared.view
    }

    /// Owner of the process's tasks.
    pub fn owner(&self) -> &Owner {
        &self.shared.owner
    }

    /// What inner sessions are wrapped in.
    pub fn security(&self) -> &Security {
        &self.shared.security
    }

    /// This process as it names itself in exchanges.
    pub fn peer(&self) -> Peer {
        self.shared.peer()
    }

    /// What a source knows of all processes: its own subtree, and what the
    /// other sources told of theirs. Of itself and its subtree on a process
    /// that is no source.
    pub fn summary(&self) -> Summary {
        let peer = self.peer();
        self.shared.tree().children.summary(clock::mono(), peer)
    }

    /// Waits on a source until all processes that it knows act on a revision, or the
    /// time is over; tells which.
    ///
    /// Hundreds wait at the same moment, when as many servers leave together, so they
    /// wait for one value that each report brings up to date. Each working out who is
    /// furthest behind, every few milliseconds, took all of a replica's processor.
    pub async fn in_force(&self, revision: Revision, allowed: Duration) -> bool {
        let mut lowest = self.shared.lowest_of_all.subscribe();
        let reached = async {
            loop {
                self.shared.tell_lowest();
                if *lowest.borrow_and_update() >= revision {
                    return;
                }
                // Ends only with the node.
                let _ = tokio::time::timeout(IN_FORCE_PAUSE, lowest.changed()).await;
            }
        };
        tokio::time::timeout(allowed, reached).await.is_ok()
    }

    /// The processes below this one that are known by name.
    pub fn members(&self) -> Vec<Member> {
        self.shared.tree().children.members().cloned().collect()
    }

    /// The way up to a source, nearest first; empty on a source, and on a
    /// process that has no parent.
    pub fn way(&self) -> Vec<SocketAddr> {
        self.shared.tree().way.clone()
    }

    /// Whether the configuration in force is known to be recent: at some
    /// moment of the last [`RECENT`] it was the newest that a source had.
    pub fn is_recent(&self) -> bool {
        let now = clock::mono();
        let current = self.shared.current.last();
        self.shared.always || current.is_some_and(|at| now.since(at) <= RECENT)
    }

    /// How long ago the configuration in force was last known to be the newest
    /// that a source had.
    pub fn age(&self, now: Mono) -> Duration {
        self.shared.age(now)
    }

    /// The same; none if it never was.
    pub fn known_age(&self, now: Mono) -> Option<Duration> {
        self.shared.known_age(now)
    }

    /// Whether the configuration was ever known to be recent in this life.
    /// From then on the process serves with what it has, also while it is cut
    /// off: work goes on without a leader, and without any replica.
    pub fn has_started(&self) -> bool {
        self.shared.always || self.shared.current.last().is_some()
    }

    /// Takes note of the other side of an exchange. A newer revision there
    /// makes this process fetch at once.
    pub fn heard(&self, peer: &Peer) {
        self.heard_revision(peer.revision);
    }

    /// Takes note of a revision that exists.
    pub fn heard_revision(&self, revision: Revision) {
        let newer = revision > self.shared.view.revision();
        if newer && revision > self.newest_heard() {
            // The moment goes first: seen the other way round, this revision
            // would be doubted by the age of the one before it.
            self.shared.heard_at.at(clock::mono());
            self.shared.heard.fetch_max(revision.0, Ordering::Relaxed);
            self.shared.news.notify_one();
        }
    }

    /// Waits until everything heard of is in force here, or the time is over.
    /// Who acts on an answer that tells of a change (a suspicion, a drain) and
    /// does not wait acts on the configuration before it.
    pub async fn catch_up(&self, allowed: Duration) -> bool {
        let caught_up = async {
            while self.shared.view.revision() < self.newest_heard() {
                tokio::time::sleep(CATCH_UP_PAUSE).await;
            }
        };
        tokio::time::timeout(allowed, caught_up).await.is_ok()
    }

    /// The newest revision heard of along the data path.
    pub fn newest_heard(&self) -> Revision {
        Revision(self.shared.heard.load(Ordering::Relaxed))
    }
}
