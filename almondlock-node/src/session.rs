//! A session with a process that configuration is fetched from.

use std::net::SocketAddr;

use almondlock_transport::{Dialer, Layer, Link};
use almondlock_wire::{
    almondlock_capnp::spread,
    spread::{Delta, Fetch},
};

pub(crate) struct Session {
    pub(crate) address: SocketAddr,
    spread: spread::Client,
    // Ends the session when it goes.
    link: Link,
}

impl Session {
    pub(crate) async fn open<L>(
        dialer: &Dialer<L>,
        address: SocketAddr,
    ) -> Result<Session, capnp::Error>
    where
        L: Layer,
    {
        let link = dialer.dial(address).await;
        let link = link.map_err(|error| capnp::Error::disconnected(error.to_string()))?;
        let spread = link.node().spread_request().send().pipeline.get_spread();
        Ok(Session {
            address,
            spread,
            link,
        })
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.link.is_closed()
    }

    pub(crate) async fn fetch(&self, fetch: &Fetch) -> Result<Delta, capnp::Error> {
        let mut request = self.spread.fetch_request();
        fetch.write(request.get());
        let answer = request.send().promise.await?;
        Ok(Delta::read(answer.get()?.get_delta()?)?)
    }
}
