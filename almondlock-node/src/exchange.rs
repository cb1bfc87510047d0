//! Sources tell each other what is in force below them.
//!
//! Each source sees its own subtree only. So that any of them can say what is
//! in force everywhere, each tells every other one regularly, and at once when
//! its subtree has reached a revision.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use almondlock_transport::{Dialer, Layer};
use almondlock_wire::spread::{Fetch, Want};
use tokio::time::{sleep, timeout};

use crate::{handle::Shared, session::Session};

/// How often a source speaks when it has no news.
const PERIOD: Duration = Duration::from_secs(1);
/// How soon it speaks again when it has.
const GAP: Duration = Duration::from_millis(20);
/// How long an answer may take.
const SILENCE: Duration = Duration::from_secs(2);

pub(crate) async fn run<L>(shared: Arc<Shared>, dialer: Dialer<L>, sibling: SocketAddr)
where
    L: Layer,
{
    loop {
        if let Err(error) = talk(&shared, &dialer, sibling).await {
            tracing::debug!(%sibling, %error, "another source can't be told");
        }
        sleep(PERIOD).await;
    }
}

async fn talk<L>(
    shared: &Shared,
    dialer: &Dialer<L>,
    sibling: SocketAddr,
) -> Result<(), capnp::Error>
where
    L: Layer,
{
    let session = Session::open(dialer, sibling).await?;
    let mut revision = shared.view.watch();
    let mut lowest = shared.lowest.subscribe();
    loop {
        let fetch = Fetch {
            want: Want::Nothing,
            report: shared.tree().children.report(shared.peer()),
            wait: Duration::ZERO,
        };
        let answer = timeout(SILENCE, session.fetch(&fetch)).await;
        answer.map_err(|_| capnp::Error::disconnected("no answer in time".into()))??;
        sleep(GAP).await;
        let news = async {
            tokio::select! {
                _ = revision.changed() => {}
                _ = lowest.changed() => {}
            }
        };
        timeout(PERIOD, news).await.ok();
    }
}
