//! Keeping the view up to date from a parent.

use std::{
    cell::RefCell,
    future::pending,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use almondlock_base::{time::Mono, unit::Revision};
use almondlock_spread::{
    parent::{self, Search, Step, Verdict},
    recency::Recency,
    snapshot::Assembly,
};
use almondlock_transport::{Dialer, Layer};
use almondlock_wire::{
    peer::VERSION,
    spread::{Body, Delta, Fetch, Piece, Report, Standing, Want},
};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::{sleep, timeout};

use crate::{clock, handle::Shared, node::Pace, session::Session};

/// How long a parent may hold an answer back while something newer is known to
/// exist.
const WAIT_BEHIND: Duration = Duration::from_millis(100);
/// How long connecting may take: several ways between regions. A host without
/// power answers nothing, and the kernel asks again only after a second, in
/// which others, or the same host, could long have answered.
const CONNECT: Duration = Duration::from_millis(300);
/// Reports that come closer together than this go up as one.
const GAP: Duration = Duration::from_millis(10);
/// A pause after an error. A parent that serves and then fails, over and over,
/// would otherwise be asked again without end.
const ERROR_PAUSE: Duration = Duration::from_millis(50);
/// How long a source may hold a newcomer's question back until it is current itself, or has
/// told others before. One that is cut off never is.
const ADMISSION: Duration = Duration::from_millis(200);
/// How often a source is asked for the rest of a configuration before it is taken for one
/// that doesn't come to an end.
const INFORMED: usize = 64;
/// How long saying goodbye may take.
const LEAVE: Duration = Duration::from_millis(500);

/// The session with the parent, while there is a parent.
pub(crate) type Parent = Rc<RefCell<Option<Rc<Session>>>>;

/// What came of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    /// All that the other side has, or nothing.
    Whole,
    /// A part of the configuration; the same side has the rest.
    InPart,
}

/// The loop of a process that is no source.
pub(crate) struct Fetcher<L> {
    shared: Arc<Shared>,
    dialer: Dialer<L>,
    search: Search<SmallRng>,
    pace: Pace,
    recency: Recency,
    assembly: Option<Assembly>,
    session: Option<Rc<Session>>,
    parent: Parent,
    // The parent that the log last told of.
    followed: Option<SocketAddr>,
}

impl<L> Fetcher<L>
where
    L: Layer,
{
    pub(crate) fn new(
        shared: Arc<Shared>,
        dialer: Dialer<L>,
        seeds: &[SocketAddr],
        pace: Pace,
        parent: Parent,
    ) -> Fetcher<L> {
        // Differs from process to process, which is all that is asked of it.
        let seed = shared.own.process.incarnation.0 ^ u64::from(shared.own.address.port());
        let rng = SmallRng::seed_from_u64(seed);
        let own = shared.own.address;
        let bounds = parent::Config {
            max_answer_age: pace.stale,
            max_pause: pace.search,
            ..parent::Config::default()
        };
        Fetcher {
            search: Search::new(bounds, own, VERSION, seeds, rng),
            pace,
            shared,
            dialer,
            recency: Recency::new(),
            assembly: None,
            session: None,
            parent,
            followed: None,
        }
    }

    pub(crate) async fn run(mut self) {
        loop {
            self.search.add_sources(&self.shared.view.get().sources);
            match self.search.step(clock::mono()) {
                Step::Wait(pause) => sleep(pause).await,
                Step::Ask(address) => {
                    if let Err(error) = self.ask(address).await {
                        tracing::debug!(%address, %error, "fetching failed");
                        self.leave(address);
                        self.search.record_failure(address);
                        sleep(ERROR_PAUSE).await;
                    }
                }
            }
            self.publish();
        }
    }

    /// Shows the tree's server and the node what the search came to.
    fn publish(&mut self) {
        let parent = self.search.parent();
        if parent != self.followed {
            let revision = self.shared.view.revision().0;
            let age = self.shared.known_age(clock::mono());
            match parent {
                Some(parent) => tracing::info!(%parent, revision, "follows a parent"),
                None => tracing::warn!(
                    revision,
                    age_ms = age.map(|age| age.as_millis()),
                    "lost the parent, looks for another"
                ),
            }
            self.followed = parent;
        }
        let known = parent.is_some();
        self.parent.replace(self.session.clone().filter(|_| known));
        self.shared.tree().way = self.search.path_to_source();
    }

    fn leave(&mut self, address: SocketAddr) {
        self.session.take_if(|session| session.address == address);
        self.assembly = None;
    }

    async fn ask(&mut self, address: SocketAddr) -> Result<(), capnp::Error> {
        let mut rounds = 0;
        while self.exchange(address).await? == Told::InPart {
            rounds += 1;
            if rounds > INFORMED {
                return Err(capnp::Error::failed("the configuration has no end".into()));
            }
        }
        Ok(())
    }

    /// Asks once.
    async fn exchange(&mut self, address: SocketAddr) -> Result<Told, capnp::Error> {
        let session = match self.session.take() {
            Some(session) if session.address == address && !session.is_closed() => session,
            _ => {
                let opening = timeout(CONNECT, Session::open(&self.dialer, address));
                let late = || capnp::Error::disconnected("no connection in time".into());
                Rc::new(opening.await.map_err(|_| late())??)
            }
        };
        self.session = Some(Rc::clone(&session));
        let is_parent = self.search.parent() == Some(address);
        if !is_parent {
            self.shared.tree().children.queue_all_members();
        }
        let fetch = self.request(is_parent);
        let sent = clock::mono();
        let answer = timeout(fetch.wait + self.pace.silence, session.fetch(&fetch));
        let delta = tokio::select! {
            biased;
            answer = answer => match answer {
                Ok(delta) => delta?,
                Err(_) => return Err(capnp::Error::disconnected("no answer in time".into())),
            },
            // The question is put again, with what is known now.
            () = interrupted(&self.shared, &fetch, self.pace.hold), if is_parent => return Ok(Told::Whole),
        };
        self.answer(address, &fetch.report, delta, sent)
    }

    /// What is asked for. A process that is no parent yet holds no answer back for news:
    /// it may refuse, or turn out to be of no use.
    fn request(&self, is_parent: bool) -> Fetch {
        let have = self.shared.view.revision();
        let want = match &self.assembly {
            Some(assembly) => match assembly.next() {
                // Any revision will do; zero would not ask for a snapshot.
                (Revision::ZERO, _) => Want::Snapshot(have.next(), 0),
                (revision, offset) => Want::Snapshot(revision, offset),
            },
            None => Want::After(have),
        };
        let (report, backlog) = {
            let mut tree = self.shared.tree();
            tree.children.expire(clock::mono());
            let report = tree.children.report(self.shared.peer());
            (report, tree.children.has_backlog())
        };
        let behind = self.shared.heard.load(Ordering::Relaxed) > have.0;
        let wait = match () {
            () if !is_parent => ADMISSION,
            () if backlog => Duration::ZERO,
            () if behind => WAIT_BEHIND,
            () => self.pace.hold,
        };
        Fetch { want, report, wait }
    }

    fn answer(
        &mut self,
        address: SocketAddr,
        told: &Report,
        mut delta: Delta,
        sent: Mono,
    ) -> Result<Told, capnp::Error> {
        if let Standing::Informed(age, _) = delta.standing {
            let body = std::mem::replace(&mut delta.body, Body::Empty);
            self.apply(body)?;
            self.recent(delta.newest, sent - age);
            if self.shared.view.revision() < delta.newest {
                return Ok(Told::InPart);
            }
        }
        let have = self.shared.view.revision();
        let after = match &delta.body {
            Body::Changes(first, changes) => have.max(Revision(
                first
                    .0
                    .saturating_add(changes.len() as u64)
                    .saturating_sub(1),
            )),
            Body::Empty | Body::Piece(_) => have,
        };
        let heard = Revision(self.shared.heard.load(Ordering::Relaxed));
        let now = clock::mono();
        if self
            .search
            .handle_answer(now, address, &delta, after, heard)
            == Verdict::Leave
        {
            self.leave(address);
            return Ok(Told::Whole);
        }
        self.shared.tree().children.mark_delivered(told);
        self.apply(delta.body)?;
        if let Standing::Served(age, _) = delta.standing {
            self.recent(delta.newest, sent - age);
        }
        Ok(Told::Whole)
    }

    /// At the moment `at`, a source had nothing newer than `newest`. Counted from the
    /// question, so that a slow answer makes nothing look newer than it is.
    fn recent(&mut self, newest: Revision, at: Mono) {
        self.recency.record_source(newest, at);
        if let Some(at) = self.recency.record_own(self.shared.view.revision()) {
            self.shared.current.at(at);
        }
        self.shared.doubt();
    }

    fn apply(&mut self, body: Body) -> Result<(), capnp::Error> {
        match body {
            Body::Empty => {}
            Body::Changes(first, texts) => {
                let read: Vec<_> = texts
                    .iter()
                    .map_while(|text| serde_json::from_slice(text).ok())
                    .collect();
                // A change that a later version made up can't be applied here.
                // The whole configuration, read with what is unknown left out,
                // gets this process past it.
                let whole = read.len() == texts.len();
                let extended = self.shared.view.extend(first, read);
                if !extended {
                    self.log_gap(first);
                }
                self.assembly = (!whole || !extended).then(Assembly::new);
            }
            Body::Piece(piece) => self.add(&piece)?,
        }
        Ok(())
    }

    /// Logs that changes from `first` on can't be applied to what is held here.
    fn log_gap(&self, first: Revision) {
        let held = self.shared.view.get();
        tracing::warn!(
            revision = held.revision.0,
            first = first.0,
            version = held.document.as_ref().map(|held| held.version),
            "changes don't apply to the configuration held here, asks for the whole"
        );
    }

    fn add(&mut self, piece: &Piece) -> Result<(), capnp::Error> {
        let mut assembly = self.assembly.take().unwrap_or_default();
        match assembly.add(piece) {
            Ok(None) => self.assembly = Some(assembly),
            Ok(Some(config)) => {
                let revision = config.revision;
                self.shared.view.replace(config);
                let text = assembly.into_text();
                self.shared.tree().store.insert_received(revision, text);
            }
            // Begun again, with another parent if there is one.
            Err(error) => {
                tracing::warn!(%error, "a snapshot is begun again");
                return Err(capnp::Error::failed(error.to_string()));
            }
        }
        Ok(())
    }
}

/// Ends when the question to the parent should be put again: something newer
/// was heard of, or all below have reached more than was told.
///
/// News interrupts a long wait only. Where it comes with every exchange, faster
/// than an answer's way back, each question would be given up for the next one
/// and no answer ever taken: the process that is told most would learn least.
/// A short wait ends by itself.
async fn interrupted(shared: &Shared, fetch: &Fetch, hold: Duration) {
    let told = fetch.report.lowest;
    let mut lowest = shared.lowest.subscribe();
    let risen = async {
        if lowest.wait_for(|lowest| *lowest > told).await.is_err() {
            pending::<()>().await;
        }
        sleep(GAP).await;
    };
    tokio::select! {
        () = shared.news.notified(), if fetch.wait == hold => {}
        () = risen => {}
    }
}

/// Tells a parent that this process ends.
pub(crate) async fn leave(shared: &Shared, parent: &Session) {
    let fetch = Fetch {
        want: Want::After(shared.view.revision()),
        report: Report {
            processes: 0,
            ..Report::alone(shared.peer())
        },
        wait: Duration::ZERO,
    };
    // Who can't be told lets this process lapse.
    timeout(LEAVE, parent.fetch(&fetch)).await.ok();
}
