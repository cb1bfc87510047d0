//! Keeping the view up to date from other processes.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use almondlock_base::{time::Mono, unit::Revision};
use almondlock_transport::Dialer;
use almondlock_wire::almondlock_capnp::{delta, spread};
use tokio::time::sleep;

use crate::{
    clock,
    handle::{Handle, Shared},
    node::Config,
};

const PAUSE: Duration = Duration::from_millis(100);

pub(crate) async fn run(config: Config, shared: Arc<Shared>, handle: Handle) {
    let dialer = Dialer::new(config.security);
    loop {
        for seed in &config.seeds {
            if let Err(error) = follow(&dialer, *seed, &shared, &handle).await {
                tracing::debug!(%seed, %error, "fetching failed");
            }
        }
        sleep(PAUSE).await;
    }
}

async fn follow(
    dialer: &Dialer,
    seed: SocketAddr,
    shared: &Shared,
    handle: &Handle,
) -> Result<(), capnp::Error> {
    let link = dialer
        .dial(seed)
        .await
        .map_err(|error: io::Error| capnp::Error::disconnected(error.to_string()))?;
    let answer = link.node().spread_request().send().promise.await?;
    let spread = answer.get()?.get_spread()?;
    loop {
        fetch(&spread, shared, handle).await?;
        tokio::select! {
            () = sleep(PAUSE) => {}
            () = shared.news.notified() => {}
        }
    }
}

async fn fetch(
    spread: &spread::Client,
    shared: &Shared,
    handle: &Handle,
) -> Result<(), capnp::Error> {
    let sent: Mono = clock::mono();
    let mut request = spread.fetch_request();
    request.get().set_have(shared.view.revision().0);
    handle.peer().write(request.get().init_report().init_from());
    let answer = request.send().promise.await?;
    let delta = answer.get()?.get_delta()?;
    if let delta::Which::Piece(piece) = delta.which()? {
        let config = serde_json::from_slice(piece?.get_data()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        shared.view.replace(config);
    }
    if Revision(delta.get_newest()) <= shared.view.revision() {
        shared.current.at(sent);
    }
    Ok(())
}
