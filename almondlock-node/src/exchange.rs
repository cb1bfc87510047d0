//! Sources tell each other what is in force below them, and learn how recent their
//! configuration is.
//!
//! Each source sees its own subtree only. So that any of them can say what is
//! in force everywhere, each tells every other one regularly, and at once when
//! its subtree has reached a revision.
//!
//! The answer says how long ago the other source's configuration was known to be the newest.
//! The leader knows that from reads that a majority has confirmed. The age counts from the
//! question, so that an answer which waited in a socket, or one that is read after a
//! suspension, makes nothing look newer than it is.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use almondlock_spread::recency::Recency;
use almondlock_transport::{Dialer, Layer};
use almondlock_wire::spread::{Fetch, Standing, Want};
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::time::{sleep, timeout};

use crate::{clock, handle::Shared, session::Session};

/// How often a source speaks when it has no news, at the least.
const PERIOD: Duration = Duration::from_secs(1);
/// How often it speaks while it doesn't know its configuration to be recent.
const STALE_PERIOD: Duration = Duration::from_millis(100);
/// How soon it speaks again when it has news.
const GAP: Duration = Duration::from_millis(20);
/// How long an answer may take.
const SILENCE: Duration = Duration::from_secs(2);

/// Talks to all other sources, those that the settings name and those that the configuration
/// in force does, for as long as the process runs. `period` bounds the time between two
/// questions.
pub(crate) async fn run<L>(
    shared: Arc<Shared>,
    dialer: Dialer<L>,
    seeds: Vec<SocketAddr>,
    period: Duration,
) where
    L: Layer,
{
    let exchange = Exchange {
        shared,
        dialer,
        seeds,
        period: period.min(PERIOD),
    };
    let mut revisions = exchange.shared.view.watch();
    let mut talked_to = BTreeSet::new();
    let mut talks = FuturesUnordered::new();
    loop {
        revisions.mark_unchanged();
        for source in exchange.others() {
            if talked_to.insert(source) {
                talks.push(exchange.talk_always(source));
            }
        }
        tokio::select! {
            changed = revisions.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            Some(ended) = talks.next() => {
                talked_to.remove(&ended);
            }
        }
    }
}

struct Exchange<L> {
    shared: Arc<Shared>,
    dialer: Dialer<L>,
    seeds: Vec<SocketAddr>,
    /// Longest time between two questions.
    period: Duration,
}

impl<L> Exchange<L>
where
    L: Layer,
{
    /// The other sources.
    fn others(&self) -> BTreeSet<SocketAddr> {
        let view = self.shared.view.get();
        let all = self.seeds.iter().chain(&view.sources).copied();
        let own = self.shared.own.address;
        all.filter(|source| *source != own).collect()
    }

    /// Talks to a source until it is none any more, and returns its address.
    async fn talk_always(&self, source: SocketAddr) -> SocketAddr {
        while self.others().contains(&source) {
            if let Err(error) = self.talk(source).await {
                tracing::debug!(%source, %error, "another source can't be told");
            }
            sleep(self.pause()).await;
        }
        source
    }

    /// The time until the next question.
    fn pause(&self) -> Duration {
        match self.shared.age(clock::mono()) > PERIOD {
            true => STALE_PERIOD.min(self.period),
            false => self.period,
        }
    }

    async fn talk(&self, source: SocketAddr) -> Result<(), capnp::Error> {
        let shared = &self.shared;
        let session = Session::open(&self.dialer, source).await?;
        let mut revision = shared.view.watch();
        let mut lowest = shared.lowest.subscribe();
        let mut recency = Recency::new();
        while self.others().contains(&source) {
            let fetch = Fetch {
                want: Want::Nothing,
                report: shared.tree().children.report(shared.peer()),
                wait: Duration::ZERO,
            };
            let sent = clock::mono();
            let answer = timeout(SILENCE, session.fetch(&fetch)).await;
            let answer =
                answer.map_err(|_| capnp::Error::disconnected("no answer in time".into()))??;
            if let Standing::Served(age, _) = answer.standing {
                recency.record_source(answer.newest, sent - age);
            }
            self.vouch(&mut recency);
            sleep(GAP).await;
            let news = async {
                tokio::select! {
                    _ = revision.changed() => {}
                    _ = lowest.changed() => {}
                }
            };
            timeout(self.pause(), news).await.ok();
            self.vouch(&mut recency);
        }
        Ok(())
    }

    /// Vouches for the configuration held here as of the last moment at which it is known to
    /// have been another source's newest.
    fn vouch(&self, recency: &mut Recency) {
        if let Some(at) = recency.record_own(self.shared.view.revision()) {
            self.shared.current.at(at);
        }
    }
}
